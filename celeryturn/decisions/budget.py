"""The extra-load budget: one token bucket for hedges, retries and restarts."""

from typing import Final

INITIAL_TOKENS: Final = 4.0
MAX_TOKENS: Final = 4.0
RETRY_RESERVE_TOKENS: Final = 2.0


class Budget:
    """Tokens that needed sub-requests earn and extra ones spend.

    :param tokens: Extra sub-requests that may be sent now.
    :param needed_count: Sub-requests that were needed, since the start.
    :param extra_count: Extra sub-requests sent, since the start.
    """

    __slots__ = ('extra_count', 'needed_count', 'tokens')

    def __init__(self) -> None:
        self.tokens = INITIAL_TOKENS
        self.needed_count = 0
        self.extra_count = 0


def earn(budget: Budget, needed_count: int, extra_load_share: float) -> None:
    """Credit the budget for sub-requests that were needed.

    :param budget: The bucket of one service.
    :param needed_count: How many were sent.
    :param extra_load_share: What share of them may be sent on top.
    """
    budget.needed_count += needed_count
    earned = budget.tokens + needed_count * extra_load_share
    budget.tokens = min(MAX_TOKENS, earned)


def force_spend(budget: Budget, extra_count: int) -> None:
    """Take tokens for extra sub-requests that cannot be done without.

    :param budget: The bucket of one service; it may fall below zero, and
        then nothing more is spent until needed sub-requests have earned it.
    :param extra_count: How many are sent.
    """
    budget.tokens -= extra_count
    budget.extra_count += extra_count


def spend(budget: Budget, reserve: float = 0) -> bool:
    """Take a token for one extra sub-request.

    :param budget: The bucket of one service.
    :param reserve: Tokens that must be left after it.
    :returns: Whether it may be sent.
    """
    if budget.tokens < 1 + reserve:
        return False
    force_spend(budget, 1)
    return True
