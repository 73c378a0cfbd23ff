"""How long callers whose request was refused should wait before a retry.

An outage, or a service without capacity, refuses many callers at once.  Each
answer states when the request is likely to be served.  Jitter spreads these
times, so that the callers do not all return at once.
"""

import math
from collections.abc import Callable, Iterable, Sequence
from typing import Final

from celeryturn.decisions.targets.choice import expected_seconds
from celeryturn.decisions.targets.replicas import (
    ExpectedLatency,
    Replica,
    available_at_seconds,
    wanted_at_seconds,
)

MIN_BASE_SECONDS: Final = 0.02
MIN_START_SECONDS: Final = 0.1
MIN_OUTAGE_SECONDS: Final = 1.0
MAX_BASE_SECONDS: Final = 2.0
MIN_SPREAD_RATIO: Final = 0.75
MAX_SPREAD_RATIO: Final = 1.25


def outage_retry_seconds(
    elapsed_seconds: float, random_fraction: float, *, is_failing: bool
) -> float:
    """Return the retry time for an outage of unknown duration.

    :param elapsed_seconds: How long the dependency has been unreachable.
    :param random_fraction: Between 0 and 1; spreads callers.
    :param is_failing: Whether requests to the dependency have failed;
        otherwise it may be available once it has been contacted.
    :returns: Seconds: the outage is expected to last as long again, within
        bounds.
    """
    min_seconds = MIN_OUTAGE_SECONDS if is_failing else MIN_START_SECONDS
    return _spread(max(min_seconds, elapsed_seconds), random_fraction)


def seconds_until_capacity(
    replicas: Iterable[Replica], expected: ExpectedLatency, now_seconds: float
) -> float:
    """Estimate when a service has capacity for a request.

    :param replicas: Targets of the service.
    :param expected: Expected latencies of the route.
    :param now_seconds: Current time.
    :returns: Seconds until a target accepts requests and has processed the
        requests ahead of a new one; infinite if there is no target.
    """
    return min(
        (
            max(
                available_at_seconds(replica) - now_seconds,
                expected_seconds(replica, expected, now_seconds),
            )
            for replica in replicas
        ),
        default=math.inf,
    )


def seconds_until_wanted(
    replicas: Iterable[Replica], now_seconds: float
) -> float:
    """Return when a target of a service wants requests from this instance.

    :param replicas: Targets of the service.
    :param now_seconds: Current time.
    :returns: Seconds; zero if a target wants requests now, or if there is no
        target.
    """
    return max(
        0.0,
        min(
            (wanted_at_seconds(replica) - now_seconds for replica in replicas),
            default=0.0,
        ),
    )


def capacity_retry_seconds(
    capacity_seconds: Iterable[float], min_count: int, random_fraction: float
) -> float | None:
    """Return the retry time for a request that lacks capacity.

    :param capacity_seconds: Seconds until each service has capacity.
    :param min_count: Number of services needed.
    :param random_fraction: Between 0 and 1; spreads callers.
    :returns: Seconds within bounds; ``None`` if unknown because too few
        services have a target.
    """
    needed_seconds = sorted(capacity_seconds)[min_count - 1]
    if math.isinf(needed_seconds):
        return None
    return _spread(needed_seconds, random_fraction)


def wanted_retry_seconds(
    wanted_seconds: Iterable[float], min_count: int, random_fraction: float
) -> float:
    """Return the retry time for a request that targets do not want yet.

    :param wanted_seconds: Seconds until a target of each service wants
        requests from this instance.
    :param min_count: Number of services needed.
    :param random_fraction: Between 0 and 1; spreads callers.
    :returns: Seconds, never less than the targets asked for; zero if enough
        services want requests now.
    """
    needed_seconds = sorted(wanted_seconds)[min_count - 1]
    return needed_seconds * (1 + (MAX_SPREAD_RATIO - 1) * random_fraction)


def no_target_retry_seconds(
    serving: Sequence[Sequence[Replica]],
    expected: ExpectedLatency,
    min_count: int,
    now_seconds: float,
    random: Callable[[], float],
) -> float | None:
    """Return the retry time for a request that no target accepts.

    :param serving: Targets of each service of the request.
    :param expected: Expected latencies of the route.
    :param min_count: Number of services needed.
    :param now_seconds: Current time.
    :param random: Returns a random number between 0 and 1.
    :returns: Seconds; ``None`` if unknown because too few services have a
        target.
    """
    capacity_seconds = capacity_retry_seconds(
        (
            seconds_until_capacity(replicas, expected, now_seconds)
            for replicas in serving
        ),
        min_count,
        random(),
    )
    wanted_seconds = wanted_retry_seconds(
        (seconds_until_wanted(replicas, now_seconds) for replicas in serving),
        min_count,
        random(),
    )
    if capacity_seconds is None:
        return None
    return max(capacity_seconds, wanted_seconds)


def _spread(seconds: float, random_fraction: float) -> float:
    bounded_seconds = min(max(seconds, MIN_BASE_SECONDS), MAX_BASE_SECONDS)
    return bounded_seconds * (
        MIN_SPREAD_RATIO
        + (MAX_SPREAD_RATIO - MIN_SPREAD_RATIO) * random_fraction
    )
