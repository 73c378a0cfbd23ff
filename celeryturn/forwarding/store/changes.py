"""Application of what was read from the platform's store."""

from collections.abc import Iterable, Mapping

from celeryturn.decisions.store_position import StorePosition
from celeryturn.decisions.targets import directory
from celeryturn.decisions.targets.entry_history import (
    record_change,
    record_list,
    record_removal,
)
from celeryturn.decisions.targets.replicas import TargetEntry
from celeryturn.events import STORE_RESTORED, log
from celeryturn.forwarding import shared_state
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.forwarding.store.evacuations import (
    apply_read_zones,
    apply_watched_zones,
)
from celeryturn.forwarding.store.progress import advance
from celeryturn.platform.documents import (
    TABLE_KEY,
    TARGETS_PREFIX,
)
from celeryturn.platform.store import Change, Changes


def apply_all(
    shared: SharedState,
    routes: Changes,
    targets: Changes,
    entries: Mapping[str, TargetEntry],
) -> None:
    """Apply a read of all routes, evacuations and targets.

    The list of targets is not applied if peers have sent a later one.

    :param shared: Shared state of the instance.
    :param routes: The routes and evacuations.
    :param targets: The entries of all targets.
    :param entries: Those of them that are usable, by target.
    """
    progress = shared.progress
    apply_read_zones(shared, routes)
    offer_routes(shared, routes.changes)
    position = min(routes.position, targets.position)
    if position < progress.position and position.era == progress.position.era:
        return
    _drop_unusable(shared, targets.changes, entries)
    now_seconds = shared_state.now()
    if progress.position.revision and position.era > progress.position.era:
        log(STORE_RESTORED, era=position.era, revision=position.revision)
        directory.apply_restored_list(shared.directory, entries, now_seconds)
    else:
        directory.apply_list(shared.directory, entries, now_seconds)
    record_list(progress.history, entries, position)
    advance(progress, position)


def offer_routes(shared: SharedState, changes: Iterable[Change]) -> None:
    """Adopt the routes among some changes, if they are newer.

    :param shared: Shared state of the instance.
    :param changes: Changes of any keys.
    """
    for change in changes:
        if change.key == TABLE_KEY and change.body is not None:
            shared_state.adopt_table(shared, change.body, 'store')


def apply_changes(
    shared: SharedState,
    changes: Changes,
    entries: Mapping[str, TargetEntry],
) -> None:
    """Apply what changed since a position.

    Changes of targets that peers have sent meanwhile are skipped.

    :param shared: Shared state of the instance.
    :param changes: The changes, the oldest first.
    :param entries: The usable entries of targets among them, by target.
    """
    progress = shared.progress
    apply_watched_zones(shared, changes)
    offer_routes(shared, changes.changes)
    latest = {
        change.key.removeprefix(TARGETS_PREFIX): change
        for change in changes.changes
        if change.key.startswith(TARGETS_PREFIX)
        and change.revision > progress.position.revision
    }
    removed = [name for name, change in latest.items() if change.body is None]
    for target in removed:
        record_removal(progress.history, target, changes.position)
        latest.pop(target)
    for changed in latest:
        _apply_entry(shared, changed, entries.get(changed), changes.position)
    now_seconds = shared_state.now()
    directory.apply_missing(shared.directory, removed, now_seconds)
    if changes.position > progress.position:
        advance(progress, changes.position)


def _apply_entry(
    shared: SharedState,
    target: str,
    entry: TargetEntry | None,
    position: StorePosition,
) -> None:
    history = shared.progress.history
    if entry is None:
        directory.drop(shared.directory, target)
        record_removal(history, target, position)
    else:
        directory.apply_entry(shared.directory, entry, shared_state.now())
        record_change(history, target, position)


def _drop_unusable(
    shared: SharedState,
    changes: Iterable[Change],
    entries: Mapping[str, TargetEntry],
) -> None:
    # Unlike a missing entry, one that cannot be decoded is no sign that the
    # store lost entries, so there is no grace period.
    for change in changes:
        target = change.key.removeprefix(TARGETS_PREFIX)
        if target not in entries:
            directory.drop(shared.directory, target)
