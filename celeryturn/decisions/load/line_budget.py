"""Rate limit of log lines: which lines are written under load."""

from typing import Final

IMPORTANT_LINES_PER_SECOND: Final = 100.0
ROUTINE_LINES_PER_SECOND: Final = 2.0
BURST_SECONDS: Final = 2.0


class LineBudget:
    """Two token buckets for log lines.

    Lines on requests that failed, were late or lack parts have their own
    bucket, so that lines on successful requests never displace them.

    :param important_tokens: Lines on failed, late or incomplete requests
        that may be written now.
    :param routine_tokens: Lines on other requests that may be written now.
    :param refilled_seconds: When both buckets were last refilled.
    :param dropped_count: Important lines dropped since the last report.
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
    """Take a token for one line.

    :param budget: The line budget.
    :param now_seconds: Time at which the line is logged.
    :param is_important: Whether the line reports a failed, late or incomplete
        request.
    :returns: Whether the line may be written.  Important lines that may not
        are counted as dropped.
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
    """Return the number of dropped important lines and reset it.

    :param budget: The line budget.
    :returns: Lines dropped since the last call.
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
