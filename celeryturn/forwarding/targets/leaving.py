"""Targets that announce their departure, in their replies or through peers."""

from collections.abc import Iterable

from celeryturn.decisions.targets import departures
from celeryturn.decisions.targets.departures import TargetIncarnation
from celeryturn.decisions.targets.replicas import Replica
from celeryturn.events import TARGET_LEAVING, log
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.forwarding.targets.pools import reject_waiting


def announce_leaving(shared: SharedState, replica: Replica) -> None:
    """Record that a target announced its departure, and tell the peers.

    :param shared: Shared state of the instance.
    :param replica: Target whose reply contained the announcement.
    """
    entry = replica.entry
    incarnation = TargetIncarnation(entry.target, entry.born_ms)
    for announced in mark_leaving(shared, (incarnation,)):
        for callback in shared.callbacks.target_leaving:
            callback(announced)


def mark_leaving(
    shared: SharedState, incarnations: Iterable[TargetIncarnation]
) -> list[TargetIncarnation]:
    """Send nothing new to targets that are leaving.

    Requests that wait for a connection to one of them are not sent to it.

    :param shared: Shared state of the instance.
    :param incarnations: The incarnations that are leaving.
    :returns: Those that were not known to be leaving.
    """
    known = shared.directory.departures
    marked = [
        incarnation
        for incarnation in incarnations
        if departures.record_leaving(known, incarnation)
    ]
    for target, _ in marked:
        log(TARGET_LEAVING, target=target)
        pool = shared.pools.get(target)
        if pool is not None:
            reject_waiting(pool)
    return marked


def list_leaving(shared: SharedState) -> tuple[TargetIncarnation, ...]:
    """List the targets that have an entry and announced their departure.

    :param shared: Shared state of the instance.
    :returns: The incarnations that are leaving.
    """
    known = shared.directory
    return tuple(departures.list_leaving(known.departures, known.services))
