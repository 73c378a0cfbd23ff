"""Smoothed reply latency of one target and its recent minimum.

The minimum approximates the latency of the target without queueing.
"""

from typing import Final

SMOOTHING_FACTOR: Final = 0.2
INITIAL_LATENCY_SECONDS: Final = 0.005
BASELINE_WINDOW_SECONDS: Final = 15.0
QUEUEING_RATIO: Final = 2.5
UNKNOWN_LATENCY_SECONDS: Final = float('inf')


class LatencyEstimate:
    """Smoothed latency of one target and its minimum over the recent past.

    :param latency_seconds: Smoothed latency of replies.
    :param min_seconds: Minimum smoothed latency in the current window.
    :param previous_min_seconds: Minimum smoothed latency in the previous
        window.
    :param window_start_seconds: Start of the current window.
    :param reply_count: Number of replies observed so far.
    """

    __slots__ = (
        'latency_seconds',
        'min_seconds',
        'previous_min_seconds',
        'reply_count',
        'window_start_seconds',
    )

    def __init__(self) -> None:
        self.latency_seconds = INITIAL_LATENCY_SECONDS
        self.min_seconds = UNKNOWN_LATENCY_SECONDS
        self.previous_min_seconds = UNKNOWN_LATENCY_SECONDS
        self.window_start_seconds = 0.0
        self.reply_count = 0

    @property
    def baseline_seconds(self) -> float:
        """Minimum smoothed latency of both windows; zero while unknown."""
        min_seconds = min(self.min_seconds, self.previous_min_seconds)
        return 0 if min_seconds == UNKNOWN_LATENCY_SECONDS else min_seconds


def smoothed(previous_seconds: float, observed_seconds: float) -> float:
    """Apply one step of an exponential moving average to a latency.

    :param previous_seconds: Smoothed latency before the observation.
    :param observed_seconds: Observed latency.
    :returns: Smoothed latency after the observation.
    """
    return previous_seconds + SMOOTHING_FACTOR * (
        observed_seconds - previous_seconds
    )


def observe_latency(
    estimate: LatencyEstimate, latency_seconds: float, now_seconds: float
) -> None:
    """Update the estimate with the latency of a reply.

    :param estimate: Latency estimate of the target.
    :param latency_seconds: Time from sending the request until the reply is
        complete.
    :param now_seconds: Time of the reply.
    """
    estimate.reply_count += 1
    if estimate.reply_count == 1:
        estimate.latency_seconds = latency_seconds
    estimate.latency_seconds = smoothed(
        estimate.latency_seconds, latency_seconds
    )
    if now_seconds - estimate.window_start_seconds > BASELINE_WINDOW_SECONDS:
        estimate.previous_min_seconds = estimate.min_seconds
        estimate.min_seconds = UNKNOWN_LATENCY_SECONDS
        estimate.window_start_seconds = now_seconds
    estimate.min_seconds = min(estimate.min_seconds, estimate.latency_seconds)


def is_queueing(estimate: LatencyEstimate) -> bool:
    """Return whether replies take much longer than the recent minimum.

    :param estimate: Latency estimate of the target.
    :returns: Whether the target is likely to be queueing requests; false
        while the minimum is unknown.
    """
    min_latency_seconds = estimate.baseline_seconds
    is_slow = estimate.latency_seconds > QUEUEING_RATIO * min_latency_seconds
    return is_slow and min_latency_seconds > 0
