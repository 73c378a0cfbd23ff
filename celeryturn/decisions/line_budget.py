"""Which log lines are written when there are more than may be."""

from typing import Final

LINES_PER_SECOND: Final = 100.0
USUAL_LINES_PER_SECOND: Final = 2.0
BURST_SECONDS: Final = 2.0


class LineBudget:
    """Lines that may be written now, in two classes.

    Lines on requests that failed, were late or lack parts have a budget of
    their own, so that those that went well never take their place.

    :param important: Lines on what went wrong.
    :param usual: Lines on what went well.
    :param refilled_seconds: When both were last refilled.
    :param dropped_count: Lines that were left out, since the last report.
    """

    __slots__ = ('dropped_count', 'important', 'refilled_seconds', 'usual')

    def __init__(self, now_seconds: float) -> None:
        self.important = LINES_PER_SECOND * BURST_SECONDS
        self.usual = USUAL_LINES_PER_SECOND * BURST_SECONDS
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
    if is_important and budget.important >= 1:
        budget.important -= 1
        return True
    if not is_important and budget.usual >= 1:
        budget.usual -= 1
        return True
    budget.dropped_count += is_important
    return False


def take_dropped(budget: LineBudget) -> int:
    """Read how many important lines were left out, and begin anew.

    :param budget: The budget.
    :returns: How many since the last call.
    """
    dropped_count = budget.dropped_count
    budget.dropped_count = 0
    return dropped_count


def _refill(budget: LineBudget, now_seconds: float) -> None:
    passed_seconds = now_seconds - budget.refilled_seconds
    budget.refilled_seconds = now_seconds
    budget.important = min(
        LINES_PER_SECOND * BURST_SECONDS,
        budget.important + passed_seconds * LINES_PER_SECOND,
    )
    budget.usual = min(
        USUAL_LINES_PER_SECOND * BURST_SECONDS,
        budget.usual + passed_seconds * USUAL_LINES_PER_SECOND,
    )
