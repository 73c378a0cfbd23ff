"""Decide when to hedge a sub-request that has not received a response."""

from typing import Final

from celeryturn.decisions.request.course import (
    Context,
    QueryState,
    ShardProgress,
)
from celeryturn.decisions.request.stopping import (
    answer_due_seconds,
    early_stop_seconds,
)
from celeryturn.decisions.targets import latency

HEDGE_PERCENTILE: Final = 95.0
HEDGE_FACTOR: Final = 1.25
MIN_HEDGE_DELAY_SECONDS: Final = 0.002
DEFAULT_LATENCY_SECONDS: Final = 0.04
RECHECK_SECONDS: Final = 0.02


def can_hedge(progress: ShardProgress, context: Context) -> bool:
    """Decide whether a second attempt may be sent for a shard.

    :param progress: Progress of the shard.
    :param context: Input of the decision.
    :returns: Whether its only attempt in flight is late and there is no
        shortage of slots.
    """
    if context.has_slot_shortage or len(progress.attempts) != 1:
        return False
    attempt = next(iter(progress.attempts.values()))
    hedge_seconds = attempt.created_seconds + hedge_delay_seconds(context)
    return context.now_seconds >= hedge_seconds


def hedge_delay_seconds(context: Context) -> float:
    """Compute the time after which an attempt counts as late.

    :param context: Input of the decision.
    :returns: The delay in seconds, derived from the observed latency quantile
        of the service.
    """
    observed_seconds = latency.quantile(
        context.window,
        HEDGE_PERCENTILE,
        context.now_seconds,
        DEFAULT_LATENCY_SECONDS,
    )
    return max(MIN_HEDGE_DELAY_SECONDS, HEDGE_FACTOR * observed_seconds)


def next_wake_seconds(query: QueryState, context: Context) -> float:
    """Compute when the query has to be woken up next.

    :param query: The query.
    :param context: Input of the decision.
    :returns: The time of the next hedge, retry or stop.
    """
    delay_seconds = hedge_delay_seconds(context)
    due = [
        _due_seconds(progress, delay_seconds, context.now_seconds)
        for progress in query.progress.values()
        if not progress.is_settled and len(progress.attempts) <= 1
    ]
    stop_seconds = early_stop_seconds(query.plan, delay_seconds)
    if stop_seconds > context.now_seconds:
        due.append(stop_seconds)
    return min(answer_due_seconds(query.plan), *due, float('inf'))


def _due_seconds(
    progress: ShardProgress, delay_seconds: float, now_seconds: float
) -> float:
    due_seconds = now_seconds
    for attempt in progress.attempts.values():
        due_seconds = attempt.created_seconds + delay_seconds
    if due_seconds > now_seconds:
        return due_seconds
    return now_seconds + RECHECK_SECONDS
