"""Which instances are believed live, from a lagging list and from peers.

An entry is replaced only by one of a higher incarnation, or of the same
incarnation and a status that says more.  An instance that hears itself
called suspect or gone raises its own incarnation.
"""

import enum
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Final, NamedTuple

import xxhash

SUSPECT_AFTER_SECONDS: Final = 3.0
GONE_AFTER_SECONDS: Final = 5.0
FORGET_AFTER_SECONDS: Final = 600.0
PEAK_HOLD_SECONDS: Final = 600.0
MAX_MEMBERS: Final = 2048
SMALL_FLEET_COUNT: Final = 40


class Status(enum.StrEnum):
    """What is believed of an instance."""

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
    """One instance.

    :param instance: Its name.
    :param address: IP address, for callers and peers.
    :param callers_port: Port for callers.
    :param peers_port: Port for peers.
    :param availability_zone: Where it stands.
    :param incarnation: Rises with every start and every refutation.
    :param status: What is believed of it.
    """

    instance: str
    address: str
    callers_port: int
    peers_port: int
    availability_zone: str
    incarnation: int = 0
    status: Status = Status.LISTED


class Membership:
    """What one instance believes of all.

    :param own: The entry of this instance.
    :param members: Entries by name, this instance's among them.
    :param status_since_seconds: When each entry last changed its status.
    :param last_contact_seconds: When each neighbour was last heard directly.
    :param peak_count: Largest recent count of live instances.
    :param peak_seconds: When that count was last reached.
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
    """Tell whether an entry replaces the one that is held.

    :param offered: The entry that was heard.
    :param known: The entry that is held, if any.
    :returns: Whether it says more, or something newer.
    """
    if known is None:
        return True
    offered_rank = (offered.incarnation, _RANKS[offered.status])
    return offered_rank > (known.incarnation, _RANKS[known.status])


def merge_entries(
    membership: Membership, offered: Iterable[Member], now_seconds: float
) -> list[Member]:
    """Merge entries that a peer or the list offers.

    :param membership: What is believed so far.
    :param offered: Entries that were heard.
    :param now_seconds: Time of hearing.
    :returns: Entries that changed and are to be spread.
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
    """Believe the list where it calls an instance leaving.

    :param membership: What is believed so far.
    :param names: Instances that the list calls leaving.
    :param now_seconds: Time of reading.
    :returns: Entries that changed and are to be spread.
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
    """Note that a neighbour was heard directly.

    :param membership: What is believed so far.
    :param instance: The neighbour.
    :param now_seconds: Time of hearing.
    """
    membership.last_contact_seconds[instance] = now_seconds


def tick(
    membership: Membership, neighbours: Iterable[str], now_seconds: float
) -> list[Member]:
    """Suspect silent neighbours, give up suspects, forget the gone.

    :param membership: What is believed so far.
    :param neighbours: Instances this one watches.
    :param now_seconds: Time of the tick.
    :returns: Entries that changed and are to be spread.
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
    """Say that this instance is leaving.

    :param membership: What is believed so far.
    :param now_seconds: Time of the decision.
    :returns: The own entry, to be spread.
    """
    own = membership.own._replace(status=Status.LEAVING)
    membership.own = own
    _store(membership, own, now_seconds)
    return own


def neighbours_of(membership: Membership, count: int) -> list[str]:
    """Choose whom to watch: the next ones on a ring of hashed names.

    :param membership: What is believed so far.
    :param count: How many.
    :returns: Names of instances, the nearest first.
    """
    own_position = _ring_position(membership.own.instance)
    others = [
        member.instance
        for member in membership.members.values()
        if member.status is not Status.GONE
        and member.instance != membership.own.instance
    ]
    others.sort(
        key=lambda name: (
            _ring_position(name) <= own_position,
            _ring_position(name),
        )
    )
    return others[:count]


def choose_gone_instance(
    membership: Membership, random_fraction: float
) -> list[str]:
    """Pick one instance thought gone, to see whether it is back.

    Without this the halves of a partition would not find each other again.

    :param membership: What is believed so far.
    :param random_fraction: A number between 0 and 1.
    :returns: One name, or none.
    """
    gone = sorted(
        member.instance
        for member in membership.members.values()
        if member.status is Status.GONE
    )
    if not gone:
        return []
    return [gone[int(random_fraction * len(gone)) % len(gone)]]


def list_wait_seconds(base_wait_seconds: float, member_count: int) -> float:
    """Work out how long to wait before the list is read again.

    The list grows with the fleet and so does each reading of it; peers tell
    of changes sooner, so that a large fleet reads it less often.

    :param base_wait_seconds: The wait in a small fleet.
    :param member_count: How many instances are known.
    :returns: The wait, before it is spread.
    """
    return base_wait_seconds * max(1, member_count / SMALL_FLEET_COUNT)


def live_count(membership: Membership) -> int:
    """Count instances for sharing limits, cautiously.

    :param membership: What is believed so far.
    :returns: The largest count of the recent past, so that instances whose
        views differ do not overrun a target together.
    """
    return membership.peak_count


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
        > FORGET_AFTER_SECONDS
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


def _ring_position(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
