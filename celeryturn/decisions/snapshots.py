"""Whether, and to which snapshot, a query moves when its own is gone."""

from collections.abc import Iterator
from typing import Final

from celeryturn.decisions.budget import force_spend
from celeryturn.decisions.course import Context, Failure, QueryState
from celeryturn.decisions.planning import holds

RESTART_SHARE: Final = 0.25


def should_restart(query: QueryState, context: Context) -> bool:
    """Decide whether the query begins again; spends its budget if so.

    :param query: The query.
    :param context: What may be looked at.
    :returns: True at most once a query, and once more for the shard that
        is asked first.
    """
    if query.is_scouting:
        force_spend(context.budget, 1)
        return True
    if query.is_restarted:
        return False
    shard_count = len(query.plan.shards)
    gone_count = sum(
        progress.failure is Failure.SNAPSHOT_GONE
        for progress in query.progress.values()
    )
    if gone_count < max(1, RESTART_SHARE * shard_count):
        return False
    if context.budget.tokens < 1:
        return False
    force_spend(context.budget, shard_count)
    return True


def other_snapshot(query: QueryState, context: Context) -> int:
    """Choose the snapshot to begin again on.

    :param query: The query.
    :param context: What may be looked at.
    :returns: The one that most shards hold, the newest of several.
    """
    candidates = {
        context.views[name].report.newest_snapshot
        for name in _replicas(query)
        if name in context.views
    }
    candidates -= {query.plan.snapshot, 0}

    def shards_held(snapshot: int) -> tuple[int, int]:
        return _count_holding(query, context, snapshot), snapshot

    return max(candidates, key=shards_held, default=query.plan.snapshot)


def _count_holding(query: QueryState, context: Context, snapshot: int) -> int:
    return sum(
        any(
            holds(context.views[name], snapshot, context.now_seconds)
            for name in shard.replicas
            if name in context.views
        )
        for shard in query.plan.partition.shards.values()
    )


def _replicas(query: QueryState) -> Iterator[str]:
    shards = query.plan.partition.shards
    for shard in query.plan.shards:
        yield from shards[shard].replicas
