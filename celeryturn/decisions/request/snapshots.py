"""Decide whether a query restarts on another snapshot, and on which one.

A restart is needed when targets no longer hold the pinned snapshot.
"""

from collections.abc import Iterator
from typing import Final

from celeryturn.decisions.load.budget import force_spend
from celeryturn.decisions.request.course import Context, Failure, QueryState
from celeryturn.decisions.request.planning import may_hold_snapshot

MIN_GONE_SHARE: Final = 0.25


def should_restart(query: QueryState, context: Context) -> bool:
    """Decide whether the query restarts, and charge the budget if so.

    :param query: The query.
    :param context: Input of the decision.
    :returns: Whether to restart; true at most once per query, and once more
        while the snapshot is probed.
    """
    if query.is_probing:
        force_spend(context.budget, 1)
        return True
    if query.is_restarted:
        return False
    shard_count = len(query.plan.shards)
    gone_count = sum(
        progress.failure is Failure.SNAPSHOT_GONE
        for progress in query.progress.values()
    )
    if gone_count < max(1, MIN_GONE_SHARE * shard_count):
        return False
    if context.budget.tokens < 1:
        return False
    force_spend(context.budget, shard_count)
    return True


def choose_restart_snapshot(query: QueryState, context: Context) -> int:
    """Choose the snapshot to restart on.

    :param query: The query.
    :param context: Input of the decision.
    :returns: The snapshot that the largest number of shards may hold, or the
        newest of several such snapshots; the pinned one if there is no other.
    """
    candidates = {
        context.views[name].report.newest_snapshot
        for name in _replicas(query)
        if name in context.views
    }
    candidates -= {query.plan.snapshot, 0}

    def rank_key(snapshot: int) -> tuple[int, int]:
        return _count_shards_holding(query, context, snapshot), snapshot

    return max(candidates, key=rank_key, default=query.plan.snapshot)


def _count_shards_holding(
    query: QueryState, context: Context, snapshot: int
) -> int:
    return sum(
        any(
            may_hold_snapshot(
                context.views[name], snapshot, context.now_seconds
            )
            for name in shard.replicas
            if name in context.views
        )
        for shard in query.plan.pinned_index.shards.values()
    )


def _replicas(query: QueryState) -> Iterator[str]:
    shards = query.plan.pinned_index.shards
    for shard in query.plan.shards:
        yield from shards[shard].replicas
