"""Keep the configuration and the list of instances up to date."""

import asyncio
from typing import Final

from celeryturn.decisions import fleet, membership
from celeryturn.decisions.freshness import confirm
from celeryturn.events import (
    CONFIGURATION_LOST,
    CONFIGURATION_STALE,
    LIST_LOST,
    log,
)
from celeryturn.instance import Instance, log_members, offer_document
from celeryturn.platform import service

FIRST_BACKOFF_SECONDS: Final = 0.2
MOST_BACKOFF_SECONDS: Final = 1.0
BACKOFF_FACTOR: Final = 2.0


class WatchProgress:
    """How far one watch has read.

    :param revision: Revision whose keys were all read.
    :param revisions: Revision at which each key was read.
    """

    __slots__ = ('revision', 'revisions')

    def __init__(self) -> None:
        self.revision = 0
        self.revisions: dict[str, int] = {}


async def watch_configuration(instance: Instance) -> None:
    """Watch the configuration service until cancelled.

    :param instance: The instance.
    """
    progress = WatchProgress()
    backoff_seconds = FIRST_BACKOFF_SECONDS
    while not instance.is_closing:
        try:
            await _watch_once(instance, progress)
        except OSError as error:
            log(CONFIGURATION_LOST, detail=str(error))
            await asyncio.sleep(backoff_seconds * (1 + instance.random()))
            backoff_seconds = min(
                MOST_BACKOFF_SECONDS, backoff_seconds * BACKOFF_FACTOR
            )
        else:
            backoff_seconds = FIRST_BACKOFF_SECONDS


async def watch_list(instance: Instance) -> None:
    """Read the list of instances now and then until cancelled.

    :param instance: The instance.
    """
    every_seconds = instance.settings.timing.list_every_seconds
    members = instance.membership.members
    while not instance.is_closing:
        try:
            await read_list(instance)
        except OSError as error:
            log(LIST_LOST, detail=str(error))
        wait_seconds = membership.list_wait_seconds(every_seconds, len(members))
        await asyncio.sleep(wait_seconds * (1 + instance.random()) / 2)


async def read_list(instance: Instance) -> None:
    """Read the list once and take it in.

    :param instance: The instance.
    :raises OSError: When it cannot be read.
    """
    listing = await service.list_instances(instance.settings.instances)
    changed = membership.take_in(
        instance.membership, listing.members, instance.clock()
    )
    changed.extend(
        membership.take_leaving(
            instance.membership, listing.leaving, instance.clock()
        )
    )
    log_members(changed)
    share_anew(instance)


def share_anew(instance: Instance) -> None:
    """Share targets' connections by the present count of instances.

    :param instance: The instance.
    """
    count = membership.live_count(instance.membership)
    for known in instance.services.values():
        fleet.set_shares(known, count)


async def _watch_once(instance: Instance, progress: WatchProgress) -> None:
    asked_seconds = instance.clock()
    keys = await service.watch(
        instance.settings.configuration,
        progress.revision,
        instance.settings.timing.watch_wait_seconds,
    )
    highest = instance.freshness.highest_revision
    if keys['revision'] < highest:
        log(CONFIGURATION_STALE, revision=keys['revision'], highest=highest)
        await asyncio.sleep(FIRST_BACKOFF_SECONDS * (1 + instance.random()))
        return
    await _read_changed(instance, progress, keys)
    progress.revision = keys['revision']
    instance.freshness = confirm(
        instance.freshness, asked_seconds, keys['revision']
    )


async def _read_changed(
    instance: Instance, progress: WatchProgress, keys: service.Keys
) -> None:
    endpoint = instance.settings.configuration
    for key, revision in keys['keys'].items():
        is_new = revision > progress.revisions.get(key, 0)
        if is_new and key.startswith(service.KEY_PREFIX):
            body = await service.read_key(endpoint, key)
            offer_document(instance, body, 'service')
            progress.revisions[key] = revision
