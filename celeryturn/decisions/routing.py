"""Rank the replicas of a shard: own observation first, reports second."""

from collections.abc import Callable, Iterable, Mapping
from typing import Final, TypeAlias

from celeryturn.decisions.limits import waiting_count
from celeryturn.decisions.views import (
    SLOW_START_SECONDS,
    TargetView,
    is_ejected,
    can_receive_work,
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
    """Order the replicas that may get work, best first.

    An ejected replica comes last and is not left out: it is tried when the
    others are gone, and once its time is over it is ranked by observation.

    :param replicas: Names of the targets that hold the shard.
    :param views: What is believed of each target.
    :param zone: Availability zone of this instance.
    :param now_seconds: Time of the decision.
    :param random: Source of numbers between 0 and 1.
    :returns: Names, best first; those leaving are not among them.
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
    """Estimate what a new sub-request would wait at a target.

    :param view: What is believed of the target.
    :param zone: Availability zone of this instance.
    :param now_seconds: Time of the decision.
    :returns: Estimated seconds, with penalties for distance and doubt.
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
