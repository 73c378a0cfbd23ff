"""What an instance has sent to its peers and to the store since its start."""

from collections import Counter
from typing import Final, NamedTuple

SAME_ZONE: Final = 'same'
OTHER_ZONE: Final = 'other'


class PeerMessageKind(NamedTuple):
    """Kind of message and destination.

    :param message: Name of the message type.
    :param zone: :data:`SAME_ZONE` or :data:`OTHER_ZONE`.
    """

    message: str
    zone: str


class Traffic:
    """Messages and calls since the start.

    :param peer_messages: Number of messages to peers by kind.
    :param peer_bytes: Size of these messages in bytes, by kind.
    :param store_calls: Number of calls to the store by kind.
    """

    __slots__ = ('peer_bytes', 'peer_messages', 'store_calls')

    def __init__(self) -> None:
        self.peer_messages: Counter[PeerMessageKind] = Counter()
        self.peer_bytes: Counter[PeerMessageKind] = Counter()
        self.store_calls: Counter[str] = Counter()


def count_peer_message(
    traffic: Traffic, message: str, size_bytes: int, *, is_same_zone: bool
) -> None:
    """Count a message that was sent to a peer.

    :param traffic: Traffic so far.
    :param message: Name of the message type.
    :param size_bytes: Size of the encoded message in bytes.
    :param is_same_zone: Whether the peer is in the same availability zone.
    """
    kind = PeerMessageKind(message, SAME_ZONE if is_same_zone else OTHER_ZONE)
    traffic.peer_messages[kind] += 1
    traffic.peer_bytes[kind] += size_bytes
