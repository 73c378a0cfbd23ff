"""Changes to the list of targets since a revision, for peers.

An instance that cannot reach the platform's store receives the list of
targets from its peers.  A peer sends only the changes since the revision that
the instance already has, if its history reaches back that far.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from celeryturn.decisions.targets.directory import Directory, find_replica
from celeryturn.decisions.targets.replicas import TargetEntry
from celeryturn.units import Count

MAX_REMOVALS: Final = 1024


class EntryUpdate(NamedTuple):
    """Update of the list of targets up to a revision.

    :param revision: Changes up to this revision are included.
    :param is_whole: Whether this is the whole list, so that targets it does
        not name have no entry.
    :param entries: Changed entries, or all entries of a whole list.
    :param removed: Targets whose entries were removed.
    """

    revision: Count
    is_whole: bool
    entries: tuple[TargetEntry, ...]
    removed: tuple[str, ...]


class EntryHistory:
    """Revisions at which entries changed or were removed.

    :param changed: Revision of the last change of each entry.
    :param removed: Revision by which each missing entry was removed, the
        oldest first.
    :param complete_after: Revision after which all removals are known.
    """

    __slots__ = ('changed', 'complete_after', 'removed')

    def __init__(self) -> None:
        self.changed: dict[str, int] = {}
        self.removed: dict[str, int] = {}
        self.complete_after = 0


def record_list(
    history: EntryHistory, targets: Iterable[str], revision: int
) -> None:
    """Record a read of the whole list.

    :param history: The history.
    :param targets: All targets that have an entry.
    :param revision: Revision of the list.
    """
    history.changed = dict.fromkeys(targets, revision)
    history.removed.clear()
    history.complete_after = revision


def record_change(history: EntryHistory, target: str, revision: int) -> None:
    """Record that an entry was added or changed.

    :param history: The history.
    :param target: Target of the entry.
    :param revision: Revision up to which changes were read.
    """
    history.removed.pop(target, None)
    history.changed[target] = revision


def record_removal(history: EntryHistory, target: str, revision: int) -> None:
    """Record that an entry was removed.

    At most :data:`MAX_REMOVALS` removals are kept; the oldest is dropped.

    :param history: The history.
    :param target: Target of the entry.
    :param revision: Revision up to which changes were read.
    """
    history.changed.pop(target, None)
    history.removed.pop(target, None)
    history.removed[target] = revision
    if len(history.removed) > MAX_REMOVALS:
        oldest = next(iter(history.removed))
        history.complete_after = history.removed.pop(oldest)


def record_update(history: EntryHistory, update: EntryUpdate) -> None:
    """Record an update from a peer, so that it can be forwarded.

    :param history: The history.
    :param update: The update that the peer sent.
    """
    if update.is_whole:
        targets = [entry.target for entry in update.entries]
        record_list(history, targets, update.revision)
        return
    for entry in update.entries:
        record_change(history, entry.target, update.revision)
    for target in update.removed:
        record_removal(history, target, update.revision)


def changes_since(
    history: EntryHistory,
    directory: Directory,
    since_revision: int,
    revision: int,
) -> EntryUpdate:
    """Collect the changes that a peer is missing.

    :param history: Revisions at which entries changed.
    :param directory: The entries.
    :param since_revision: Revision up to which the peer has the list.
    :param revision: Revision up to which this instance has the list.
    :returns: The changes, or the whole list if the history no longer reaches
        back to the revision of the peer.
    """
    is_whole = since_revision < history.complete_after
    min_revision = 0 if is_whole else since_revision + 1
    changed = [
        find_replica(directory, target)
        for target, at_revision in history.changed.items()
        if at_revision >= min_revision
    ]
    removed = () if is_whole else _changed_from(history.removed, min_revision)
    return EntryUpdate(
        revision=revision,
        is_whole=is_whole,
        entries=tuple(known.entry for known in changed if known is not None),
        removed=removed,
    )


def _changed_from(
    revisions: dict[str, int], min_revision: int
) -> tuple[str, ...]:
    return tuple(
        target
        for target, at_revision in revisions.items()
        if at_revision >= min_revision
    )
