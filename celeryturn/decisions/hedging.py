"""When to send an extra sub-request beside one that stays silent."""

from typing import Final

from celeryturn.decisions import latency
from celeryturn.decisions.course import Context, QueryState, ShardProgress
from celeryturn.decisions.stopping import answer_due_seconds, early_stop_seconds

HEDGE_PERCENTILE: Final = 95.0
HEDGE_FACTOR: Final = 1.25
HEDGE_FLOOR_SECONDS: Final = 0.002
HEDGE_DEFAULT_SECONDS: Final = 0.04
STARVED_RETRY_SECONDS: Final = 0.02


def may_hedge(progress: ShardProgress, context: Context) -> bool:
    """Decide whether a shard may get a second attempt.

    :param progress: How far the shard has come.
    :param context: What may be looked at.
    :returns: Whether its one attempt is late and slots are not short.
    """
    if context.is_short or len(progress.attempts) != 1:
        return False
    attempt = next(iter(progress.attempts.values()))
    late_seconds = attempt.offered_seconds + hedge_after_seconds(context)
    return context.now_seconds >= late_seconds


def hedge_after_seconds(context: Context) -> float:
    """Work out when an attempt counts as late.

    :param context: What may be looked at.
    :returns: The service's own observed quantile.
    """
    observed_seconds = latency.quantile(
        context.window,
        HEDGE_PERCENTILE,
        context.now_seconds,
        HEDGE_DEFAULT_SECONDS,
    )
    return max(HEDGE_FLOOR_SECONDS, HEDGE_FACTOR * observed_seconds)


def next_wake_seconds(query: QueryState, context: Context) -> float:
    """Work out when the query has to be looked at again.

    :param query: The query.
    :param context: What may be looked at.
    :returns: The time of the next hedge, retry or end.
    """
    late_seconds = hedge_after_seconds(context)
    due = [
        _due_seconds(progress, late_seconds, context.now_seconds)
        for progress in query.progress.values()
        if not progress.is_settled and len(progress.attempts) <= 1
    ]
    early_seconds = early_stop_seconds(query.plan, late_seconds)
    if early_seconds > context.now_seconds:
        due.append(early_seconds)
    return min(answer_due_seconds(query.plan), *due, float('inf'))


def _due_seconds(
    progress: ShardProgress, late_seconds: float, now_seconds: float
) -> float:
    due_seconds = now_seconds
    for attempt in progress.attempts.values():
        due_seconds = attempt.offered_seconds + late_seconds
    if due_seconds > now_seconds:
        return due_seconds
    return now_seconds + STARVED_RETRY_SECONDS
