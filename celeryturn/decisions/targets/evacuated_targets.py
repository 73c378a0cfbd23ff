"""Known targets by whether their zone is evacuated."""

from collections.abc import Iterator

from celeryturn.decisions.targets.directory import (
    Directory,
    find_replica,
    is_departing,
)
from celeryturn.decisions.targets.evacuations import is_evacuated
from celeryturn.decisions.targets.replicas import Replica


def is_target_evacuated(directory: Directory, target: str) -> bool:
    """Return whether a target is in an evacuated zone.

    :param directory: Known targets.
    :param target: Identifier of the target.
    :returns: Whether it is known, and its zone is evacuated.
    """
    replica = find_replica(directory, target)
    return replica is not None and is_evacuated(
        directory.evacuations, replica.entry.zone
    )


def is_service_evacuated(directory: Directory, service: str) -> bool:
    """Return whether a service lacks targets because of evacuations.

    :param directory: Known targets.
    :param service: Name of the service.
    :returns: Whether none of its targets accepts requests, and any would if
        its zone were not evacuated.
    """
    replicas = directory.replicas.get(service)
    if not replicas or not directory.evacuations.zones:
        return False
    staying = [
        replica.entry
        for replica in replicas.values()
        if not is_departing(directory, replica.entry)
    ]
    return bool(staying) and all(
        is_evacuated(directory.evacuations, entry.zone) for entry in staying
    )


def list_outside_evacuations(directory: Directory) -> Iterator[Replica]:
    """List the targets of all zones that are not evacuated.

    :param directory: Known targets.
    :returns: The targets of all services, also those that are draining.
    """
    for replicas in directory.replicas.values():
        for replica in replicas.values():
            if not is_evacuated(directory.evacuations, replica.entry.zone):
                yield replica
