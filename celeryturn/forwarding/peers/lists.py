"""Exchange of routes and targets with peers."""

from typing import Final

from celeryturn.decisions.store_position import StorePosition
from celeryturn.decisions.targets import directory
from celeryturn.decisions.targets.entry_history import (
    EntryUpdate,
    changes_since,
    record_update,
)
from celeryturn.events import TARGETS_FROM_PEER, log
from celeryturn.forwarding import shared_state
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.forwarding.store.progress import (
    advance,
    confirm,
    needs_peers,
)
from celeryturn.forwarding.store.watch import note_position
from celeryturn.units import MAX_AGE_SECONDS

MIN_LIST_REQUEST_SECONDS: Final = 0.2
MIN_TABLE_REQUEST_SECONDS: Final = 0.3


def lacks_routes_or_targets(shared: SharedState) -> bool:
    """Return whether this instance has no routes or no list of targets yet.

    :param shared: Shared state of the instance.
    :returns: Whether either is missing, so that callers cannot be served.
    """
    return shared.table is None or not shared.progress.position.revision


def may_lack_newer_routes(shared: SharedState) -> bool:
    """Return whether peers may have newer routes than a restored store.

    :param shared: Shared state of the instance.
    :returns: Whether the store was ever restored from a copy, and no peer was
        heard yet or one has newer routes.
    """
    progress = shared.progress
    if not progress.position.era:
        return False
    version = shared_state.table_version(shared)
    return not 0 <= progress.peer_table_version <= version


def position_age_seconds(shared: SharedState) -> float:
    """Return the time since the known position was the newest.

    :param shared: Shared state of the instance.
    :returns: Seconds, at most :data:`MAX_AGE_SECONDS`.
    """
    age_seconds = shared_state.now() - shared.progress.newest_seconds
    return min(MAX_AGE_SECONDS, max(0.0, age_seconds))


def note_progress(
    shared: SharedState,
    table_version: int,
    position: StorePosition,
    age_seconds: float,
) -> None:
    """Record what a peer knows of the store.

    :param shared: Shared state of the instance.
    :param table_version: Version of its routes; zero if it has none.
    :param position: Position up to which it knows the targets.
    :param age_seconds: Time since this was the newest position.
    """
    progress = shared.progress
    progress.peer_table_version = max(
        progress.peer_table_version, table_version
    )
    confirm(progress, position, shared_state.now() - age_seconds)
    note_position(shared, position)


def may_request_table(shared: SharedState, version: int) -> bool:
    """Return whether to request a version of the routes from a peer.

    The time of the request is recorded.

    :param shared: Shared state of the instance.
    :param version: Version that the peer has.
    :returns: Whether it is newer than the current one, and the last request
        was at least :data:`MIN_TABLE_REQUEST_SECONDS` ago.
    """
    progress = shared.progress
    if version <= shared_state.table_version(shared):
        return False
    now_seconds = shared_state.now()
    elapsed_seconds = now_seconds - progress.table_request_seconds
    if elapsed_seconds < MIN_TABLE_REQUEST_SECONDS:
        return False
    progress.table_request_seconds = now_seconds
    return True


def position_to_request(
    shared: SharedState, peer_position: StorePosition
) -> StorePosition | None:
    """Return the position since which to request changes from a peer.

    The time of the request is recorded.

    :param shared: Shared state of the instance.
    :param peer_position: Position up to which the peer knows the targets;
        :data:`NO_POSITION` if that is not known.
    :returns: Position up to which this instance knows the targets; ``None``
        if no request is needed because the store tells what is new or the peer
        has no later position, or if the last request to a peer was less than
        :data:`MIN_LIST_REQUEST_SECONDS` ago.
    """
    progress = shared.progress
    if not needs_peers(progress):
        return None
    known = progress.position
    if known.revision and peer_position <= known:
        return None
    now_seconds = shared_state.now()
    elapsed_seconds = now_seconds - progress.list_request_seconds
    if elapsed_seconds < MIN_LIST_REQUEST_SECONDS:
        return None
    progress.list_request_seconds = now_seconds
    return known


def collect_update(
    shared: SharedState, since: StorePosition
) -> EntryUpdate | None:
    """Collect the changes to the list of targets that a peer requests.

    :param shared: Shared state of the instance.
    :param since: Position up to which the peer has the list.
    :returns: The changes; ``None`` if this instance has no later position.
    """
    progress = shared.progress
    position = progress.position
    if position <= since:
        return None
    update = changes_since(progress.history, shared.directory, since, position)
    table_version = shared_state.table_version(shared)
    return update._replace(
        table_version=max(table_version, progress.min_table_version)
    )


def apply_peer_update(shared: SharedState, update: EntryUpdate) -> None:
    """Apply the update of a peer to the list of targets.

    The update is ignored if the store tells what is new, or if this instance
    has the same or a later position.

    :param shared: Shared state of the instance.
    :param update: The update that the peer sent.
    """
    progress = shared.progress
    if not needs_peers(progress) or update.position <= progress.position:
        return
    if progress.is_lost or not progress.position.revision:
        log(
            TARGETS_FROM_PEER,
            revision=update.position.revision,
            listed=len(update.entries),
            removed=len(update.removed),
        )
    record_update(progress.history, update)
    _apply_entries(shared, update)
    progress.min_table_version = max(
        progress.min_table_version, update.table_version
    )
    advance(progress, update.position)
    shared_state.report_progress(shared)


def _apply_entries(shared: SharedState, update: EntryUpdate) -> None:
    known = shared.directory
    now_seconds = shared_state.now()
    entries = {entry.target: entry for entry in update.entries}
    is_restored = update.position.era > shared.progress.position.era
    if update.is_whole and is_restored and shared.progress.position.revision:
        directory.apply_restored_list(known, entries, now_seconds)
    elif update.is_whole:
        directory.apply_list(known, entries, now_seconds)
    else:
        for entry in update.entries:
            directory.apply_entry(known, entry, now_seconds)
        directory.apply_missing(known, update.removed, now_seconds)
