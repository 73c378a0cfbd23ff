"""Choice of the instances that one watches and exchanges what is new with."""

from typing import Final

from celeryturn.decisions.fleet.membership import Member, Membership, Status
from celeryturn.decisions.fleet.ring import name_hash, ring_position

MAX_SUSPECT_NEIGHBOURS: Final = 8
JOINING_SECONDS: Final = 2.0
JOINING_NEIGHBOUR_COUNT: Final = 1
_RESPONDING_STATUSES: Final = frozenset((Status.LISTED, Status.ALIVE))


def neighbours_of(membership: Membership, count: int) -> list[str]:
    """Choose the instances to watch.

    They are the next instances on a ring, where those of an availability zone
    are next to each other.  Suspect ones do not count, but remain watched.

    :param membership: The membership table.
    :param count: Maximum number of instances to choose.
    :returns: Names of instances in ring order, the closest first.
    """
    nearest = next_on_ring(membership, membership.own, len(membership.members))
    chosen: list[str] = []
    remaining_count = count
    for member in nearest[: count + MAX_SUSPECT_NEIGHBOURS]:
        chosen.append(member.instance)
        remaining_count -= member.status is not Status.SUSPECT
        if not remaining_count:
            break
    return chosen


def neighbour_count(full_count: int, elapsed_seconds: float) -> int:
    """Return how many neighbours an instance links to.

    Both ends of a link exchange what they know when it opens.  While many
    instances start at once that is little, and differs on each link, so that a
    second link soon would repeat most of what the first one brings.

    :param full_count: Number of neighbours of an instance that has joined.
    :param elapsed_seconds: Time since the first contact with a peer; negative
        before it, when each one may be the first to respond.
    :returns: Number of neighbours.
    """
    if 0 <= elapsed_seconds < JOINING_SECONDS:
        return min(full_count, JOINING_NEIGHBOUR_COUNT)
    return full_count


def next_by_name(membership: Membership) -> list[str]:
    """Choose one more instance to watch, in whatever zone.

    All instances of a zone may fail at once, and with them most neighbours of
    each other.  Each is therefore also watched by the one before it in the
    order of hashed names alone.

    :param membership: The membership table.
    :returns: A list of one name, or an empty list if there is no other.
    """
    own_hash = name_hash(membership.own.instance)
    others = [
        member.instance
        for member in membership.members.values()
        if member.status in _RESPONDING_STATUSES
        and member.instance != membership.own.instance
    ]
    return sorted(
        others, key=lambda name: (name_hash(name) <= own_hash, name_hash(name))
    )[:1]


def next_on_ring(
    membership: Membership, origin: Member, count: int
) -> list[Member]:
    """List the instances that follow another one on the ring.

    :param membership: The membership table.
    :param origin: The entry of the other instance, which may be unknown.
    :param count: Maximum number of instances to list.
    :returns: Entries that are not gone in ring order, without the origin.
    """
    origin_position = _position(origin)
    others = [
        member
        for member in membership.members.values()
        if member.status is not Status.GONE
        and member.instance != origin.instance
    ]
    others.sort(
        key=lambda member: (
            _position(member) <= origin_position,
            _position(member),
        )
    )
    return others[:count]


def choose_gone_instance(
    membership: Membership, random_fraction: float
) -> list[str]:
    """Choose one instance marked as gone, to check whether it is back.

    Without this check the two sides of a healed network partition would not
    find each other again.

    :param membership: The membership table.
    :param random_fraction: Random number in [0, 1).
    :returns: A list of one name, or an empty list if none is gone.
    """
    gone = sorted(
        member.instance
        for member in membership.members.values()
        if member.status is Status.GONE
    )
    if not gone:
        return []
    return [gone[int(random_fraction * len(gone)) % len(gone)]]


def _position(member: Member) -> tuple[str, int]:
    return ring_position(member.availability_zone, member.instance)
