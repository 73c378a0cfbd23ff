"""How long callers of a route wait, and how much of it had passed."""

from typing import Final

MILLISECONDS: Final = 1000
MOST_COUNTED: Final = 256


class Waits:
    """Waits that the callers of one route told recently.

    :param counts: How often each was told, in milliseconds.
    :param total: How many are counted.
    """

    __slots__ = ('counts', 'total')

    def __init__(self) -> None:
        self.counts: dict[int, int] = {}
        self.total = 0


def observe_wait(waits: Waits, remaining_seconds: float) -> None:
    """Count what a caller told.

    :param waits: The waits of one route.
    :param remaining_seconds: How long it will wait from now.
    """
    told = int(remaining_seconds * MILLISECONDS)
    waits.counts[told] = waits.counts.get(told, 0) + 1
    waits.total += 1
    if waits.total >= MOST_COUNTED:
        halved = {key: count // 2 for key, count in waits.counts.items()}
        waits.counts = {key: count for key, count in halved.items() if count}
        waits.total = sum(waits.counts.values())


def elapsed_seconds(
    waits: Waits, remaining_seconds: float, most_seconds: float
) -> float:
    """Estimate how long a caller has been waiting already.

    Most callers ask on an open connection and tell their whole wait; others
    have spent a part on connecting, or on an earlier attempt.

    :param waits: The waits of one route.
    :param remaining_seconds: How long this caller will wait from now.
    :param most_seconds: A longer time cannot be told from another wait.
    :returns: Seconds since its first attempt; zero where it is not known.
    """
    if not waits.counts:
        return 0
    usual = max(waits.counts, key=waits.counts.__getitem__)
    passed_seconds = usual / MILLISECONDS - remaining_seconds
    return passed_seconds if 0 < passed_seconds < most_seconds else 0
