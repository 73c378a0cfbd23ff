"""How often reports on targets are sent to peers.

The first reports after a quiet time are sent almost at once, so that few
requests are spent on a target that others know to be bad.  A burst goes into
few messages.
"""

from typing import Final

COALESCE_SECONDS: Final = 0.03
BATCHES_PER_SECOND: Final = 4.0
MAX_BURST_BATCHES: Final = 4.0


class BatchBudget:
    """Budget of batches.

    :param tokens: Number of batches that may be sent now.
    :param refilled_seconds: Time at which tokens were last added.
    """

    __slots__ = ('refilled_seconds', 'tokens')

    def __init__(self, now_seconds: float) -> None:
        self.tokens = MAX_BURST_BATCHES
        self.refilled_seconds = now_seconds


def seconds_until_batch(budget: BatchBudget, now_seconds: float) -> float:
    """Return when the next batch may be sent.

    :param budget: Budget of batches.
    :param now_seconds: Current time.
    :returns: Seconds from now; at least the time in which further reports are
        waited for.
    """
    _refill(budget, now_seconds)
    missing_tokens = max(0.0, 1 - budget.tokens)
    return max(COALESCE_SECONDS, missing_tokens / BATCHES_PER_SECOND)


def spend_batch(budget: BatchBudget, now_seconds: float) -> None:
    """Record that a batch is sent.

    :param budget: Budget of batches.
    :param now_seconds: Current time.
    """
    _refill(budget, now_seconds)
    budget.tokens -= 1


def _refill(budget: BatchBudget, now_seconds: float) -> None:
    elapsed_seconds = now_seconds - budget.refilled_seconds
    budget.refilled_seconds = now_seconds
    budget.tokens = min(
        MAX_BURST_BATCHES, budget.tokens + BATCHES_PER_SECOND * elapsed_seconds
    )
