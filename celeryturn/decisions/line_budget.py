"""Which log lines are written when there are more than may be."""

from typing import Final

IMPORTANT_LINES_PER_SECOND: Final = 100.0
ROUTINE_LINES_PER_SECOND: Final = 2.0
BURST_SECONDS: Final = 2.0


class LineBudget:
    """Lines that may be written now, in two classes.

    Lines on requests that failed, were late or lack parts have a budget of
    their own, so that those that went well never take their place.

    :param important_tokens: Lines on what went wrong.
    :param routine_tokens: Lines on what went well.
    :param refilled_seconds: When both were last refilled.
    :param dropped_count: Lines that were left out, since the last report.
    """

    __slots__ = (
        'dropped_count',
        'important_tokens',
        'refilled_seconds',
        'routine_tokens',
    )

    def __init__(self, now_seconds: float) -> None:
        self.important_tokens = IMPORTANT_LINES_PER_SECOND * BURST_SECONDS
        self.routine_tokens = ROUTINE_LINES_PER_SECOND * BURST_SECONDS
        self.refilled_seconds = now_seconds
        self.dropped_count = 0


def may_write(
    budget: LineBudget, now_seconds: float, *, is_important: bool
) -> bool:
    """Take a line from the budget.

    :param budget: The budget.
    :param now_seconds: Time of the line.
    :param is_important: Whether something went wrong.
    :returns: Whether it may be written; otherwise it is counted.
    """
    _refill(budget, now_seconds)
    if is_important and budget.important_tokens >= 1:
        budget.important_tokens -= 1
        return True
    if not is_important and budget.routine_tokens >= 1:
        budget.routine_tokens -= 1
        return True
    budget.dropped_count += is_important
    return False


def take_dropped_count(budget: LineBudget) -> int:
    """Read how many important lines were left out, and begin anew.

    :param budget: The budget.
    :returns: How many since the last call.
    """
    dropped_count = budget.dropped_count
    budget.dropped_count = 0
    return dropped_count


def _refill(budget: LineBudget, now_seconds: float) -> None:
    elapsed_seconds = now_seconds - budget.refilled_seconds
    budget.refilled_seconds = now_seconds
    budget.important_tokens = min(
        IMPORTANT_LINES_PER_SECOND * BURST_SECONDS,
        budget.important_tokens + elapsed_seconds * IMPORTANT_LINES_PER_SECOND,
    )
    budget.routine_tokens = min(
        ROUTINE_LINES_PER_SECOND * BURST_SECONDS,
        budget.routine_tokens + elapsed_seconds * ROUTINE_LINES_PER_SECOND,
    )
