"""Which addresses a caller is told to use, and for how long."""

from collections.abc import Iterable
from typing import Final, NamedTuple

import xxhash

from celeryturn.decisions.membership import Member, Status

ADVISED_COUNT: Final = 3
LEAST_KEEP_SHARE: Final = 0.75


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
    longest_keep_seconds: float,
    random_share: float,
) -> Advice:
    """Spread callers over the instances that are believed live.

    Instances that are leaving, suspect or gone are left out.  One caller
    gets the same order from every instance whose beliefs agree, its own
    availability zone first.

    :param members: What is believed of each instance.
    :param caller: Identifier of the caller.
    :param zone: Availability zone of the caller; may be empty.
    :param longest_keep_seconds: Bound of the keep time.
    :param random_share: A number between 0 and 1, against waves.
    :returns: The advice.
    """
    usable = [member for member in members if member.status is Status.ALIVE]
    usable.sort(
        key=lambda member: (
            member.availability_zone != zone,
            _weight(caller, member.instance),
        )
    )
    spread = LEAST_KEEP_SHARE + (1 - LEAST_KEEP_SHARE) * random_share
    return Advice(tuple(usable[:ADVISED_COUNT]), longest_keep_seconds * spread)


def _weight(caller: str, instance: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{caller} {instance}'.encode())
