"""Changes to the list of targets since a position, for peers.

An instance that cannot reach the platform's store receives the list of
targets from its peers.  A peer sends only the changes since the position that
the instance already has, if its history reaches back that far.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from celeryturn.decisions.bounded_table import put_latest
from celeryturn.decisions.store_position import NO_POSITION, StorePosition
from celeryturn.decisions.targets.directory import Directory, find_replica
from celeryturn.decisions.targets.replicas import TargetEntry
from celeryturn.units import Count

MAX_REMOVALS: Final = 1024


class EntryUpdate(NamedTuple):
    """Update of the list of targets up to a position.

    :param position: Changes up to this position are included.
    :param is_whole: Whether this is the whole list, so that targets it does
        not name have no entry.
    :param entries: Changed entries, or all entries of a whole list.
    :param removed: Targets whose entries were removed.
    :param table_version: Version of the routes at this position or before;
        zero if it is not known.
    """

    position: StorePosition
    is_whole: bool
    entries: tuple[TargetEntry, ...]
    removed: tuple[str, ...]
    table_version: Count = 0


class EntryHistory:
    """Positions at which entries changed or were removed.

    :param changed: Position of the last change of each entry.
    :param removed: Position by which each missing entry was removed, the
        oldest first.
    :param complete_after: Position after which all removals are known.
    """

    __slots__ = ('changed', 'complete_after', 'removed')

    def __init__(self) -> None:
        self.changed: dict[str, StorePosition] = {}
        self.removed: dict[str, StorePosition] = {}
        self.complete_after = NO_POSITION


def record_list(
    history: EntryHistory, targets: Iterable[str], position: StorePosition
) -> None:
    """Record a read of the whole list.

    :param history: The history.
    :param targets: All targets that have an entry.
    :param position: Position of the list.
    """
    history.changed = dict.fromkeys(targets, position)
    history.removed.clear()
    history.complete_after = position


def record_change(
    history: EntryHistory, target: str, position: StorePosition
) -> None:
    """Record that an entry was added or changed.

    :param history: The history.
    :param target: Target of the entry.
    :param position: Position up to which changes were read.
    """
    history.removed.pop(target, None)
    history.changed[target] = position


def record_removal(
    history: EntryHistory, target: str, position: StorePosition
) -> None:
    """Record that an entry was removed.

    At most :data:`MAX_REMOVALS` removals are kept; the oldest is dropped.

    :param history: The history.
    :param target: Target of the entry.
    :param position: Position up to which changes were read.
    """
    history.changed.pop(target, None)
    dropped = put_latest(history.removed, target, position, MAX_REMOVALS)
    if dropped is not None:
        history.complete_after = dropped


def record_update(history: EntryHistory, update: EntryUpdate) -> None:
    """Record an update from a peer, so that it can be forwarded.

    :param history: The history.
    :param update: The update that the peer sent.
    """
    if update.is_whole:
        targets = [entry.target for entry in update.entries]
        record_list(history, targets, update.position)
        return
    for entry in update.entries:
        record_change(history, entry.target, update.position)
    for target in update.removed:
        record_removal(history, target, update.position)


def changes_since(
    history: EntryHistory,
    directory: Directory,
    since: StorePosition,
    position: StorePosition,
) -> EntryUpdate:
    """Collect the changes that a peer is missing.

    :param history: Positions at which entries changed.
    :param directory: The entries.
    :param since: Position up to which the peer has the list.
    :param position: Position up to which this instance has the list.
    :returns: The changes, or the whole list if the history no longer reaches
        back to the position of the peer.
    """
    is_whole = since < history.complete_after
    after = NO_POSITION if is_whole else since
    changed = _changed_after(history.changed, after)
    known = [find_replica(directory, target) for target in changed]
    # The entry of an earlier start that arrived late is in no directory.
    unused = tuple(
        target
        for target, replica in zip(changed, known, strict=True)
        if replica is None
    )
    removed = (*_changed_after(history.removed, after), *unused)
    return EntryUpdate(
        position=position,
        is_whole=is_whole,
        entries=tuple(
            replica.entry for replica in known if replica is not None
        ),
        removed=() if is_whole else removed,
    )


def _changed_after(
    positions: dict[str, StorePosition], after: StorePosition
) -> tuple[str, ...]:
    return tuple(
        target for target, position in positions.items() if position > after
    )
