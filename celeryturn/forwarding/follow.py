"""Follow the platform's store: routes and targets."""

import asyncio
from collections.abc import Iterable
from typing import Final

from celeryturn.decisions import directory
from celeryturn.decisions.entry_history import (
    record_all,
    record_change,
    record_removal,
)
from celeryturn.decisions.replicas import TargetEntry
from celeryturn.errors import CeleryturnError
from celeryturn.events import ENTRY_UNUSABLE, STORE_BACK, STORE_LOST, log
from celeryturn.forwarding import shared_state as tiers
from celeryturn.forwarding.request_log import log_dropped_lines
from celeryturn.forwarding.shared_state import StoreProgress, SharedState
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

# A store that was silent answers no watch of before its return: from there
# an instance has 4 s to be up to date.
WATCH_SECONDS: Final = 2.0
LOST_WATCH_SECONDS: Final = 0.5
FIRST_SLACK_SECONDS: Final = 0.8
MOST_SLACK_SECONDS: Final = 1.6
LEAST_RETRY_SECONDS: Final = 0.3
MOST_RETRY_SECONDS: Final = 0.9
# An instance that knows nothing serves nobody until the store answers.
HURRIED_SHARE: Final = 0.25
FIRST_READ_SECONDS: Final = 0.4
MOST_READ_SECONDS: Final = 1.5
READ_GROWTH: Final = 2.0
MOST_FAILURES: Final = 8
GATHER_SECONDS: Final = 0.4
OVERTAKEN_SECONDS: Final = 0.8
HOUSEKEEPING_SECONDS: Final = 0.25
IDLE_SECONDS: Final = 8.0


class OvertakenError(StoreError):
    """A peer has followed the store further than this instance."""


async def follow(tier: SharedState) -> None:
    """Read the store and watch it until cancelled.

    :param tier: The tier.
    """
    client = StoreClient(tier.settings.instance.configuration)
    progress = tier.progress
    while True:
        try:
            await _follow_once(tier, client)
        except HistoryGoneError:
            progress.revision = 0
        except OSError as error:
            _note_lost(progress, error)
            await asyncio.sleep(retry_seconds(progress, tier.instance.random()))


def hear_revision(tier: SharedState, heard: int) -> None:
    """Take in how far a peer has followed the store.

    A watch may be silent for good on a connection that looks open.

    :param tier: The tier.
    :param heard: The peer's revision.
    """
    progress = tier.progress
    if heard <= progress.revision or not progress.revision:
        return

    def check() -> None:
        if progress.revision < heard:
            progress.peer_ahead.set()

    asyncio.get_running_loop().call_later(OVERTAKEN_SECONDS, check)


async def keep_house(tier: SharedState) -> None:
    """Drop what is not needed any more, now and then, until cancelled.

    :param tier: The tier.
    """
    while True:
        await asyncio.sleep(HOUSEKEEPING_SECONDS)
        now_seconds = tiers.now()
        directory.drop_expired(tier.directory, now_seconds)
        tiers.prune_pools(tier, now_seconds - IDLE_SECONDS)
        log_dropped_lines(tier)


async def _follow_once(tier: SharedState, client: StoreClient) -> None:
    progress = tier.progress
    if not progress.revision:
        progress.revision = await _read_all(tier, client)
        return
    changes = await _watch(tier, client)
    _note_heard(tier)
    _apply(tier, changes)
    progress.revision = max(progress.revision, changes.revision)
    if changes.changes:
        # Changes come in bursts; each call is paid for.
        await asyncio.sleep(GATHER_SECONDS)


async def _watch(tier: SharedState, client: StoreClient) -> Changes:
    progress = tier.progress
    progress.peer_ahead.clear()
    loop = asyncio.get_running_loop()
    wait_seconds, slack_seconds = watch_times(progress)
    watching = loop.create_task(
        client.watch('', progress.revision, wait_seconds, slack_seconds)
    )
    overtaken = loop.create_task(progress.peer_ahead.wait())
    try:
        await asyncio.wait(
            (watching, overtaken), return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        overtaken.cancel()
        if not watching.done():
            watching.cancel()
    if not watching.done():
        raise OvertakenError('a peer has heard of later changes')
    return watching.result()


def watch_times(progress: StoreProgress) -> tuple[float, float]:
    """Tell how long the next watch waits at the store.

    :param progress: How far the store was followed.
    :returns: Seconds at the store, and seconds that its answer may be late;
        a slow store gets more of these, up to a bound.
    """
    if not progress.is_lost:
        return WATCH_SECONDS, FIRST_SLACK_SECONDS
    return LOST_WATCH_SECONDS, MOST_SLACK_SECONDS


def read_seconds(progress: StoreProgress) -> float:
    """Tell how long the next whole read may take.

    :param progress: How far the store was followed.
    :returns: Seconds for each answer; more after each failure, since the
        store may be slow.
    """
    grown_seconds = FIRST_READ_SECONDS * READ_GROWTH**progress.failed_count
    return min(MOST_READ_SECONDS, grown_seconds)


def retry_seconds(progress: StoreProgress, random: float) -> float:
    """Tell after what time the store is asked again.

    :param progress: How far the store was followed.
    :param random: Between 0 and 1; spreads instances.
    :returns: Seconds from the failure.
    """
    spread_seconds = MOST_RETRY_SECONDS - LEAST_RETRY_SECONDS
    wait_seconds = LEAST_RETRY_SECONDS + spread_seconds * random
    is_hurried = not progress.target_list_revision
    return wait_seconds * HURRIED_SHARE if is_hurried else wait_seconds


def _note_lost(progress: StoreProgress, error: OSError) -> None:
    if not progress.is_lost:
        log(STORE_LOST, detail=repr(error))
    progress.is_lost = True
    progress.failed_count = min(progress.failed_count + 1, MOST_FAILURES)


def _note_heard(tier: SharedState) -> None:
    tier.progress.last_contact_seconds = tiers.now()
    tier.progress.failed_count = 0
    if tier.progress.is_lost:
        tier.progress.is_lost = False
        directory.note_store_recovered(tier.directory, tiers.now())
        log(STORE_BACK, revision=tier.progress.revision)


async def _read_all(tier: SharedState, client: StoreClient) -> int:
    timeout_seconds = read_seconds(tier.progress)
    routes = await client.read(TABLE_KEY, timeout_seconds)
    listed = await client.read(TARGETS_PREFIX, timeout_seconds)
    _note_heard(tier)
    _offer_routes(tier, routes)
    entries = {entry.target: entry for entry in _entries(tier, listed.changes)}
    directory.apply_list(tier.directory, entries, tiers.now())
    record_all(tier.progress.history, entries, routes.revision)
    return routes.revision


def _offer_routes(tier: SharedState, routes: Changes) -> None:
    for change in routes.changes:
        if change.key == TABLE_KEY and change.body is not None:
            tiers.adopt_table(tier, change.body, 'store')


def _apply(tier: SharedState, changes: Changes) -> None:
    latest = {change.key: change for change in changes.changes}
    removed = []
    for change in latest.values():
        if change.key == TABLE_KEY:
            _offer_routes(tier, Changes((change,), 0))
        elif change.key.startswith(TARGETS_PREFIX):
            target = change.key.removeprefix(TARGETS_PREFIX)
            if change.body is None:
                removed.append(target)
                record_removal(tier.progress.history, target, changes.revision)
            else:
                _put(tier, change, changes.revision)
    directory.apply_missing(tier.directory, removed, tiers.now())


def _put(tier: SharedState, change: Change, revision: int) -> None:
    target = change.key.removeprefix(TARGETS_PREFIX)
    for entry in _entries(tier, (change,)):
        directory.apply_entry(tier.directory, entry, tiers.now())
        record_change(tier.progress.history, target, revision)
        return
    # What stands there now names no target to use.
    directory.drop(tier.directory, target)
    record_removal(tier.progress.history, target, revision)


def _entries(
    tier: SharedState, changes: Iterable[Change]
) -> Iterable[TargetEntry]:
    for change in changes:
        target = change.key.removeprefix(TARGETS_PREFIX)
        try:
            yield decode_entry(target, change.body or b'')
        except CeleryturnError as error:
            log(ENTRY_UNUSABLE, target=target, detail=error.detail)
