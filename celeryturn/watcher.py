"""Keep the configuration and the list of instances up to date."""

import asyncio
from typing import Final

from celeryturn.decisions.configuration import service_state
from celeryturn.decisions.configuration.freshness import record_confirmation
from celeryturn.decisions.fleet import membership
from celeryturn.events import (
    CONFIGURATION_LOST,
    CONFIGURATION_STALE,
    LIST_LOST,
    log,
)
from celeryturn.instance import Instance, log_member_changes, offer_document
from celeryturn.platform.service import (
    INSTANCES_PREFIX,
    SERVICES_PREFIX,
    decode_instance_list,
)
from celeryturn.platform.store import Changes, HistoryGoneError, StoreClient
from celeryturn.settings import Endpoint

INITIAL_BACKOFF_SECONDS: Final = 0.2
MAX_BACKOFF_SECONDS: Final = 1.0
BACKOFF_FACTOR: Final = 2.0
CALL_TIMEOUT_SECONDS: Final = 2.0


async def watch_configuration(instance: Instance) -> None:
    """Watch the configuration service until the instance closes.

    :param instance: The instance.
    """
    client = StoreClient(
        instance.settings.configuration, instance.metrics.traffic.store_calls
    )
    revision = 0
    backoff_seconds = INITIAL_BACKOFF_SECONDS
    while not instance.is_closing:
        client = _client_for(instance.settings.configuration, client)
        try:
            revision = await _watch_once(instance, client, revision)
        except HistoryGoneError:
            revision = 0
        except OSError as error:
            log(CONFIGURATION_LOST, detail=str(error))
            await asyncio.sleep(backoff_seconds * (1 + instance.random()))
            backoff_seconds = min(
                MAX_BACKOFF_SECONDS, backoff_seconds * BACKOFF_FACTOR
            )
        else:
            backoff_seconds = INITIAL_BACKOFF_SECONDS


async def watch_instance_list(instance: Instance) -> None:
    """Read the list of instances periodically until the instance closes.

    :param instance: The instance.
    """
    client = StoreClient(
        instance.settings.instances, instance.metrics.traffic.store_calls
    )
    every_seconds = instance.settings.timing.list_every_seconds
    members = instance.membership.members
    while not instance.is_closing:
        client = _client_for(instance.settings.instances, client)
        try:
            await _read_list(instance, client)
        except OSError as error:
            log(LIST_LOST, detail=str(error))
        wait_seconds = membership.list_wait_seconds(every_seconds, len(members))
        await asyncio.sleep(wait_seconds * (1 + instance.random()) / 2)


def _client_for(endpoint: Endpoint, client: StoreClient) -> StoreClient:
    # The settings may change while the loop runs.
    if client.endpoint == endpoint:
        return client
    client.close()
    return StoreClient(endpoint, client.call_counts)


async def _read_list(instance: Instance, client: StoreClient) -> None:
    instance_list = decode_instance_list(
        await client.read(INSTANCES_PREFIX, CALL_TIMEOUT_SECONDS)
    )
    changed = membership.merge_entries(
        instance.membership, instance_list.members, instance.clock()
    )
    changed.extend(
        membership.mark_leaving(
            instance.membership, instance_list.leaving, instance.clock()
        )
    )
    log_member_changes(changed)
    update_connection_shares(instance)


def update_connection_shares(instance: Instance) -> None:
    """Recompute connection shares for the current number of instances.

    :param instance: The instance.
    """
    count = membership.live_count(instance.membership)
    for service in instance.services.values():
        service_state.set_shares(service, count)


async def _watch_once(
    instance: Instance, client: StoreClient, revision: int
) -> int:
    sent_seconds = instance.clock()
    changes = await _fetch_changes(instance, client, revision)
    highest = instance.freshness.highest_revision
    if changes.position.revision < highest:
        log(
            CONFIGURATION_STALE,
            revision=changes.position.revision,
            highest=highest,
        )
        await asyncio.sleep(INITIAL_BACKOFF_SECONDS * (1 + instance.random()))
        return revision
    for change in changes.changes:
        if change.body is not None:
            offer_document(instance, change.body, 'service')
    instance.freshness = record_confirmation(
        instance.freshness, sent_seconds, changes.position.revision
    )
    return changes.position.revision


async def _fetch_changes(
    instance: Instance, client: StoreClient, revision: int
) -> Changes:
    if not revision:
        return await client.read(SERVICES_PREFIX, CALL_TIMEOUT_SECONDS)
    wait_seconds = instance.settings.timing.watch_wait_seconds
    return await client.watch(
        SERVICES_PREFIX, revision, wait_seconds, CALL_TIMEOUT_SECONDS
    )
