"""Observed latency of a service: quantiles over a sliding window."""

from typing import Final

from hdrh.histogram import HdrHistogram

MICROSECONDS_PER_SECOND: Final = 1_000_000
MAX_LATENCY_SECONDS: Final = 60
WINDOW_SECONDS: Final = 10.0
REFRESH_SECONDS: Final = 0.5
MIN_SAMPLE_COUNT: Final = 20
_SIGNIFICANT_DIGITS: Final = 2


class LatencyWindow:
    """Latency histograms of the current and the previous window.

    :param current: Histogram of the current window, in microseconds.
    :param previous: Histogram of the previous window, in microseconds.
    :param window_start_seconds: Start of the current window.
    :param refreshed_seconds: When the cached quantiles were last
        discarded.
    :param cached_seconds: Cached quantiles by percentile; ``None`` while there
        are too few samples.
    """

    __slots__ = (
        'cached_seconds',
        'current',
        'previous',
        'refreshed_seconds',
        'window_start_seconds',
    )

    def __init__(self, now_seconds: float) -> None:
        self.current = _new_histogram()
        self.previous = _new_histogram()
        self.window_start_seconds = now_seconds
        self.refreshed_seconds = now_seconds
        self.cached_seconds: dict[float, float | None] = {}


def record(
    window: LatencyWindow, latency_seconds: float, now_seconds: float
) -> None:
    """Record one observed latency.

    :param window: Latency window of the service.
    :param latency_seconds: Time from sending the request until the reply is
        complete.
    :param now_seconds: Time of the reply.
    """
    if now_seconds - window.window_start_seconds > WINDOW_SECONDS:
        window.previous = window.current
        window.current = _new_histogram()
        window.window_start_seconds = now_seconds
    bounded = min(
        max(latency_seconds, 1 / MICROSECONDS_PER_SECOND), MAX_LATENCY_SECONDS
    )
    window.current.record_value(int(bounded * MICROSECONDS_PER_SECOND))


def quantile(
    window: LatencyWindow,
    percentile: float,
    now_seconds: float,
    default_seconds: float,
) -> float:
    """Return a quantile, cached for at most ``REFRESH_SECONDS``.

    :param window: Latency window of the service.
    :param percentile: Percentile between 0 and 100.
    :param now_seconds: Current time.
    :param default_seconds: Value returned while there are fewer than
        ``MIN_SAMPLE_COUNT`` samples.
    :returns: The latency in seconds.
    """
    if now_seconds - window.refreshed_seconds > REFRESH_SECONDS:
        window.cached_seconds.clear()
        window.refreshed_seconds = now_seconds
    if percentile not in window.cached_seconds:
        window.cached_seconds[percentile] = _compute_quantile(
            window, percentile
        )
    cached = window.cached_seconds[percentile]
    return default_seconds if cached is None else cached


def peek_window(window: LatencyWindow) -> LatencyWindow:
    """Copy a window, so that its cached quantiles are not refreshed.

    :param window: Latency window of the service.
    :returns: A window with the same histograms and a copy of the cache.
    """
    peeked = LatencyWindow(window.window_start_seconds)
    peeked.current = window.current
    peeked.previous = window.previous
    peeked.refreshed_seconds = window.refreshed_seconds
    peeked.cached_seconds = dict(window.cached_seconds)
    return peeked


def _compute_quantile(window: LatencyWindow, percentile: float) -> float | None:
    fullest = max(
        (window.current, window.previous),
        key=lambda histogram: histogram.get_total_count(),
    )
    if fullest.get_total_count() < MIN_SAMPLE_COUNT:
        return None
    return (
        float(fullest.get_value_at_percentile(percentile))
        / MICROSECONDS_PER_SECOND
    )


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(
        1, MAX_LATENCY_SECONDS * MICROSECONDS_PER_SECOND, _SIGNIFICANT_DIGITS
    )
