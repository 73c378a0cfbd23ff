"""Early refusal of requests that cannot be answered in time.

A refused request has not run and is reported as such.  An estimated wait of
more than half of the remaining time counts as too long: the estimate is a
mean, and the last of many replies arrives later than the mean.
"""

from collections.abc import Mapping
from typing import Final

from celeryturn.decisions.load.limits import Urgency, expected_reply_seconds
from celeryturn.decisions.request.planning import QueryPlan
from celeryturn.decisions.request.stopping import answer_due_seconds
from celeryturn.decisions.targets.views import TargetView, can_receive_work

MIN_USEFUL_COVERAGE: Final = 0.8
MAX_WAIT_SHARE: Final = 0.5


def is_expected_late(
    plan: QueryPlan, views: Mapping[str, TargetView], now_seconds: float
) -> bool:
    """Return whether a query should be refused as not run.

    :param plan: Plan of the query.
    :param views: Known state of each target.
    :param now_seconds: Time of admission.
    :returns: Whether fewer than ``MIN_USEFUL_COVERAGE`` of its shards are
        expected to reply in time, given the queues at their targets.
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
    """Return whether a booking should be refused as not run.

    :param view: Known state of the target that is the home.
    :param remaining_seconds: Time left until the deadline.
    :returns: Whether the reply is expected too late.
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
        for name in plan.pinned_index.shards[shard].replicas
        if name in views and can_receive_work(views[name])
    ]
    # The answer reports a shard without a usable replica as lacking, so
    # this is no reason to refuse the query.
    return not usable_views or any(
        expected_reply_seconds(view.gate, plan.urgency) <= max_wait_seconds
        for view in usable_views
    )
