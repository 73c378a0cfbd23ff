"""Which addresses a caller is told to use, and for how long."""

from collections.abc import Iterable
from typing import Final, NamedTuple

import xxhash

from celeryturn.decisions.membership import Member, Status

ADVISED_COUNT: Final = 3
MIN_KEEP_RATIO: Final = 0.75
ADVISED_ZONE_COUNT: Final = 64


class Advice(NamedTuple):
    """Addresses for one caller.

    :param members: Instances, the one to use first at the front.
    :param keep_seconds: How long the caller may keep the answer.
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
    """Spread callers over the instances that are believed live.

    Instances that are leaving, suspect or gone are left out.  One caller
    gets the same order from every instance whose beliefs agree, its own
    availability zone first.

    :param members: What is believed of each instance.
    :param caller: Identifier of the caller.
    :param zone: Availability zone of the caller; may be empty.
    :param max_keep_seconds: Bound of the keep time.
    :param random_fraction: A number between 0 and 1, against waves.
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


def advise_zone(members: Iterable[Member], zone: str) -> list[Member]:
    """Choose the instances that callers of an availability zone use.

    :param members: What is believed of each instance.
    :param zone: Availability zone of the callers; may be unknown.
    :returns: Live instances of the zone; those of all zones where it has
        none, and suspects rather than nobody.
    """
    known = list(members)
    alive = [member for member in known if member.status is Status.ALIVE]
    in_zone = [member for member in alive if member.availability_zone == zone]
    if in_zone:
        return in_zone[:ADVISED_ZONE_COUNT]
    if alive:
        return alive[:ADVISED_ZONE_COUNT]
    suspects = [member for member in known if member.status is Status.SUSPECT]
    return suspects[:ADVISED_ZONE_COUNT]
