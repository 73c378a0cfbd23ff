"""How long callers of a route wait, and how much of it had passed."""

from typing import Final

MILLISECONDS_PER_SECOND: Final = 1000
MAX_SAMPLE_COUNT: Final = 256


class CallerTimeouts:
    """Waits that the callers of one route told recently.

    :param counts: How often each was told, in milliseconds.
    :param total_count: How many are counted.
    """

    __slots__ = ('counts', 'total_count')

    def __init__(self) -> None:
        self.counts: dict[int, int] = {}
        self.total_count = 0


def observe_timeout(timeouts: CallerTimeouts, remaining_seconds: float) -> None:
    """Count what a caller told.

    :param timeouts: The waits of one route.
    :param remaining_seconds: How long it will wait from now.
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
    """Estimate how long a caller has been waiting already.

    Most callers ask on an open connection and tell their whole wait; others
    have spent a part on connecting, or on an earlier attempt.

    :param timeouts: The waits of one route.
    :param remaining_seconds: How long this caller will wait from now.
    :param max_seconds: A longer time cannot be told from another wait.
    :returns: Seconds since its first attempt; zero where it is not known.
    """
    if not timeouts.counts:
        return 0
    typical_ms = max(timeouts.counts, key=timeouts.counts.__getitem__)
    estimated_seconds = typical_ms / MILLISECONDS_PER_SECOND - remaining_seconds
    return estimated_seconds if 0 < estimated_seconds < max_seconds else 0
