"""What instances tell each other about the members of the fleet.

Both ends of a new link compare digests of their tables, then hashes of the
entries in the buckets that differ, and exchange only the entries that differ.
Later changes are told in batches, without those that the peer has told itself
meanwhile.  Many instances that start at once thus cost each of them little
more than one copy of the table.
"""

from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

from celeryturn.decisions.fleet.membership import (
    Member,
    Membership,
    supersedes,
)
from celeryturn.decisions.fleet.neighbours import next_on_ring
from celeryturn.decisions.fleet.ring import name_hash

BUCKET_COUNT: Final = 32
HASH_BYTES: Final = 4
HASH_BITS: Final = 8 * HASH_BYTES
MIN_NEWS_INTERVAL_SECONDS: Final = 0.2
INTRODUCED_COUNT: Final = 6
_HASH_MASK: Final = 2**HASH_BITS - 1


class Comparison(NamedTuple):
    """How a table differs from that of a peer.

    :param told: Entries that the peer lacks or has in another version.
    :param missing_name_hashes: Hashes of the names of the entries that it has
        and this instance lacks, or has in another version.
    """

    told: tuple[Member, ...]
    missing_name_hashes: bytes


class News:
    """Changed entries that a peer has not been told yet.

    :param pending: Changed entries by instance.
    :param told_seconds: Time at which entries were last sent.
    """

    __slots__ = ('pending', 'told_seconds')

    def __init__(self) -> None:
        self.pending: dict[str, Member] = {}
        self.told_seconds = 0.0


def add_news(news: News, changed: Iterable[Member]) -> None:
    """Add changed entries.

    :param news: Entries that the peer has not been told yet.
    :param changed: The changed entries.
    """
    for member in changed:
        news.pending[member.instance] = member


def discard_known(news: News, offered: Iterable[Member]) -> None:
    """Discard what the peer knows, since it has sent as much itself.

    :param news: Entries that the peer has not been told yet.
    :param offered: Entries received from the peer.
    """
    for member in offered:
        pending = news.pending.get(member.instance)
        if pending is not None and not supersedes(pending, member):
            news.pending.pop(member.instance)


def seconds_until_due(news: News, now_seconds: float) -> float:
    """Return when the pending entries are due.

    A single change is due at once.  Further ones wait, so that many changes
    in a short time go into one message.

    :param news: Entries that the peer has not been told yet.
    :param now_seconds: Current time.
    :returns: Seconds; zero if they are due now.
    """
    elapsed_seconds = now_seconds - news.told_seconds
    return max(0.0, MIN_NEWS_INTERVAL_SECONDS - elapsed_seconds)


def take_news(news: News, now_seconds: float) -> tuple[Member, ...]:
    """Take the pending entries, to send them.

    :param news: Entries that the peer has not been told yet.
    :param now_seconds: Current time.
    :returns: The entries, possibly none.
    """
    taken = tuple(news.pending.values())
    news.pending.clear()
    if taken:
        news.told_seconds = now_seconds
    return taken


def digest_members(members: Iterable[Member]) -> bytes:
    """Compute a digest of a membership table.

    :param members: All entries of the table.
    :returns: A hash of the entries of each of :data:`BUCKET_COUNT` buckets.
    """
    buckets = dict.fromkeys(range(BUCKET_COUNT), 0)
    for member in members:
        buckets[_bucket(member)] ^= _version_hash(member)
    return b''.join(
        bucket.to_bytes(HASH_BYTES, 'big') for bucket in buckets.values()
    )


def summarize_differing(members: Iterable[Member], peer_digest: bytes) -> bytes:
    """Summarize the entries of all buckets that differ.

    :param members: All entries of the table.
    :param peer_digest: Digest of the table of the peer.
    :returns: The hashes of the name and of the version of each entry.
    """
    return b''.join(
        _pack(member) for member in _differing(members, peer_digest)
    )


def compare_summary(
    members: Iterable[Member], peer_digest: bytes, summary: bytes
) -> Comparison:
    """Compare a table with the summary of a peer.

    :param members: All entries of the table.
    :param peer_digest: Digest of the table of the peer.
    :param summary: Summary of the entries that the peer has in the buckets
        that differ.
    :returns: What to tell the peer, and what to request.
    """
    peer_entries = _unpack(summary)
    own_entries = {
        _pack(member): member for member in _differing(members, peer_digest)
    }
    told = [own_entries[key] for key in own_entries.keys() - peer_entries]
    missing = peer_entries - own_entries.keys()
    return Comparison(
        tuple(told), b''.join(entry[:HASH_BYTES] for entry in missing)
    )


def requested_members(
    members: Iterable[Member], name_hashes: bytes
) -> tuple[Member, ...]:
    """List the entries that a peer requests.

    :param members: All entries of the table.
    :param name_hashes: Hashes of the names of the instances.
    :returns: The entries that are known.
    """
    requested = {
        name_hashes[start : start + HASH_BYTES]
        for start in range(0, len(name_hashes), HASH_BYTES)
    }
    return tuple(
        member for member in members if _pack(member)[:HASH_BYTES] in requested
    )


def introduce(membership: Membership, joining: Member) -> tuple[Member, ...]:
    """Choose the entries for an instance that joins through this one.

    The instance learns all others from its neighbours.

    :param membership: The membership table of this instance.
    :param joining: Entry of the instance that joins.
    :returns: The entry of this instance and those of the
        :data:`INTRODUCED_COUNT` instances that follow the new one on the ring.
    """
    nearest = next_on_ring(membership, joining, INTRODUCED_COUNT)
    return (membership.own, *nearest)


def knows_zone_of(membership: Membership, joining: Member) -> bool:
    """Return whether this instance knows enough to introduce another one.

    :param membership: The membership table of this instance.
    :param joining: Entry of the instance that joins.
    :returns: Whether it knows :data:`INTRODUCED_COUNT` others of its zone.
    """
    in_zone = [
        member
        for member in membership.members.values()
        if member.availability_zone == joining.availability_zone
        and member.instance != joining.instance
    ]
    return len(in_zone) >= INTRODUCED_COUNT


def _differing(
    members: Iterable[Member], peer_digest: bytes
) -> Iterator[Member]:
    known = tuple(members)
    own_digest = digest_members(known)
    for member in known:
        start = _bucket(member) * HASH_BYTES
        end = start + HASH_BYTES
        if own_digest[start:end] != peer_digest[start:end]:
            yield member


def _bucket(member: Member) -> int:
    return name_hash(member.instance) % BUCKET_COUNT


def _pack(member: Member) -> bytes:
    name_bits = (name_hash(member.instance) >> HASH_BITS) & _HASH_MASK
    name_bytes = name_bits.to_bytes(HASH_BYTES, 'big')
    return name_bytes + _version_hash(member).to_bytes(HASH_BYTES, 'big')


def _unpack(summary: bytes) -> set[bytes]:
    entry_bytes = 2 * HASH_BYTES
    return {
        summary[start : start + entry_bytes]
        for start in range(0, len(summary), entry_bytes)
    }


def _version_hash(member: Member) -> int:
    version = f'{member.instance} {member.incarnation} {member.status}'
    return name_hash(version) & _HASH_MASK
