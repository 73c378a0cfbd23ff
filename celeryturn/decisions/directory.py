"""Which targets there are, from a list that lags, lapses and may be wrong."""

from collections.abc import Iterable, Mapping
from typing import Final

from celeryturn.decisions.replicas import Replica, TargetEntry

MISSING_GRACE_SECONDS: Final = 2.2
SHORT_MISSING_GRACE_SECONDS: Final = 1.2
MIN_BULK_REMOVALS: Final = 3
MAJORITY_SHARE: Final = 0.5
MAX_TARGETS: Final = 8192


class Directory:
    """The targets that are believed to serve.

    :param replicas: By service and target.
    :param services: Service of each target.
    :param drop_at_seconds: When each target with a missing entry is dropped.
    :param trusted_after_seconds: Before this time a missing entry may have
        lapsed with the store, and be back.
    """

    __slots__ = (
        'drop_at_seconds',
        'replicas',
        'services',
        'trusted_after_seconds',
    )

    def __init__(self) -> None:
        self.replicas: dict[str, dict[str, Replica]] = {}
        self.services: dict[str, str] = {}
        self.drop_at_seconds: dict[str, float] = {}
        self.trusted_after_seconds = 0.0


def apply_entry(
    directory: Directory, entry: TargetEntry, now_seconds: float
) -> None:
    """Take in a target's entry.

    A higher time of start means another incarnation: what was observed of
    the former one is forgotten.

    :param directory: The targets.
    :param entry: The entry as it is now.
    :param now_seconds: Time of reading.
    """
    known = find_replica(directory, entry.target)
    if known is not None and _is_older(entry, known.entry):
        return
    directory.drop_at_seconds.pop(entry.target, None)
    if known is not None and _is_same(known.entry, entry):
        known.entry = entry
        return
    drop(directory, entry.target)
    if len(directory.services) < MAX_TARGETS:
        replica = Replica(entry, now_seconds)
        directory.services[entry.target] = entry.service
        of_service = directory.replicas.setdefault(entry.service, {})
        of_service[entry.target] = replica


def drop(directory: Directory, target: str) -> None:
    """Forget a target.

    :param directory: The targets.
    :param target: Its identifier.
    """
    directory.drop_at_seconds.pop(target, None)
    service = directory.services.pop(target, None)
    if service is not None:
        directory.replicas[service].pop(target, None)
        if not directory.replicas[service]:
            directory.replicas.pop(service)


def apply_missing(
    directory: Directory, targets: Iterable[str], now_seconds: float
) -> None:
    """Take in that entries went missing.

    Many at once, or some right after the store was away, may have lapsed
    while their targets serve on: those are dropped only if they stay away.
    Where only some went, they may as well have left without a word, and
    are given less time.

    :param directory: The targets.
    :param targets: Identifiers whose entries went missing together.
    :param now_seconds: Time of reading.
    """
    missing = [name for name in targets if name in directory.services]
    not_draining = [
        name for name in missing if not _is_draining(directory, name)
    ]
    grace_seconds = _missing_grace_seconds(
        directory, len(not_draining), now_seconds
    )
    for target in missing:
        if grace_seconds and target in not_draining:
            directory.drop_at_seconds.setdefault(
                target, now_seconds + grace_seconds
            )
        else:
            drop(directory, target)


def apply_list(
    directory: Directory,
    entries: Mapping[str, TargetEntry],
    now_seconds: float,
) -> None:
    """Take in a whole list.

    :param directory: The targets.
    :param entries: All entries by target.
    :param now_seconds: Time of reading.
    """
    for entry in entries.values():
        apply_entry(directory, entry, now_seconds)
    missing = [name for name in directory.services if name not in entries]
    apply_missing(directory, missing, now_seconds)


def note_store_recovered(directory: Directory, now_seconds: float) -> None:
    """Note that the store answers again after it was away.

    :param directory: The targets.
    :param now_seconds: Time of its first answer.
    """
    directory.trusted_after_seconds = now_seconds + MISSING_GRACE_SECONDS


def drop_expired(directory: Directory, now_seconds: float) -> list[str]:
    """Drop targets whose entries stayed away.

    :param directory: The targets.
    :param now_seconds: Time of the question.
    :returns: Which were dropped.
    """
    expired = [
        target
        for target, at_seconds in directory.drop_at_seconds.items()
        if at_seconds <= now_seconds
    ]
    for target in expired:
        drop(directory, target)
    return expired


def serving(directory: Directory, service: str) -> list[Replica]:
    """List the targets of a service that may get work.

    :param directory: The targets.
    :param service: Name of the service.
    :returns: Targets that are not draining.
    """
    known = directory.replicas.get(service)
    if known is None:
        return []
    return [
        replica for replica in known.values() if not replica.entry.is_draining
    ]


def find_replica(directory: Directory, target: str) -> Replica | None:
    """Find a target by its identifier.

    :param directory: The targets.
    :param target: Its identifier.
    :returns: The target, if it is known.
    """
    service = directory.services.get(target)
    if service is None:
        return None
    return directory.replicas[service].get(target)


def _missing_grace_seconds(
    directory: Directory, missing_count: int, now_seconds: float
) -> float:
    was_store_lost = now_seconds < directory.trusted_after_seconds
    if was_store_lost or missing_count > MAJORITY_SHARE * len(
        directory.services
    ):
        return MISSING_GRACE_SECONDS
    return (
        SHORT_MISSING_GRACE_SECONDS if missing_count >= MIN_BULK_REMOVALS else 0
    )


def _is_draining(directory: Directory, target: str) -> bool:
    known = find_replica(directory, target)
    return known is not None and known.entry.is_draining


def _is_older(offered: TargetEntry, known: TargetEntry) -> bool:
    if offered.born_ms != known.born_ms:
        return offered.born_ms < known.born_ms
    return offered.sequence < known.sequence


def _is_same(known: TargetEntry, offered: TargetEntry) -> bool:
    return (known.service, known.address, known.port, known.born_ms) == (
        offered.service,
        offered.address,
        offered.port,
        offered.born_ms,
    )
