"""When a blocked request is tried once more, and at which instance.

A request may be blocked though it is not to blame, or its targets may have been
mended since.  One instance sends it to one target at a time; what it learns is
told to all.
"""

from collections.abc import Iterable
from typing import Final

from celeryturn.decisions.fleet.membership import Member, Status
from celeryturn.decisions.fleet.ring import nearest_by_hash
from celeryturn.decisions.request.fingerprint import Fingerprint
from celeryturn.decisions.request.quarantine import (
    ENDS_BEFORE_BLOCK,
    KEEP_SECONDS,
    Record,
    counted_ends,
)

# Time from the latest end to each trial.  The first comes soon, for requests
# that were only in flight when many targets ended at once.
TRIAL_DELAYS_SECONDS: Final = (1.0, 300.0)
# An end so much later than the one that blocked the request is that of a trial.
TRIAL_MARGIN_SECONDS: Final = 0.9
MIN_RETRY_SECONDS: Final = 1.0


def is_trial_due(record: Record, now_seconds: float) -> bool:
    """Return whether a blocked request may be tried now.

    :param record: What is known of the request.
    :param now_seconds: Current time.
    :returns: Whether its delay has passed and no trial is under way here.
    """
    if now_seconds < record.trial_until_seconds:
        return False
    return now_seconds >= trial_at_seconds(record)


def trial_at_seconds(record: Record) -> float:
    """Return the time from which a blocked request may be tried again.

    :param record: What is known of the request.
    :returns: The time of the next trial; that at which the request is
        forgotten if all trials have ended a target.
    """
    times = sorted(end.ended_seconds for end in counted_ends(record))
    blocked_seconds = times[ENDS_BEFORE_BLOCK - 1]
    trial_count = sum(
        ended_seconds >= blocked_seconds + TRIAL_MARGIN_SECONDS
        for ended_seconds in times
    )
    if trial_count >= len(TRIAL_DELAYS_SECONDS):
        return times[-1] + KEEP_SECONDS
    return times[-1] + TRIAL_DELAYS_SECONDS[trial_count]


def retry_after_seconds(record: Record, now_seconds: float) -> float:
    """Return when the caller of a blocked request may come again.

    :param record: What is known of the request.
    :param now_seconds: Current time.
    :returns: Seconds until the next trial.
    """
    wait_seconds = trial_at_seconds(record) - now_seconds
    return max(MIN_RETRY_SECONDS, wait_seconds)


def makes_trial(
    own: Member, members: Iterable[Member], fingerprint: Fingerprint
) -> bool:
    """Return whether this instance is the one that tries a request.

    :param own: Entry of this instance.
    :param members: Known entries of the instances.
    :param fingerprint: Fingerprint of the request.
    :returns: Whether rendezvous hashing over the live instances chooses it.
    """
    names = {member.instance for member in members if _is_usable(member)}
    names.add(own.instance)
    return nearest_by_hash(fingerprint.hex(), names, 1) == [own.instance]


def _is_usable(member: Member) -> bool:
    return member.status is Status.ALIVE and member.reaches_targets
