"""Extra-load budget: a token bucket for hedges, retries and restarts."""

from typing import Final

INITIAL_TOKENS: Final = 4.0
MAX_TOKENS: Final = 4.0
RETRY_RESERVE_TOKENS: Final = 2.0


class Budget:
    """Token bucket that needed sub-requests fill and extra ones drain.

    :param tokens: Extra sub-requests that may be sent now; negative after
        forced spending.
    :param needed_count: Needed sub-requests since the start.
    :param extra_count: Extra sub-requests sent since the start.
    """

    __slots__ = ('extra_count', 'needed_count', 'tokens')

    def __init__(self) -> None:
        self.tokens = INITIAL_TOKENS
        self.needed_count = 0
        self.extra_count = 0


def earn(budget: Budget, needed_count: int, extra_load_share: float) -> None:
    """Credit the budget for needed sub-requests.

    :param budget: The bucket of the service.
    :param needed_count: Number of needed sub-requests sent.
    :param extra_load_share: Extra sub-requests allowed per needed one.
    """
    budget.needed_count += needed_count
    earned = budget.tokens + needed_count * extra_load_share
    budget.tokens = min(MAX_TOKENS, earned)


def force_spend(budget: Budget, extra_count: int) -> None:
    """Take tokens for extra sub-requests that are sent unconditionally.

    :param budget: The bucket of the service.  Its tokens may fall below zero;
        :func:`spend` then refuses until needed sub-requests have refilled it.
    :param extra_count: Number of extra sub-requests sent.
    """
    budget.tokens -= extra_count
    budget.extra_count += extra_count


def spend(budget: Budget, reserve: float = 0) -> bool:
    """Take a token for one extra sub-request if enough are left.

    :param budget: The bucket of the service.
    :param reserve: Tokens that must remain after the sub-request.
    :returns: Whether the sub-request may be sent.
    """
    if budget.tokens < 1 + reserve:
        return False
    force_spend(budget, 1)
    return True
