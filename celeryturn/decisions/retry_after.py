"""When callers whose request was refused may come back.

The load this answers: an outage, or a service without room, refuses many
callers at once.  Each is told when its request is likely to be served, and
the times are spread, so that they do not all return together.
"""

import math
from collections.abc import Iterable
from typing import Final

from celeryturn.decisions.replicas import Replica, Usual, expected_seconds

MIN_RETRY_SECONDS: Final = 0.02
MIN_START_SECONDS: Final = 0.1
MIN_OUTAGE_SECONDS: Final = 1.0
MAX_RETRY_SECONDS: Final = 2.0
MIN_SPREAD_RATIO: Final = 0.75
MAX_SPREAD_RATIO: Final = 1.25


def outage_retry_seconds(
    elapsed_seconds: float, random_fraction: float, *, is_failing: bool
) -> float:
    """Estimate when something of which only the absence is known is back.

    :param elapsed_seconds: How long it has been away.
    :param random_fraction: Between 0 and 1; spreads callers.
    :param is_failing: Whether it was asked in vain; else it may be there as
        soon as it has been asked.
    :returns: Seconds: as long again, within bounds.
    """
    min_seconds = MIN_OUTAGE_SECONDS if is_failing else MIN_START_SECONDS
    return _spread(max(min_seconds, elapsed_seconds), random_fraction)


def seconds_until_capacity(
    replicas: Iterable[Replica], expected: Usual, now_seconds: float
) -> float:
    """Estimate when a service takes a request.

    :param replicas: Its targets.
    :param expected: What is usual for the route.
    :param now_seconds: Time of the question.
    :returns: Seconds until a target that is not avoided has worked off what
        is before it; infinite where there is no target.
    """
    return min(
        (
            max(
                replica.blocked_until_seconds - now_seconds,
                expected_seconds(replica, expected, now_seconds),
            )
            for replica in replicas
        ),
        default=math.inf,
    )


def capacity_retry_seconds(
    capacity_seconds: Iterable[float], min_count: int, random_fraction: float
) -> float | None:
    """Estimate when enough services take a request.

    :param capacity_seconds: Seconds until each of them does.
    :param min_count: How many are needed.
    :param random_fraction: Between 0 and 1; spreads callers.
    :returns: Seconds within bounds; ``None`` where that is not known, since
        too few have a target.
    """
    needed_seconds = sorted(capacity_seconds)[min_count - 1]
    if math.isinf(needed_seconds):
        return None
    return _spread(needed_seconds, random_fraction)


def _spread(seconds: float, random_fraction: float) -> float:
    bounded_seconds = min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
    return bounded_seconds * (
        MIN_SPREAD_RATIO
        + (MAX_SPREAD_RATIO - MIN_SPREAD_RATIO) * random_fraction
    )
