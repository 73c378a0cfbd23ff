"""The memory and the connections that clients take in this process.

Every place where bytes of clients or targets wait is charged to one account:
heads, bodies, requests that were sent ahead, unread answers, replies of targets
and what the system holds for a connection that is not read.  When there is no
room left, the connection that has waited for its client the longest gives way,
be it idle, in the middle of a request or with an answer that is not read.
"""

from collections.abc import Callable, Iterator
from typing import Final

from celeryturn.clients.process_limits import (
    DEFAULT_LIMITS,
    ProcessLimits,
    account_bytes,
    max_client_connections,
    max_target_connections,
    receive_buffer_bytes,
    target_receive_buffer_bytes,
)

# A connection without any request.
CONNECTION_BYTES: Final = 4096
# A request that is being handled, without what its client has sent.
REQUEST_BYTES: Final = 16_384
# One header of a request, in addition to its text.
HEADER_BYTES: Final = 256
# The system accepts up to twice as much as this before a write has to wait.
SEND_BUFFER_BYTES: Final = 65_536
# What is larger leaves some room, so that small requests are still accepted.
SMALL_BYTES: Final = 65_536
LARGE_SHARE: Final = 0.75
# Slow readers give way only while they hold more than this together.
SLOW_SHARE: Final = 0.5


class Holding:
    """What one connection holds.

    :param size_bytes: Size of all that it holds.
    :param is_open: Whether it is part of an account.
    :param give_way: Closes the connection and discards what it holds.
    """

    __slots__ = ('give_way', 'is_open', 'size_bytes')

    def __init__(self, give_way: Callable[[], None]) -> None:
        self.size_bytes = 0
        self.is_open = False
        self.give_way = give_way


class ClientAccount:
    """What all connections of clients hold together.

    :param limit_bytes: Bytes that may be held.
    :param used_bytes: Bytes that are held.
    :param max_connections: Connections that may be open.
    :param connection_count: Connections that are open.
    :param max_target_connections: Connections to targets that may be open.
    :param receive_buffer_bytes: Size of the receive buffer of a connection.
    :param target_buffer_bytes: Size of the receive buffer of a connection to a
        target.
    :param waiting: Connections that wait for their client, the longest first.
    :param answered: Connections whose client may still begin to read its
        answer, the longest first.  They give way after those that wait.
    :param read_slowly: Connections whose client reads its answer bit by bit,
        the one that has read nothing for the longest time first.  They give
        way after all others, and only while they hold a large part.
    :param slow_bytes: What these hold.
    :param closed_count: Connections that gave way, since the start.
    """

    __slots__ = (
        'answered',
        'closed_count',
        'connection_count',
        'limit_bytes',
        'max_connections',
        'max_target_connections',
        'read_slowly',
        'receive_buffer_bytes',
        'slow_bytes',
        'target_buffer_bytes',
        'used_bytes',
        'waiting',
    )

    def __init__(self) -> None:
        self.limit_bytes = account_bytes(DEFAULT_LIMITS)
        self.max_connections = max_client_connections(DEFAULT_LIMITS)
        self.max_target_connections = max_target_connections(DEFAULT_LIMITS)
        self.receive_buffer_bytes = receive_buffer_bytes(DEFAULT_LIMITS)
        self.target_buffer_bytes = target_receive_buffer_bytes(DEFAULT_LIMITS)
        self.used_bytes = 0
        self.connection_count = 0
        self.closed_count = 0
        self.waiting: dict[Holding, None] = {}
        self.answered: dict[Holding, None] = {}
        self.read_slowly: dict[Holding, None] = {}
        self.slow_bytes = 0


def apply_limits(account: ClientAccount, limits: ProcessLimits) -> None:
    """Derive the limits of the account from those of the process.

    :param account: The account.
    :param limits: Limits of the process.
    """
    account.limit_bytes = account_bytes(limits)
    account.max_connections = max_client_connections(limits)
    account.max_target_connections = max_target_connections(limits)
    account.receive_buffer_bytes = receive_buffer_bytes(limits)
    account.target_buffer_bytes = target_receive_buffer_bytes(limits)


def open_holding(account: ClientAccount, holding: Holding) -> None:
    """Add a new connection, which waits for its client.

    If there are too many connections, another one gives way, or the new one
    if none waits for its client.

    :param account: The account.
    :param holding: What the connection holds.
    """
    holding.is_open = True
    account.connection_count += 1
    wait_for_client(account, holding)
    resize(account, holding, CONNECTION_BYTES)
    while account.connection_count > account.max_connections:
        if not _close_longest(account, holding):
            holding.give_way()
            return


def close_holding(account: ClientAccount, holding: Holding) -> None:
    """Remove a connection and all that it holds; no effect if it is removed.

    :param account: The account.
    :param holding: What the connection holds.
    """
    if holding.is_open:
        resize(account, holding, 0)
        holding.is_open = False
        # Without the reference, the memory of the connection is free as soon
        # as it is closed, and not when the garbage collector runs.
        holding.give_way = _do_nothing
        account.connection_count -= 1
        serve_client(account, holding)


def resize(account: ClientAccount, holding: Holding, size_bytes: int) -> None:
    """Record the size of what a connection holds.

    :param account: The account.
    :param holding: What the connection holds.
    :param size_bytes: Its size.
    """
    if not holding.is_open:
        return
    added_bytes = size_bytes - holding.size_bytes
    holding.size_bytes = size_bytes
    account.used_bytes += added_bytes
    if holding in account.read_slowly:
        account.slow_bytes += added_bytes


def charge(account: ClientAccount, added_bytes: int) -> None:
    """Record bytes that no connection of a client holds.

    :param account: The account.
    :param added_bytes: Bytes that are held in addition; negative if released.
    """
    account.used_bytes += added_bytes


def wait_for_client(account: ClientAccount, holding: Holding) -> None:
    """Record that a connection waits for its client from now on.

    :param account: The account.
    :param holding: What the connection holds.
    """
    serve_client(account, holding)
    if holding.is_open:
        account.waiting[holding] = None


def begin_answer(account: ClientAccount, holding: Holding) -> None:
    """Record that the client has not read the whole answer at once.

    :param account: The account.
    :param holding: What the connection holds.
    """
    serve_client(account, holding)
    if holding.is_open:
        account.answered[holding] = None


def record_slow_read(account: ClientAccount, holding: Holding) -> None:
    """Record that the client has read a part of an answer just now.

    :param account: The account.
    :param holding: What the connection holds.
    """
    serve_client(account, holding)
    if holding.is_open:
        account.read_slowly[holding] = None
        account.slow_bytes += holding.size_bytes


def serve_client(account: ClientAccount, holding: Holding) -> None:
    """Record that a connection does not wait for its client any more.

    :param account: The account.
    :param holding: What the connection holds.
    """
    account.waiting.pop(holding, None)
    account.answered.pop(holding, None)
    if holding in account.read_slowly:
        account.read_slowly.pop(holding)
        account.slow_bytes -= holding.size_bytes


def make_room(
    account: ClientAccount,
    size_bytes: int,
    added_bytes: int = 0,
    kept: Holding | None = None,
) -> bool:
    """Let connections give way, so that something may be held.

    :param account: The account.
    :param size_bytes: Size of what is to be held.
    :param added_bytes: The part of it that is not charged yet.
    :param kept: A connection that must not give way, if any.
    :returns: Whether there is room.
    """
    limit_bytes = account.limit_bytes
    if size_bytes > SMALL_BYTES:
        limit_bytes = int(LARGE_SHARE * limit_bytes)
    while account.used_bytes + added_bytes > limit_bytes:
        if not _close_longest(account, kept):
            return False
    return True


def _close_longest(account: ClientAccount, kept: Holding | None) -> bool:
    for holding in _by_wait(account):
        if holding is not kept:
            account.closed_count += 1
            holding.give_way()
            return True
    return False


def _do_nothing() -> None:
    """Replace what a closed connection would do to give way."""


def _by_wait(account: ClientAccount) -> Iterator[Holding]:
    yield from account.waiting
    yield from account.answered
    if account.slow_bytes > SLOW_SHARE * account.limit_bytes:
        yield from account.read_slowly


CLIENT_ACCOUNT: Final = ClientAccount()
