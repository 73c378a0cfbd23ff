"""Refuse at once what cannot be answered in time: not run, and said so.

An estimate that takes half of what is left counts as too long: it is a mean,
and the last of many replies is later than that.
"""

from collections.abc import Mapping
from typing import Final

from celeryturn.decisions.limits import Urgency, expected_wait_seconds
from celeryturn.decisions.planning import QueryPlan
from celeryturn.decisions.stopping import answer_due_seconds
from celeryturn.decisions.views import TargetView, can_receive_work

LEAST_USEFUL_COVERAGE: Final = 0.8
HOPE_SHARE: Final = 0.5


def is_hopeless(
    plan: QueryPlan, views: Mapping[str, TargetView], now_seconds: float
) -> bool:
    """Decide whether a query is to be refused as not run.

    :param plan: Its plan.
    :param views: What is believed of each target.
    :param now_seconds: Time of admission.
    :returns: Whether less than a useful part of its shards could reply in
        time, because of what waits before them.
    """
    left_seconds = HOPE_SHARE * (answer_due_seconds(plan) - now_seconds)
    hopeful_count = sum(
        _is_hopeful(plan, shard, views, left_seconds) for shard in plan.shards
    )
    return hopeful_count < LEAST_USEFUL_COVERAGE * len(plan.shards)


def is_booking_hopeless(view: TargetView, left_seconds: float) -> bool:
    """Decide whether a booking is to be refused as not run.

    :param view: What is believed of its home's target.
    :param left_seconds: What is left of its deadline.
    :returns: Whether its turn would come too late.
    """
    wait_seconds = expected_wait_seconds(view.gate, Urgency.URGENT)
    return wait_seconds > HOPE_SHARE * left_seconds


def _is_hopeful(
    plan: QueryPlan,
    shard: str,
    views: Mapping[str, TargetView],
    left_seconds: float,
) -> bool:
    usable = [
        views[name]
        for name in plan.pinned_index.shards[shard].replicas
        if name in views and can_receive_work(views[name])
    ]
    # Without a replica the answer says so; that is no reason to refuse.
    return not usable or any(
        expected_wait_seconds(view.gate, plan.urgency) <= left_seconds
        for view in usable
    )
