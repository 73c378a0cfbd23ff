"""Choice of the peers that serve requests for an instance without links."""

from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

from celeryturn.decisions.fleet.membership import Member, Status
from celeryturn.decisions.fleet.ring import nearest_by_hash

HELPERS_PER_GROUP: Final = 2
MAX_CONTACT_AGE_SECONDS: Final = 2.5
LOAD_STEP: Final = 4


class HelperLoad(NamedTuple):
    """What decides which peer serves the next request.

    :param pending_count: Requests that wait for its reply.
    :param contact_age_seconds: Time since the last message from it.
    :param is_same_zone: Whether it is in the availability zone of this
        instance.
    """

    pending_count: int
    contact_age_seconds: float
    is_same_zone: bool


def is_helper(member: Member | None) -> bool:
    """Return whether an instance may serve requests for others.

    :param member: Its entry, if it is known.
    :returns: Whether it is alive and reaches its targets.
    """
    if member is None:
        return False
    return member.status is Status.ALIVE and member.reaches_targets


def helpers_to_link(own: Member, members: Iterable[Member]) -> list[str]:
    """Choose the peers to open links to, once no target can be reached.

    A whole availability zone may be cut off, so that some are of others.

    :param own: Entry of this instance.
    :param members: Known entries of the instances.
    :returns: Names of up to :data:`HELPERS_PER_GROUP` peers of the own zone
        and of all other zones; rendezvous hashing spreads the instances.
    """
    same_zone: list[str] = []
    other_zones: list[str] = []
    for member in members:
        if member.instance != own.instance and is_helper(member):
            is_same = member.availability_zone == own.availability_zone
            (same_zone if is_same else other_zones).append(member.instance)
    return [
        *nearest_by_hash(own.instance, same_zone, HELPERS_PER_GROUP),
        *nearest_by_hash(own.instance, other_zones, HELPERS_PER_GROUP),
    ]


def choose_helper(
    loads: Sequence[HelperLoad], random_fraction: float
) -> int | None:
    """Choose the peer that serves the next request.

    :param loads: Peers that may serve it.
    :param random_fraction: Random number in [0, 1) that spreads requests over
        equal peers.
    :returns: Index of the peer; ``None`` if there is none.
    """
    indexes = range(len(loads))
    responding = [
        index
        for index in indexes
        if loads[index].contact_age_seconds < MAX_CONTACT_AGE_SECONDS
    ]
    candidates = responding or list(indexes)
    if not candidates:
        return None
    offset = int(random_fraction * len(candidates))
    rotated = candidates[offset:] + candidates[:offset]
    return min(
        rotated,
        key=lambda index: (
            loads[index].pending_count // LOAD_STEP,
            not loads[index].is_same_zone,
        ),
    )
