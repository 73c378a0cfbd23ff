"""What changed in the list of targets since a revision, for peers.

An instance that cannot reach the platform's store learns from its peers
which targets there are.  Only what changed since it last heard is sent.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from celeryturn.decisions.directory import Directory, find_replica
from celeryturn.decisions.replicas import TargetEntry
from celeryturn.units import Count

MOST_REMOVALS: Final = 1024


class Listed(NamedTuple):
    """Entries of targets up to a revision.

    :param revision: What changed up to here is in.
    :param is_whole: Whether targets that are not named are gone.
    :param entries: Entries that changed, or all.
    :param removed: Targets whose entries went missing.
    """

    revision: Count
    is_whole: bool
    entries: tuple[TargetEntry, ...]
    removed: tuple[str, ...]


class EntryHistory:
    """When each entry changed.

    :param changed: Revision of the last change of each entry.
    :param removed: Revision by which each missing entry was gone, the
        oldest first.
    :param complete_after: What went missing up to this revision is forgotten.
    """

    __slots__ = ('changed', 'complete_after', 'removed')

    def __init__(self) -> None:
        self.changed: dict[str, int] = {}
        self.removed: dict[str, int] = {}
        self.complete_after = 0


def note_all(
    history: EntryHistory, targets: Iterable[str], revision: int
) -> None:
    """Note that the whole list was read.

    :param history: The history.
    :param targets: All targets with an entry.
    :param revision: Revision of the list.
    """
    history.changed = dict.fromkeys(targets, revision)
    history.removed.clear()
    history.complete_after = revision


def note_put(history: EntryHistory, target: str, revision: int) -> None:
    """Note that an entry changed.

    :param history: The history.
    :param target: Whose entry.
    :param revision: Revision up to which the change was read.
    """
    history.removed.pop(target, None)
    history.changed[target] = revision


def note_removed(history: EntryHistory, target: str, revision: int) -> None:
    """Note that an entry went missing.

    :param history: The history.
    :param target: Whose entry.
    :param revision: Revision up to which the change was read.
    """
    history.changed.pop(target, None)
    history.removed.pop(target, None)
    history.removed[target] = revision
    if len(history.removed) > MOST_REMOVALS:
        oldest = next(iter(history.removed))
        history.complete_after = history.removed.pop(oldest)


def take_in(history: EntryHistory, heard: Listed) -> None:
    """Note what a peer told, so that it can be passed on.

    :param history: The history.
    :param heard: The peer's list.
    """
    if heard.is_whole:
        targets = [entry.target for entry in heard.entries]
        note_all(history, targets, heard.revision)
        return
    for entry in heard.entries:
        note_put(history, entry.target, heard.revision)
    for target in heard.removed:
        note_removed(history, target, heard.revision)


def listed_since(
    history: EntryHistory, directory: Directory, since: int, revision: int
) -> Listed:
    """Collect what a peer does not know.

    :param history: When entries changed.
    :param directory: The entries.
    :param since: Revision up to which the peer knows the list.
    :param revision: Revision up to which this instance knows it.
    :returns: What changed, or all where that cannot be told any more.
    """
    is_whole = since < history.complete_after
    least = 0 if is_whole else since + 1
    changed = [
        find_replica(directory, target)
        for target, at_revision in history.changed.items()
        if at_revision >= least
    ]
    removed = () if is_whole else _later(history.removed, least)
    return Listed(
        revision=revision,
        is_whole=is_whole,
        entries=tuple(known.entry for known in changed if known is not None),
        removed=removed,
    )


def _later(revisions: dict[str, int], least: int) -> tuple[str, ...]:
    return tuple(
        target
        for target, at_revision in revisions.items()
        if at_revision >= least
    )
