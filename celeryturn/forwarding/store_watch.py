"""Watch the store of the platform for changed routes and targets."""

import asyncio
from collections.abc import Iterable
from typing import Final, NamedTuple

from celeryturn.decisions.fleet.membership import live_count
from celeryturn.decisions.targets import directory
from celeryturn.decisions.targets.entry_history import (
    record_change,
    record_list,
    record_removal,
)
from celeryturn.decisions.targets.replicas import TargetEntry
from celeryturn.errors import CeleryturnError
from celeryturn.events import ENTRY_UNUSABLE, STORE_BACK, STORE_LOST, log
from celeryturn.forwarding import shared_state
from celeryturn.forwarding.request_log import log_dropped_lines
from celeryturn.forwarding.shared_state import SharedState, StoreProgress
from celeryturn.forwarding.target_pools import prune_pools
from celeryturn.platform.documents import (
    TABLE_KEY,
    TARGETS_PREFIX,
    decode_entry,
)
from celeryturn.platform.store import (
    Change,
    Changes,
    HistoryGoneError,
    StoreClient,
    StoreError,
)

WATCH_WAIT_SECONDS: Final = 20.0
# After an outage without responses, the store never answers the watches that
# were sent before it recovered.  Checks detect the outage, so that an instance
# is up to date within 4 s of the recovery.
CHECK_INTERVAL_SECONDS: Final = 1.5
LOST_WATCH_WAIT_SECONDS: Final = 0.5
WATCH_SLACK_SECONDS: Final = 0.8
LOST_WATCH_SLACK_SECONDS: Final = 1.6
MIN_RETRY_DELAY_SECONDS: Final = 0.3
MAX_RETRY_DELAY_SECONDS: Final = 0.9
# An instance without a list of targets cannot serve callers until the store
# responds, so it retries sooner.
UNINITIALIZED_RETRY_SHARE: Final = 0.25
FIRST_READ_TIMEOUT_SECONDS: Final = 0.4
MAX_READ_TIMEOUT_SECONDS: Final = 1.5
READ_GROWTH_FACTOR: Final = 2.0
MAX_FAILED_COUNT: Final = 8
MIN_CHANGE_PAUSE_SECONDS: Final = 0.4
CHANGE_PAUSE_PER_INSTANCE_SECONDS: Final = 0.02
MAX_CHANGE_PAUSE_SECONDS: Final = 1.2
BEHIND_GRACE_SECONDS: Final = 0.8
HOUSEKEEPING_INTERVAL_SECONDS: Final = 0.25
MAX_IDLE_SECONDS: Final = 8.0


class BehindStoreError(StoreError):
    """The store has a later revision, which the watch does not report."""


class StoreClients(NamedTuple):
    """Connections to the store.

    :param watcher: Reads the store and waits for changes.
    :param checker: Checks meanwhile that the store responds.
    """

    watcher: StoreClient
    checker: StoreClient


async def watch_store(shared: SharedState) -> None:
    """Read the store and watch it until cancelled.

    :param shared: Shared state of the instance.
    """
    endpoint = shared.settings.instance.configuration
    clients = StoreClients(StoreClient(endpoint), StoreClient(endpoint))
    try:
        while True:
            await _sync_or_wait(shared, clients)
    finally:
        clients.watcher.close()
        clients.checker.close()


def note_revision(shared: SharedState, later_revision: int) -> None:
    """Start a new watch if this instance remains behind the store.

    A watch on a connection that appears open may never be answered.  The new
    watch is started if this instance is still behind after
    :data:`BEHIND_GRACE_SECONDS`.

    :param shared: Shared state of the instance.
    :param later_revision: Revision that a peer or a check has read.
    """
    progress = shared.progress
    if later_revision <= progress.revision or not progress.revision:
        return

    def restart_if_behind() -> None:
        if progress.revision < later_revision:
            progress.is_behind.set()

    asyncio.get_running_loop().call_later(
        BEHIND_GRACE_SECONDS, restart_if_behind
    )


async def run_housekeeping(shared: SharedState) -> None:
    """Drop expired targets and unused connections until cancelled.

    The number of dropped log lines is logged at the same interval.

    :param shared: Shared state of the instance.
    """
    while True:
        await asyncio.sleep(HOUSEKEEPING_INTERVAL_SECONDS)
        now_seconds = shared_state.now()
        directory.drop_expired(shared.directory, now_seconds)
        prune_pools(shared, now_seconds - MAX_IDLE_SECONDS)
        log_dropped_lines(shared)


async def _sync_or_wait(shared: SharedState, clients: StoreClients) -> None:
    progress = shared.progress
    try:
        await _sync_once(shared, clients)
    except HistoryGoneError:
        progress.revision = 0
    except OSError as error:
        _record_failure(progress, error)
        await asyncio.sleep(
            retry_delay_seconds(progress, shared.instance.random())
        )


async def _sync_once(shared: SharedState, clients: StoreClients) -> None:
    progress = shared.progress
    if not progress.revision:
        progress.revision = await _read_all(shared, clients.watcher)
        return
    changes = await _watch(shared, clients)
    _record_response(shared)
    _apply_changes(shared, changes)
    progress.revision = max(progress.revision, changes.revision)
    if changes.changes:
        # Changes come in bursts and each call to the store has a cost, so
        # pause here: the next call then returns several changes.
        await asyncio.sleep(change_pause_seconds(shared))


def change_pause_seconds(shared: SharedState) -> float:
    """Return the pause after a change, before the store is called again.

    :param shared: Shared state of the instance.
    :returns: Seconds.  Every instance calls the store after a change, so the
        pause grows with the fleet, up to :data:`MAX_CHANGE_PAUSE_SECONDS`.
    """
    instance_count = live_count(shared.instance.membership)
    pause_seconds = CHANGE_PAUSE_PER_INSTANCE_SECONDS * instance_count
    return min(
        MAX_CHANGE_PAUSE_SECONDS, max(MIN_CHANGE_PAUSE_SECONDS, pause_seconds)
    )


async def _watch(shared: SharedState, clients: StoreClients) -> Changes:
    progress = shared.progress
    progress.is_behind.clear()
    loop = asyncio.get_running_loop()
    wait_seconds, slack_seconds = watch_timeouts(progress)
    watch_task = loop.create_task(
        clients.watcher.watch(
            '', progress.revision, wait_seconds, slack_seconds
        )
    )
    behind_task = loop.create_task(progress.is_behind.wait())
    check_task = loop.create_task(_check_store(shared, clients.checker))
    tasks = (watch_task, behind_task, check_task)
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    for task in (watch_task, check_task):
        if not task.cancelled():
            return task.result()
    raise BehindStoreError('the watch does not report a later revision')


async def _check_store(shared: SharedState, checker: StoreClient) -> Changes:
    # Ends only with an error, if the store does not respond to a check.
    while True:
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        revision = await checker.read_revision(WATCH_SLACK_SECONDS)
        shared.progress.last_contact_seconds = shared_state.now()
        note_revision(shared, revision)


def watch_timeouts(progress: StoreProgress) -> tuple[float, float]:
    """Return the timeouts of the next watch.

    :param progress: Progress of reading the store.
    :returns: Seconds that the store waits for changes, and seconds that its
        response may take beyond that.  After a failure the store may be slow,
        and the latter is :data:`LOST_WATCH_SLACK_SECONDS`.
    """
    if not progress.is_lost:
        return WATCH_WAIT_SECONDS, WATCH_SLACK_SECONDS
    return LOST_WATCH_WAIT_SECONDS, LOST_WATCH_SLACK_SECONDS


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
    is_uninitialized = not progress.target_list_revision
    return (
        delay_seconds * UNINITIALIZED_RETRY_SHARE
        if is_uninitialized
        else delay_seconds
    )


def _record_failure(progress: StoreProgress, error: OSError) -> None:
    if not progress.is_lost:
        log(STORE_LOST, detail=repr(error))
    progress.is_lost = True
    progress.failed_count = min(progress.failed_count + 1, MAX_FAILED_COUNT)


def _record_response(shared: SharedState) -> None:
    shared.progress.last_contact_seconds = shared_state.now()
    shared.progress.failed_count = 0
    if shared.progress.is_lost:
        shared.progress.is_lost = False
        directory.record_store_recovery(shared.directory, shared_state.now())
        log(STORE_BACK, revision=shared.progress.revision)


async def _read_all(shared: SharedState, client: StoreClient) -> int:
    timeout_seconds = read_timeout_seconds(shared.progress)
    routes = await client.read(TABLE_KEY, timeout_seconds)
    targets = await client.read(TARGETS_PREFIX, timeout_seconds)
    _record_response(shared)
    _offer_routes(shared, routes)
    entries = {
        entry.target: entry
        for entry in _decode_entries(shared, targets.changes)
    }
    directory.apply_list(shared.directory, entries, shared_state.now())
    record_list(shared.progress.history, entries, routes.revision)
    return routes.revision


def _offer_routes(shared: SharedState, routes: Changes) -> None:
    for change in routes.changes:
        if change.key == TABLE_KEY and change.body is not None:
            shared_state.adopt_table(shared, change.body, 'store')


def _apply_changes(shared: SharedState, changes: Changes) -> None:
    latest = {change.key: change for change in changes.changes}
    removed = []
    for change in latest.values():
        if change.key == TABLE_KEY:
            _offer_routes(shared, Changes((change,), 0))
        elif change.key.startswith(TARGETS_PREFIX):
            target = change.key.removeprefix(TARGETS_PREFIX)
            if change.body is None:
                removed.append(target)
                record_removal(
                    shared.progress.history, target, changes.revision
                )
            else:
                _apply_entry_change(shared, change, changes.revision)
    directory.apply_missing(shared.directory, removed, shared_state.now())


def _apply_entry_change(
    shared: SharedState, change: Change, revision: int
) -> None:
    target = change.key.removeprefix(TARGETS_PREFIX)
    for entry in _decode_entries(shared, (change,)):
        directory.apply_entry(shared.directory, entry, shared_state.now())
        record_change(shared.progress.history, target, revision)
        return
    # The new entry cannot be decoded, so the target is removed.
    directory.drop(shared.directory, target)
    record_removal(shared.progress.history, target, revision)


def _decode_entries(
    shared: SharedState, changes: Iterable[Change]
) -> Iterable[TargetEntry]:
    for change in changes:
        target = change.key.removeprefix(TARGETS_PREFIX)
        try:
            yield decode_entry(target, change.body or b'')
        except CeleryturnError as error:
            log(ENTRY_UNUSABLE, target=target, detail=error.detail)
