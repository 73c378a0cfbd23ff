"""What targets state about their request rate, to this instance and to peers.

Statements are ordered by the time at which a target made them.  Peers tell
their age, so that clocks need not agree; on the way it grows a little, which
:data:`ORDER_MARGIN_SECONDS` allows for.
"""

import math
from collections.abc import Iterable, Iterator
from typing import Annotated, Final, NamedTuple, TypeAlias

import msgspec

from celeryturn.decisions.load.request_rate import (
    RateLimit,
    ToldRate,
    is_over,
)
from celeryturn.decisions.targets.directory import Directory, find_replica
from celeryturn.decisions.targets.replicas import Replica
from celeryturn.units import MAX_AGE_SECONDS, AgeSeconds, Integer

ORDER_MARGIN_SECONDS: Final = 0.1
TELL_AGAIN_SECONDS: Final = 10.0
MIN_CHANGE_SHARE: Final = 0.02

RatePerSecond: TypeAlias = Annotated[float, msgspec.Meta(ge=0)]
# A target and the limit that it stated.
Limited: TypeAlias = tuple[Replica, RateLimit]


class StatedRate(NamedTuple):
    """The last statement of one target.

    :param target: Identifier of the target.
    :param born_ms: Unix time of its start.
    :param limit_per_second: Requests a second from all instances; infinite if
        the target states none any more.
    :param age_seconds: Time since the statement.
    """

    target: str
    born_ms: Integer
    limit_per_second: RatePerSecond
    age_seconds: AgeSeconds


def observe_statement(
    replica: Replica,
    limit_per_second: float,
    written_seconds: float,
    now_seconds: float,
) -> None:
    """Record what a reply states.

    :param replica: Target that replied.
    :param limit_per_second: Requests a second from all instances; infinite if
        the reply states none.
    :param written_seconds: Time at which the request was written.  A reply to
        one that is older than the last statement does not raise the limit.
    :param now_seconds: Time of the reply.
    """
    known = replica.rate_limit
    if known is None:
        if math.isfinite(limit_per_second):
            replica.rate_limit = RateLimit(limit_per_second, now_seconds)
        return
    is_higher = limit_per_second > known.limit_per_second
    if is_higher and written_seconds <= known.stated_seconds:
        return
    if math.isinf(limit_per_second) and math.isinf(known.limit_per_second):
        return
    known.limit_per_second = limit_per_second
    known.stated_seconds = now_seconds


class Merged(NamedTuple):
    """A target of which a peer told the latest statement.

    :param replica: The target.
    :param limit: What is known of it now.
    :param former_per_second: The limit that was known before; infinite for
        none.
    """

    replica: Replica
    limit: RateLimit
    former_per_second: float


def merge_told(
    directory: Directory, told: Iterable[StatedRate], now_seconds: float
) -> Iterator[Merged]:
    """Merge what a peer tells.

    :param directory: Known targets.
    :param told: The statements.
    :param now_seconds: Time of receipt.
    :returns: Targets of which this is the latest statement.
    """
    for stated in told:
        replica = find_replica(directory, stated.target)
        if replica is None or replica.entry.born_ms != stated.born_ms:
            continue
        stated_seconds = now_seconds - stated.age_seconds
        known = replica.rate_limit
        if known is None:
            known = RateLimit(math.inf, -math.inf)
            replica.rate_limit = known
        if stated_seconds > known.stated_seconds + ORDER_MARGIN_SECONDS:
            former_per_second = known.limit_per_second
            known.limit_per_second = stated.limit_per_second
            known.stated_seconds = stated_seconds
            yield Merged(replica, known, former_per_second)


def list_stated(
    directory: Directory, now_seconds: float
) -> tuple[StatedRate, ...]:
    """List the last statement of each target that made one.

    :param directory: Known targets.
    :param now_seconds: Current time.
    :returns: The statements.
    """
    return tuple(
        _describe(replica, limit, now_seconds)
        for replica, limit in limited_replicas(directory)
    )


def limited_replicas(directory: Directory) -> Iterator[Limited]:
    """List the targets that stated a limit.

    :param directory: Known targets.
    :returns: The targets, each with its limit.
    """
    for replicas in directory.replicas.values():
        for replica in replicas.values():
            if replica.rate_limit is not None:
                yield replica, replica.rate_limit


def prune_limits(
    directory: Directory, now_seconds: float
) -> tuple[Limited, ...]:
    """Forget limits that ended, or were last stated, long ago.

    :param directory: Known targets.
    :param now_seconds: Current time.
    :returns: The targets whose limits are kept.
    """
    kept = []
    for replica, limit in limited_replicas(directory):
        if is_over(limit, now_seconds):
            replica.rate_limit = None
        else:
            kept.append((replica, limit))
    return tuple(kept)


def take_due(
    limited: Iterable[Limited], now_seconds: float
) -> tuple[StatedRate, ...]:
    """List what peers are to be told now, and record that they are.

    That is what has changed, and every :data:`TELL_AGAIN_SECONDS` that a
    target still states its limit.

    :param limited: Targets that stated a limit.
    :param now_seconds: Current time.
    :returns: The statements.
    """
    due = []
    for replica, limit in limited:
        if _is_due(limit):
            limit.told = ToldRate(limit.limit_per_second, limit.stated_seconds)
            due.append(_describe(replica, limit, now_seconds))
    return tuple(due)


def _is_due(limit: RateLimit) -> bool:
    told = limit.told
    if limit.stated_seconds - told.stated_seconds > TELL_AGAIN_SECONDS:
        return True
    return not math.isclose(
        told.limit_per_second, limit.limit_per_second, rel_tol=MIN_CHANGE_SHARE
    )


def _describe(
    replica: Replica, limit: RateLimit, now_seconds: float
) -> StatedRate:
    age_seconds = max(0.0, now_seconds - limit.stated_seconds)
    return StatedRate(
        replica.entry.target,
        replica.entry.born_ms,
        limit.limit_per_second,
        min(MAX_AGE_SECONDS, age_seconds),
    )
