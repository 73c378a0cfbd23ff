"""Targets that peers tell of while the platform's store does not."""

from typing import Final

from celeryturn.decisions import directory
from celeryturn.decisions.entry_history import (
    EntryUpdate,
    changes_since,
    record_update,
)
from celeryturn.events import TARGETS_FROM_PEER, log
from celeryturn.forwarding import shared_state as tiers
from celeryturn.forwarding.shared_state import SharedState

ASK_AGAIN_SECONDS: Final = 0.2


def lacks(tier: SharedState) -> bool:
    """Tell whether callers cannot be served for want of knowledge.

    :param tier: The tier.
    :returns: Whether routes or targets are not known yet.
    """
    return tier.table is None or not tier.progress.target_list_revision


def wants_since(tier: SharedState, heard_revision: int) -> int | None:
    """Tell what a peer is to be asked for.

    :param tier: The tier.
    :param heard_revision: How far the peer has followed the store; zero
        where that is not known.
    :returns: Revision up to which targets are known; ``None`` where the
        store tells of them, the peer knows no more, or one was just asked.
    """
    progress = tier.progress
    if progress.revision and not progress.is_lost:
        return None
    known_revision = progress.target_list_revision
    if known_revision and heard_revision <= known_revision:
        return None
    now_seconds = tiers.now()
    if now_seconds - progress.last_peer_request_seconds < ASK_AGAIN_SECONDS:
        return None
    progress.last_peer_request_seconds = now_seconds
    return known_revision


def listed(tier: SharedState, since_revision: int) -> EntryUpdate | None:
    """Collect what a peer asks for.

    :param tier: The tier.
    :param since_revision: Revision up to which the peer knows the list.
    :returns: What changed; ``None`` where the peer knows as much.
    """
    progress = tier.progress
    revision = progress.target_list_revision
    if revision <= since_revision:
        return None
    return changes_since(
        progress.history, tier.directory, since_revision, revision
    )


def offer_listed(tier: SharedState, heard: EntryUpdate) -> None:
    """Take a peer's list in, unless the store serves again meanwhile.

    :param tier: The tier.
    :param heard: The list.
    """
    progress = tier.progress
    is_served = progress.revision and not progress.is_lost
    if is_served or heard.revision <= progress.target_list_revision:
        return
    record_update(progress.history, heard)
    now_seconds = tiers.now()
    if heard.is_whole:
        entries = {entry.target: entry for entry in heard.entries}
        directory.apply_list(tier.directory, entries, now_seconds)
    else:
        for entry in heard.entries:
            directory.apply_entry(tier.directory, entry, now_seconds)
        directory.apply_missing(tier.directory, heard.removed, now_seconds)
    progress.peer_revision = heard.revision
    log(
        TARGETS_FROM_PEER,
        revision=heard.revision,
        listed=len(heard.entries),
        removed=len(heard.removed),
    )
