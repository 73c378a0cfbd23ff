"""The budget of extra requests of a service, shared by all instances."""

from typing import Final, NamedTuple

RATIO_MARGIN: Final = 0.85
SLACK_MARGIN: Final = 0.6
FIRST_SHARE: Final = 0.5
UNKNOWN_FLEET_COUNT: Final = 32


class ExtraLoadBounds(NamedTuple):
    """What all instances together may send to a service beyond the needed.

    :param ratio: Extra requests for each needed one.
    :param slack_count: Extra requests beyond the ratio, in each window.
    """

    ratio: float = 0.2
    slack_count: float = 58.0


class ExtraLoad:
    """One instance's part of the budget of one service.

    :param tokens: Extra requests that may be sent now.
    :param needed_count: Needed requests, since the start.
    :param extra_count: Extra requests, since the start.
    """

    __slots__ = ('extra_count', 'needed_count', 'tokens')

    def __init__(self, capacity: float) -> None:
        self.tokens = capacity * FIRST_SHARE
        self.needed_count = 0
        self.extra_count = 0


def capacity_of(bounds: ExtraLoadBounds, fleet_count: int) -> float:
    """Work out how many tokens an instance may hold.

    All instances may spend full buckets within one window.

    :param bounds: What all instances together may send.
    :param fleet_count: Instances that share the budget.
    :returns: Tokens.
    """
    return max(1.0, SLACK_MARGIN * bounds.slack_count / max(1, fleet_count))


def earn(budget: ExtraLoad, bounds: ExtraLoadBounds, capacity: float) -> None:
    """Credit a needed request.

    :param budget: The instance's part.
    :param bounds: What all instances together may send.
    :param capacity: Tokens it may hold.
    """
    budget.needed_count += 1
    earned = budget.tokens + RATIO_MARGIN * bounds.ratio
    budget.tokens = min(capacity, earned)


def spend(budget: ExtraLoad, reserve: float = 0) -> bool:
    """Take a token for one extra request.

    :param budget: The instance's part.
    :param reserve: Tokens that must be left after it.
    :returns: Whether it may be sent.
    """
    if budget.tokens < 1 + reserve:
        return False
    budget.tokens -= 1
    budget.extra_count += 1
    return True
