"""Access of peers to the routes and targets of an instance."""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from celeryturn.decisions.request.quarantine import TargetEnd
from celeryturn.decisions.store_position import StorePosition
from celeryturn.decisions.targets.departures import TargetIncarnation
from celeryturn.decisions.targets.entry_history import EntryUpdate
from celeryturn.decisions.targets.evacuations import (
    MergedChanges,
    ZoneChange,
)
from celeryturn.decisions.targets.health_reports import TargetReport
from celeryturn.decisions.targets.stated_rates import StatedRate


class Routes(NamedTuple):
    """Access to the published routes and targets that peers exchange.

    :param version: Returns the current version; zero if there is none.
    :param body: Returns the routes as they were published.
    :param offer: Applies the routes of a peer.
    :param position: Returns the position up to which targets are known.
    :param age_seconds: Returns the time since that position was the newest.
    :param note_progress: Records the version of the routes, the position of a
        peer, and the age of the latter in seconds.
    :param may_request_table: Returns whether to request a version of the
        routes from a peer.
    :param lacks_routes_or_targets: Returns whether routes or targets are still
        unknown.
    :param position_to_request: Returns the position since which targets are
        requested from a peer; ``None`` if the store is available or the peer
        has no newer ones.
    :param collect_update: Returns the changes to the list of targets since a
        position.
    :param apply_peer_update: Merges the list of targets of a peer.
    :param leaving_targets: Returns the targets that announced their departure.
    :param mark_leaving: Records such targets and returns those that were not
        known to be leaving.
    :param request_rates: Returns the request rates that targets last stated.
    :param merge_rates: Records those that a peer tells.
    :param target_ends: Returns the ends of targets that ran requests.
    :param merge_ends: Records those that a peer tells, and returns those that
        were not known; the second argument is its name.
    :param zone_changes: Returns the evacuations of zones, begun or ended,
        after a position.
    :param merge_zone_changes: Records those that a peer tells, and returns
        what other peers, and this peer, may not know.
    :param target_reports: Returns what instances report of targets.
    :param merge_reports: Records what a peer reports; the second argument is
        its name.
    """

    version: Callable[[], int]
    body: Callable[[], bytes]
    offer: Callable[[bytes], None]
    position: Callable[[], StorePosition]
    age_seconds: Callable[[], float]
    note_progress: Callable[[int, StorePosition, float], None]
    may_request_table: Callable[[int], bool]
    lacks_routes_or_targets: Callable[[], bool]
    position_to_request: Callable[[StorePosition], StorePosition | None]
    collect_update: Callable[[StorePosition], EntryUpdate | None]
    apply_peer_update: Callable[[EntryUpdate], None]
    leaving_targets: Callable[[], tuple[TargetIncarnation, ...]]
    mark_leaving: Callable[
        [Iterable[TargetIncarnation]], list[TargetIncarnation]
    ]
    request_rates: Callable[[], tuple[StatedRate, ...]]
    merge_rates: Callable[[Iterable[StatedRate]], None]
    target_ends: Callable[[], tuple[TargetEnd, ...]]
    merge_ends: Callable[[Iterable[TargetEnd], str], list[TargetEnd]]
    zone_changes: Callable[[StorePosition], tuple[ZoneChange, ...]]
    merge_zone_changes: Callable[[tuple[ZoneChange, ...]], MergedChanges]
    target_reports: Callable[[], tuple[TargetReport, ...]]
    merge_reports: Callable[[Iterable[TargetReport], str], None]


def _ignore(_received: object) -> None:
    """Discard a value that this instance does not use."""


def _ignore_progress(
    _version: int, _position: StorePosition, _age_seconds: float
) -> None:
    """Discard what a peer knows of the store."""


def _return_false(_version: int) -> bool:
    """Return ``False`` because no routes are used."""
    return False


def _return_none(_position: StorePosition) -> None:
    """Return ``None`` because there is nothing to exchange."""


def _ignore_ends(_ends: Iterable[TargetEnd], _source: str) -> list[TargetEnd]:
    """Return that nothing was new, since no requests are forwarded."""
    return []


def _list_no_changes(_after: StorePosition) -> tuple[ZoneChange, ...]:
    """Return no changes of zones, since no requests are forwarded."""
    return ()


def _ignore_changes(_offered: tuple[ZoneChange, ...]) -> MergedChanges:
    """Return that nothing was new, since no requests are forwarded."""
    return MergedChanges((), ())


def _ignore_reports(_reports: Iterable[TargetReport], _source: str) -> None:
    """Discard reports on targets, since no requests are forwarded."""


NO_ROUTES: Final = Routes(
    version=int,
    body=bytes,
    offer=_ignore,
    position=StorePosition,
    age_seconds=float,
    note_progress=_ignore_progress,
    may_request_table=_return_false,
    lacks_routes_or_targets=bool,
    position_to_request=_return_none,
    collect_update=_return_none,
    apply_peer_update=_ignore,
    leaving_targets=tuple,
    mark_leaving=list,
    request_rates=tuple,
    merge_rates=_ignore,
    target_ends=tuple,
    merge_ends=_ignore_ends,
    zone_changes=_list_no_changes,
    merge_zone_changes=_ignore_changes,
    target_reports=tuple,
    merge_reports=_ignore_reports,
)
