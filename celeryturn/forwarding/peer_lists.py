"""Exchange of the list of targets with peers during an outage of the store."""

from typing import Final

from celeryturn.decisions.targets import directory
from celeryturn.decisions.targets.entry_history import (
    EntryUpdate,
    changes_since,
    record_update,
)
from celeryturn.events import TARGETS_FROM_PEER, log
from celeryturn.forwarding import shared_state
from celeryturn.forwarding.shared_state import SharedState

MIN_REQUEST_INTERVAL_SECONDS: Final = 0.2


def lacks_routes_or_targets(shared: SharedState) -> bool:
    """Return whether this instance has no routes or no list of targets yet.

    :param shared: Shared state of the instance.
    :returns: Whether either is missing, so that callers cannot be served.
    """
    return shared.table is None or not shared.progress.target_list_revision


def revision_to_request(shared: SharedState, peer_revision: int) -> int | None:
    """Return the revision since which to request changes from a peer.

    The time of the request is recorded.

    :param shared: Shared state of the instance.
    :param peer_revision: Revision up to which the peer has read the store;
        zero if that is not known.
    :returns: Revision up to which this instance has the list of targets, zero
        if it has none; ``None`` if no request is needed because the store is
        available or the peer has no later revision, or if the last request to
        a peer was less than :data:`MIN_REQUEST_INTERVAL_SECONDS` ago.
    """
    progress = shared.progress
    if progress.revision and not progress.is_lost:
        return None
    known_revision = progress.target_list_revision
    if known_revision and peer_revision <= known_revision:
        return None
    now_seconds = shared_state.now()
    if (
        now_seconds - progress.last_peer_request_seconds
        < MIN_REQUEST_INTERVAL_SECONDS
    ):
        return None
    progress.last_peer_request_seconds = now_seconds
    return known_revision


def collect_update(
    shared: SharedState, since_revision: int
) -> EntryUpdate | None:
    """Collect the changes to the list of targets that a peer requests.

    :param shared: Shared state of the instance.
    :param since_revision: Revision up to which the peer has the list.
    :returns: The changes; ``None`` if this instance has no later revision.
    """
    progress = shared.progress
    revision = progress.target_list_revision
    if revision <= since_revision:
        return None
    return changes_since(
        progress.history, shared.directory, since_revision, revision
    )


def apply_peer_update(shared: SharedState, update: EntryUpdate) -> None:
    """Apply the update of a peer to the list of targets.

    The update is ignored if the store is available again, or if this instance
    has the same or a later revision.

    :param shared: Shared state of the instance.
    :param update: The update that the peer sent.
    """
    progress = shared.progress
    is_store_available = progress.revision and not progress.is_lost
    if is_store_available or update.revision <= progress.target_list_revision:
        return
    record_update(progress.history, update)
    now_seconds = shared_state.now()
    if update.is_whole:
        entries = {entry.target: entry for entry in update.entries}
        directory.apply_list(shared.directory, entries, now_seconds)
    else:
        for entry in update.entries:
            directory.apply_entry(shared.directory, entry, now_seconds)
        directory.apply_missing(shared.directory, update.removed, now_seconds)
    progress.peer_revision = update.revision
    log(
        TARGETS_FROM_PEER,
        revision=update.revision,
        listed=len(update.entries),
        removed=len(update.removed),
    )
