"""When to answer with what is there: the weight each service publishes."""

from typing import Final

from celeryturn.decisions.planning import QueryPlan

ANSWER_MARGIN_SHARE: Final = 0.1
MAX_ANSWER_MARGIN_SECONDS: Final = 0.02
EARLY_STOP_FACTOR: Final = 3.0


def answer_due_seconds(plan: QueryPlan) -> float:
    """Work out when merging must begin for the answer to be in time.

    :param plan: The query's plan.
    :returns: A time a little before the deadline.
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
    """Decide whether the shards still out are not worth their wait.

    :param plan: The query's plan.
    :param included_count: Shards whose reply is in.
    :param expected_latency_seconds: Latency that few replies exceed.
    :param now_seconds: Time of the decision.
    :returns: Always false for a service that weighs coverage most.
    """
    if included_count < plan.enough_coverage * len(plan.shards):
        return False
    return now_seconds >= early_stop_seconds(plan, expected_latency_seconds)


def early_stop_seconds(
    plan: QueryPlan, expected_latency_seconds: float
) -> float:
    """Work out from when a query may stop before its deadline.

    :param plan: The query's plan.
    :param expected_latency_seconds: Latency that few replies exceed.
    :returns: The time; never for a service that weighs coverage most.
    """
    if plan.priority != 'latency':
        return float('inf')
    return plan.started_seconds + EARLY_STOP_FACTOR * expected_latency_seconds
