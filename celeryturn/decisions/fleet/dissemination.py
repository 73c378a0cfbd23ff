"""What instances tell each other about the members of the fleet.

Both ends of a new link compare digests of their tables and exchange only the
entries that may differ.  Later changes are told in batches, without those that
the peer has told itself meanwhile.  Many instances that start at once thus
cost each of them little more than one copy of the table.
"""

from collections.abc import Iterable
from typing import Final

import xxhash

from celeryturn.decisions.fleet.membership import (
    Member,
    Membership,
    next_on_ring,
    supersedes,
)
from celeryturn.decisions.fleet.ring import name_hash

BUCKET_COUNT: Final = 32
BUCKET_BYTES: Final = 4
MIN_NEWS_INTERVAL_SECONDS: Final = 0.2
INTRODUCED_COUNT: Final = 6
_BUCKET_MASK: Final = 2 ** (8 * BUCKET_BYTES) - 1


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
        entry_hash = xxhash.xxh3_64_intdigest(
            f'{member.instance} {member.incarnation} {member.status}'.encode()
        )
        buckets[_bucket(member)] ^= entry_hash & _BUCKET_MASK
    return b''.join(
        bucket.to_bytes(BUCKET_BYTES, 'big') for bucket in buckets.values()
    )


def differing_members(
    members: Iterable[Member], peer_digest: bytes
) -> tuple[Member, ...]:
    """List the entries that a peer may lack.

    :param members: All entries of the table.
    :param peer_digest: Digest of the table of the peer.
    :returns: The entries of all buckets that differ.
    """
    known = tuple(members)
    own_digest = digest_members(known)
    return tuple(
        member
        for member in known
        if _bucket_hash(own_digest, member) != _bucket_hash(peer_digest, member)
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


def _bucket(member: Member) -> int:
    return name_hash(member.instance) % BUCKET_COUNT


def _bucket_hash(digest: bytes, member: Member) -> bytes:
    start = _bucket(member) * BUCKET_BYTES
    return digest[start : start + BUCKET_BYTES]
