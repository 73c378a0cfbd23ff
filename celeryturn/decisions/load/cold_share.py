"""This instance's share of the requests that a cold target tolerates.

All instances together may send a cold target a fixed number of requests in any
second, its budget.  No instance can see what the others send.  Each one
therefore gets a fixed quota.  The quotas of one view of the fleet add up to at
most half of the budget; the other half covers views that differ.

The budget is kept if every instance knows at least half of the fleet and
misses at most as many instances as half of the budget, or if the fleet is
split in two parts that know nothing of each other.  Names of instances that
ended only make quotas smaller.
"""

import math
from typing import Final, NamedTuple

from celeryturn.decisions.fleet.ring import is_nearest_by_hash
from celeryturn.decisions.load.request_rate import (
    NO_SHARE,
    RateShare,
    Senders,
)

# Consistent views use the budget divided by this number.
DIVERGENT_VIEW_COUNT: Final = 2
# Keeps the burst and the refill of one second below the next whole request.
REFILL_MARGIN: Final = 0.05
# A larger burst wastes less while requests come unevenly, but lowers the rate.
BURST_RATIO: Final = 0.25
# Longer than the span of the limit, so that what was sent before a quota
# begins, by this instance or by another, is outside the span.
HOLD_SECONDS: Final = 1.05
# The peers of an instance are known this long after its start, and it to them.
JOIN_SECONDS: Final = 3.0


class ColdBounds(NamedTuple):
    """Bounds on what all instances together send to a cold target.

    :param excess_ratio: Factor on the rate that the target tolerates.
    :param slack_count: Requests in any second that are allowed beyond that.
    """

    excess_ratio: float
    slack_count: float


class ColdStart(NamedTuple):
    """How targets of a service behave after they start.

    :param seconds: Time for which a target is cold after its start.
    :param rate_per_second: Requests a second that a cold target tolerates.
    """

    seconds: float
    rate_per_second: float


class ColdBasis(NamedTuple):
    """What a quota is computed from.

    :param budget_count: Requests in any second from all instances.
    :param senders: Instances that may send; ``None`` if this instance does not
        know the fleet, and therefore gets no quota.
    """

    budget_count: int
    senders: Senders | None


class ColdState:
    """Until when a target is cold, and this instance's quota.

    :param until_seconds: Time until which the target is cold.
    :param basis: What the quota was computed from; ``None`` while the target
        is not limited.
    :param share: Quota as rate and burst.
    :param tokens: Requests that may be written at the time of the last refill.
    :param refilled_seconds: Time of the last refill.
    :param usable_at_seconds: Time from which the quota may be used.
    :param unwritten_count: Requests to the target that were not written to a
        connection yet.
    :param was_warm: Whether the target was seen to be warm since it was last
        seen to be cold.
    """

    __slots__ = (
        'basis',
        'refilled_seconds',
        'share',
        'tokens',
        'until_seconds',
        'unwritten_count',
        'usable_at_seconds',
        'was_warm',
    )

    def __init__(self, until_seconds: float) -> None:
        self.until_seconds = until_seconds
        self.basis: ColdBasis | None = None
        self.share = NO_SHARE
        self.tokens = 0.0
        self.refilled_seconds = 0.0
        self.usable_at_seconds = 0.0
        self.unwritten_count = 0
        self.was_warm = False


def compute_budget(bounds: ColdBounds, cold_start: ColdStart) -> int:
    """Compute the number of requests that a cold target may get.

    :param bounds: Bounds of the deployment.
    :param cold_start: What targets of the service tolerate.
    :returns: Requests in any second from all instances together.
    """
    tolerated_count = cold_start.rate_per_second * bounds.excess_ratio
    return math.floor(tolerated_count + bounds.slack_count)


def compute_cold_share(basis: ColdBasis, target: str) -> RateShare:
    """Compute the quota of this instance.

    Rendezvous hashing by target chooses as many instances as the usable part
    of the budget has requests, if there are that many.  The order does not
    depend on what instances tell of their load, since such news reach the
    instances at different times.

    :param basis: Budget and instances that may send.
    :param target: Identifier of the target.
    :returns: The quota; its burst and the refill of one second allow one whole
        number of requests.
    """
    senders = basis.senders
    usable_count = basis.budget_count // DIVERGENT_VIEW_COUNT
    if senders is None or not usable_count:
        return NO_SHARE
    names = senders.preferred + senders.others
    sender_count = min(len(names), usable_count)
    if not is_nearest_by_hash(target, senders.own, names, sender_count):
        return NO_SHARE
    return _make_share(usable_count // sender_count)


def cold_share_count(share: RateShare) -> int:
    """Return the most requests that a quota allows in any second.

    :param share: The quota.
    :returns: The number of requests.
    """
    return math.floor(share.burst_count + share.rate_per_second)


def extend_cold(
    cold: ColdState, cold_seconds: float, now_seconds: float
) -> None:
    """Record that a target is cold for at least a given time.

    :param cold: State of the target.
    :param cold_seconds: That time.
    :param now_seconds: Current time.
    """
    until_seconds = now_seconds + cold_seconds
    if until_seconds > cold.until_seconds:
        replace_cold(cold, cold_seconds, now_seconds)


def replace_cold(
    cold: ColdState, cold_seconds: float, now_seconds: float
) -> None:
    """Replace the remaining cold time of a target.

    :param cold: State of the target.
    :param cold_seconds: Remaining time; zero if the target is warm.
    :param now_seconds: Current time.
    """
    if cold.until_seconds <= now_seconds:
        # Nothing bounded the requests that were sent while it was warm.
        cold.basis = None
        cold.share = NO_SHARE
    cold.until_seconds = now_seconds + cold_seconds


def remaining_cold_seconds(cold: ColdState, now_seconds: float) -> float:
    """Return how long a target is still cold.

    :param cold: State of the target.
    :param now_seconds: Current time.
    :returns: Seconds; zero if it is warm.
    """
    return max(0.0, cold.until_seconds - now_seconds)


def update_cold_share(
    cold: ColdState, basis: ColdBasis | None, target: str, now_seconds: float
) -> None:
    """Refill the tokens, and apply changes of the budget and of the fleet.

    A quota that grows is used only after :data:`HOLD_SECONDS`.

    :param cold: State of the target.
    :param basis: What to compute the quota from; ``None`` for no limit.
    :param target: Identifier of the target.
    :param now_seconds: Current time.
    """
    _refill(cold, now_seconds)
    if basis == cold.basis:
        return
    former = cold.share
    cold.basis = basis
    cold.share = compute_cold_share(basis, target) if basis else NO_SHARE
    cold.tokens = min(cold.tokens, cold.share.burst_count)
    if cold.share.burst_count > former.burst_count:
        cold.tokens = cold.share.burst_count
        cold.usable_at_seconds = now_seconds + HOLD_SECONDS


def is_limited(cold: ColdState, now_seconds: float) -> bool:
    """Return whether requests to a target are limited, since it is cold.

    :param cold: State of the target.
    :param now_seconds: Current time.
    :returns: Whether it is cold and the deployment states limits.
    """
    return cold.basis is not None and now_seconds < cold.until_seconds


def cold_ready_at_seconds(cold: ColdState) -> float:
    """Return the time from which this instance may choose a target.

    :param cold: State of the target, with tokens as of now.
    :returns: The time of the next token, or at which the target is warm if
        that is earlier; in the past if it may be chosen now.
    """
    if cold.basis is None:
        return 0.0
    rate_per_second = cold.share.rate_per_second
    if not rate_per_second:
        return cold.until_seconds
    ready_seconds = cold.usable_at_seconds
    missing_count = 1 + cold.unwritten_count - cold.tokens
    if missing_count > 0:
        token_seconds = cold.refilled_seconds + missing_count / rate_per_second
        ready_seconds = max(ready_seconds, token_seconds)
    return min(cold.until_seconds, ready_seconds)


def reserve(cold: ColdState) -> None:
    """Count a request that is about to be written to a connection.

    :param cold: State of its target.
    """
    cold.unwritten_count += 1


def release(cold: ColdState) -> None:
    """Stop counting a request that ended before it was written.

    :param cold: State of its target.
    """
    cold.unwritten_count -= 1


def spend(cold: ColdState, now_seconds: float) -> bool:
    """Take a token for a request that can be written now.

    If it may be written, it no longer counts as one that is about to be.

    :param cold: State of its target.
    :param now_seconds: Current time.
    :returns: Whether it may be written.
    """
    if is_limited(cold, now_seconds):
        _refill(cold, now_seconds)
        if cold.tokens < 1 or now_seconds < cold.usable_at_seconds:
            return False
        cold.tokens -= 1
    release(cold)
    return True


def _make_share(quota_count: int) -> RateShare:
    burst_count = 1 + BURST_RATIO * (quota_count - 1)
    rate_per_second = quota_count + 1 - burst_count - REFILL_MARGIN
    return RateShare(rate_per_second, burst_count)


def _refill(cold: ColdState, now_seconds: float) -> None:
    elapsed_seconds = max(0.0, now_seconds - cold.refilled_seconds)
    earned_count = elapsed_seconds * cold.share.rate_per_second
    cold.tokens = min(cold.share.burst_count, cold.tokens + earned_count)
    cold.refilled_seconds = max(cold.refilled_seconds, now_seconds)
