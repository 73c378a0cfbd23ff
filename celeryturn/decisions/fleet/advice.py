"""Advice to callers: which instances to use, and for how long."""

import itertools
from collections.abc import Iterable
from typing import Final, NamedTuple

import xxhash

from celeryturn.decisions.fleet.membership import Member, Status

ADVISED_COUNT: Final = 3
MIN_KEEP_RATIO: Final = 0.75
ADVISED_ZONE_COUNT: Final = 64
LARGE_SHARE: Final = 0.5
MIN_LARGE_COUNT: Final = 2


class Advice(NamedTuple):
    """Addresses for one caller.

    :param members: Instances in order of preference.
    :param keep_seconds: How long the caller may keep the advice.
    """

    members: tuple[Member, ...]
    keep_seconds: float


def advise(
    members: Iterable[Member],
    caller: str,
    zone: str,
    max_keep_seconds: float,
    random_fraction: float,
) -> Advice:
    """Spread callers over the live instances by rendezvous hashing.

    Only instances that are alive are included.  A caller gets the same order
    from all instances that have the same view of the membership.  Instances
    in its availability zone come first.

    :param members: Known entries of the instances.
    :param caller: Identifier of the caller.
    :param zone: Availability zone of the caller; may be empty.
    :param max_keep_seconds: Upper bound of the keep time.
    :param random_fraction: A random number between 0 and 1.  It adds jitter
        to the keep time, so that callers do not all come back at once.
    :returns: The advice.
    """
    usable = [member for member in members if member.status is Status.ALIVE]
    usable.sort(
        key=lambda member: (
            member.availability_zone != zone,
            _weight(caller, member.instance),
        )
    )
    keep_ratio = MIN_KEEP_RATIO + (1 - MIN_KEEP_RATIO) * random_fraction
    return Advice(tuple(usable[:ADVISED_COUNT]), max_keep_seconds * keep_ratio)


def _weight(caller: str, instance: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{caller} {instance}'.encode())


def preferred_members(members: Iterable[Member]) -> list[Member]:
    """Choose the instances that should receive the callers.

    A request needs a reply of every shard.  An instance on a small machine
    takes long to receive and merge them, and among many instances each one
    observes too few replies to know which targets are slow.  Callers therefore
    use the largest instances of their availability zone, as long as these are
    not busy.

    :param members: Entries of instances.
    :returns: For each availability zone, its large instances that are not
        busy; all of its instances if these are fewer than
        :data:`MIN_LARGE_COUNT`.
    """
    by_zone: dict[str, list[Member]] = {}
    for member in members:
        by_zone.setdefault(member.availability_zone, []).append(member)
    preferred = map(_preferred_in_zone, by_zone.values())
    return list(itertools.chain.from_iterable(preferred))


def _preferred_in_zone(members: list[Member]) -> list[Member]:
    max_capacity = max(member.capacity_per_second for member in members)
    large = [
        member
        for member in members
        if member.capacity_per_second >= LARGE_SHARE * max_capacity
        and not member.is_busy
    ]
    return large if len(large) >= MIN_LARGE_COUNT else members


def advise_zone(members: Iterable[Member], zone: str) -> list[Member]:
    """Choose the instances for callers of an availability zone.

    :param members: Known entries of the instances.
    :param zone: Availability zone of the callers; may be unknown.
    :returns: Up to :data:`ADVISED_ZONE_COUNT` instances: the preferred live
        ones of the zone that reach targets, else of all zones, else those that
        do not, else the suspects.
    """
    known = list(members)
    alive = [member for member in known if member.status is Status.ALIVE]
    reaching = [member for member in alive if member.reaches_targets]
    in_zone = [
        member for member in reaching if member.availability_zone == zone
    ]
    for group in (in_zone, reaching, alive):
        if group:
            return preferred_members(group)[:ADVISED_ZONE_COUNT]
    suspects = [member for member in known if member.status is Status.SUSPECT]
    return suspects[:ADVISED_ZONE_COUNT]
