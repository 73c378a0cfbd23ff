"""Token buckets that bound the extra load on a service.

Each instance has its own bucket and does not coordinate with the others.
Together the instances keep within the bounds in any window, even if all of
them restart during it: the tokens that an instance can have saved, the tokens
that it earns in the window and its initial tokens add up to less than its
allowance.

The slack is allowed anew in each window.  Its share therefore refills with
time and not only with requests: while many targets fail for longer than a
window, an instance that sends a service few requests would otherwise have no
tokens left after the first ones.
"""

import math
from typing import Final, NamedTuple

MAX_SAVED_RATIO_SHARE: Final = 0.4
EARNED_RATIO_SHARE: Final = 0.5
# Fractions of an instance's part of the slack: tokens at its start, tokens that
# it can save, and all of them in a window.  What remains refills with time.
INITIAL_SLACK_SHARE: Final = 0.33
SAVED_SLACK_SHARE: Final = 0.35
USED_SLACK_SHARE: Final = 0.98
LOW_TOKENS_SHARE: Final = 0.5
DEFAULT_FLEET_COUNT: Final = 32


class ExtraLoadBounds(NamedTuple):
    """Bounds on the extra requests of all instances to one service.

    :param ratio: Extra requests per needed request.
    :param slack_count: Extra requests beyond the ratio in each window.
    :param window_seconds: Length of the window.
    """

    ratio: float = 0.2
    slack_count: float = 58.0
    window_seconds: float = 10.0


class Allowance(NamedTuple):
    """Bounds on the extra load and the number of instances that share them.

    :param bounds: Bounds on the extra requests of all instances together.
    :param fleet_count: Number of instances that share the bounds.
    """

    bounds: ExtraLoadBounds
    fleet_count: int


class ExtraLoadBucket:
    """Token bucket of one instance for one service.

    :param tokens: Number of extra requests that may be sent now.
    :param recent_needed_count: Needed requests, decaying exponentially over
        the window.
    :param updated_seconds: Time at which the recent count was last updated.
    :param refilled_seconds: Time of the last refill from the slack.
    :param extra_count: Extra requests sent since the start.
    """

    __slots__ = (
        'extra_count',
        'recent_needed_count',
        'refilled_seconds',
        'tokens',
        'updated_seconds',
    )

    def __init__(self, allowance: Allowance, started_seconds: float) -> None:
        self.tokens = initial_tokens(allowance)
        self.recent_needed_count = 0.0
        self.updated_seconds = 0.0
        self.refilled_seconds = started_seconds
        self.extra_count = 0


def initial_tokens(allowance: Allowance) -> float:
    """Return the number of tokens that a new instance starts with.

    :param allowance: Allowance of this instance.
    :returns: Number of tokens, at least one.
    """
    return max(1.0, INITIAL_SLACK_SHARE * _slack_count(allowance))


def refill(
    bucket: ExtraLoadBucket, allowance: Allowance, now_seconds: float
) -> None:
    """Credit the bucket with the slack of the time since the last refill.

    :param bucket: Token bucket of this instance for the service.
    :param allowance: Allowance of this instance.
    :param now_seconds: Current time.
    """
    elapsed_seconds = max(0.0, now_seconds - bucket.refilled_seconds)
    bucket.refilled_seconds = now_seconds
    windows = elapsed_seconds / allowance.bounds.window_seconds
    refilled = _refill_count(allowance) * windows
    max_tokens = max(bucket.tokens, capacity(bucket, allowance))
    bucket.tokens = min(max_tokens, bucket.tokens + refilled)


def earn(
    bucket: ExtraLoadBucket, allowance: Allowance, now_seconds: float
) -> None:
    """Credit the bucket for one needed request.

    :param bucket: Token bucket of this instance for the service.
    :param allowance: Allowance of this instance.
    :param now_seconds: Time of the request.
    """
    refill(bucket, allowance, now_seconds)
    bounds = allowance.bounds
    age_seconds = now_seconds - bucket.updated_seconds
    decay_ratio = math.exp(-age_seconds / bounds.window_seconds)
    bucket.recent_needed_count = bucket.recent_needed_count * decay_ratio + 1
    bucket.updated_seconds = now_seconds
    earned = bucket.tokens + EARNED_RATIO_SHARE * bounds.ratio
    bucket.tokens = min(capacity(bucket, allowance), earned)


def is_low(bucket: ExtraLoadBucket, allowance: Allowance) -> bool:
    """Return whether few tokens are left in the bucket.

    :param bucket: Token bucket of this instance for the service.
    :param allowance: Allowance of this instance.
    :returns: Whether the tokens are below ``LOW_TOKENS_SHARE`` of the
        capacity.
    """
    return bucket.tokens < LOW_TOKENS_SHARE * capacity(bucket, allowance)


def spend(bucket: ExtraLoadBucket, reserve: float = 0) -> bool:
    """Take a token for an extra request if enough are left.

    :param bucket: Token bucket of this instance for the service.
    :param reserve: Tokens that must remain after the request.
    :returns: Whether the request may be sent.
    """
    if bucket.tokens < 1 + reserve:
        return False
    bucket.tokens -= 1
    bucket.extra_count += 1
    return True


def capacity(bucket: ExtraLoadBucket, allowance: Allowance) -> float:
    """Return the maximum number of tokens that the bucket can save.

    :param bucket: Token bucket of this instance for the service.
    :param allowance: Allowance of this instance.
    :returns: Number of tokens; grows with the recent needed requests.
    """
    ratio = allowance.bounds.ratio
    return (
        _saved_slack_count(allowance)
        + MAX_SAVED_RATIO_SHARE * ratio * bucket.recent_needed_count
    )


def _refill_count(allowance: Allowance) -> float:
    used_count = USED_SLACK_SHARE * _slack_count(allowance)
    kept_count = initial_tokens(allowance) + _saved_slack_count(allowance)
    return max(0.0, used_count - kept_count)


def _saved_slack_count(allowance: Allowance) -> float:
    # Any instance can save up one hedge, whatever the size of the fleet.
    return max(1.0, SAVED_SLACK_SHARE * _slack_count(allowance))


def _slack_count(allowance: Allowance) -> float:
    return allowance.bounds.slack_count / max(1, allowance.fleet_count)
