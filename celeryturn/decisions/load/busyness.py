"""Decide whether an instance is busy, from the sub-requests that it sends."""

from typing import Final

BUSY_SHARE: Final = 0.5
HOLD_SECONDS: Final = 30.0
WINDOW_SECONDS: Final = 1.0


class Busyness:
    """Rate of sub-requests of one instance.

    :param sent_count: Sub-requests sent in the current window.
    :param window_start_seconds: Start of the current window.
    :param last_busy_seconds: End of the last window with too high a rate.
    """

    __slots__ = ('last_busy_seconds', 'sent_count', 'window_start_seconds')

    def __init__(self, now_seconds: float) -> None:
        self.sent_count = 0
        self.window_start_seconds = now_seconds
        self.last_busy_seconds = now_seconds - HOLD_SECONDS


def is_busy(
    busyness: Busyness, capacity_per_second: int, now_seconds: float
) -> bool:
    """Update the rate and decide whether callers should use others as well.

    Once other instances are used, the rate falls, so that the decision is held
    for a while.

    :param busyness: Rate of sub-requests.
    :param capacity_per_second: Sub-requests that the machine can send per
        second; zero if unknown, in which case it is never busy.
    :param now_seconds: Current time.
    :returns: Whether a rate above :data:`BUSY_SHARE` of the capacity was
        observed within the last :data:`HOLD_SECONDS`.
    """
    elapsed_seconds = now_seconds - busyness.window_start_seconds
    if elapsed_seconds >= WINDOW_SECONDS:
        rate_per_second = busyness.sent_count / elapsed_seconds
        busyness.sent_count = 0
        busyness.window_start_seconds = now_seconds
        max_rate_per_second = BUSY_SHARE * capacity_per_second
        if capacity_per_second and rate_per_second > max_rate_per_second:
            busyness.last_busy_seconds = now_seconds
    return now_seconds - busyness.last_busy_seconds < HOLD_SECONDS
