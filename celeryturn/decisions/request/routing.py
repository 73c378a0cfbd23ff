"""Ranking of the replicas of a shard by their expected latency.

What this instance observed has more weight than what targets report.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Final, TypeAlias

from celeryturn.decisions.load.limits import waiting_count
from celeryturn.decisions.targets.views import (
    SLOW_START_SECONDS,
    TargetView,
    can_receive_work,
    is_ejected,
)

RandomSource: TypeAlias = Callable[[], float]
Views: TypeAlias = Mapping[str, TargetView]

OTHER_ZONE_PENALTY_SECONDS: Final = 0.002
REPORTED_QUEUE_WEIGHT: Final = 0.25
EJECTED_PENALTY_FACTOR: Final = 1000.0
JITTER_RATIO: Final = 0.2


def rank_replicas(
    replicas: Iterable[str],
    views: Views,
    zone: str,
    now_seconds: float,
    random: RandomSource,
) -> list[str]:
    """Order the replicas that can receive work, best first.

    Ejected replicas are ranked last rather than left out, so that they are
    tried when no other replica remains. After the ejection ends, a replica
    is ranked by its observed latency again. Each estimate is increased at
    random by up to ``JITTER_RATIO``, so that the order of similar replicas
    varies.

    :param replicas: Names of the targets that hold the shard.
    :param views: Known state of each target, by name.
    :param zone: Availability zone of this instance.
    :param now_seconds: Time of the decision.
    :param random: Returns random numbers between 0 and 1.
    :returns: Names of the replicas, best first, without unknown targets and
        those that are leaving.
    """
    scored = []
    for name in replicas:
        view = views.get(name)
        if view is not None and can_receive_work(view):
            cost_seconds = expected_seconds(view, zone, now_seconds)
            scored.append((cost_seconds * (1 + JITTER_RATIO * random()), name))
    scored.sort()
    return [best for _, best in scored]


def expected_seconds(view: TargetView, zone: str, now_seconds: float) -> float:
    """Estimate the latency of a new sub-request to a target.

    :param view: Known state of the target.
    :param zone: Availability zone of this instance.
    :param now_seconds: Time of the decision.
    :returns: Estimated latency in seconds, increased for a target in another
        zone, in its slow start or ejected.
    """
    health = view.health
    ahead_count = float(view.gate.in_flight + waiting_count(view.gate))
    ahead_count += REPORTED_QUEUE_WEIGHT * view.report.queue_count
    estimated_seconds = health.latency_seconds * (1 + ahead_count)
    if view.availability_zone != zone:
        estimated_seconds += OTHER_ZONE_PENALTY_SECONDS
    age_seconds = now_seconds - health.available_since_seconds
    if age_seconds < SLOW_START_SECONDS:
        estimated_seconds *= 2 - age_seconds / SLOW_START_SECONDS
    if is_ejected(view, now_seconds):
        estimated_seconds *= EJECTED_PENALTY_FACTOR
    return estimated_seconds
