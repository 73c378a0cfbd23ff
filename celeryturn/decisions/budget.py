"""The extra-load budget: one token bucket for hedges, retries and restarts."""

from typing import Final

FIRST_TOKENS: Final = 4.0
MOST_TOKENS: Final = 64.0


class Budget:
    """Tokens that needed sub-requests earn and extra ones spend.

    :param tokens: Extra sub-requests that may be sent now.
    :param needed_count: Sub-requests that were needed, since the start.
    :param extra_count: Extra sub-requests sent, since the start.
    """

    __slots__ = ('extra_count', 'needed_count', 'tokens')

    def __init__(self) -> None:
        self.tokens = FIRST_TOKENS
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
    budget.tokens = min(MOST_TOKENS, earned)


def owe(budget: Budget) -> None:
    """Take a token for an extra sub-request that cannot be done without.

    :param budget: The bucket of one service; it may fall below zero, and
        then nothing more is spent until needed sub-requests have earned it.
    """
    budget.tokens -= 1
    budget.extra_count += 1


def spend(budget: Budget, extra_count: int = 1) -> bool:
    """Take tokens for extra sub-requests, all or none.

    :param budget: The bucket of one service.
    :param extra_count: How many are to be sent.
    :returns: Whether they may be sent.
    """
    if budget.tokens < extra_count:
        return False
    budget.tokens -= extra_count
    budget.extra_count += extra_count
    return True
