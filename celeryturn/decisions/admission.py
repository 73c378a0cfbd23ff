"""Refuse at once what cannot be answered in time: not run, and said so.

An estimate that takes half of what is left counts as too long: it is a mean,
and the last of many replies is later than that.
"""

from collections.abc import Mapping
from typing import Final

from celeryturn.decisions.limits import Urgency, expected_reply_seconds
from celeryturn.decisions.planning import QueryPlan
from celeryturn.decisions.stopping import answer_due_seconds
from celeryturn.decisions.views import TargetView, may_get_work

MIN_USEFUL_COVERAGE: Final = 0.8
MAX_WAIT_SHARE: Final = 0.5


def is_expected_late(
    plan: QueryPlan, views: Mapping[str, TargetView], now_seconds: float
) -> bool:
    """Decide whether a query is to be refused as not run.

    :param plan: Its plan.
    :param views: What is believed of each target.
    :param now_seconds: Time of admission.
    :returns: Whether less than a useful part of its shards could reply in
        time, because of what waits before them.
    """
    max_wait_seconds = MAX_WAIT_SHARE * (answer_due_seconds(plan) - now_seconds)
    in_time_count = sum(
        _is_shard_in_time(plan, shard, views, max_wait_seconds)
        for shard in plan.shards
    )
    return in_time_count < MIN_USEFUL_COVERAGE * len(plan.shards)


def is_booking_expected_late(
    view: TargetView, remaining_seconds: float
) -> bool:
    """Decide whether a booking is to be refused as not run.

    :param view: What is believed of its home's target.
    :param remaining_seconds: What is left of its deadline.
    :returns: Whether its turn would come too late.
    """
    wait_seconds = expected_reply_seconds(view.gate, Urgency.URGENT)
    return wait_seconds > MAX_WAIT_SHARE * remaining_seconds


def _is_shard_in_time(
    plan: QueryPlan,
    shard: str,
    views: Mapping[str, TargetView],
    max_wait_seconds: float,
) -> bool:
    usable_views = [
        views[name]
        for name in plan.partition.shards[shard].replicas
        if name in views and may_get_work(views[name])
    ]
    # Without a replica the answer says so; that is no reason to refuse.
    return not usable_views or any(
        expected_reply_seconds(view.gate, plan.urgency) <= max_wait_seconds
        for view in usable_views
    )
