"""How many reports on targets an instance makes itself.

Targets that pause or alternate would otherwise cause reports without end, each
of which is told to all instances.
"""

from typing import Final

REPORTS_PER_SECOND: Final = 1.0
MIN_BURST_REPORTS: Final = 40.0
# An instance with faulty links must be able to report so many targets that the
# others no longer believe it.
BURST_TARGET_SHARE: Final = 0.6


class ReportBudget:
    """Budget of the reports of one instance.

    :param burst_count: Reports that can be saved up.
    :param tokens: Reports that may be made now.
    :param refilled_seconds: Time of the last refill.
    """

    __slots__ = ('burst_count', 'refilled_seconds', 'tokens')

    def __init__(self) -> None:
        self.burst_count = MIN_BURST_REPORTS
        self.tokens = MIN_BURST_REPORTS
        self.refilled_seconds = 0.0


def fit_to_targets(budget: ReportBudget, target_count: int) -> None:
    """Let a budget grow with the number of targets.

    :param budget: Budget of the instance.
    :param target_count: Number of known targets.
    """
    burst_count = max(MIN_BURST_REPORTS, BURST_TARGET_SHARE * target_count)
    budget.tokens += max(0.0, burst_count - budget.burst_count)
    budget.burst_count = burst_count


def take_report(budget: ReportBudget, now_seconds: float) -> bool:
    """Take a token for a report.

    :param budget: Budget of the instance.
    :param now_seconds: Current time.
    :returns: Whether the report may be made.
    """
    elapsed_seconds = max(0.0, now_seconds - budget.refilled_seconds)
    budget.refilled_seconds = now_seconds
    earned_tokens = REPORTS_PER_SECOND * elapsed_seconds
    budget.tokens = min(budget.burst_count, budget.tokens + earned_tokens)
    if budget.tokens < 1:
        return False
    budget.tokens -= 1
    return True
