"""When callers whose request was refused may come back.

The load this answers: an outage, or a service without room, refuses many
callers at once.  Each is told when its request is likely to be served, and
the times are spread, so that they do not all return together.
"""

import math
from collections.abc import Iterable
from typing import Final

from celeryturn.decisions.replicas import (
    ExpectedLatency,
    Replica,
    expected_seconds,
)

LEAST_SECONDS: Final = 0.02
START_SECONDS: Final = 0.1
OUTAGE_SECONDS: Final = 1.0
MOST_SECONDS: Final = 2.0
LEAST_SPREAD: Final = 0.75
MOST_SPREAD: Final = 1.25


def after_outage(
    passed_seconds: float, random: float, *, is_failing: bool
) -> float:
    """Estimate when something of which only the absence is known is back.

    :param passed_seconds: How long it has been away.
    :param random: Between 0 and 1; spreads callers.
    :param is_failing: Whether it was asked in vain; else it may be there as
        soon as it has been asked.
    :returns: Seconds: as long again, within bounds.
    """
    least_seconds = OUTAGE_SECONDS if is_failing else START_SECONDS
    return _spread(max(least_seconds, passed_seconds), random)


def until_room(
    replicas: Iterable[Replica], usual: ExpectedLatency, now_seconds: float
) -> float:
    """Estimate when a service takes a request.

    :param replicas: Its targets.
    :param usual: What is usual for the route.
    :param now_seconds: Time of the question.
    :returns: Seconds until a target that is not avoided has worked off what
        is before it; infinite where there is no target.
    """
    return min(
        (
            max(
                replica.blocked_until_seconds - now_seconds,
                expected_seconds(replica, usual, now_seconds),
            )
            for replica in replicas
        ),
        default=math.inf,
    )


def when_enough(
    rooms_seconds: Iterable[float], least_count: int, random: float
) -> float | None:
    """Estimate when enough services take a request.

    :param rooms_seconds: Seconds until each of them does.
    :param least_count: How many are needed.
    :param random: Between 0 and 1; spreads callers.
    :returns: Seconds within bounds; ``None`` where that is not known, since
        too few have a target.
    """
    needed_seconds = sorted(rooms_seconds)[least_count - 1]
    if math.isinf(needed_seconds):
        return None
    return _spread(needed_seconds, random)


def _spread(seconds: float, random: float) -> float:
    bounded = min(max(seconds, LEAST_SECONDS), MOST_SECONDS)
    return bounded * (LEAST_SPREAD + (MOST_SPREAD - LEAST_SPREAD) * random)
