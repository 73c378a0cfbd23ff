"""Memory that replies of targets take together in this process.

The limit of a single reply does not bound the sum: a request to many shards
receives as many replies at once.
"""

from typing import Final

from celeryturn.clients.account import (
    CLIENT_ACCOUNT,
    ClientAccount,
    charge,
    make_room,
)

# A reply up to this size is received however much the others take.
GUARANTEED_REPLY_BYTES: Final = 65_536


class ReplyMemory:
    """Bytes of replies that are being received or not used yet.

    :param account: Account that they are charged to.
    :param used_bytes: Bytes held at present.
    """

    __slots__ = ('account', 'used_bytes')

    def __init__(self, account: ClientAccount) -> None:
        self.account = account
        self.used_bytes = 0


def reserve(memory: ReplyMemory, reply_bytes: int, added_bytes: int) -> bool:
    """Reserve memory for a reply that grows.

    :param memory: Memory of all replies.
    :param reply_bytes: Bytes of this reply that are already reserved.
    :param added_bytes: Further bytes.
    :returns: Whether they were reserved; ``False`` if the reply is larger than
        :data:`GUARANTEED_REPLY_BYTES` and no connection of a client gives way
        to it.
    """
    size_bytes = reply_bytes + added_bytes
    has_room = make_room(memory.account, size_bytes, added_bytes)
    if size_bytes > GUARANTEED_REPLY_BYTES and not has_room:
        return False
    hold(memory, added_bytes)
    return True


def hold(memory: ReplyMemory, held_bytes: int) -> None:
    """Record bytes that are kept until a request has ended.

    :param memory: Memory of all replies.
    :param held_bytes: Bytes to hold.
    """
    memory.used_bytes += held_bytes
    charge(memory.account, held_bytes)


def release(memory: ReplyMemory, released_bytes: int) -> None:
    """Release memory of replies that are no longer needed.

    :param memory: Memory of all replies.
    :param released_bytes: Bytes to release.
    """
    memory.used_bytes -= released_bytes
    charge(memory.account, -released_bytes)


REPLY_MEMORY: Final = ReplyMemory(CLIENT_ACCOUNT)
