"""Expected latencies of a route, and the time until a request is hedged.

While some targets are slow, high percentiles reflect the latency of those
targets instead of that of a healthy one.  High percentiles are therefore
bounded by multiples of the median.
"""

from typing import Final

from celeryturn.decisions.targets.latency import LatencyWindow, quantile
from celeryturn.decisions.targets.replicas import ExpectedLatency

TYPICAL_PERCENTILE: Final = 50.0
SLOW_PERCENTILE: Final = 90.0
STALL_PERCENTILE: Final = 95.0
TYPICAL_OBJECTIVE_SHARE: Final = 0.2
SLOW_FACTOR: Final = 2.2
STALL_FACTOR: Final = 4.5
STALL_OBJECTIVE_SHARE: Final = 0.6
STALL_MARGIN_FACTOR: Final = 1.3
SECOND_ATTEMPT_FACTOR: Final = 1.3


def estimate_latency(
    window: LatencyWindow, objective_seconds: float, now_seconds: float
) -> ExpectedLatency:
    """Estimate the expected latencies of a route.

    :param window: Observed latencies of its targets.
    :param objective_seconds: Latency objective of the route.
    :param now_seconds: Current time.
    :returns: Typical and slow latency, and the time without a response that
        suggests a stall.
    """
    typical_seconds = quantile(
        window,
        TYPICAL_PERCENTILE,
        now_seconds,
        TYPICAL_OBJECTIVE_SHARE * objective_seconds,
    )
    slow_bound = SLOW_FACTOR * typical_seconds
    stall_bound = STALL_FACTOR * typical_seconds
    slow_seconds = quantile(window, SLOW_PERCENTILE, now_seconds, slow_bound)
    late_seconds = quantile(window, STALL_PERCENTILE, now_seconds, stall_bound)
    # A short pause of a target ends before an answer is late, so it does not
    # count as a stall: a request sent during it is hedged only if necessary,
    # and not sent to another zone at once.
    stall_seconds = max(
        STALL_MARGIN_FACTOR * late_seconds,
        STALL_OBJECTIVE_SHARE * objective_seconds,
    )
    return ExpectedLatency(
        typical_seconds=typical_seconds,
        slow_seconds=min(slow_seconds, slow_bound),
        stall_seconds=min(stall_seconds, stall_bound),
        objective_seconds=objective_seconds,
    )


def with_early_stall(expected_latency: ExpectedLatency) -> ExpectedLatency:
    """Lower the stall threshold to the slow latency.

    :param expected_latency: Expected latencies of the route.
    :returns: A copy in which a response slower than the slow latency suggests
        a stall.
    """
    return expected_latency._replace(
        stall_seconds=expected_latency.slow_seconds
    )


def hedge_delay_seconds(
    expected_latency: ExpectedLatency, remaining_seconds: float
) -> float:
    """Compute the time without a response after which to hedge.

    To save extra load, the hedge is sent as late as its reply is still
    expected in time, but not before the slow latency of a healthy target has
    passed.

    :param expected_latency: Expected latencies of the route.
    :param remaining_seconds: Time until an answer is late.
    :returns: Seconds from an attempt to its hedge.
    """
    latest_seconds = (
        remaining_seconds
        - SECOND_ATTEMPT_FACTOR * expected_latency.slow_seconds
    )
    return max(expected_latency.slow_seconds, latest_seconds)
