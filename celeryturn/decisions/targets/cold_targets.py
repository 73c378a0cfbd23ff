"""What makes targets cold, and what follows for their choice."""

from collections.abc import Sequence

from celeryturn.decisions.load.cold_share import (
    cold_ready_at_seconds,
    extend_cold,
    is_limited,
    replace_cold,
)
from celeryturn.decisions.targets.replicas import (
    Replica,
    TargetEntry,
    available_at_seconds,
    available_if_warm_at_seconds,
)


def expect_cold(
    replica: Replica, cold_seconds: float, now_seconds: float
) -> None:
    """Record that a target is cold for at least a given time.

    A time that was already known and ends later still applies.  A later entry
    of the target replaces both.

    :param replica: The target.
    :param cold_seconds: That time, from now on.
    :param now_seconds: Current time.
    """
    extend_cold(replica.cold, cold_seconds, now_seconds)


def observe_cold_entry(
    replica: Replica, entry: TargetEntry, now_seconds: float
) -> None:
    """Record the remaining cold time of a further entry of the same start.

    :param replica: The target, with its former entry.
    :param entry: The entry.  Its time replaces what is known if its sequence
        number is higher than that of the former one, and is ignored otherwise:
        the same entry may be read again at any later time.
    :param now_seconds: Time at which it was read.
    """
    if entry.sequence > replica.entry.sequence:
        replace_cold(replica.cold, entry.cold_seconds, now_seconds)


def prefer_warm(
    replicas: Sequence[Replica], now_seconds: float
) -> Sequence[Replica]:
    """Leave out cold targets while a warm one is available.

    :param replicas: Candidates for a hedge or a retry.
    :param now_seconds: Current time.
    :returns: The warm ones; all candidates if no warm one accepts requests
        now.
    """
    warm = [
        replica
        for replica in replicas
        if not is_limited(replica.cold, now_seconds)
    ]
    is_available = any(
        available_at_seconds(replica) <= now_seconds for replica in warm
    )
    return warm if is_available else replicas


def lacks_cold_share(replica: Replica, now_seconds: float) -> bool:
    """Return whether a target is not available for its cold share only.

    :param replica: The target.
    :param now_seconds: Current time.
    :returns: Whether it is cold, this instance may not send to it now, and
        nothing else prevents that.
    """
    return (
        cold_ready_at_seconds(replica.cold) > now_seconds
        and available_if_warm_at_seconds(replica) <= now_seconds
    )
