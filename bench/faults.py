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
CALL_SECONDS: Final = 5.0
LOADED_SECONDS: Final = 0.15


class Scene:
    """One fleet under test.

    :param fleet: Its processes.
    :param document: The service's document in force.
    :param paused: Instances that are paused.
    :param run_count: Runs so far.
    """

    def __init__(self, fleet: Fleet, document: dict[str, Any]) -> None:
        self.fleet = fleet
        self.document = document
        self.paused: list[str] = []
        self.run_count = 0

    @property
    def targets(self) -> list[str]:
        """Names of the targets."""
        return list(self.document['targets'])


Fault: TypeAlias = Callable[[Scene], Awaitable[None]]


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


async def set_targets(scene: Scene, names: list[str], **fields: Any) -> None:
    """Change how targets behave.

    :param scene: The fleet.
    :param names: Names of targets.
    :param fields: Fields of the stand-in's script.
    """
    body = msgspec.json.encode(fields)
    for name in names:
        port = scene.document['targets'][name]['port']
        request = HttpRequest('POST', '/script', body=body)
        await fetch(ADDRESS, port, request, CALL_SECONDS)


async def break_scene(scene: Scene, script: Script) -> None:
    """Let a script's faults happen.

    :param scene: The fleet.
    :param script: The script.
    """
    for fault in script.faults:
        await fault(scene)


async def heal(scene: Scene, latency_seconds: float) -> None:
    """Undo every fault.

    :param scene: The fleet.
    :param latency_seconds: Median latency of a healthy target.
    """
    for name in scene.paused:
        scene.fleet.instances[name].send_signal(signal.SIGCONT)
    scene.paused.clear()
    await _control(scene, b'thaw')
    await set_targets(
        scene,
        scene.targets,
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

    async def go(scene: Scene) -> None:
        # One replica of a shard each, not all replicas of one.
        step = len(scene.targets) // count
        names = [scene.targets[step * number] for number in range(count)]
        await set_targets(scene, names, slow_factor=factor)

    return go


async def replica_lost(scene: Scene) -> None:
    """Lose one target."""
    await set_targets(scene, scene.targets[4:5], is_lost=True)


async def shard_lost(scene: Scene) -> None:
    """Lose all replicas of a shard."""
    index = scene.document['indexes'][0]
    shard = index['shards']['s02']
    await set_targets(scene, shard['replicas'], is_lost=True)


async def cold_start(scene: Scene) -> None:
    """Let a tenth of the targets have started just now."""
    await set_targets(scene, scene.targets[::10], is_cold=True)


async def shedding(scene: Scene) -> None:
    """Let a third of the targets shed a third of their load."""
    await set_targets(scene, scene.targets[::3], shed_share=0.33)


async def false_health(scene: Scene) -> None:
    """Let three slow targets report an empty queue."""
    names = scene.targets[::10]
    await set_targets(
        scene, names, slow_factor=10.0, false_report={'queue_count': 0}
    )


async def lagging_reports(scene: Scene) -> None:
    """Let half of the targets report a queue that is long gone."""
    names = scene.targets[::2]
    await set_targets(scene, names, false_report={'queue_count': 9})


async def service_down(scene: Scene) -> None:
    """Take the configuration service down."""
    await _control(scene, b'down')


async def service_stale(scene: Scene) -> None:
    """Let the configuration service stand still."""
    await _control(scene, b'freeze')


async def instance_paused(scene: Scene) -> None:
    """Pause one instance until the run is over."""
    name = list(scene.fleet.instances)[1]
    scene.fleet.instances[name].send_signal(signal.SIGSTOP)
    scene.paused.append(name)


async def zone_lost(scene: Scene) -> None:
    """Lose the targets of an availability zone."""
    targets = scene.document['targets']
    zone = targets[scene.targets[-1]]['availability_zone']
    names = [
        name
        for name, target in targets.items()
        if target['availability_zone'] == zone
    ]
    await set_targets(scene, names, is_lost=True)


async def repartitioned(scene: Scene) -> None:
    """Publish another partition map while queries run."""
    scene.document = repartition(scene.document)
    records = build_records(scene.document, scene.document['serving_index'])
    body = {'version': scene.document['serving_index'], 'records': records}
    port = scene.document['targets'][scene.targets[0]]['port']
    request = HttpRequest('POST', '/records', body=msgspec.json.encode(body))
    await fetch(ADDRESS, port, request, CALL_SECONDS)
    await publish(scene)


async def publish(scene: Scene) -> None:
    """Publish the scene's document.

    :param scene: The fleet.
    """
    url = f'/v1/kv-key?Key=services/{scene.document["service"]}'
    body = msgspec.json.encode(scene.document)
    request = HttpRequest('PUT', url, body=body)
    await fetch(ADDRESS, scene.fleet.platform_port, request, CALL_SECONDS)


async def _control(scene: Scene, word: bytes) -> None:
    request = HttpRequest('POST', '/control', body=word)
    await fetch(ADDRESS, scene.fleet.platform_port, request, CALL_SECONDS)


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
        'load x1': Script((), 1.0, LOADED_SECONDS),
        'overload x1.5': Script((), 1.5, LOADED_SECONDS),
        'overload x3': Script((), 3.0, LOADED_SECONDS),
        'straggler and lost': Script((straggler(50), replica_lost)),
        'straggler, overload': Script((straggler(10),), 1.5, LOADED_SECONDS),
        'zone lost, service down': Script((zone_lost, service_down)),
        'repartition': Script((repartitioned,)),
    }
)
