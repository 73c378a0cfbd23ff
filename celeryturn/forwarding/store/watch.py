"""Follow the store of the platform, or the peers that follow it."""

import asyncio
from collections.abc import Coroutine
from typing import Final, NamedTuple

from celeryturn.decisions.fleet.delegates import is_delegate
from celeryturn.decisions.fleet.membership import live_count
from celeryturn.decisions.store_position import StorePosition
from celeryturn.decisions.targets import directory
from celeryturn.events import STORE_BACK, STORE_LOST, log
from celeryturn.forwarding import shared_state
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.forwarding.store import timing as store_timing
from celeryturn.forwarding.store.changes import (
    apply_all,
    apply_changes,
    offer_routes,
)
from celeryturn.forwarding.store.entries import decode_entries
from celeryturn.forwarding.store.progress import (
    StoreProgress,
    confirm,
    lacks_changes,
)
from celeryturn.platform.documents import (
    OPERATOR_PREFIX,
    TABLE_KEY,
    TARGETS_PREFIX,
)
from celeryturn.platform.store import (
    Changes,
    HistoryGoneError,
    StoreClient,
    StoreError,
)

MAX_FAILED_COUNT: Final = 8
BEHIND_GRACE_SECONDS: Final = 0.8
RELY_INTERVAL_SECONDS: Final = 0.5
# A watch that returns fewer changes returns all.
MIN_CUT_WATCH_COUNT: Final = 100


class BehindStoreError(StoreError):
    """The store has a later position, which the watch does not report."""


class StoreRestoredError(HistoryGoneError):
    """The store was restored from a copy, so that its history differs."""


class StoreClients(NamedTuple):
    """Connections to the store.

    :param watcher: Reads the store and waits for changes.
    :param checker: Checks meanwhile that the store responds.
    """

    watcher: StoreClient
    checker: StoreClient


async def watch_store(shared: SharedState) -> None:
    """Read the store, then follow it or the peers until cancelled.

    :param shared: Shared state of the instance.
    """
    endpoint = shared.settings.instance.configuration
    call_counts = shared.instance.metrics.traffic.store_calls
    clients = StoreClients(
        StoreClient(endpoint, call_counts), StoreClient(endpoint, call_counts)
    )
    try:
        while True:
            await _follow(shared, clients)
    finally:
        clients.watcher.close()
        clients.checker.close()


def note_position(shared: SharedState, shown: StorePosition) -> None:
    """Record a position that a call or a peer has shown.

    A watch on a connection that appears open may never be answered, and a peer
    may not send what it has.  The store is therefore called if this instance
    does not come closer to the position in :data:`BEHIND_GRACE_SECONDS`.

    :param shared: Shared state of the instance.
    :param shown: The position.
    """
    progress = shared.progress
    if shown <= progress.highest_position or not progress.position.revision:
        return
    is_checked = lacks_changes(progress)
    progress.highest_position = shown
    if not is_checked:
        _check_progress_later(progress)


def _check_progress_later(progress: StoreProgress) -> None:
    before = progress.position

    def check_progress() -> None:
        if not lacks_changes(progress):
            return
        if progress.position == before:
            progress.is_behind.set()
        _check_progress_later(progress)

    asyncio.get_running_loop().call_later(BEHIND_GRACE_SECONDS, check_progress)


async def _follow(shared: SharedState, clients: StoreClients) -> None:
    progress = shared.progress
    progress.relies_on_peers = not is_delegate(shared.instance.membership)
    is_up_to_date = not (
        progress.must_read_all
        or progress.is_lost
        or progress.is_behind.is_set()
        or _is_peer_news_old(shared)
    )
    if progress.relies_on_peers and is_up_to_date:
        await _wait_for_peers(progress)
    else:
        await _sync_or_wait(shared, clients)


def _is_peer_news_old(shared: SharedState) -> bool:
    age_seconds = shared_state.now() - shared.progress.newest_seconds
    return age_seconds > store_timing.max_peer_age_seconds(
        shared.instance.random()
    )


async def _wait_for_peers(progress: StoreProgress) -> None:
    try:
        async with asyncio.timeout(RELY_INTERVAL_SECONDS):
            await progress.is_behind.wait()
    except TimeoutError:
        return


async def _sync_or_wait(shared: SharedState, clients: StoreClients) -> None:
    progress = shared.progress
    random_fraction = shared.instance.random()
    try:
        await _sync_once(shared, clients)
    except HistoryGoneError:
        progress.must_read_all = True
        progress.may_read_old = False
        instance_count = live_count(shared.instance.membership)
        await asyncio.sleep(
            store_timing.reread_delay_seconds(instance_count, random_fraction)
        )
    except OSError as error:
        _record_failure(progress, error)
        await asyncio.sleep(
            store_timing.retry_delay_seconds(progress, random_fraction)
        )


async def _sync_once(shared: SharedState, clients: StoreClients) -> None:
    progress = shared.progress
    if progress.must_read_all:
        await _read_all(shared, clients.watcher)
        return
    await _read_missed_routes(shared, clients.watcher)
    changes = await _watch(shared, clients)
    _record_response(shared)
    await _apply_watched(shared, changes)
    if changes.changes and not lacks_changes(progress):
        # Changes come in bursts and each call to the store has a cost, so
        # pause here: the next call then returns several changes.
        await asyncio.sleep(
            store_timing.change_pause_seconds(shared.instance.membership)
        )


async def _apply_watched(shared: SharedState, changes: Changes) -> None:
    entries = await decode_entries(changes.changes)
    progress = shared.progress
    before = progress.position
    if changes.position.era != before.era:
        raise StoreRestoredError(
            f'the store is in era {changes.position.era}, not {before.era}'
        )
    if len(changes.changes) < MIN_CUT_WATCH_COUNT:
        # The store knows better than a peer that has shown a later position.
        progress.highest_position = max(before, changes.position)
    apply_changes(shared, changes, entries)
    confirm(progress, progress.highest_position, shared_state.now())
    if progress.position > before:
        shared_state.report_progress(shared)


async def _read_all(shared: SharedState, client: StoreClient) -> None:
    progress = shared.progress
    timeout_seconds = store_timing.read_timeout_seconds(progress)
    may_be_old = progress.may_read_old
    routes = await client.read(
        OPERATOR_PREFIX, timeout_seconds, may_be_old=may_be_old
    )
    targets = await client.read(
        TARGETS_PREFIX, timeout_seconds, may_be_old=may_be_old
    )
    newer = None
    if may_be_old:
        newer = await client.watch(
            '',
            min(routes.position, targets.position).revision,
            store_timing.NO_WAIT_SECONDS,
            timeout_seconds,
        )
        _require_same_era(routes, targets, newer)
    _record_response(shared)
    await _apply_read(shared, routes, targets, newer)
    # Peers become known meanwhile, on which this instance may then rely.
    await asyncio.sleep(store_timing.FIRST_PAUSE_SECONDS)


async def _apply_read(
    shared: SharedState,
    routes: Changes,
    targets: Changes,
    newer: Changes | None,
) -> None:
    progress = shared.progress
    newer_changes = () if newer is None else newer.changes
    # All is decoded first, so that nothing is applied in between.
    entries = await decode_entries(targets.changes)
    newer_entries = await decode_entries(newer_changes)
    apply_all(shared, routes, targets, entries)
    progress.must_read_all = False
    if newer is not None:
        apply_changes(shared, newer, newer_entries)
    confirm(progress, progress.position, shared_state.now())
    shared_state.report_progress(shared)


def _require_same_era(*reads: Changes) -> None:
    eras = {changes.position.era for changes in reads}
    if len(eras) > 1:
        raise StoreRestoredError('the store was restored during the reads')


async def _read_missed_routes(shared: SharedState, client: StoreClient) -> None:
    # Peers send the routes separately, so a change may have been missed.
    progress = shared.progress
    if shared_state.table_version(shared) < progress.min_table_version:
        timeout_seconds = store_timing.read_timeout_seconds(progress)
        routes = await client.read(TABLE_KEY, timeout_seconds)
        progress.min_table_version = 0
        offer_routes(shared, routes.changes)


async def _watch(shared: SharedState, clients: StoreClients) -> Changes:
    progress = shared.progress
    progress.is_behind.clear()
    wait_seconds, slack_seconds = store_timing.watch_timeouts(progress)
    watch = clients.watcher.watch(
        '', progress.position.revision, wait_seconds, slack_seconds
    )
    if lacks_changes(progress):
        # The next check of progress may come before the reply, which the
        # timeout bounds.
        return await watch
    return await _wait_for_changes(shared, clients, watch)


async def _wait_for_changes(
    shared: SharedState,
    clients: StoreClients,
    watch: Coroutine[None, None, Changes],
) -> Changes:
    progress = shared.progress
    loop = asyncio.get_running_loop()
    watch_task = loop.create_task(watch)
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
    raise BehindStoreError('the watch does not report a later position')


async def _check_store(shared: SharedState, checker: StoreClient) -> Changes:
    # Ends only with an error, if the store does not respond to a check.
    progress = shared.progress
    while True:
        await asyncio.sleep(store_timing.CHECK_INTERVAL_SECONDS)
        called_seconds = shared_state.now()
        shown = await checker.read_position(store_timing.WATCH_SLACK_SECONDS)
        progress.last_contact_seconds = shared_state.now()
        note_position(shared, shown)
        if shown <= progress.position:
            confirm(progress, progress.position, called_seconds)


def _record_failure(progress: StoreProgress, error: OSError) -> None:
    if not progress.is_lost:
        log(STORE_LOST, detail=repr(error))
    progress.is_lost = True
    progress.failed_count = min(progress.failed_count + 1, MAX_FAILED_COUNT)


def _record_response(shared: SharedState) -> None:
    progress = shared.progress
    progress.last_contact_seconds = shared_state.now()
    progress.failed_count = 0
    if progress.is_lost:
        progress.is_lost = False
        directory.record_store_recovery(shared.directory, shared_state.now())
        log(STORE_BACK, revision=progress.position.revision)
