"""Load patterns, and the simulation of a day under one of them."""

import random
from collections import Counter
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final, NamedTuple

from bench.model.clock import Clock
from bench.model.instances import (
    ModelInstance,
    RequestKind,
    RequestOutcome,
    World,
)
from bench.model.policies import Policy
from bench.model.targets import FaultPeriod, ModelTarget, TargetParameters

ZONES: Final = ('a', 'b', 'c')
WARM_UP_SECONDS: Final = 3.0


class DayParameters(NamedTuple):
    """Parameters of a simulated day.

    :param instance_count: Number of instances.
    :param shard_count: Number of shards, each of which is a service.
    :param replica_count: Number of targets per shard.
    :param requests_per_second: Mean request rate over all instances.
    :param duration_seconds: Length of the day.
    :param target: Parameters that all targets share.
    """

    instance_count: int = 9
    shard_count: int = 10
    replica_count: int = 3
    requests_per_second: float = 90.0
    duration_seconds: float = 30.0
    target: TargetParameters = TargetParameters()


class Day(NamedTuple):
    """The recorded results of a simulated day.

    :param outcomes: Outcome of each request that ended.
    :param targets: All targets, with the requests that they ran.
    :param extra_counts: Extra requests by service and second.
    :param needed_counts: Needed requests by service and second.
    :param other_zone_count: Number of requests to other zones.
    """

    outcomes: tuple[RequestOutcome, ...]
    targets: tuple[ModelTarget, ...]
    extra_counts: Counter[tuple[str, int]]
    needed_counts: Counter[tuple[str, int]]
    other_zone_count: int


FaultPattern = Callable[[list[ModelTarget], DayParameters, random.Random], None]


def simulate(
    day_parameters: DayParameters,
    pattern: str,
    policy: Policy,
    seed: int,
    *,
    is_idempotent: bool = True,
) -> Day:
    """Simulate a day.

    :param day_parameters: Parameters of the day.
    :param pattern: Name of the load pattern, a key of ``PATTERNS``.
    :param policy: Policy that all instances use.
    :param seed: Seed of the simulation; the same seed gives the same day.
    :param is_idempotent: Whether requests may run more than once.
    :returns: The results of the day.
    :raises KeyError: If there is no such pattern.
    """
    clock = Clock()
    rng = random.Random(f'{pattern} {seed}')
    services = _make_services(clock, day_parameters, rng)
    targets = [target for replicas in services.values() for target in replicas]
    PATTERNS[pattern](targets, day_parameters, rng)
    extra_counts: Counter[tuple[str, int]] = Counter()
    needed_counts: Counter[tuple[str, int]] = Counter()
    world = World(
        clock=clock,
        rng=random.Random(seed),
        services=services,
        policy=policy,
        instance_count=day_parameters.instance_count,
        on_extra=lambda name: extra_counts.update(
            [(name, int(clock.now_seconds))]
        ),
        on_needed=lambda name: needed_counts.update(
            [(name, int(clock.now_seconds))]
        ),
    )
    instances = [
        ModelInstance(world, ZONES[number % len(ZONES)])
        for number in range(day_parameters.instance_count)
    ]
    kinds = _make_kinds(
        day_parameters, tuple(services), is_idempotent=is_idempotent
    )
    _schedule_requests(clock, day_parameters, instances, kinds, rng)
    clock.run(day_parameters.duration_seconds + kinds[0].deadline_seconds)
    return Day(
        outcomes=tuple(
            outcome for instance in instances for outcome in instance.outcomes
        ),
        targets=tuple(targets),
        extra_counts=extra_counts,
        needed_counts=needed_counts,
        other_zone_count=sum(
            instance.other_zone_count for instance in instances
        ),
    )


def _make_services(
    clock: Clock, day_parameters: DayParameters, rng: random.Random
) -> dict[str, list[ModelTarget]]:
    return {
        f'shard-{number}': [
            ModelTarget(
                clock,
                day_parameters.target,
                f'shard-{number}-{replica}',
                ZONES[replica % len(ZONES)],
                rng,
            )
            for replica in range(day_parameters.replica_count)
        ]
        for number in range(day_parameters.shard_count)
    }


def _make_kinds(
    day_parameters: DayParameters,
    services: tuple[str, ...],
    *,
    is_idempotent: bool,
) -> tuple[RequestKind, ...]:
    if not is_idempotent:
        booking = RequestKind(
            'booking', services[:1], 1, 0.2, 0.8, 5, is_idempotent
        )
        return (booking,)
    search_min_count = max(1, round(day_parameters.shard_count * 0.89))
    urgent_min_count = max(1, round(day_parameters.shard_count * 0.75))
    search = RequestKind(
        'search', services, search_min_count, 0.042, 0.235, 1.2
    )
    urgent = RequestKind(
        'urgent', services, urgent_min_count, 0.0138, 0.085, 0.5
    )
    return (search, search, search, urgent)


def _schedule_requests(
    clock: Clock,
    day_parameters: DayParameters,
    instances: list[ModelInstance],
    kinds: tuple[RequestKind, ...],
    rng: random.Random,
) -> None:
    at_seconds = 0.0
    request_number = 0
    while at_seconds < day_parameters.duration_seconds:
        at_seconds += rng.expovariate(day_parameters.requests_per_second)
        instance = rng.choice(instances)
        kind = rng.choice(kinds)
        clock.call_at(at_seconds, _make_arrival(instance, kind, request_number))
        request_number += 1


def _make_arrival(
    instance: ModelInstance, kind: RequestKind, request_number: int
) -> Callable[[], None]:
    def start() -> None:
        instance.start_request(kind, request_number)

    return start


def _calm(
    targets: list[ModelTarget],
    day_parameters: DayParameters,
    rng: random.Random,
) -> None:
    """Add no faults: the targets only have their regular pauses."""


def _make_fault_pattern(
    kind: str, target_share: float, factor: float = 1.0
) -> FaultPattern:
    def add_faults(
        targets: list[ModelTarget],
        day_parameters: DayParameters,
        rng: random.Random,
    ) -> None:
        third_seconds = day_parameters.duration_seconds / 3
        for target in rng.sample(targets, int(target_share * len(targets))):
            target.fault_periods.append(
                FaultPeriod(kind, third_seconds, 2 * third_seconds, factor)
            )

    return add_faults


def _shard_lost(
    targets: list[ModelTarget],
    day_parameters: DayParameters,
    rng: random.Random,
) -> None:
    third_seconds = day_parameters.duration_seconds / 3
    for target in targets[: day_parameters.replica_count]:
        target.fault_periods.append(
            FaultPeriod('refused', third_seconds, 2 * third_seconds)
        )


def _draining(
    targets: list[ModelTarget],
    day_parameters: DayParameters,
    rng: random.Random,
) -> None:
    for target in rng.sample(targets, len(targets) // 4):
        target.drain_start_seconds = day_parameters.duration_seconds / 2


def _everything(
    targets: list[ModelTarget],
    day_parameters: DayParameters,
    rng: random.Random,
) -> None:
    kinds = ('slow', 'dark', 'refused', 'shed', 'lose')
    for target in targets:
        for kind in rng.sample(kinds, rng.randrange(3)):
            start_seconds = rng.uniform(
                WARM_UP_SECONDS, day_parameters.duration_seconds
            )
            end_seconds = start_seconds + rng.uniform(1, 8)
            factor = rng.uniform(2, 10) if kind == 'slow' else 0.5
            target.fault_periods.append(
                FaultPeriod(kind, start_seconds, end_seconds, factor)
            )


PATTERNS: Final[Mapping[str, FaultPattern]] = MappingProxyType(
    {
        'calm': _calm,
        'some-slow': _make_fault_pattern('slow', 0.15, 8.0),
        'some-dark': _make_fault_pattern('dark', 0.14),
        'some-refused': _make_fault_pattern('refused', 0.14),
        'some-shed': _make_fault_pattern('shed', 0.4, 0.6),
        'some-lose': _make_fault_pattern('lose', 0.4, 0.1),
        'all-shed': _make_fault_pattern('shed', 1.0, 0.6),
        'shard-lost': _shard_lost,
        'draining': _draining,
        'everything': _everything,
    }
)
