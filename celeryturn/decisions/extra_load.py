"""The budget of extra requests of a service, shared by all instances.

Each instance holds a bucket of its own.  All instances together keep the
bound in any window without asking each other, also where all of them start
anew within it: what one may have saved up, what it earns, and what it has at
its start stay together below its part.
"""

import math
from typing import Final, NamedTuple

SAVED_RATIO_SHARE: Final = 0.4
EARNED_RATIO_SHARE: Final = 0.5
START_SLACK_SHARE: Final = 0.45
SHORT_SHARE: Final = 0.5
UNKNOWN_FLEET_COUNT: Final = 32


class ExtraLoadBounds(NamedTuple):
    """What all instances together may send to a service beyond the needed.

    :param ratio: Extra requests for each needed one.
    :param slack_count: Extra requests beyond the ratio, in each window.
    :param window_seconds: Length of the window.
    """

    ratio: float = 0.2
    slack_count: float = 58.0
    window_seconds: float = 10.0


class Part(NamedTuple):
    """What one instance may send.

    :param bounds: What all instances together may send.
    :param fleet_count: Instances that share it.
    """

    bounds: ExtraLoadBounds
    fleet_count: int


class ExtraLoad:
    """One instance's bucket of one service.

    :param tokens: Extra requests that may be sent now.
    :param recent_count: Needed requests, fading over a window.
    :param counted_seconds: When they were last counted.
    :param extra_count: Extra requests, since the start.
    """

    __slots__ = ('counted_seconds', 'extra_count', 'recent_count', 'tokens')

    def __init__(self, part: Part) -> None:
        self.tokens = start_count(part)
        self.recent_count = 0.0
        self.counted_seconds = 0.0
        self.extra_count = 0


def start_count(part: Part) -> float:
    """Work out how many extra requests a new instance may send.

    :param part: What it may send.
    :returns: At least one.
    """
    slack_count = START_SLACK_SHARE * part.bounds.slack_count
    return max(1.0, slack_count / max(1, part.fleet_count))


def earn(budget: ExtraLoad, part: Part, now_seconds: float) -> None:
    """Credit a needed request.

    :param budget: The instance's bucket.
    :param part: What it may send.
    :param now_seconds: Time of the request.
    """
    bounds = part.bounds
    age_seconds = now_seconds - budget.counted_seconds
    faded = math.exp(-age_seconds / bounds.window_seconds)
    budget.recent_count = budget.recent_count * faded + 1
    budget.counted_seconds = now_seconds
    earned = budget.tokens + EARNED_RATIO_SHARE * bounds.ratio
    budget.tokens = min(capacity(budget, part), earned)


def is_short(budget: ExtraLoad, part: Part) -> bool:
    """Tell whether extra requests may soon not be possible.

    :param budget: The instance's bucket.
    :param part: What it may send.
    :returns: Whether little is left of what may be saved up.
    """
    return budget.tokens < SHORT_SHARE * capacity(budget, part)


def spend(budget: ExtraLoad, reserve: float = 0) -> bool:
    """Take a token for an extra request.

    :param budget: The instance's bucket.
    :param reserve: Tokens that must be left after it.
    :returns: Whether it may be sent.
    """
    if budget.tokens < 1 + reserve:
        return False
    budget.tokens -= 1
    budget.extra_count += 1
    return True


def capacity(budget: ExtraLoad, part: Part) -> float:
    """Work out how many extra requests may be saved up.

    :param budget: The instance's bucket.
    :param part: What it may send.
    :returns: More where more is needed.
    """
    ratio = part.bounds.ratio
    return start_count(part) + SAVED_RATIO_SHARE * ratio * budget.recent_count
