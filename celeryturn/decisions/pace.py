"""How fast one target replies, and how fast it did when it did not queue."""

from typing import Final

SMOOTHING: Final = 0.2
FIRST_SECONDS: Final = 0.005
BASE_WINDOW_SECONDS: Final = 15.0
QUEUEING_RATIO: Final = 2.5
UNKNOWN_SECONDS: Final = float('inf')


class Pace:
    """Smoothed latency, and the least of it over the recent past.

    :param latency_seconds: Smoothed latency of replies.
    :param least_seconds: Least smoothed latency of the current window.
    :param earlier_seconds: Least smoothed latency of the window before.
    :param opened_seconds: When the current window was opened.
    :param reply_count: Replies so far.
    """

    __slots__ = (
        'earlier_seconds',
        'latency_seconds',
        'least_seconds',
        'opened_seconds',
        'reply_count',
    )

    def __init__(self) -> None:
        self.latency_seconds = FIRST_SECONDS
        self.least_seconds = UNKNOWN_SECONDS
        self.earlier_seconds = UNKNOWN_SECONDS
        self.opened_seconds = 0.0
        self.reply_count = 0

    @property
    def base_seconds(self) -> float:
        """Least smoothed latency of the recent past; zero while unknown."""
        least_seconds = min(self.least_seconds, self.earlier_seconds)
        return 0 if least_seconds == UNKNOWN_SECONDS else least_seconds


def smoothed(before_seconds: float, observed_seconds: float) -> float:
    """Move a smoothed latency towards an observed one.

    :param before_seconds: What it was.
    :param observed_seconds: What was observed.
    :returns: What it is now.
    """
    return before_seconds + SMOOTHING * (observed_seconds - before_seconds)


def observe_pace(
    pace: Pace, latency_seconds: float, now_seconds: float
) -> None:
    """Learn from a reply.

    :param pace: The target's pace.
    :param latency_seconds: From send to whole reply.
    :param now_seconds: Time of the reply.
    """
    pace.reply_count += 1
    if pace.reply_count == 1:
        pace.latency_seconds = latency_seconds
    pace.latency_seconds = smoothed(pace.latency_seconds, latency_seconds)
    if now_seconds - pace.opened_seconds > BASE_WINDOW_SECONDS:
        pace.earlier_seconds = pace.least_seconds
        pace.least_seconds = UNKNOWN_SECONDS
        pace.opened_seconds = now_seconds
    pace.least_seconds = min(pace.least_seconds, pace.latency_seconds)


def is_queueing(pace: Pace) -> bool:
    """Tell whether replies take much longer than they did.

    :param pace: The target's pace.
    :returns: Whether the target seems to queue.
    """
    usual_seconds = pace.base_seconds
    is_slow = pace.latency_seconds > QUEUEING_RATIO * usual_seconds
    return is_slow and usual_seconds > 0
