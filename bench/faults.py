"""Fault scripts: the load and the faults of a run."""

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
    """A fleet under test.

    :param fleet: The processes of the fleet.
    :param document: The current document of the service.
    :param paused_instances: Names of the instances that are paused.
    :param run_count: Number of runs so far, warm-up runs included.
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
    """Load and faults of a run.

    :param faults: Faults to inject, in order.
    :param load: Ratio of the offered load to the capacity of the slots.
    :param latency_seconds: Median latency of a healthy target; longer under
        high load, so that the slots are exhausted before the machine that
        runs the benchmark.
    """

    faults: tuple[Fault, ...] = ()
    load: float = 0.2
    latency_seconds: float = 0.05


async def configure_targets(
    testbed: Testbed, names: list[str], **fields: Any
) -> None:
    """Change the behaviour of targets.

    :param testbed: The fleet under test.
    :param names: Names of the targets.
    :param fields: Fields of the stand-in's script.
    """
    body = msgspec.json.encode(fields)
    for name in names:
        port = testbed.document['targets'][name]['port']
        request = HttpRequest('POST', '/script', body=body)
        await fetch(ADDRESS, port, request, REQUEST_TIMEOUT_SECONDS)


async def inject_faults(testbed: Testbed, script: Script) -> None:
    """Inject the faults of a script.

    :param testbed: The fleet under test.
    :param script: The script.
    """
    for fault in script.faults:
        await fault(testbed)


async def clear_faults(testbed: Testbed, latency_seconds: float) -> None:
    """Undo the faults of targets, instances and configuration service.

    A published document stays.

    :param testbed: The fleet under test.
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
    """Create a fault that slows targets down.

    :param factor: Factor by which the latency grows.
    :param count: Number of slow targets.
    :returns: The fault.
    """

    async def inject(testbed: Testbed) -> None:
        # The slow targets are spread out, so that they do not include all
        # replicas of one shard.
        step = len(testbed.targets) // count
        names = [testbed.targets[step * number] for number in range(count)]
        await configure_targets(testbed, names, slow_factor=factor)

    return inject


async def replica_lost(testbed: Testbed) -> None:
    """Make one target drop its connections."""
    await configure_targets(testbed, testbed.targets[4:5], is_lost=True)


async def shard_lost(testbed: Testbed) -> None:
    """Make all replicas of a shard drop their connections."""
    index = testbed.document['indexes'][0]
    shard = index['shards']['s02']
    await configure_targets(testbed, shard['replicas'], is_lost=True)


async def cold_start(testbed: Testbed) -> None:
    """Make a tenth of the targets as slow as after a start."""
    await configure_targets(testbed, testbed.targets[::10], is_cold=True)


async def shedding(testbed: Testbed) -> None:
    """Make a third of the targets shed a third of their load."""
    await configure_targets(testbed, testbed.targets[::3], shed_share=0.33)


async def false_health(testbed: Testbed) -> None:
    """Make three targets slow while they report an empty queue."""
    names = testbed.targets[::10]
    await configure_targets(
        testbed, names, slow_factor=10.0, false_report={'queue_count': 0}
    )


async def lagging_reports(testbed: Testbed) -> None:
    """Make half of the targets report a queue that no longer exists."""
    names = testbed.targets[::2]
    await configure_targets(testbed, names, false_report={'queue_count': 9})


async def service_down(testbed: Testbed) -> None:
    """Make the configuration service refuse requests."""
    await _control_platform(testbed, b'down')


async def service_stale(testbed: Testbed) -> None:
    """Make the configuration service return stale data."""
    await _control_platform(testbed, b'freeze')


async def instance_paused(testbed: Testbed) -> None:
    """Pause one instance until the faults are cleared."""
    name = list(testbed.fleet.instances)[1]
    testbed.fleet.instances[name].send_signal(signal.SIGSTOP)
    testbed.paused_instances.append(name)


async def zone_lost(testbed: Testbed) -> None:
    """Make the targets of an availability zone drop their connections."""
    targets = testbed.document['targets']
    zone = targets[testbed.targets[-1]]['availability_zone']
    names = [
        name
        for name, target in targets.items()
        if target['availability_zone'] == zone
    ]
    await configure_targets(testbed, names, is_lost=True)


async def repartitioned(testbed: Testbed) -> None:
    """Publish a document with another partition map while queries run."""
    testbed.document = repartition(testbed.document)
    records = build_records(testbed.document, testbed.document['serving_index'])
    body = {'version': testbed.document['serving_index'], 'records': records}
    port = testbed.document['targets'][testbed.targets[0]]['port']
    request = HttpRequest('POST', '/records', body=msgspec.json.encode(body))
    await fetch(ADDRESS, port, request, REQUEST_TIMEOUT_SECONDS)
    await publish(testbed)


async def publish(testbed: Testbed) -> None:
    """Publish the current document of the service.

    :param testbed: The fleet under test.
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
