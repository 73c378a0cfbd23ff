"""Zones whose targets get no requests, by the last known change of each.

Changes are merged by position: the later one of two replaces the other, so
that they may arrive in any order, late or twice.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple, TypeAlias

from celeryturn.decisions.store_position import NO_POSITION, StorePosition
from celeryturn.units import Key

MAX_ZONES: Final = 64

_Rank: TypeAlias = tuple[StorePosition, bool]


class ZoneChange(NamedTuple):
    """Last known change of a zone.

    :param zone: Name of the availability zone.
    :param is_evacuated: Whether its evacuation was requested; otherwise it was
        withdrawn.
    :param position: Position of the change in the store.
    """

    zone: Key
    is_evacuated: bool
    position: StorePosition


class MergedChanges(NamedTuple):
    """What became of changes that a peer offered.

    :param news: Changes that were not known before.
    :param corrections: Later changes of zones for which the peer offered an
        earlier one.
    """

    news: tuple[ZoneChange, ...]
    corrections: tuple[ZoneChange, ...]


class Evacuations:
    """Last known change of each zone.

    :param changes: The changes by zone, at most :data:`MAX_ZONES`.
    :param zones: Zones that are evacuated.
    :param read_position: Position of the last read of all keys, which tells
        that a zone without a change was not evacuated then;
        :data:`NO_POSITION` if that is not known.
    """

    __slots__ = ('changes', 'read_position', 'zones')

    def __init__(self) -> None:
        self.changes: dict[str, ZoneChange] = {}
        self.zones: frozenset[str] = frozenset()
        self.read_position = NO_POSITION


def merge_changes(
    evacuations: Evacuations, offered: Iterable[ZoneChange]
) -> tuple[ZoneChange, ...]:
    """Record changes that are later than the known ones.

    At most :data:`MAX_ZONES` zones are kept; the oldest withdrawn evacuation
    is dropped first.

    :param evacuations: Known changes.
    :param offered: Changes in any order, possibly known or outdated.
    :returns: Changes that were not known before.
    """
    before = evacuations.changes.copy()
    for change in offered:
        _merge(evacuations, change)
    _drop_excess(evacuations)
    kept = evacuations.changes.items()
    evacuations.zones = frozenset(
        zone for zone, known in kept if known.is_evacuated
    )
    return tuple(known for zone, known in kept if before.get(zone) != known)


def merge_read(
    evacuations: Evacuations,
    present: Iterable[ZoneChange],
    position: StorePosition,
) -> tuple[ZoneChange, ...]:
    """Record a read of all zones that are evacuated.

    The evacuation of a zone that is missing is withdrawn, if its change is
    earlier than the read.  A store that was restored from a copy may miss it
    for another reason, so a change of an earlier era is kept.

    :param evacuations: Known changes.
    :param present: All evacuations in the store, by their last change.
    :param position: Position of the read.
    :returns: Changes that were not known before.
    """
    read = tuple(present)
    present_zones = {change.zone for change in read}
    withdrawn = [
        ZoneChange(zone, is_evacuated=False, position=position)
        for zone in evacuations.zones - present_zones
        if _is_earlier_in_era(evacuations.changes[zone].position, position)
    ]
    # The keys that are present are not judged by an earlier read.
    evacuations.read_position = NO_POSITION
    news = merge_changes(evacuations, (*read, *withdrawn))
    if len(evacuations.changes) < MAX_ZONES:
        evacuations.read_position = position
    return news


def is_evacuated(evacuations: Evacuations, zone: str) -> bool:
    """Return whether the targets of a zone get no requests.

    :param evacuations: Known changes.
    :param zone: Name of the availability zone.
    :returns: Whether its evacuation was requested and not withdrawn.
    """
    return zone in evacuations.zones


def list_after(
    evacuations: Evacuations, position: StorePosition
) -> tuple[ZoneChange, ...]:
    """List the changes after a position.

    :param evacuations: Known changes.
    :param position: The position.
    :returns: The changes of all zones that changed last after it.
    """
    return tuple(
        change
        for change in evacuations.changes.values()
        if change.position > position
    )


def list_corrections(
    evacuations: Evacuations, offered: Iterable[ZoneChange]
) -> tuple[ZoneChange, ...]:
    """List the known changes that are later than offered ones.

    :param evacuations: Known changes.
    :param offered: Changes that a peer offered.
    :returns: Later changes of the same zones.
    """
    known = evacuations.changes
    return tuple(
        known[change.zone]
        for change in offered
        if change.zone in known and _rank(known[change.zone]) > _rank(change)
    )


def _merge(evacuations: Evacuations, change: ZoneChange) -> None:
    known = evacuations.changes.get(change.zone)
    if known is None:
        known = _missing_in_read(evacuations, change)
    evacuations.changes[change.zone] = (
        change if known is None else max(known, change, key=_rank)
    )


def _missing_in_read(
    evacuations: Evacuations, change: ZoneChange
) -> ZoneChange | None:
    # A peer that missed the withdrawal still offers the evacuation.
    read_position = evacuations.read_position
    if change.is_evacuated and _is_earlier_in_era(
        change.position, read_position
    ):
        return ZoneChange(
            change.zone, is_evacuated=False, position=read_position
        )
    return None


def _is_earlier_in_era(earlier: StorePosition, later: StorePosition) -> bool:
    return earlier.era == later.era and earlier < later


def _rank(change: ZoneChange) -> _Rank:
    # At equal positions the order of arrival must not matter.
    return (change.position, change.is_evacuated)


def _drop_excess(evacuations: Evacuations) -> None:
    changes = evacuations.changes
    excess_count = len(changes) - MAX_ZONES
    if excess_count <= 0:
        return
    ordered = sorted(
        changes.values(),
        key=lambda change: (change.is_evacuated, change.position, change.zone),
    )
    for dropped in ordered[:excess_count]:
        changes.pop(dropped.zone)
    # A zone without a change may have been dropped here.
    evacuations.read_position = NO_POSITION
