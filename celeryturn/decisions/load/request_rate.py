"""This instance's share of the request rate that a target states.

A target may state how many requests a second it takes from all instances
together.  No instance can see what the others send, so each one takes a fixed
share, and the shares add up to no more than the limit even while the views of
the fleet differ: an instance that does not respond keeps its share, since it
may still reach the target.
"""

import math
from typing import Final, NamedTuple

from celeryturn.decisions.fleet.advice import preferred_members
from celeryturn.decisions.fleet.membership import Membership, Status
from celeryturn.decisions.fleet.ring import nearest_by_hash

BURST_COUNT: Final = 4.0
BURST_SECONDS: Final = 1.0
# An instance that shuts down still sends what it has accepted.
LEAVING_HOLD_SECONDS: Final = 10.0
# A target that states zero would otherwise never be asked again.
MIN_RATE_PER_SECOND: Final = 0.05
CONFIRMED_SECONDS: Final = 30.0
RELAX_DOUBLING_SECONDS: Final = 10.0
MAX_DOUBLINGS: Final = 24.0
# That a limit ended is remembered until no peer may still tell of it.
ENDED_HOLD_SECONDS: Final = 60.0


class Senders(NamedTuple):
    """Instances that may send requests to targets.

    :param own: Name of this instance.
    :param preferred: Names of those that callers are advised of.
    :param others: Names of all others.
    """

    own: str
    preferred: tuple[str, ...]
    others: tuple[str, ...]


class ShareBasis(NamedTuple):
    """What a share was computed from.

    :param limit_per_second: Limit that was applied.
    :param senders: Instances that may send.
    """

    limit_per_second: float
    senders: Senders


class RateShare(NamedTuple):
    """Requests that this instance may send to a target.

    :param rate_per_second: Requests a second on average.
    :param burst_count: Requests that it may save up.
    """

    rate_per_second: float
    burst_count: float


NO_SHARE: Final = RateShare(0.0, 0.0)


class ToldRate(NamedTuple):
    """What peers were last told of the request rate of a target.

    :param limit_per_second: The limit; infinite for none.
    :param stated_seconds: Time at which it was stated.
    """

    limit_per_second: float = math.inf
    stated_seconds: float = -math.inf


class RateLimit:
    """Request rate that a target states, and this instance's share of it.

    :param limit_per_second: Requests a second from all instances; infinite if
        the target states none any more.
    :param stated_seconds: Time at which it was last stated to any instance.
    :param share: Share of this instance.
    :param basis: What the share was computed from; ``None`` before that.
    :param tokens: Requests that may be sent at the time of the last refill.
    :param refilled_seconds: Time of the last refill.
    :param told: What peers were told.
    """

    __slots__ = (
        'basis',
        'limit_per_second',
        'refilled_seconds',
        'share',
        'stated_seconds',
        'told',
        'tokens',
    )

    def __init__(self, limit_per_second: float, stated_seconds: float) -> None:
        self.limit_per_second = limit_per_second
        self.stated_seconds = stated_seconds
        self.share = NO_SHARE
        self.basis: ShareBasis | None = None
        self.tokens = 0.0
        self.refilled_seconds = stated_seconds
        self.told = ToldRate()


def possible_senders(membership: Membership, now_seconds: float) -> Senders:
    """List the instances that may send requests to targets.

    Those that do not respond are included; those that left are not.

    :param membership: The membership table of this instance.
    :param now_seconds: Current time.
    :returns: The instances, including this one.
    """
    own = membership.own.instance
    since_seconds = membership.status_since_seconds
    members = [
        member
        for name, member in membership.members.items()
        if member.status is not Status.LEAVING
        or now_seconds - since_seconds[name] < LEAVING_HOLD_SECONDS
        or name == own
    ]
    preferred = {member.instance for member in preferred_members(members)}
    names = {member.instance for member in members}
    others = names - preferred
    return Senders(own, tuple(sorted(preferred)), tuple(sorted(others)))


def compute_share(
    limit_per_second: float, target: str, senders: Senders
) -> RateShare:
    """Compute this instance's share of a limit.

    Each sender may save up at least one request.  If there are more instances
    than requests may come at once, only as many of them as that send to the
    target; rendezvous hashing chooses others for each target.

    :param limit_per_second: Requests a second from all instances.
    :param target: Identifier of the target.
    :param senders: Instances that may send.
    :returns: The share.
    """
    rate_per_second = max(MIN_RATE_PER_SECOND, limit_per_second)
    burst_count = BURST_COUNT + BURST_SECONDS * rate_per_second
    instance_count = len(senders.preferred) + len(senders.others)
    sender_count = int(min(burst_count, instance_count))
    is_sender = sender_count == instance_count or senders.own in _choose(
        target, senders, sender_count
    )
    if not is_sender:
        return NO_SHARE
    return RateShare(rate_per_second / sender_count, burst_count / sender_count)


def current_limit(limit: RateLimit, now_seconds: float) -> float:
    """Return the limit to apply now.

    A limit that was not stated for :data:`CONFIRMED_SECONDS` grows, so that
    one that ended unnoticed does not hold forever.

    :param limit: The stated limit, which has not ended.
    :param now_seconds: Current time.
    :returns: Requests a second.
    """
    doublings = min(MAX_DOUBLINGS, _doublings(limit, now_seconds))
    return max(MIN_RATE_PER_SECOND, limit.limit_per_second) * 2**doublings


def active_limit(limit: RateLimit | None) -> RateLimit | None:
    """Return the limit of a target, unless it ended.

    :param limit: What is known of the target, if it ever stated a limit.
    :returns: The limit; ``None`` if there is none now.
    """
    if limit is None or math.isinf(limit.limit_per_second):
        return None
    return limit


def is_over(limit: RateLimit, now_seconds: float) -> bool:
    """Return whether a limit need not be remembered any longer.

    :param limit: The stated limit.
    :param now_seconds: Current time.
    :returns: Whether it ended, or was last stated, long ago.
    """
    if math.isinf(limit.limit_per_second):
        return now_seconds - limit.stated_seconds > ENDED_HOLD_SECONDS
    return _doublings(limit, now_seconds) > MAX_DOUBLINGS


def update_share(
    limit: RateLimit, target: str, senders: Senders, now_seconds: float
) -> None:
    """Apply changes of the limit and of the fleet to the share.

    What was saved up under the former share is kept.

    :param limit: The limit of the target.
    :param target: Identifier of the target.
    :param senders: Instances that may send.
    :param now_seconds: Current time.
    """
    if active_limit(limit) is None:
        return
    _refill(limit, now_seconds)
    basis = ShareBasis(current_limit(limit, now_seconds), senders)
    if basis != limit.basis:
        limit.basis = basis
        limit.share = compute_share(basis.limit_per_second, target, senders)
        limit.tokens = min(limit.tokens, limit.share.burst_count)


def take(limit: RateLimit, now_seconds: float) -> None:
    """Count a request that is sent.

    :param limit: The limit of the target.
    :param now_seconds: Current time.
    """
    _refill(limit, now_seconds)
    limit.tokens -= 1


def ready_at_seconds(limit: RateLimit | None) -> float:
    """Return the time from which this instance may send a request.

    :param limit: The limit of the target, if there is one.
    :returns: The time, in the past if it may send now; infinite if it has no
        share.
    """
    active = active_limit(limit)
    if active is None or active.tokens >= 1:
        return 0.0
    rate_per_second = active.share.rate_per_second
    if not rate_per_second:
        return math.inf
    return active.refilled_seconds + (1 - active.tokens) / rate_per_second


def _doublings(limit: RateLimit, now_seconds: float) -> float:
    age_seconds = now_seconds - limit.stated_seconds
    return max(0.0, age_seconds - CONFIRMED_SECONDS) / RELAX_DOUBLING_SECONDS


def _refill(limit: RateLimit, now_seconds: float) -> None:
    elapsed_seconds = max(0.0, now_seconds - limit.refilled_seconds)
    earned_count = elapsed_seconds * limit.share.rate_per_second
    limit.tokens = min(limit.share.burst_count, limit.tokens + earned_count)
    limit.refilled_seconds = now_seconds


def _choose(target: str, senders: Senders, count: int) -> list[str]:
    chosen = nearest_by_hash(target, senders.preferred, count)
    remaining_count = count - len(chosen)
    return chosen + nearest_by_hash(target, senders.others, remaining_count)
