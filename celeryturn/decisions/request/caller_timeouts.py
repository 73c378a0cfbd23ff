"""Typical timeout of the callers of a route and how much has elapsed."""

from typing import Final

MILLISECONDS_PER_SECOND: Final = 1000
MAX_SAMPLE_COUNT: Final = 256


class CallerTimeouts:
    """Timeouts that the callers of one route recently reported.

    :param counts: Number of reports by timeout in milliseconds.
    :param total_count: Sum of the counts.
    """

    __slots__ = ('counts', 'total_count')

    def __init__(self) -> None:
        self.counts: dict[int, int] = {}
        self.total_count = 0


def observe_timeout(timeouts: CallerTimeouts, remaining_seconds: float) -> None:
    """Record the timeout that a caller reported.

    When ``MAX_SAMPLE_COUNT`` samples are counted, all counts are halved, which
    reduces the weight of old samples.

    :param timeouts: Timeouts of the route.
    :param remaining_seconds: How long the caller still waits.
    """
    timeout_ms = int(remaining_seconds * MILLISECONDS_PER_SECOND)
    timeouts.counts[timeout_ms] = timeouts.counts.get(timeout_ms, 0) + 1
    timeouts.total_count += 1
    if timeouts.total_count >= MAX_SAMPLE_COUNT:
        halved = {key: count // 2 for key, count in timeouts.counts.items()}
        timeouts.counts = {key: count for key, count in halved.items() if count}
        timeouts.total_count = sum(timeouts.counts.values())


def elapsed_seconds(
    timeouts: CallerTimeouts, remaining_seconds: float, max_seconds: float
) -> float:
    """Estimate how long a caller has already been waiting.

    Most callers send on an open connection and report their whole timeout.
    Others have spent part of it on connecting or on an earlier attempt, and
    report only the rest.

    :param timeouts: Timeouts of the route.
    :param remaining_seconds: How long this caller still waits.
    :param max_seconds: Estimates from this value on are discarded: they cannot
        be distinguished from a different timeout of the caller.
    :returns: Seconds since the first attempt of the caller; zero if unknown.
    """
    if not timeouts.counts:
        return 0
    typical_ms = max(timeouts.counts, key=timeouts.counts.__getitem__)
    estimated_seconds = typical_ms / MILLISECONDS_PER_SECOND - remaining_seconds
    return estimated_seconds if 0 < estimated_seconds < max_seconds else 0
