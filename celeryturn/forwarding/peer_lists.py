"""Targets that peers tell of while the platform's store does not."""

from typing import Final

from celeryturn.decisions import directory
from celeryturn.decisions.entry_history import (
    EntryUpdate,
    changes_since,
    record_update,
)
from celeryturn.events import TARGETS_FROM_PEER, log
from celeryturn.forwarding import tier as tiers
from celeryturn.forwarding.tier import Tier

MIN_REQUEST_INTERVAL_SECONDS: Final = 0.2


def lacks_routes_or_targets(tier: Tier) -> bool:
    """Tell whether callers cannot be served for want of knowledge.

    :param tier: The tier.
    :returns: Whether routes or targets are not known yet.
    """
    return tier.table is None or not tier.progress.listed_revision


def revision_to_request(tier: Tier, peer_revision: int) -> int | None:
    """Tell what a peer is to be asked for.

    :param tier: The tier.
    :param peer_revision: How far the peer has followed the store; zero
        where that is not known.
    :returns: Revision up to which targets are known; ``None`` where the
        store tells of them, the peer knows no more, or one was just asked.
    """
    progress = tier.progress
    if progress.revision and not progress.is_lost:
        return None
    known_revision = progress.listed_revision
    if known_revision and peer_revision <= known_revision:
        return None
    now_seconds = tiers.now()
    if now_seconds - progress.asked_seconds < MIN_REQUEST_INTERVAL_SECONDS:
        return None
    progress.asked_seconds = now_seconds
    return known_revision


def collect_update(tier: Tier, since_revision: int) -> EntryUpdate | None:
    """Collect what a peer asks for.

    :param tier: The tier.
    :param since_revision: Revision up to which the peer knows the list.
    :returns: What changed; ``None`` where the peer knows as much.
    """
    progress = tier.progress
    revision = progress.listed_revision
    if revision <= since_revision:
        return None
    return changes_since(
        progress.history, tier.directory, since_revision, revision
    )


def apply_peer_update(tier: Tier, update: EntryUpdate) -> None:
    """Take a peer's list in, unless the store serves again meanwhile.

    :param tier: The tier.
    :param update: The list.
    """
    progress = tier.progress
    is_store_available = progress.revision and not progress.is_lost
    if is_store_available or update.revision <= progress.listed_revision:
        return
    record_update(progress.history, update)
    now_seconds = tiers.now()
    if update.is_whole:
        entries = {entry.target: entry for entry in update.entries}
        directory.apply_list(tier.directory, entries, now_seconds)
    else:
        for entry in update.entries:
            directory.apply_entry(tier.directory, entry, now_seconds)
        directory.apply_missing(tier.directory, update.removed, now_seconds)
    progress.peer_revision = update.revision
    log(
        TARGETS_FROM_PEER,
        revision=update.revision,
        listed=len(update.entries),
        removed=len(update.removed),
    )
