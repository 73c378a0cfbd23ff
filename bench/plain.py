"""Run a daemon with the plain policy, the baseline of the comparison.

The plain policy sends each sub-request to one random replica of the shard and
waits for all replies.  It does not retry, hedge or stop early.  A query
restarts only while its snapshot is probed, and no request is refused because
its reply is expected late.  The only concurrency limit is the instance's share
of a target's connections.  Neither the limit nor the order of the queue depends
on the urgency of a request or on load shedding by the target.  All other code
is the product's own.
"""

from collections import deque
from collections.abc import Iterable
from typing import Final

from celeryturn.commands import book
from celeryturn.daemon import main
from celeryturn.decisions.load import limits
from celeryturn.decisions.request import (
    course,
    hedging,
    query,
    routing,
    snapshots,
)
from celeryturn.decisions.targets import views
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
    """Leave the concurrency limit unchanged."""


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
    """Replace the decisions in which the plain policy differs.

    :raises AttributeError: If a module no longer has a function named in
        ``REPLACED``.
    """
    for module, name, decision in REPLACED:
        if not hasattr(module, name):
            raise AttributeError(
                f'{module.__name__} has no function {name}; '
                'correct its name in REPLACED'
            )
        setattr(module, name, decision)


if __name__ == '__main__':
    use_plain_policy()
    main()
