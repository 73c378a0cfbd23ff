"""Bytes that were written to connections and that the other side has not taken.

A transport keeps what the socket does not accept, in a buffer without limit.
"""

from typing import Final

# An answer of which its caller has read nothing for so long is abandoned.
UNREAD_ANSWER_SECONDS: Final = 10.0


class UnsentBytes:
    """Bytes in the buffers of connections of one kind.

    :param held: Size of what each connection holds, by its number.
    :param used_bytes: Sum of what they hold.
    :param abandoned_count: Connections that were abandoned since the start.
    """

    __slots__ = ('abandoned_count', 'held', 'used_bytes')

    def __init__(self) -> None:
        self.held: dict[int, int] = {}
        self.used_bytes = 0
        self.abandoned_count = 0


def record_unsent(unsent: UnsentBytes, number: int, size_bytes: int) -> None:
    """Record the size of what a connection holds.

    :param unsent: Bytes held by all connections of the kind.
    :param number: Number that identifies the connection.
    :param size_bytes: Size of what it holds; zero for nothing.
    """
    unsent.used_bytes += size_bytes - unsent.held.pop(number, 0)
    if size_bytes:
        unsent.held[number] = size_bytes


UNREAD_ANSWERS: Final = UnsentBytes()
# The deadline of its request bounds the time for which each is held.
UNREAD_REQUESTS: Final = UnsentBytes()
