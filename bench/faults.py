"""Fault scripts: what goes wrong during a run."""

import signal
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import Any, Final, NamedTuple, TypeAlias

import msgspec

from celeryturn.http.client import fetch
from celeryturn.http.messages import HttpRequest
from examples.fleet import Fleet
from standins.topology import build_records, repartition

ADDRESS: Final = '127.0.0.1'
REQUEST_TIMEOUT_SECONDS: Final = 5.0
LOADED_LATENCY_SECONDS: Final = 0.15


class Testbed:
    """One fleet under test.

    :param fleet: Its processes.
    :param document: The service's document in force.
    :param paused_instances: Instances that are paused.
    :param run_count: Runs so far.
    """

    def __init__(self, fleet: Fleet, document: dict[str, Any]) -> None:
        self.fleet = fleet
        self.document = document
        self.paused_instances: list[str] = []
        self.run_count = 0

    @property
    def targets(self) -> list[str]:
        """Names of the targets."""
        return list(self.document['targets'])


Fault: TypeAlias = Callable[[Testbed], Awaitable[None]]


class Script(NamedTuple):
    """A run's load and faults.

    :param faults: What goes wrong, in order.
    :param load: Offered load as a share of what the slots carry.
    :param latency_seconds: Median latency of a healthy target; longer where
        the load is, so that slots run out before this machine does.
    """

    faults: tuple[Fault, ...] = ()
    load: float = 0.2
    latency_seconds: float = 0.05


async def configure_targets(
    testbed: Testbed, names: list[str], **fields: Any
) -> None:
    """Change how targets behave.

    :param testbed: The fleet.
    :param names: Names of targets.
    :param fields: Fields of the stand-in's script.
    """
    body = msgspec.json.encode(fields)
    for name in names:
        port = testbed.document['targets'][name]['port']
        request = HttpRequest('POST', '/script', body=body)
        await fetch(ADDRESS, port, request, REQUEST_TIMEOUT_SECONDS)


async def inject_faults(testbed: Testbed, script: Script) -> None:
    """Let a script's faults happen.

    :param testbed: The fleet.
    :param script: The script.
    """
    for fault in script.faults:
        await fault(testbed)


async def clear_faults(testbed: Testbed, latency_seconds: float) -> None:
    """Undo every fault.

    :param testbed: The fleet.
    :param latency_seconds: Median latency of a healthy target.
    """
    for name in testbed.paused_instances:
        testbed.fleet.instances[name].send_signal(signal.SIGCONT)
    testbed.paused_instances.clear()
    await _control_platform(testbed, b'thaw')
    await configure_targets(
        testbed,
        testbed.targets,
        latency_seconds=latency_seconds,
        slow_factor=1.0,
        shed_share=0.0,
        is_lost=False,
        is_cold=False,
        false_report=None,
    )


def straggler(factor: float, count: int = 1) -> Fault:
    """Make targets slow.

    :param factor: How much slower.
    :param count: How many of them.
    :returns: The fault.
    """

    async def inject(testbed: Testbed) -> None:
        # One replica of a shard each, not all replicas of one.
        step = len(testbed.targets) // count
        names = [testbed.targets[step * number] for number in range(count)]
        await configure_targets(testbed, names, slow_factor=factor)

    return inject


async def replica_lost(testbed: Testbed) -> None:
    """Lose one target."""
    await configure_targets(testbed, testbed.targets[4:5], is_lost=True)


async def shard_lost(testbed: Testbed) -> None:
    """Lose all replicas of a shard."""
    index = testbed.document['indexes'][0]
    shard = index['shards']['s02']
    await configure_targets(testbed, shard['replicas'], is_lost=True)


async def cold_start(testbed: Testbed) -> None:
    """Let a tenth of the targets have started just now."""
    await configure_targets(testbed, testbed.targets[::10], is_cold=True)


async def shedding(testbed: Testbed) -> None:
    """Let a third of the targets shed a third of their load."""
    await configure_targets(testbed, testbed.targets[::3], shed_share=0.33)


async def false_health(testbed: Testbed) -> None:
    """Let three slow targets report an empty queue."""
    names = testbed.targets[::10]
    await configure_targets(
        testbed, names, slow_factor=10.0, false_report={'queue_count': 0}
    )


async def lagging_reports(testbed: Testbed) -> None:
    """Let half of the targets report a queue that is long gone."""
    names = testbed.targets[::2]
    await configure_targets(testbed, names, false_report={'queue_count': 9})


async def service_down(testbed: Testbed) -> None:
    """Take the configuration service down."""
    await _control_platform(testbed, b'down')


async def service_stale(testbed: Testbed) -> None:
    """Let the configuration service stand still."""
    await _control_platform(testbed, b'freeze')


async def instance_paused(testbed: Testbed) -> None:
    """Pause one instance until the run is over."""
    name = list(testbed.fleet.instances)[1]
    testbed.fleet.instances[name].send_signal(signal.SIGSTOP)
    testbed.paused_instances.append(name)


async def zone_lost(testbed: Testbed) -> None:
    """Lose the targets of an availability zone."""
    targets = testbed.document['targets']
    zone = targets[testbed.targets[-1]]['availability_zone']
    names = [
        name
        for name, target in targets.items()
        if target['availability_zone'] == zone
    ]
    await configure_targets(testbed, names, is_lost=True)


async def repartitioned(testbed: Testbed) -> None:
    """Publish another partition map while queries run."""
    testbed.document = repartition(testbed.document)
    records = build_records(testbed.document, testbed.document['serving_index'])
    body = {'version': testbed.document['serving_index'], 'records': records}
    port = testbed.document['targets'][testbed.targets[0]]['port']
    request = HttpRequest('POST', '/records', body=msgspec.json.encode(body))
    await fetch(ADDRESS, port, request, REQUEST_TIMEOUT_SECONDS)
    await publish(testbed)


async def publish(testbed: Testbed) -> None:
    """Publish the testbed's document.

    :param testbed: The fleet.
    """
    url = f'/v1/kv-key?Key=services/{testbed.document["service"]}'
    body = msgspec.json.encode(testbed.document)
    request = HttpRequest('PUT', url, body=body)
    await fetch(
        ADDRESS, testbed.fleet.platform_port, request, REQUEST_TIMEOUT_SECONDS
    )


async def _control_platform(testbed: Testbed, command: bytes) -> None:
    request = HttpRequest('POST', '/control', body=command)
    await fetch(
        ADDRESS, testbed.fleet.platform_port, request, REQUEST_TIMEOUT_SECONDS
    )


SCRIPTS: Final[Mapping[str, Script]] = MappingProxyType(
    {
        'none': Script(),
        'straggler x10': Script((straggler(10),)),
        'straggler x50': Script((straggler(50),)),
        'three stragglers': Script((straggler(50, 3),)),
        'replica lost': Script((replica_lost,)),
        'shard lost': Script((shard_lost,)),
        'cold start': Script((cold_start,)),
        'shedding': Script((shedding,)),
        'false health': Script((false_health,)),
        'lagging reports': Script((lagging_reports,)),
        'service down': Script((service_down,)),
        'service stale': Script((service_stale,)),
        'instance paused': Script((instance_paused,)),
        'zone lost': Script((zone_lost,)),
        'load x1': Script((), 1.0, LOADED_LATENCY_SECONDS),
        'overload x1.5': Script((), 1.5, LOADED_LATENCY_SECONDS),
        'overload x3': Script((), 3.0, LOADED_LATENCY_SECONDS),
        'straggler and lost': Script((straggler(50), replica_lost)),
        'straggler, overload': Script(
            (straggler(10),), 1.5, LOADED_LATENCY_SECONDS
        ),
        'zone lost, service down': Script((zone_lost, service_down)),
        'repartition': Script((repartitioned,)),
    }
)
