"""Memory that replies of targets take together in this process.

The limit of a single reply does not bound the sum: a request to many shards
receives as many replies at once, and targets may send bytes without end.
"""

from typing import Final, Protocol

from celeryturn.clients.account import (
    CLIENT_ACCOUNT,
    SMALL_BYTES,
    ClientAccount,
    charge,
    make_room,
)

# A reply that holds no more than this is received however much others hold.
GUARANTEED_REPLY_BYTES: Final = 4096
# Clients do not give way to replies that hold more than this together.
INCOMING_SHARE: Final = 0.5


class HeldReply(Protocol):
    """A reply that is being received.

    :param may_give_way: Whether it may be dropped since others need the room.
    """

    may_give_way: bool

    def give_way(self) -> None:
        """End the exchange and discard what was received."""


class ReplyMemory:
    """Bytes of replies that are being received or not used yet.

    :param account: Account that they are charged to.
    :param used_bytes: Bytes held at present.
    :param incoming: Size of what each reply holds that is not complete.
    :param incoming_bytes: Sum of these sizes.
    :param dropped_count: Replies that gave way, since the start.
    """

    __slots__ = (
        'account',
        'dropped_count',
        'incoming',
        'incoming_bytes',
        'used_bytes',
    )

    def __init__(self, account: ClientAccount) -> None:
        self.account = account
        self.used_bytes = 0
        self.incoming: dict[HeldReply, int] = {}
        self.incoming_bytes = 0
        self.dropped_count = 0


def resize(memory: ReplyMemory, reply: HeldReply, size_bytes: int) -> bool:
    """Record the size of a reply that is being received.

    If there is no room for a small one, larger replies give way, since one
    without end becomes the largest.  A large one gets no more room: if it
    pushed out others, the most advanced would never be complete.

    :param memory: Memory of all replies.
    :param reply: The reply.
    :param size_bytes: Size of all that it holds.
    :returns: Whether there is room.
    """
    drop(memory, reply)
    memory.incoming[reply] = size_bytes
    memory.incoming_bytes += size_bytes
    hold(memory, size_bytes)
    while reply.may_give_way and not _has_room(memory, size_bytes):
        if not _drop_larger(memory, size_bytes):
            memory.dropped_count += 1
            return False
    return True


def drop(memory: ReplyMemory, reply: HeldReply) -> None:
    """Release what a reply holds that is being received.

    :param memory: Memory of all replies.
    :param reply: The reply; no effect if it holds nothing.
    """
    size_bytes = memory.incoming.pop(reply, 0)
    memory.incoming_bytes -= size_bytes
    release(memory, size_bytes)


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


def _has_room(memory: ReplyMemory, size_bytes: int) -> bool:
    if size_bytes <= GUARANTEED_REPLY_BYTES:
        return True
    account = memory.account
    share_bytes = INCOMING_SHARE * account.limit_bytes
    if memory.incoming_bytes > share_bytes and len(memory.incoming) > 1:
        return False
    return make_room(account, size_bytes)


def _drop_larger(memory: ReplyMemory, size_bytes: int) -> bool:
    if size_bytes > SMALL_BYTES:
        return False
    sizes = memory.incoming
    droppable = [reply for reply in sizes if reply.may_give_way]
    largest = max(droppable, key=sizes.__getitem__, default=None)
    if largest is None or sizes[largest] <= size_bytes:
        return False
    memory.dropped_count += 1
    drop(memory, largest)
    largest.give_way()
    return True


REPLY_MEMORY: Final = ReplyMemory(CLIENT_ACCOUNT)
