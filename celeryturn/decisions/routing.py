"""Rank the replicas of a shard: own observation first, reports second."""

from collections.abc import Callable, Iterable, Mapping
from typing import Final, TypeAlias

from celeryturn.decisions.limits import waiting_count
from celeryturn.decisions.views import (
    SLOW_START_SECONDS,
    TargetView,
    is_ejected,
    may_get_work,
)

Random: TypeAlias = Callable[[], float]
Views: TypeAlias = Mapping[str, TargetView]

OTHER_ZONE_SECONDS: Final = 0.002
REPORT_WEIGHT: Final = 0.25
EJECTED_FACTOR: Final = 1000.0
SPREAD: Final = 0.2


def rank(
    replicas: Iterable[str],
    views: Views,
    zone: str,
    now_seconds: float,
    random: Random,
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
        if view is not None and may_get_work(view):
            cost_seconds = expected_seconds(view, zone, now_seconds)
            scored.append((cost_seconds * (1 + SPREAD * random()), name))
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
    ahead = float(view.gate.in_flight + waiting_count(view.gate))
    ahead += REPORT_WEIGHT * view.report.queue_count
    waited_seconds = health.latency_seconds * (1 + ahead)
    if view.availability_zone != zone:
        waited_seconds += OTHER_ZONE_SECONDS
    age_seconds = now_seconds - health.returned_seconds
    if age_seconds < SLOW_START_SECONDS:
        waited_seconds *= 2 - age_seconds / SLOW_START_SECONDS
    if is_ejected(view, now_seconds):
        waited_seconds *= EJECTED_FACTOR
    return waited_seconds
