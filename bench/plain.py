"""The plain policy as a daemon, to compare against.

It asks one random replica of each shard, waits for all, never asks again,
and holds to its share of connections without regard to kind or shedding.
Everything else is the product's own code.
"""

from collections import deque
from collections.abc import Iterable
from typing import Final

from celeryturn.commands import book
from celeryturn.daemon import main
from celeryturn.decisions import (
    course,
    hedging,
    limits,
    query,
    routing,
    snapshots,
    views,
)
from celeryturn.queries import read as read_module


def _rank_randomly(
    replicas: Iterable[str],
    target_views: routing.Views,
    zone: str,
    now_seconds: float,
    random: routing.RandomSource,
) -> list[str]:
    usable = [
        name
        for name in replicas
        if name in target_views and views.can_receive_work(target_views[name])
    ]
    return sorted(usable, key=lambda name: random())


def _settle_without_retry(
    state: course.QueryState, shard: str, context: course.Context
) -> course.Actions:
    progress = state.progress[shard]
    if not progress.is_settled:
        progress.is_settled = True
        state.unsettled_count -= 1
    return []


def _never_hedge(
    progress: course.ShardProgress, context: course.Context
) -> bool:
    return False


def _restart_only_while_probing(
    state: course.QueryState, context: course.Context
) -> bool:
    return state.is_probing


def _never_stop_early(*arguments: object) -> bool:
    return False


def _has_capacity(gate: limits.Gate, urgency: limits.Urgency) -> bool:
    return gate.in_flight < gate.share


def _single_queue(
    gate: limits.Gate, urgency: limits.Urgency
) -> deque[limits.QueuedRequest]:
    return gate.sweep_queue


def _ignore_shed(gate: limits.Gate) -> None:
    """Take no notice."""


def _never_expected_late(*arguments: object) -> bool:
    return False


REPLACED: Final = (
    (routing, 'rank_replicas', _rank_randomly),
    (query, '_retry', _settle_without_retry),
    (query, 'can_stop_early', _never_stop_early),
    (hedging, 'can_hedge', _never_hedge),
    (snapshots, 'should_restart', _restart_only_while_probing),
    (limits, '_has_capacity', _has_capacity),
    (limits, '_queue_of', _single_queue),
    (limits, 'on_shed', _ignore_shed),
    (read_module, 'is_expected_late', _never_expected_late),
    (book, 'is_booking_expected_late', _never_expected_late),
)


def use_plain_policy() -> None:
    """Replace the decisions that make the difference."""
    for module, name, decision in REPLACED:
        if not hasattr(module, name):
            raise AttributeError(f'{module.__name__} has no {name} any more')
        setattr(module, name, decision)


if __name__ == '__main__':
    use_plain_policy()
    main()
