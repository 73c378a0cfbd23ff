"""What is usual for a route, and when to ask a second target.

While some targets are slow, high percentiles say how slow those are and not
what a sound target would take: they are bounded by multiples of the median.
"""

from typing import Final

from celeryturn.decisions.latency import LatencyWindow, quantile
from celeryturn.decisions.replicas import Usual

TYPICAL_PERCENTILE: Final = 50.0
SLOW_PERCENTILE: Final = 90.0
STALL_PERCENTILE: Final = 95.0
TYPICAL_OBJECTIVE_SHARE: Final = 0.2
SLOW_FACTOR: Final = 2.2
STALL_FACTOR: Final = 4.5
PATIENT_SHARE: Final = 0.6
STALL_MARGIN: Final = 1.3
SECOND_TRY_FACTOR: Final = 1.3


def usual_latency(
    window: LatencyWindow, objective_seconds: float, now_seconds: float
) -> Usual:
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
        STALL_MARGIN * late_seconds, PATIENT_SHARE * objective_seconds
    )
    return Usual(
        typical_seconds=typical_seconds,
        slow_seconds=min(slow_seconds, slow_bound),
        stall_seconds=min(stall_seconds, stall_bound),
        objective_seconds=objective_seconds,
    )


def impatient(usual: Usual) -> Usual:
    """Suspect a pause as soon as a target is slower than usual.

    :param usual: What is usual for the route.
    :returns: The same with a shorter silence that suggests a pause.
    """
    return usual._replace(stall_seconds=usual.slow_seconds)


def hedge_after_seconds(usual: Usual, left_seconds: float) -> float:
    """Work out after what silence a second target is asked.

    As late as its reply still is in time, to spare extra load; but not
    before a sound target would usually have replied.

    :param usual: What is usual for the route.
    :param left_seconds: Time until an answer is late.
    :returns: Seconds from the first attempt.
    """
    latest_seconds = left_seconds - SECOND_TRY_FACTOR * usual.slow_seconds
    return max(usual.slow_seconds, latest_seconds)
