"""Send nothing to the targets of evacuated zones."""

import math
from collections.abc import Iterable
from typing import Final

from celeryturn.decisions.store_position import NO_POSITION, StorePosition
from celeryturn.decisions.targets import evacuations
from celeryturn.decisions.targets.evacuations import MergedChanges, ZoneChange
from celeryturn.events import ZONE_EVACUATED, ZONE_RETURNED, log
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.forwarding.targets.cold_targets import expect_cold_zone
from celeryturn.forwarding.targets.pools import drop_idle, reject_waiting

STORE_SOURCE: Final = 'store'
PEER_SOURCE: Final = 'peer'


def record_read(
    shared: SharedState,
    present: Iterable[ZoneChange],
    position: StorePosition,
) -> None:
    """Record a read of all evacuations in the store, and tell the peers.

    :param shared: Shared state of the instance.
    :param present: The evacuations.
    :param position: Position of the read.
    """
    known = shared.directory.evacuations
    before = known.zones
    news = evacuations.merge_read(known, present, position)
    _apply_transitions(shared, before, STORE_SOURCE)
    _tell_peers(shared, news)


def record_watched(shared: SharedState, changes: Iterable[ZoneChange]) -> None:
    """Record changes that the store reports, and tell the peers.

    :param shared: Shared state of the instance.
    :param changes: The changes.
    """
    news = _merge(shared, changes, STORE_SOURCE)
    _tell_peers(shared, news)


def merge_peer_changes(
    shared: SharedState, offered: tuple[ZoneChange, ...]
) -> MergedChanges:
    """Record the changes that a peer sent.

    :param shared: Shared state of the instance.
    :param offered: The changes.
    :returns: What the other peers, and the sender, do not know.
    """
    news = _merge(shared, offered, PEER_SOURCE)
    known = shared.directory.evacuations
    return MergedChanges(news, evacuations.list_corrections(known, offered))


def list_zone_changes(
    shared: SharedState, after: StorePosition
) -> tuple[ZoneChange, ...]:
    """List the known changes of zones after a position.

    :param shared: Shared state of the instance.
    :param after: The position.
    :returns: The changes.
    """
    return evacuations.list_after(shared.directory.evacuations, after)


def _merge(
    shared: SharedState, changes: Iterable[ZoneChange], source: str
) -> tuple[ZoneChange, ...]:
    known = shared.directory.evacuations
    before = known.zones
    news = evacuations.merge_changes(known, changes)
    _apply_transitions(shared, before, source)
    return news


def _tell_peers(shared: SharedState, news: tuple[ZoneChange, ...]) -> None:
    if news:
        for callback in shared.callbacks.zones_changed:
            callback(news)


def _apply_transitions(
    shared: SharedState, before: frozenset[str], source: str
) -> None:
    known = shared.directory.evacuations
    for begun in sorted(known.zones - before):
        _log_transition(shared, begun, source)
        _release_targets(shared, begun)
    for ended in sorted(before - known.zones):
        _log_transition(shared, ended, source)
        expect_cold_zone(shared, ended)


def _log_transition(shared: SharedState, zone: str, source: str) -> None:
    known = shared.directory.evacuations
    event = ZONE_EVACUATED if zone in known.zones else ZONE_RETURNED
    change = known.changes.get(zone)
    # The change of a zone may have been dropped for those of others.
    position = change.position if change else NO_POSITION
    log(
        event,
        zone=zone,
        era=position.era,
        revision=position.revision,
        source=source,
    )


def _release_targets(shared: SharedState, zone: str) -> None:
    # Requests that wait for a connection go to other targets at once.
    for service_replicas in tuple(shared.directory.replicas.values()):
        for target, replica in tuple(service_replicas.items()):
            pool = shared.pools.get(target)
            if pool is not None and replica.entry.zone == zone:
                drop_idle(pool, math.inf)
                reject_waiting(pool)
