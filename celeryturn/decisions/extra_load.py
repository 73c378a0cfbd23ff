"""The budget of extra requests of a service, shared by all instances.

Each instance holds a bucket of its own.  All instances together keep the
bound in any window without asking each other, also where all of them start
anew within it: what one may have saved up, what it earns, and what it has at
its start stay together below its part.
"""

import math
from typing import Final, NamedTuple

MAX_SAVED_RATIO_SHARE: Final = 0.4
EARNED_RATIO_SHARE: Final = 0.5
INITIAL_SLACK_SHARE: Final = 0.45
LOW_TOKENS_SHARE: Final = 0.5
DEFAULT_FLEET_COUNT: Final = 32


class ExtraLoadBounds(NamedTuple):
    """What all instances together may send to a service beyond the needed.

    :param ratio: Extra requests for each needed one.
    :param slack_count: Extra requests beyond the ratio, in each window.
    :param window_seconds: Length of the window.
    """

    ratio: float = 0.2
    slack_count: float = 58.0
    window_seconds: float = 10.0


class Allowance(NamedTuple):
    """What one instance may send.

    :param bounds: What all instances together may send.
    :param fleet_count: Instances that share it.
    """

    bounds: ExtraLoadBounds
    fleet_count: int


class ExtraLoadBucket:
    """One instance's bucket of one service.

    :param tokens: Extra requests that may be sent now.
    :param recent_needed_count: Needed requests, fading over a window.
    :param updated_seconds: When they were last counted.
    :param extra_count: Extra requests, since the start.
    """

    __slots__ = (
        'updated_seconds',
        'extra_count',
        'recent_needed_count',
        'tokens',
    )

    def __init__(self, allowance: Allowance) -> None:
        self.tokens = initial_tokens(allowance)
        self.recent_needed_count = 0.0
        self.updated_seconds = 0.0
        self.extra_count = 0


def initial_tokens(allowance: Allowance) -> float:
    """Work out how many extra requests a new instance may send.

    :param allowance: What it may send.
    :returns: At least one.
    """
    slack_count = INITIAL_SLACK_SHARE * allowance.bounds.slack_count
    return max(1.0, slack_count / max(1, allowance.fleet_count))


def earn(
    bucket: ExtraLoadBucket, allowance: Allowance, now_seconds: float
) -> None:
    """Credit a needed request.

    :param bucket: The instance's bucket.
    :param allowance: What it may send.
    :param now_seconds: Time of the request.
    """
    bounds = allowance.bounds
    age_seconds = now_seconds - bucket.updated_seconds
    decay_ratio = math.exp(-age_seconds / bounds.window_seconds)
    bucket.recent_needed_count = bucket.recent_needed_count * decay_ratio + 1
    bucket.updated_seconds = now_seconds
    earned = bucket.tokens + EARNED_RATIO_SHARE * bounds.ratio
    bucket.tokens = min(capacity(bucket, allowance), earned)


def is_short(bucket: ExtraLoadBucket, allowance: Allowance) -> bool:
    """Tell whether extra requests may soon not be possible.

    :param bucket: The instance's bucket.
    :param allowance: What it may send.
    :returns: Whether little is left of what may be saved up.
    """
    return bucket.tokens < LOW_TOKENS_SHARE * capacity(bucket, allowance)


def spend(bucket: ExtraLoadBucket, reserve: float = 0) -> bool:
    """Take a token for an extra request.

    :param bucket: The instance's bucket.
    :param reserve: Tokens that must be left after it.
    :returns: Whether it may be sent.
    """
    if bucket.tokens < 1 + reserve:
        return False
    bucket.tokens -= 1
    bucket.extra_count += 1
    return True


def capacity(bucket: ExtraLoadBucket, allowance: Allowance) -> float:
    """Work out how many extra requests may be saved up.

    :param bucket: The instance's bucket.
    :param allowance: What it may send.
    :returns: More where more is needed.
    """
    ratio = allowance.bounds.ratio
    return (
        initial_tokens(allowance)
        + MAX_SAVED_RATIO_SHARE * ratio * bucket.recent_needed_count
    )
