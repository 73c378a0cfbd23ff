"""Membership of the fleet, from a list that may be stale and from gossip.

An entry is replaced only by an entry of a higher incarnation, or by one of
the same incarnation and a status that ranks higher.  An instance that
receives a superseding entry about itself, for example one that marks it as
suspect or gone, refutes it by raising its own incarnation.
"""

import enum
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Final, NamedTuple

from celeryturn.units import Count, Port

SUSPECT_AFTER_SECONDS: Final = 3.0
GONE_AFTER_SECONDS: Final = 5.0
REMOVE_GONE_AFTER_SECONDS: Final = 600.0
PEAK_HOLD_SECONDS: Final = 600.0
MAX_MEMBERS: Final = 2048
SMALL_FLEET_COUNT: Final = 40


class Status(enum.StrEnum):
    """Known state of an instance; a later value ranks higher."""

    LISTED = 'listed'
    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    GONE = 'gone'


_RANKS: Final[Mapping[Status, int]] = MappingProxyType(
    {status: rank for rank, status in enumerate(Status)}
)
_ACTIVE_STATUSES: Final = frozenset(
    (Status.LISTED, Status.ALIVE, Status.SUSPECT)
)
COUNTED_STATUSES: Final = frozenset(
    (
        Status.LISTED,
        Status.ALIVE,
        Status.SUSPECT,
        Status.LEAVING,
    )
)


class Member(NamedTuple):
    """Entry of one instance.

    :param instance: Name of the instance.
    :param address: IP address, for callers and peers.
    :param callers_port: Port for callers.
    :param peers_port: Port for peers.
    :param availability_zone: Availability zone the instance runs in.
    :param incarnation: Increases with every start and every refutation.
    :param status: Known state of the instance.
    :param capacity_per_second: Sub-requests that its machine can send per
        second; zero if unknown.
    :param is_busy: Whether it sends so many that callers should use others as
        well.
    :param reaches_targets: Whether it can open connections to targets.
    """

    instance: str
    address: str
    callers_port: Port
    peers_port: Port
    availability_zone: str
    incarnation: Count = 0
    status: Status = Status.LISTED
    capacity_per_second: Count = 0
    is_busy: bool = False
    reaches_targets: bool = True


class Membership:
    """Membership table of one instance.

    :param own: The entry of this instance.
    :param members: Entries by name of the instance, including its own.
    :param status_since_seconds: Time of the last status change of each
        entry.
    :param last_contact_seconds: Time of the last direct contact with each
        neighbour.
    :param peak_count: Largest recent count of live instances.
    :param peak_seconds: Time at which that count was last reached.
    """

    __slots__ = (
        'last_contact_seconds',
        'members',
        'own',
        'peak_count',
        'peak_seconds',
        'status_since_seconds',
    )

    def __init__(self, own: Member, now_seconds: float) -> None:
        self.own = own
        self.members = {own.instance: own}
        self.status_since_seconds = {own.instance: now_seconds}
        self.last_contact_seconds: dict[str, float] = {}
        self.peak_count = 1
        self.peak_seconds = now_seconds


def supersedes(offered: Member, known: Member | None) -> bool:
    """Return whether a received entry replaces the stored one.

    :param offered: The received entry.
    :param known: The stored entry, if any.
    :returns: Whether the received entry has a higher incarnation, or the
        same incarnation and a status that ranks higher.
    """
    if known is None:
        return True
    offered_rank = (offered.incarnation, _RANKS[offered.status])
    return offered_rank > (known.incarnation, _RANKS[known.status])


def merge_entries(
    membership: Membership, offered: Iterable[Member], now_seconds: float
) -> list[Member]:
    """Merge entries received from a peer or read from the list.

    :param membership: The membership table.
    :param offered: The received entries.
    :param now_seconds: Time of receipt.
    :returns: Entries that changed and must be gossiped.
    """
    changed = []
    for member in offered:
        if member.instance == membership.own.instance:
            changed.extend(_refute(membership, member, now_seconds))
        elif supersedes(member, membership.members.get(member.instance)):
            _store(membership, member, now_seconds)
            changed.append(member)
    _update_peak(membership, now_seconds)
    return changed


def mark_leaving(
    membership: Membership, names: Iterable[str], now_seconds: float
) -> list[Member]:
    """Mark the instances that the list reports as leaving.

    The entry of this instance is not changed.

    :param membership: The membership table.
    :param names: Instances that the list reports as leaving.
    :param now_seconds: Time at which the list was read.
    :returns: Entries that changed and must be gossiped.
    """
    changed = []
    for name in names:
        known = membership.members.get(name)
        if known is None or known.status not in _ACTIVE_STATUSES:
            continue
        if name != membership.own.instance:
            entry = known._replace(status=Status.LEAVING)
            _store(membership, entry, now_seconds)
            changed.append(entry)
    return changed


def record_contact(
    membership: Membership, instance: str, now_seconds: float
) -> None:
    """Record a direct contact with a neighbour.

    A name without an entry is ignored, so that the names that peers state for
    themselves do not accumulate.

    :param membership: The membership table.
    :param instance: Name of the neighbour.
    :param now_seconds: Time of the contact.
    """
    if instance in membership.members:
        membership.last_contact_seconds[instance] = now_seconds


def tick(
    membership: Membership, neighbours: Iterable[str], now_seconds: float
) -> list[Member]:
    """Update the statuses that depend on time.

    Unresponsive neighbours become suspect, suspect instances become gone after
    a timeout, and instances that have been gone for long are removed.

    :param membership: The membership table.
    :param neighbours: Instances that this one watches.
    :param now_seconds: Time of the tick.
    :returns: Entries that changed and must be gossiped.
    """
    changed = []
    for instance in neighbours:
        member = membership.members.get(instance)
        if member is not None and _is_unresponsive(
            membership, member, now_seconds
        ):
            changed.append(member._replace(status=Status.SUSPECT))
    for member in membership.members.values():
        if _is_suspicion_expired(membership, member, now_seconds):
            changed.append(member._replace(status=Status.GONE))
    for entry in changed:
        _store(membership, entry, now_seconds)
    _remove_expired(membership, now_seconds)
    _update_peak(membership, now_seconds)
    return changed


def leave(membership: Membership, now_seconds: float) -> Member:
    """Mark this instance as leaving.

    :param membership: The membership table.
    :param now_seconds: Time of the decision.
    :returns: The entry of this instance, which must be gossiped.
    """
    own = membership.own._replace(status=Status.LEAVING)
    membership.own = own
    _store(membership, own, now_seconds)
    return own


def announce_busy(
    membership: Membership, now_seconds: float, *, is_busy: bool
) -> Member:
    """Change whether this instance is busy.

    :param membership: The membership table.
    :param now_seconds: Time of the decision.
    :param is_busy: Whether callers should use other instances as well.
    :returns: The entry of this instance, which must be gossiped.
    """
    changed = membership.own._replace(is_busy=is_busy)
    return _announce(membership, changed, now_seconds)


def announce_links(
    membership: Membership, now_seconds: float, *, reaches_targets: bool
) -> Member:
    """Change whether this instance reaches its targets.

    :param membership: The membership table.
    :param now_seconds: Time of the decision.
    :param reaches_targets: Whether it can open connections to them.
    :returns: The entry of this instance, which must be gossiped.
    """
    changed = membership.own._replace(reaches_targets=reaches_targets)
    return _announce(membership, changed, now_seconds)


def list_wait_seconds(base_wait_seconds: float, member_count: int) -> float:
    """Compute how long to wait before the list is read again.

    The list, and with it the cost of each read, grows with the fleet.  Gossip
    reports changes sooner than the list, so a large fleet reads it less often.

    :param base_wait_seconds: The wait in a small fleet.
    :param member_count: Number of known instances.
    :returns: The wait in seconds, before jitter is applied.
    """
    return base_wait_seconds * max(1, member_count / SMALL_FLEET_COUNT)


def live_count(membership: Membership) -> int:
    """Return a conservative count of the instances that share limits.

    :param membership: The membership table.
    :returns: The largest recent count, so that instances whose views differ
        do not overload a target together.
    """
    return membership.peak_count


def _announce(
    membership: Membership, changed: Member, now_seconds: float
) -> Member:
    raised = changed._replace(incarnation=changed.incarnation + 1)
    membership.own = raised
    _store(membership, raised, now_seconds)
    return raised


def _refute(
    membership: Membership, claim: Member, now_seconds: float
) -> list[Member]:
    own = membership.own
    if not supersedes(claim, own):
        return []
    raised = own._replace(incarnation=claim.incarnation + 1)
    membership.own = raised
    _store(membership, raised, now_seconds)
    return [raised]


def _store(membership: Membership, member: Member, now_seconds: float) -> None:
    known = membership.members.get(member.instance)
    if known is None or known.status is not member.status:
        membership.status_since_seconds[member.instance] = now_seconds
    membership.members[member.instance] = member
    if len(membership.members) > MAX_MEMBERS:
        _remove(membership, _eviction_candidate(membership))


def _eviction_candidate(membership: Membership) -> str:
    others = (
        member
        for member in membership.members.values()
        if member.instance != membership.own.instance
    )
    oldest = min(
        others,
        key=lambda member: (
            member.status is not Status.GONE,
            membership.status_since_seconds[member.instance],
        ),
    )
    return oldest.instance


def _remove(membership: Membership, instance: str) -> None:
    membership.members.pop(instance, None)
    membership.status_since_seconds.pop(instance, None)
    membership.last_contact_seconds.pop(instance, None)


def _is_unresponsive(
    membership: Membership, member: Member, now_seconds: float
) -> bool:
    if member.status not in {Status.LISTED, Status.ALIVE}:
        return False
    status_since_seconds = membership.status_since_seconds[member.instance]
    last_seconds = max(
        status_since_seconds,
        membership.last_contact_seconds.get(member.instance, 0),
    )
    return now_seconds - last_seconds > SUSPECT_AFTER_SECONDS


def _is_suspicion_expired(
    membership: Membership, member: Member, now_seconds: float
) -> bool:
    if member.status is not Status.SUSPECT:
        return False
    status_since_seconds = membership.status_since_seconds[member.instance]
    return now_seconds - status_since_seconds > GONE_AFTER_SECONDS


def _remove_expired(membership: Membership, now_seconds: float) -> None:
    expired = [
        member.instance
        for member in membership.members.values()
        if member.status is Status.GONE
        and now_seconds - membership.status_since_seconds[member.instance]
        > REMOVE_GONE_AFTER_SECONDS
    ]
    for instance in expired:
        _remove(membership, instance)


def _update_peak(membership: Membership, now_seconds: float) -> None:
    count = sum(
        member.status in COUNTED_STATUSES
        for member in membership.members.values()
    )
    is_hold_over = now_seconds - membership.peak_seconds > PEAK_HOLD_SECONDS
    if count >= membership.peak_count or is_hold_over:
        membership.peak_count = count
        membership.peak_seconds = now_seconds
