"""What is expected of the targets in the own and in other availability zones.

An instance sends about one request a second to a target, so that a single
load report shows little.  Reports are therefore smoothed for each target.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from celeryturn.decisions.targets.choice import (
    ZONE_PENALTY_SHARE,
    expected_seconds,
    health_penalty_share,
)
from celeryturn.decisions.targets.replicas import (
    ExpectedLatency,
    Replica,
    available_at_seconds,
    decayed_slowness,
)

LOAD_SMOOTHING_FACTOR: Final = 0.4
KNOWN_SECONDS: Final = 5.0
RESPONDING_SECONDS: Final = 2.0
# Round trip between zones, with a margin.
PATH_SECONDS: Final = 0.002
# Fraction of the objective that a request must gain to be worth the transfer.
TRANSFER_SHARE: Final = 0.1
# Up to this share of the objective, two attempts one after the other and the
# way back to the caller are expected in time.
SHORT_SHARE: Final = 0.35


class SmoothedLoad(NamedTuple):
    """Smoothed load of a target.

    :param ratio: Requests that run or wait, relative to the slots.
    :param reported_seconds: Time of the last report; zero before the first.
    """

    ratio: float
    reported_seconds: float


class WeightedTarget(NamedTuple):
    """A target of another zone with something to spare.

    :param replica: The target.
    :param weight: What it has to spare, relative to the others.
    """

    replica: Replica
    weight: float


UNKNOWN_LOAD: Final = SmoothedLoad(0.0, 0.0)


class Zones(NamedTuple):
    """Usable targets of a service by place.

    :param home: Targets in the availability zone of this instance.
    :param away: Targets in other availability zones.
    """

    home: tuple[Replica, ...]
    away: tuple[Replica, ...]


class Situation(NamedTuple):
    """Inputs of a decision on the targets of a service.

    :param expected_latency: Expected latencies of the route.
    :param zone: Availability zone of this instance.
    :param now_seconds: Current time.
    :param remaining_seconds: Time until the answer is late.
    """

    expected_latency: ExpectedLatency
    zone: str
    now_seconds: float
    remaining_seconds: float


def observe_loads(
    loads: Mapping[str, SmoothedLoad], replicas: Iterable[Replica]
) -> dict[str, SmoothedLoad]:
    """Include new load reports in the smoothed loads.

    :param loads: Smoothed loads by target.
    :param replicas: Targets of the service.
    :returns: Smoothed loads of these targets only, so that they are bounded.
    """
    return {
        replica.entry.target: _smoothed(
            loads.get(replica.entry.target, UNKNOWN_LOAD), replica
        )
        for replica in replicas
    }


def usable_by_place(replicas: Sequence[Replica], situation: Situation) -> Zones:
    """Separate the usable targets of the own zone from those of others.

    :param replicas: Targets that accept requests.
    :param situation: Inputs of the decision.
    :returns: Targets that are not blocked, and are neither stalled nor failing
        so much that the choice by cost would avoid them for it.
    """
    usable = [replica for replica in replicas if _is_sound(replica, situation)]
    zone = situation.zone
    return Zones(
        tuple(replica for replica in usable if replica.entry.zone == zone),
        tuple(replica for replica in usable if replica.entry.zone != zone),
    )


def responding_home(
    replicas: Sequence[Replica], situation: Situation
) -> tuple[Replica, ...]:
    """List the targets of the own zone that are busy rather than paused.

    In a long queue a request waits longer than the time that suggests a stall.

    :param replicas: Targets that accept requests.
    :param situation: Inputs of the decision.
    :returns: Targets of the own zone that are not blocked and have replied
        within :data:`RESPONDING_SECONDS`.
    """
    return tuple(
        replica
        for replica in replicas
        if replica.entry.zone == situation.zone
        and available_at_seconds(replica) <= situation.now_seconds
        and situation.now_seconds - replica.last_reply_seconds
        < RESPONDING_SECONDS
    )


def smoothed_seconds(
    replica: Replica,
    loads: Mapping[str, SmoothedLoad],
    situation: Situation,
) -> float:
    """Estimate the latency of a target by its smoothed load.

    :param replica: Target to assess.
    :param loads: Smoothed loads by target.
    :param situation: Inputs of the decision.
    :returns: Seconds until the reply to one more request; a load that is not
        known any more counts as none.
    """
    slots = max(1, replica.load_report.load.slots)
    ratio = len(replica.pending) / slots
    if is_known(replica, loads, situation.now_seconds):
        ratio = max(ratio, loads[replica.entry.target].ratio)
    queued_ratio = max(0.0, ratio + 1 / slots - 1)
    slowness = decayed_slowness(replica, situation.now_seconds)
    typical_seconds = situation.expected_latency.typical_seconds
    # An observed latency includes the queue, so that both are not multiplied.
    return typical_seconds * max(slowness, 1 + queued_ratio)


def least_seconds(
    replicas: Iterable[Replica],
    loads: Mapping[str, SmoothedLoad],
    situation: Situation,
) -> float:
    """Estimate the latency of the fastest of some targets.

    :param replicas: Targets to assess.
    :param loads: Smoothed loads by target.
    :param situation: Inputs of the decision.
    :returns: Seconds; infinite if there is no target.
    """
    return min(
        (smoothed_seconds(replica, loads, situation) for replica in replicas),
        default=math.inf,
    )


def spare_targets(
    zones: Zones,
    loads: Mapping[str, SmoothedLoad],
    situation: Situation,
) -> tuple[WeightedTarget, ...]:
    """List the targets of other zones that can take requests.

    A target has something to spare if a request gains enough over home to be
    worth the transfer, and if its own callers are served within the objective.

    :param zones: Usable targets.
    :param loads: Smoothed loads by target.
    :param situation: Inputs of the decision.
    :returns: Targets with their weights, which are what they have to spare.
    """
    objective_seconds = situation.expected_latency.objective_seconds
    home_seconds = least_seconds(zones.home, loads, situation)
    gain_limit_seconds = home_seconds - transfer_seconds(situation)
    limit_seconds = min(gain_limit_seconds, objective_seconds)
    weighted = (
        WeightedTarget(
            replica,
            max(1, replica.load_report.load.slots)
            * (limit_seconds - smoothed_seconds(replica, loads, situation)),
        )
        for replica in zones.away
    )
    return tuple(target for target in weighted if target.weight > 0)


def short_seconds(situation: Situation) -> float:
    """Return the expected latency above which a target is short of capacity.

    :param situation: Inputs of the decision.
    :returns: Seconds, from the objective of the route.
    """
    return SHORT_SHARE * situation.expected_latency.objective_seconds


def transfer_seconds(situation: Situation) -> float:
    """Return what a request must gain to be worth the transfer.

    :param situation: Inputs of the decision.
    :returns: Seconds: the latency of the path, and for the bytes a fraction of
        the objective of the route.
    """
    objective_seconds = situation.expected_latency.objective_seconds
    return PATH_SECONDS + TRANSFER_SHARE * objective_seconds


def home_load_ratio(
    zones: Zones, loads: Mapping[str, SmoothedLoad], situation: Situation
) -> float:
    """Compare what is expected at home with what the objective allows.

    :param zones: Usable targets.
    :param loads: Smoothed loads by target.
    :param situation: Inputs of the decision.
    :returns: Expected latency relative to the one above which the zone is
        short of capacity.
    """
    home_seconds = least_seconds(zones.home, loads, situation)
    return home_seconds / short_seconds(situation)


def is_home_busy(
    zones: Zones, loads: Mapping[str, SmoothedLoad], situation: Situation
) -> bool:
    """Return whether home is busy at this time.

    Of the requests that may leave, those do for which this holds.

    :param zones: Usable targets.
    :param loads: Smoothed loads by target.
    :param situation: Inputs of the decision.
    :returns: Whether a transfer is worth it by the latest report of home and
        the requests in flight.
    """
    home_seconds = min(
        expected_seconds(
            replica, situation.expected_latency, situation.now_seconds
        )
        for replica in zones.home
    )
    away_seconds = least_seconds(zones.away, loads, situation)
    return home_seconds > away_seconds + transfer_seconds(situation)


def is_urgent(
    zones: Zones, loads: Mapping[str, SmoothedLoad], situation: Situation
) -> bool:
    """Return whether a request leaves whatever the transfer costs.

    :param zones: Usable targets.
    :param loads: Smoothed loads by target.
    :param situation: Inputs of the decision.
    :returns: Whether its answer is expected late from home, and in time from
        another zone whose load is known.
    """
    known = (
        replica
        for replica in zones.away
        if is_known(replica, loads, situation.now_seconds)
    )
    away_seconds = PATH_SECONDS + least_seconds(known, loads, situation)
    home_seconds = least_seconds(zones.home, loads, situation)
    return away_seconds < situation.remaining_seconds < home_seconds


def is_known(
    replica: Replica, loads: Mapping[str, SmoothedLoad], now_seconds: float
) -> bool:
    """Return whether the load of a target is known.

    :param replica: Target to assess.
    :param loads: Smoothed loads by target.
    :param now_seconds: Current time.
    :returns: Whether it was reported within :data:`KNOWN_SECONDS`.
    """
    load = loads.get(replica.entry.target, UNKNOWN_LOAD)
    return now_seconds - load.reported_seconds < KNOWN_SECONDS


def _smoothed(known: SmoothedLoad, replica: Replica) -> SmoothedLoad:
    load, reported_seconds = replica.load_report
    if reported_seconds <= known.reported_seconds:
        return known
    ratio = (load.running + load.waiting) / max(1, load.slots)
    if reported_seconds - known.reported_seconds < KNOWN_SECONDS:
        ratio = known.ratio + LOAD_SMOOTHING_FACTOR * (ratio - known.ratio)
    return SmoothedLoad(ratio, reported_seconds)


def _is_sound(replica: Replica, situation: Situation) -> bool:
    if available_at_seconds(replica) > situation.now_seconds:
        return False
    penalty_share = health_penalty_share(
        replica, situation.expected_latency, situation.now_seconds
    )
    return penalty_share < ZONE_PENALTY_SHARE
