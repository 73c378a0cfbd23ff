"""Delegates of the availability zones, which spare the others calls and links.

The first few live instances of each zone, in the order of hashed names, follow
the store for their zone and keep the links to other zones.  The others receive
changes from their peers.  Instances whose views differ may choose different
delegates for a time; then there are a few more or fewer of them.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Final

from celeryturn.decisions.fleet.membership import Member, Membership, Status
from celeryturn.decisions.fleet.ring import name_hash

DELEGATES_PER_ZONE: Final = 3
SETTLE_SECONDS: Final = 2.0


def delegates_of(members: Iterable[Member], zone: str) -> list[str]:
    """Choose the delegates of an availability zone.

    :param members: Known entries of the instances.
    :param zone: The zone.
    :returns: Names of up to :data:`DELEGATES_PER_ZONE` live instances, always
        in the same order.
    """
    names = [
        member.instance
        for member in members
        if member.availability_zone == zone and member.status is Status.ALIVE
    ]
    return sorted(names, key=name_hash)[:DELEGATES_PER_ZONE]


def is_delegate(membership: Membership) -> bool:
    """Return whether this instance is a delegate of its zone.

    :param membership: The membership table of this instance.
    :returns: Whether it is; while it knows no peers, it is.
    """
    own = membership.own
    members = membership.members.values()
    return own.instance in delegates_of(members, own.availability_zone)


def count_delegates(membership: Membership) -> int:
    """Return the number of delegates of the fleet.

    :param membership: The membership table of this instance.
    :returns: The number in all zones together.
    """
    counts = _live_counts(membership).values()
    return sum(min(count, DELEGATES_PER_ZONE) for count in counts)


def has_other_instances(membership: Membership) -> bool:
    """Return whether the fleet has instances that are no delegates.

    :param membership: The membership table of this instance.
    :returns: Whether a zone has more instances than delegates.
    """
    counts = _live_counts(membership).values()
    return any(count > DELEGATES_PER_ZONE for count in counts)


def linked_delegates(membership: Membership) -> list[str]:
    """List the delegates that this instance dials.

    The delegates of two zones are linked in pairs, of which one side dials.
    Any other instance dials one delegate of its own zone.  Small fleets, in
    which every instance is a delegate, need no such links.

    :param membership: The membership table of this instance.
    :returns: Names of the delegates.
    """
    own = membership.own
    members = list(membership.members.values())
    own_delegates = delegates_of(members, own.availability_zone)
    if not own_delegates or not has_other_instances(membership):
        return []
    if own.instance not in own_delegates:
        number = name_hash(own.instance) % len(own_delegates)
        return [own_delegates[number]]
    position = own_delegates.index(own.instance)
    dialled_zones = {
        member.availability_zone
        for member in members
        if member.availability_zone > own.availability_zone
    }
    chosen = [delegates_of(members, zone) for zone in sorted(dialled_zones)]
    return [names[position] for names in chosen if position < len(names)]


def settle(
    since_seconds: dict[str, float], names: Iterable[str], now_seconds: float
) -> list[str]:
    """Select the names that have been chosen for some time.

    While many instances start, the delegates change with each that is heard.

    :param since_seconds: Time since which each name has been chosen, which is
        updated.
    :param names: Names that are chosen now.
    :param now_seconds: Current time.
    :returns: Those that have been chosen for :data:`SETTLE_SECONDS`.
    """
    chosen = list(names)
    for former in since_seconds.keys() - chosen:
        since_seconds.pop(former)
    for added in chosen:
        since_seconds.setdefault(added, now_seconds)
    settled_since_seconds = now_seconds - SETTLE_SECONDS
    return [
        name for name in chosen if since_seconds[name] <= settled_since_seconds
    ]


def _live_counts(membership: Membership) -> Counter[str]:
    return Counter(
        member.availability_zone
        for member in membership.members.values()
        if member.status is Status.ALIVE
    )
