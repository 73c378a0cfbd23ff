"""Follow the platform's store: routes and targets."""

import asyncio
from collections.abc import Iterable
from typing import Final

from celeryturn.decisions import directory
from celeryturn.decisions.replicas import TargetEntry
from celeryturn.errors import CeleryturnError
from celeryturn.events import ENTRY_UNUSABLE, STORE_BACK, STORE_LOST, log
from celeryturn.forwarding import tier as tiers
from celeryturn.forwarding.tier import Tier
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
)

WATCH_SECONDS: Final = 4.0
RETRY_SECONDS: Final = 0.6
EXPIRE_EVERY_SECONDS: Final = 0.25


async def follow(tier: Tier) -> None:
    """Read the store and watch it until cancelled.

    :param tier: The tier.
    """
    client = StoreClient(tier.settings.instance.configuration)
    revision: int | None = None
    is_lost = False
    try:
        while True:
            try:
                revision = await _follow_once(tier, client, revision)
            except HistoryGoneError:
                revision = None
                continue
            except OSError as error:
                if not is_lost:
                    log(STORE_LOST, detail=repr(error))
                is_lost = True
                await asyncio.sleep(_retry_seconds(tier))
                continue
            if is_lost:
                is_lost = False
                log(STORE_BACK, revision=revision)
    finally:
        client.close()


async def expire_lapsed(tier: Tier) -> None:
    """Drop targets whose entries stayed away, until cancelled.

    :param tier: The tier.
    """
    while True:
        await asyncio.sleep(EXPIRE_EVERY_SECONDS)
        directory.expire(tier.directory, tiers.now())
        tiers.prune(tier)


async def _follow_once(
    tier: Tier, client: StoreClient, revision: int | None
) -> int:
    if revision is None:
        return await _read_all(tier, client)
    asked_seconds = tiers.now()
    changes = await client.watch('', revision, WATCH_SECONDS)
    if tier.store_failed_seconds > tier.store_heard_seconds:
        directory.note_store_back(tier.directory, tiers.now())
    tier.store_heard_seconds = max(asked_seconds, tiers.now())
    _apply(tier, changes.changes)
    return max(revision, changes.revision)


async def _read_all(tier: Tier, client: StoreClient) -> int:
    routes = await client.read(TABLE_KEY)
    listed = await client.read(TARGETS_PREFIX)
    _offer_routes(tier, routes)
    entries = {
        entry.target: entry for entry in _entries(tier, listed.changes)
    }
    directory.replace_all(tier.directory, entries, tiers.now())
    return routes.revision


def _offer_routes(tier: Tier, routes: Changes) -> None:
    for change in routes.changes:
        if change.key == TABLE_KEY and change.content is not None:
            tiers.offer_table(tier, change.content, 'store')


def _apply(tier: Tier, changes: Iterable[Change]) -> None:
    latest = {change.key: change for change in changes}
    removed = []
    for change in latest.values():
        if change.key == TABLE_KEY:
            _offer_routes(tier, Changes((change,), 0))
        elif change.key.startswith(TARGETS_PREFIX):
            if change.content is None:
                removed.append(change.key.removeprefix(TARGETS_PREFIX))
            else:
                _put(tier, change)
    directory.remove_entries(tier.directory, removed, tiers.now())


def _put(tier: Tier, change: Change) -> None:
    for entry in _entries(tier, (change,)):
        directory.put_entry(tier.directory, entry, tiers.now())
        return
    # What stands there now names no target to use.
    directory.drop(
        tier.directory, change.key.removeprefix(TARGETS_PREFIX)
    )


def _entries(tier: Tier, changes: Iterable[Change]) -> Iterable[TargetEntry]:
    for change in changes:
        target = change.key.removeprefix(TARGETS_PREFIX)
        try:
            yield decode_entry(target, change.content or b'')
        except CeleryturnError as error:
            log(ENTRY_UNUSABLE, target=target, detail=error.detail)


def _retry_seconds(tier: Tier) -> float:
    tier.store_failed_seconds = tiers.now()
    return RETRY_SECONDS * (0.5 + tier.instance.random())
