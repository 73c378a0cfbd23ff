"""What is usual for a route, and when to ask a second target.

While some targets are slow, high percentiles say how slow those are and not
what a sound target would take: they are bounded by multiples of the median.
"""

from typing import Final

from celeryturn.decisions.latency import LatencyWindow, quantile
from celeryturn.decisions.replicas import ExpectedLatency

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
    """Work out what is usual for a route.

    :param window: Observed latencies of its targets.
    :param objective_seconds: Its latency objective.
    :param now_seconds: Time of the question.
    :returns: Latencies that are usual, slow, and suspicious.
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
    # A short pause is over before an answer is late: what is sent into it is
    # hedged only if it has to be, and not sent to another zone at once.
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
    """Suspect a pause as soon as a target is slower than usual.

    :param expected_latency: What is usual for the route.
    :returns: The same with a shorter silence that suggests a pause.
    """
    return expected_latency._replace(
        stall_seconds=expected_latency.slow_seconds
    )


def hedge_after_seconds(
    expected_latency: ExpectedLatency, remaining_seconds: float
) -> float:
    """Work out after what silence a second target is asked.

    As late as its reply still is in time, to spare extra load; but not
    before a sound target would usually have replied.

    :param expected_latency: What is usual for the route.
    :param remaining_seconds: Time until an answer is late.
    :returns: Seconds from the first attempt.
    """
    latest_seconds = (
        remaining_seconds
        - SECOND_ATTEMPT_FACTOR * expected_latency.slow_seconds
    )
    return max(expected_latency.slow_seconds, latest_seconds)
