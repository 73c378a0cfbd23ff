"""Share of the requests to a service that leave the availability zone.

This answers the load of a zone whose own targets are too few for its callers,
while other zones have targets to spare.  If each request were decided by
itself, all instances of the zone would see the same busy target and move
together to the same other one.  Each instance therefore limits the share of
its requests that may leave, moves this share in small steps, and spreads the
requests by what the other targets can take.

No messages are exchanged.  While the own zone is not short of capacity, the
choice by cost applies unchanged.
"""

from collections.abc import Sequence
from typing import Final

from celeryturn.decisions.targets.choice import choose_replica
from celeryturn.decisions.targets.replicas import Replica
from celeryturn.decisions.targets.zone_estimates import (
    Situation,
    SmoothedLoad,
    WeightedTarget,
    Zones,
    home_load_ratio,
    is_home_busy,
    is_known,
    is_urgent,
    observe_loads,
    responding_home,
    spare_targets,
    usable_by_place,
)

STEP_INTERVAL_SECONDS: Final = 0.5
# A service without requests for longer moves by no more than this time allows.
MAX_STEP_SECONDS: Final = 1.0
# Change of the share per second, for each unit of relative distance from the
# threshold, and its bounds.
RAISE_PER_SECOND: Final = 0.3
MIN_RAISE_PER_SECOND: Final = 0.04
MAX_RAISE_PER_SECOND: Final = 0.3
LOWER_PER_SECOND: Final = 0.4
MIN_LOWER_PER_SECOND: Final = 0.02
# Home stays observed, so that its recovery is noticed.
MAX_SHARE: Final = 0.9
# A shortage begins, and the share is raised, above RAISE_RATIO times the
# threshold; it is lowered below RELEASE_RATIO times it, and held in between.
RAISE_RATIO: Final = 1.25
RELEASE_RATIO: Final = 0.75
RECENT_FACTOR: Final = 0.1
HEADROOM_SHARE: Final = 0.2
MAX_CREDIT: Final = 2.0
MIN_CREDIT: Final = -1.0
FIRST_PROBE_SECONDS: Final = 1.0
MAX_PROBE_SECONDS: Final = 32.0


class ZoneShare:
    """Share of the requests to one service that leave the zone.

    :param share: Fraction of the requests that may leave.
    :param recent_share: Fraction of the recent requests that left.
    :param credit: Requests that may leave now.
    :param is_short: Whether the own zone is short of capacity, so that the
        share applies.
    :param stepped_seconds: Time of the last step.
    :param loads: Smoothed loads by target of the service.
    :param probe_at_seconds: Time from which one request may find out the load
        of another zone while it is not known.
    :param probe_interval_seconds: Time from one such request to the next; it
        doubles while the other zones have nothing to spare.
    :param own_zone_count: Requests sent to targets in the own zone.
    :param other_zone_count: Requests sent to targets in other zones.
    """

    __slots__ = (
        'credit',
        'is_short',
        'loads',
        'other_zone_count',
        'own_zone_count',
        'probe_at_seconds',
        'probe_interval_seconds',
        'recent_share',
        'share',
        'stepped_seconds',
    )

    def __init__(self) -> None:
        self.share = 0.0
        self.recent_share = 0.0
        self.credit = 0.0
        self.is_short = False
        self.stepped_seconds = 0.0
        self.loads: dict[str, SmoothedLoad] = {}
        self.probe_at_seconds = 0.0
        self.probe_interval_seconds = FIRST_PROBE_SECONDS
        self.own_zone_count = 0
        self.other_zone_count = 0


def step(
    zone_share: ZoneShare, replicas: Sequence[Replica], situation: Situation
) -> None:
    """Move the share by at most one step.

    :param zone_share: State of the service.
    :param replicas: Targets of the service that accept requests.
    :param situation: Inputs of the decision.
    """
    zone_share.loads = observe_loads(zone_share.loads, replicas)
    elapsed_seconds = situation.now_seconds - zone_share.stepped_seconds
    if elapsed_seconds < STEP_INTERVAL_SECONDS:
        return
    zone_share.stepped_seconds = situation.now_seconds
    zones = usable_by_place(replicas, situation)
    if not zones.away:
        # Nothing can leave, so that home bears the load.
        _end_shortage(zone_share)
    elif zones.home:
        bounded_seconds = min(elapsed_seconds, MAX_STEP_SECONDS)
        _move(zone_share, zones, situation, bounded_seconds)


def choose_by_zone(
    zone_share: ZoneShare,
    replicas: Sequence[Replica],
    situation: Situation,
    random_fraction: float,
) -> Replica | None:
    """Choose the target of the next request to a service.

    :param zone_share: State of the service, which is not changed.
    :param replicas: Candidates.
    :param situation: Inputs of the decision.
    :param random_fraction: Random number in [0, 1).
    :returns: Target, or None if all candidates are blocked or there are none.
    """
    candidates = replicas
    if zone_share.is_short:
        zones = usable_by_place(replicas, situation)
        leaving = leaving_targets(zone_share, zones, situation)
        if leaving:
            return _spread(leaving, random_fraction)
        candidates = (
            zones.home or responding_home(replicas, situation) or replicas
        )
    return choose_replica(
        candidates,
        situation.expected_latency,
        situation.zone,
        situation.now_seconds,
        random_fraction,
    )


def leaving_targets(
    zone_share: ZoneShare, zones: Zones, situation: Situation
) -> tuple[WeightedTarget, ...]:
    """List the targets of other zones that a request is spread over.

    :param zone_share: State of the service.
    :param zones: Usable targets.
    :param situation: Inputs of the decision.
    :returns: Targets with their weights; empty if the request stays, or if
        the choice by cost applies.
    """
    if not zone_share.is_short:
        return ()
    loads = zone_share.loads
    spare = spare_targets(zones, loads, situation)
    unknown = tuple(
        target
        for target in spare
        if not is_known(target.replica, loads, situation.now_seconds)
    )
    if unknown and situation.now_seconds >= zone_share.probe_at_seconds:
        return unknown
    if not zones.home:
        return spare
    if is_urgent(zones, loads, situation):
        return tuple(target for target in spare if target not in unknown)
    may_leave = zone_share.credit + zone_share.share >= 1
    if may_leave and is_home_busy(zones, loads, situation):
        return spare
    return ()


def record_first_sent(
    zone_share: ZoneShare, replica: Replica, zone: str
) -> None:
    """Count the first attempt of a request against the share.

    :param zone_share: State of the service.
    :param replica: Target that the request is sent to.
    :param zone: Availability zone of this instance.
    """
    is_leaving = replica.entry.zone != zone
    credit = min(MAX_CREDIT, zone_share.credit + zone_share.share)
    zone_share.credit = max(MIN_CREDIT, credit - is_leaving)
    zone_share.recent_share += RECENT_FACTOR * (
        is_leaving - zone_share.recent_share
    )


def record_sent(
    zone_share: ZoneShare, replica: Replica, zone: str, now_seconds: float
) -> None:
    """Count an attempt, and delay the next one that probes another zone.

    :param zone_share: State of the service.
    :param replica: Target that the attempt is sent to.
    :param zone: Availability zone of this instance.
    :param now_seconds: Time of the send.
    """
    if replica.entry.zone == zone:
        zone_share.own_zone_count += 1
        return
    zone_share.other_zone_count += 1
    zone_share.probe_at_seconds = (
        now_seconds + zone_share.probe_interval_seconds
    )


def _move(
    zone_share: ZoneShare,
    zones: Zones,
    situation: Situation,
    elapsed_seconds: float,
) -> None:
    load_ratio = home_load_ratio(zones, zone_share.loads, situation)
    if load_ratio > RAISE_RATIO:
        _begin_shortage(zone_share)
        change = _raise_per_second(load_ratio) * elapsed_seconds
        _consider_leaving(zone_share, zones, situation, change)
    elif load_ratio < RELEASE_RATIO:
        _lower(zone_share, _lower_per_second(load_ratio) * elapsed_seconds)
        if not zone_share.share:
            _end_shortage(zone_share)


def _begin_shortage(zone_share: ZoneShare) -> None:
    if not zone_share.is_short:
        zone_share.is_short = True
        # What left by the choice by cost may go on.
        zone_share.share = min(MAX_SHARE, zone_share.recent_share)


def _consider_leaving(
    zone_share: ZoneShare, zones: Zones, situation: Situation, change: float
) -> None:
    spare = spare_targets(zones, zone_share.loads, situation)
    if any(
        is_known(target.replica, zone_share.loads, situation.now_seconds)
        for target in spare
    ):
        zone_share.probe_interval_seconds = FIRST_PROBE_SECONDS
        _raise(zone_share, change)
    elif not spare:
        _lower(zone_share, change)
        zone_share.probe_interval_seconds = min(
            MAX_PROBE_SECONDS, 2 * zone_share.probe_interval_seconds
        )


def _raise_per_second(load_ratio: float) -> float:
    rate = RAISE_PER_SECOND * (load_ratio / RAISE_RATIO - 1)
    return min(max(rate, MIN_RAISE_PER_SECOND), MAX_RAISE_PER_SECOND)


def _lower_per_second(load_ratio: float) -> float:
    rate = LOWER_PER_SECOND * (1 - load_ratio / RELEASE_RATIO)
    return max(rate, MIN_LOWER_PER_SECOND)


def _raise(zone_share: ZoneShare, change: float) -> None:
    # A share that is not used up does not limit anything, and would take long
    # to lower.
    most = min(MAX_SHARE, zone_share.recent_share + HEADROOM_SHARE)
    zone_share.share = max(
        zone_share.share, min(most, zone_share.share + change)
    )


def _lower(zone_share: ZoneShare, change: float) -> None:
    zone_share.share = max(0.0, zone_share.share - change)


def _end_shortage(zone_share: ZoneShare) -> None:
    zone_share.share = 0.0
    zone_share.is_short = False
    zone_share.probe_interval_seconds = FIRST_PROBE_SECONDS


def _spread(
    weighted: Sequence[WeightedTarget], random_fraction: float
) -> Replica:
    total = sum(target.weight for target in weighted)
    left = random_fraction * total
    for replica, weight in weighted:
        left -= weight
        if left < 0:
            return replica
    return weighted[-1].replica
