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


def _rank(
    replicas: Iterable[str],
    known: routing.Views,
    zone: str,
    now_seconds: float,
    random: routing.RandomSource,
) -> list[str]:
    usable = [
        name
        for name in replicas
        if name in known and views.can_receive_work(known[name])
    ]
    return sorted(usable, key=lambda name: random())


def _retry(
    state: course.QueryState, shard: str, context: course.Context
) -> course.Actions:
    progress = state.progress[shard]
    if not progress.is_settled:
        progress.is_settled = True
        state.unsettled_count -= 1
    return []


def _may_hedge(progress: course.ShardProgress, context: course.Context) -> bool:
    return False


def _should_restart(state: course.QueryState, context: course.Context) -> bool:
    return state.is_probing


def _may_stop_early(*known: object) -> bool:
    return False


def _has_room(gate: limits.Gate, urgency: limits.Urgency) -> bool:
    return gate.in_flight < gate.share


def _line(
    gate: limits.Gate, urgency: limits.Urgency
) -> deque[limits.QueuedRequest]:
    return gate.sweep_queue


def _on_shed(gate: limits.Gate) -> None:
    """Take no notice."""


def _is_hopeless(*known: object) -> bool:
    return False


REPLACED: Final = (
    (routing, 'rank', _rank),
    (query, '_retry', _retry),
    (query, 'can_stop_early', _may_stop_early),
    (hedging, 'can_hedge', _may_hedge),
    (snapshots, 'should_restart', _should_restart),
    (limits, '_has_capacity', _has_room),
    (limits, '_queue_of', _line),
    (limits, 'on_shed', _on_shed),
    (read_module, 'is_expected_late', _is_hopeless),
    (book, 'is_booking_expected_late', _is_hopeless),
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
