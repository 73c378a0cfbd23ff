"""Legs of a search whose next attempt waits.

Under load, or while many targets fail, a leg may find no token for a retry, or
only targets that shed it.  To give it up at once would fail a search most of
whose shards have replied, and its caller would ask all of them again.  Such a
leg waits while the answer can still be in time, and is tried again at short
intervals: targets free slots, and tokens are earned meanwhile.
"""

from collections.abc import Iterator
from typing import Final

from celeryturn.decisions.request.legs import (
    Leg,
    MissingResource,
    ShardedRequest,
)
from celeryturn.decisions.request.replies import AttemptOutcome

RETRY_INTERVAL_SECONDS: Final = 0.02
# The reply to an attempt takes at least this long.
MIN_REPLY_SECONDS: Final = 0.005


def may_wait(request: ShardedRequest, leg: Leg, now_seconds: float) -> bool:
    """Return whether a leg without another attempt should wait for one.

    A request with a single leg is answered at once: as not run, if it was
    shed.

    :param request: Request of the leg.
    :param leg: Leg that has no attempt in flight.
    :param now_seconds: Current time.
    :returns: Whether other legs have succeeded or are in flight, the answer
        can still be in time, and the leg lacks only what time brings.
    """
    is_alone = not request.in_flight and not request.success_count
    retry_seconds = now_seconds + RETRY_INTERVAL_SECONDS
    is_in_time = retry_seconds + MIN_REPLY_SECONDS < request.plan.due_seconds
    if is_alone or not is_in_time:
        return False
    is_shed = leg.last_outcome is AttemptOutcome.SHED
    return is_shed or leg.missing_resource is MissingResource.EXTRA_LOAD


def wait(leg: Leg, now_seconds: float) -> None:
    """Let a leg wait for its next attempt.

    Targets that shed the leg may be tried again, since it has not run there.

    :param leg: The leg.
    :param now_seconds: Current time.
    """
    leg.retry_at_seconds = now_seconds + RETRY_INTERVAL_SECONDS
    leg.tried_targets -= leg.shed_by
    leg.shed_by.clear()


def due_positions(request: ShardedRequest, now_seconds: float) -> Iterator[int]:
    """List the legs whose wait is over.

    :param request: The request.
    :param now_seconds: Current time.
    :returns: Indexes of the legs.
    """
    for position, leg in enumerate(request.legs):
        if is_waiting(leg) and now_seconds >= leg.retry_at_seconds:
            yield position


def is_waiting(leg: Leg) -> bool:
    """Return whether a leg waits for its next attempt.

    :param leg: The leg.
    :returns: Whether it is neither settled nor has an attempt in flight, and
        is to be tried again.
    """
    return bool(leg.retry_at_seconds) and not leg.is_settled
