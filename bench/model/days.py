"""Load patterns: what a modelled day brings, and how it is played."""

import random
from collections import Counter
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final, NamedTuple

from bench.model.events import Clock
from bench.model.fleet import Kind, ModelInstance, Outcome, World
from bench.model.policies import Policy
from bench.model.targets import ModelTarget, Spell, TargetShape

ZONES: Final = ('a', 'b', 'c')
WARM_UP_SECONDS: Final = 3.0


class DayShape(NamedTuple):
    """Sizes of a modelled day.

    :param instance_count: Instances.
    :param shard_count: Shards, each a service.
    :param replica_count: Targets of a shard.
    :param requests_per_second: Over all instances.
    :param length_seconds: Length of the day.
    :param target: What targets have in common.
    """

    instance_count: int = 9
    shard_count: int = 10
    replica_count: int = 3
    requests_per_second: float = 90.0
    length_seconds: float = 30.0
    target: TargetShape = TargetShape()


class Day(NamedTuple):
    """A day that was played.

    :param outcomes: How every request went.
    :param targets: All targets, with what they ran.
    :param extra: Extra requests by service and second.
    :param needed: Needed requests by service and second.
    :param far_count: Requests to other zones.
    """

    outcomes: tuple[Outcome, ...]
    targets: tuple[ModelTarget, ...]
    extra: Counter[tuple[str, int]]
    needed: Counter[tuple[str, int]]
    far_count: int


Trouble = Callable[[list[ModelTarget], DayShape, random.Random], None]


def play(
    shape: DayShape,
    pattern: str,
    policy: Policy,
    seed: int,
    *,
    is_idempotent: bool = True,
) -> Day:
    """Play a day.

    :param shape: Its sizes.
    :param pattern: Name of the load pattern.
    :param policy: What decides.
    :param seed: The same seed gives the same day.
    :param is_idempotent: Whether requests may run more than once.
    :returns: How it went.
    """
    clock = Clock()
    chance = random.Random(f'{pattern} {seed}')
    services = _make_services(clock, shape, chance)
    targets = [tgt for known in services.values() for tgt in known]
    PATTERNS[pattern](targets, shape, chance)
    extra: Counter[tuple[str, int]] = Counter()
    needed: Counter[tuple[str, int]] = Counter()
    world = World(
        clock=clock,
        chance=random.Random(seed),
        services=services,
        policy=policy,
        fleet_count=shape.instance_count,
        on_extra=lambda name: extra.update([(name, int(clock.now_seconds))]),
        on_needed=lambda name: needed.update([(name, int(clock.now_seconds))]),
    )
    instances = [
        ModelInstance(world, ZONES[number % len(ZONES)])
        for number in range(shape.instance_count)
    ]
    kinds = _kinds(shape, tuple(services), is_idempotent=is_idempotent)
    _plan_requests(clock, shape, instances, kinds, chance)
    clock.run(shape.length_seconds + kinds[0].deadline_seconds)
    return Day(
        outcomes=tuple(
            outcome for known in instances for outcome in known.outcomes
        ),
        targets=tuple(targets),
        extra=extra,
        needed=needed,
        far_count=sum(known.far_count for known in instances),
    )


def _make_services(
    clock: Clock, shape: DayShape, chance: random.Random
) -> dict[str, list[ModelTarget]]:
    return {
        f'shard-{number}': [
            ModelTarget(
                clock,
                shape.target,
                f'shard-{number}-{replica}',
                ZONES[replica % len(ZONES)],
                chance,
            )
            for replica in range(shape.replica_count)
        ]
        for number in range(shape.shard_count)
    }


def _kinds(
    shape: DayShape, services: tuple[str, ...], *, is_idempotent: bool
) -> tuple[Kind, ...]:
    if not is_idempotent:
        booking = Kind('booking', services[:1], 1, 0.2, 0.8, 5, is_idempotent)
        return (booking,)
    most = max(1, round(shape.shard_count * 0.89))
    fewer = max(1, round(shape.shard_count * 0.75))
    search = Kind('search', services, most, 0.042, 0.235, 1.2)
    urgent = Kind('urgent', services, fewer, 0.0138, 0.085, 0.5)
    return (search, search, search, urgent)


def _plan_requests(
    clock: Clock,
    shape: DayShape,
    instances: list[ModelInstance],
    kinds: tuple[Kind, ...],
    chance: random.Random,
) -> None:
    at_seconds = 0.0
    number = 0
    while at_seconds < shape.length_seconds:
        at_seconds += chance.expovariate(shape.requests_per_second)
        instance = chance.choice(instances)
        kind = chance.choice(kinds)
        clock.at(at_seconds, _asking(instance, kind, number))
        number += 1


def _asking(
    instance: ModelInstance, kind: Kind, number: int
) -> Callable[[], None]:
    return lambda: instance.ask(kind, number)


def _calm(
    targets: list[ModelTarget], shape: DayShape, chance: random.Random
) -> None:
    """Pauses alone."""


def _spell(kind: str, share: float, factor: float = 1.0) -> Trouble:
    def trouble(
        targets: list[ModelTarget], shape: DayShape, chance: random.Random
    ) -> None:
        third = shape.length_seconds / 3
        for target in chance.sample(targets, int(share * len(targets))):
            target.spells.append(Spell(kind, third, 2 * third, factor))

    return trouble


def _shard_lost(
    targets: list[ModelTarget], shape: DayShape, chance: random.Random
) -> None:
    third = shape.length_seconds / 3
    for target in targets[: shape.replica_count]:
        target.spells.append(Spell('refused', third, 2 * third))


def _draining(
    targets: list[ModelTarget], shape: DayShape, chance: random.Random
) -> None:
    for target in chance.sample(targets, len(targets) // 4):
        target.draining_seconds = shape.length_seconds / 2


def _everything(
    targets: list[ModelTarget], shape: DayShape, chance: random.Random
) -> None:
    kinds = ('slow', 'dark', 'refused', 'shed', 'lose')
    for target in targets:
        for kind in chance.sample(kinds, chance.randrange(3)):
            start = chance.uniform(WARM_UP_SECONDS, shape.length_seconds)
            end = start + chance.uniform(1, 8)
            factor = chance.uniform(2, 10) if kind == 'slow' else 0.5
            target.spells.append(Spell(kind, start, end, factor))


PATTERNS: Final[Mapping[str, Trouble]] = MappingProxyType(
    {
        'calm': _calm,
        'some-slow': _spell('slow', 0.15, 8.0),
        'some-dark': _spell('dark', 0.14),
        'some-refused': _spell('refused', 0.14),
        'some-shed': _spell('shed', 0.4, 0.6),
        'some-lose': _spell('lose', 0.4, 0.1),
        'all-shed': _spell('shed', 1.0, 0.6),
        'shard-lost': _shard_lost,
        'draining': _draining,
        'everything': _everything,
    }
)
