"""Targets that have announced their departure or are no longer listed."""

from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

from celeryturn.decisions.bounded_table import put_latest
from celeryturn.units import Integer

MAX_LEAVING: Final = 4096
MAX_REMOVED: Final = 4096


class TargetIncarnation(NamedTuple):
    """One start of a target.

    :param target: Identifier of the target.
    :param born_ms: Unix time of its start.
    """

    target: str
    born_ms: Integer


class EntryVersion(NamedTuple):
    """Version of an entry; later ones compare as greater.

    :param born_ms: Unix time of the start of the target.
    :param sequence: Number that increases with each entry of an incarnation.
    """

    born_ms: Integer
    sequence: Integer


class Departures:
    """Targets that are leaving, or whose entries were removed.

    :param born_ms: Unix time of the start of the incarnation that is leaving,
        by target, the oldest announcement first.
    :param removed: Last version of each entry that was removed, by target, the
        oldest removal first.
    """

    __slots__ = ('born_ms', 'removed')

    def __init__(self) -> None:
        self.born_ms: dict[str, int] = {}
        self.removed: dict[str, EntryVersion] = {}


def record_leaving(
    departures: Departures, incarnation: TargetIncarnation
) -> bool:
    """Record that a target is leaving.

    At most :data:`MAX_LEAVING` targets are kept; the oldest is dropped.  The
    announcement of an earlier start does not replace that of a later one.

    :param departures: Known departures.
    :param incarnation: The incarnation that is leaving.
    :returns: Whether this was not known before.
    """
    target, born_ms = incarnation
    known_born_ms = departures.born_ms.get(target)
    if known_born_ms is not None and born_ms <= known_born_ms:
        return False
    put_latest(departures.born_ms, target, born_ms, MAX_LEAVING)
    return True


def is_leaving(departures: Departures, incarnation: TargetIncarnation) -> bool:
    """Return whether a target has announced its departure.

    :param departures: Known departures.
    :param incarnation: The incarnation in question.
    :returns: Whether this incarnation, not an earlier or later one, is leaving.
    """
    return departures.born_ms.get(incarnation.target) == incarnation.born_ms


def record_removed(
    departures: Departures, target: str, version: EntryVersion
) -> None:
    """Record that the entry of a target was removed.

    At most :data:`MAX_REMOVED` targets are kept; the oldest is dropped.

    :param departures: Known departures.
    :param target: Identifier of the target.
    :param version: Last version of its entry.
    """
    put_latest(departures.removed, target, version, MAX_REMOVED)


def was_removed(
    departures: Departures, target: str, version: EntryVersion
) -> bool:
    """Return whether an entry had been removed before.

    :param departures: Known departures.
    :param target: Identifier of the target.
    :param version: Version of its entry.
    :returns: Whether this version, or a later one, was removed.
    """
    removed = departures.removed.get(target)
    return removed is not None and version <= removed


def is_before_removed(
    departures: Departures, incarnation: TargetIncarnation
) -> bool:
    """Return whether a later start of a target was removed before.

    :param departures: Known departures.
    :param incarnation: The incarnation in question.
    :returns: Whether an entry of a later start was removed.
    """
    removed = departures.removed.get(incarnation.target)
    return removed is not None and incarnation.born_ms < removed.born_ms


def list_leaving(
    departures: Departures, listed: Iterable[str]
) -> Iterator[TargetIncarnation]:
    """List the departures of targets that still have an entry.

    :param departures: Known departures.
    :param listed: Identifiers of the targets that have an entry.
    :returns: The incarnations that are leaving.
    """
    for target in listed:
        born_ms = departures.born_ms.get(target)
        if born_ms is not None:
            yield TargetIncarnation(target, born_ms)
