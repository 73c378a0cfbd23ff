"""Decide when to answer with the replies so far.

The priority that a service publishes decides whether a query may stop early.
"""

from typing import Final

from celeryturn.decisions.request.planning import QueryPlan

ANSWER_MARGIN_SHARE: Final = 0.1
MAX_ANSWER_MARGIN_SECONDS: Final = 0.02
EARLY_STOP_FACTOR: Final = 3.0


def answer_due_seconds(plan: QueryPlan) -> float:
    """Compute when merging must start for the answer to meet the deadline.

    :param plan: Plan of the query.
    :returns: A time shortly before the deadline.
    """
    allowed_seconds = plan.deadline_seconds - plan.started_seconds
    margin_seconds = min(
        MAX_ANSWER_MARGIN_SECONDS, ANSWER_MARGIN_SHARE * allowed_seconds
    )
    return plan.deadline_seconds - margin_seconds


def can_stop_early(
    plan: QueryPlan,
    included_count: int,
    expected_latency_seconds: float,
    now_seconds: float,
) -> bool:
    """Decide whether to stop waiting for the remaining shards.

    :param plan: Plan of the query.
    :param included_count: Number of shards with a usable reply.
    :param expected_latency_seconds: Latency that few replies of the service
        exceed.
    :param now_seconds: Current time.
    :returns: Whether to stop; always false for a service that prefers coverage.
    """
    if included_count < plan.enough_coverage * len(plan.shards):
        return False
    return now_seconds >= early_stop_seconds(plan, expected_latency_seconds)


def early_stop_seconds(
    plan: QueryPlan, expected_latency_seconds: float
) -> float:
    """Compute the time from which a query may stop before its deadline.

    :param plan: Plan of the query.
    :param expected_latency_seconds: Latency that few replies of the service
        exceed.
    :returns: The time; infinity for a service that prefers coverage.
    """
    if plan.priority != 'latency':
        return float('inf')
    return plan.started_seconds + EARLY_STOP_FACTOR * expected_latency_seconds
