"""Timeouts and pauses of the calls to the platform's store."""

from typing import Final

from celeryturn.decisions.fleet.delegates import count_delegates
from celeryturn.decisions.fleet.membership import Membership
from celeryturn.forwarding.store.progress import StoreProgress, lacks_changes

WATCH_WAIT_SECONDS: Final = 20.0
# After an outage without responses, the store never answers the watches that
# were sent before it recovered.  Checks detect the outage, so that an instance
# is up to date within 4 s of the recovery.
CHECK_INTERVAL_SECONDS: Final = 1.5
SHORT_WATCH_WAIT_SECONDS: Final = 0.5
NO_WAIT_SECONDS: Final = 0.001
WATCH_SLACK_SECONDS: Final = 0.8
LOST_WATCH_SLACK_SECONDS: Final = 1.6
MIN_RETRY_DELAY_SECONDS: Final = 0.3
MAX_RETRY_DELAY_SECONDS: Final = 0.9
# An instance without a list of targets cannot serve callers until the store
# responds, so it retries sooner.
UNINITIALIZED_RETRY_SHARE: Final = 0.25
# Delegates notice the return of the store, and tell it.
RELYING_RETRY_FACTOR: Final = 2.5
FIRST_READ_TIMEOUT_SECONDS: Final = 0.4
MAX_READ_TIMEOUT_SECONDS: Final = 1.5
READ_GROWTH_FACTOR: Final = 2.0
FIRST_PAUSE_SECONDS: Final = 1.5
MIN_CHANGE_PAUSE_SECONDS: Final = 0.4
CHANGE_PAUSE_PER_CALLER_SECONDS: Final = 0.02
MAX_CHANGE_PAUSE_SECONDS: Final = 1.2
# All instances start anew, or read everything again, at the same moment.
REREAD_SPREAD_PER_INSTANCE_SECONDS: Final = 0.003
MAX_REREAD_SPREAD_SECONDS: Final = 0.6
# Age of what delegates tell at which an instance asks the store itself.
MAX_PEER_AGE_SECONDS: Final = 3.0
PEER_AGE_SPREAD_SECONDS: Final = 0.5


def change_pause_seconds(membership: Membership) -> float:
    """Return the pause after a change, before the store is called again.

    :param membership: The membership table of this instance.
    :returns: Seconds.  All that follow the store call it after a change, so
        the pause grows with their number, up to
        :data:`MAX_CHANGE_PAUSE_SECONDS`.
    """
    caller_count = count_delegates(membership)
    pause_seconds = CHANGE_PAUSE_PER_CALLER_SECONDS * caller_count
    return min(
        MAX_CHANGE_PAUSE_SECONDS, max(MIN_CHANGE_PAUSE_SECONDS, pause_seconds)
    )


def watch_timeouts(progress: StoreProgress) -> tuple[float, float]:
    """Return the timeouts of the next watch.

    :param progress: Progress of reading the store.
    :returns: Seconds that the store waits for changes, and seconds that its
        response may take beyond that.  A watch for changes that this instance
        lacks does not wait.  After a failure the store may be slow, and the
        latter is :data:`LOST_WATCH_SLACK_SECONDS`.
    """
    slack_seconds = (
        LOST_WATCH_SLACK_SECONDS if progress.is_lost else WATCH_SLACK_SECONDS
    )
    return _watch_wait_seconds(progress), slack_seconds


def _watch_wait_seconds(progress: StoreProgress) -> float:
    if lacks_changes(progress):
        return NO_WAIT_SECONDS
    if progress.is_lost:
        return SHORT_WATCH_WAIT_SECONDS
    return NO_WAIT_SECONDS if progress.relies_on_peers else WATCH_WAIT_SECONDS


def read_timeout_seconds(progress: StoreProgress) -> float:
    """Return the timeout of the next read of all routes and targets.

    :param progress: Progress of reading the store.
    :returns: Seconds for each response.  The timeout grows with each
        consecutive failure, since the store may be slow, up to
        :data:`MAX_READ_TIMEOUT_SECONDS`.
    """
    timeout_seconds = (
        FIRST_READ_TIMEOUT_SECONDS * READ_GROWTH_FACTOR**progress.failed_count
    )
    return min(MAX_READ_TIMEOUT_SECONDS, timeout_seconds)


def retry_delay_seconds(
    progress: StoreProgress, random_fraction: float
) -> float:
    """Return the delay before the store is called again after a failure.

    :param progress: Progress of reading the store.
    :param random_fraction: Random number in [0, 1), so that instances do not
        retry at the same time.
    :returns: Seconds from the failure to the next call.
    """
    spread_seconds = MAX_RETRY_DELAY_SECONDS - MIN_RETRY_DELAY_SECONDS
    delay_seconds = MIN_RETRY_DELAY_SECONDS + spread_seconds * random_fraction
    if not progress.position.revision:
        return delay_seconds * UNINITIALIZED_RETRY_SHARE
    if progress.relies_on_peers:
        return delay_seconds * RELYING_RETRY_FACTOR
    return delay_seconds


def reread_delay_seconds(instance_count: int, random_fraction: float) -> float:
    """Return the delay before everything is read again.

    :param instance_count: Number of instances that may do so.
    :param random_fraction: Random number in [0, 1).
    :returns: Seconds.
    """
    spread_seconds = REREAD_SPREAD_PER_INSTANCE_SECONDS * instance_count
    return random_fraction * min(MAX_REREAD_SPREAD_SECONDS, spread_seconds)


def max_peer_age_seconds(random_fraction: float) -> float:
    """Return the age of what peers tell at which the store is asked instead.

    :param random_fraction: Random number in [0, 1), so that one of several
        neighbours asks first and tells the others.
    :returns: Seconds.
    """
    return MAX_PEER_AGE_SECONDS + PEER_AGE_SPREAD_SECONDS * random_fraction
