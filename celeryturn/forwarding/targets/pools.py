"""Bounded pools of connections to targets.

Requests that wait for a connection are sent in the order of their priority.
"""

import asyncio
import functools
import heapq
from collections import deque
from typing import Final, NamedTuple

from celeryturn.clock import boottime_seconds
from celeryturn.decisions.request.reply_identity import IdentifierUse
from celeryturn.forwarding.targets.connections import (
    TargetConnections,
    has_reached_limit,
)
from celeryturn.forwarding.targets.exchanges import (
    Exchange,
    NotSentError,
    Outcome,
    WithdrawnError,
)
from celeryturn.http.client import Connection
from celeryturn.http.exchange_errors import ExchangeError

CONNECT_TIMEOUT_SECONDS: Final = 1.0
IDLE_MARGIN_SECONDS: Final = 0.6
RESET_BACKOFF_SECONDS: Final = 1.0
MIN_CONNECTION_SHARE: Final = 2


class IdleConnection(NamedTuple):
    """Connection without an exchange.

    :param connection: The connection.
    :param since_seconds: Time at which it became idle.
    :param keep_alive_until_seconds: Time from which the target may close it.
    """

    connection: Connection
    since_seconds: float
    keep_alive_until_seconds: float


class Pool:
    """Connections to one target.

    :param address: IP address.
    :param port: TCP port.
    :param connection_share: Part of the connection limit of the target that
        this instance may use; :data:`MIN_CONNECTION_SHARE` applies if it is
        lower.
    :param connections: Connections of all pools.  Beyond their limit, each
        pool may use :data:`MIN_CONNECTION_SHARE`.
    :param connection_count: Number of connections that are open or being
        opened.
    :param idle: Idle connections, the most recently used last.
    :param waiting: Heap of exchanges that wait for a connection, by priority
        and sequence number.
    :param opening: Tasks that open connections.
    :param is_open: Whether connections are kept for further exchanges.
    :param identifier_use: Whether the target identifies its replies.
    :param reset_backoff_until_seconds: Time until which no further connection
        is opened while there is any, since the target reset a new one.
    """

    __slots__ = (
        '_last_sequence_number',
        'address',
        'connection_count',
        'connection_share',
        'connections',
        'identifier_use',
        'idle',
        'is_open',
        'opening',
        'port',
        'reset_backoff_until_seconds',
        'waiting',
    )

    def __init__(
        self,
        address: str,
        port: int,
        connection_share: int,
        connections: TargetConnections,
    ) -> None:
        self.connections = connections
        self.address = address
        self.port = port
        self.connection_share = connection_share
        self.connection_count = 0
        self.idle: deque[IdleConnection] = deque()
        self.waiting: list[tuple[float, int, Exchange]] = []
        self.opening: set[asyncio.Task[None]] = set()
        self.is_open = True
        self.identifier_use = IdentifierUse()
        self.reset_backoff_until_seconds = 0.0
        self._last_sequence_number = 0

    def next_sequence_number(self) -> int:
        """Return the next number; it orders exchanges of equal priority."""
        self._last_sequence_number += 1
        return self._last_sequence_number


def submit(pool: Pool, exchange: Exchange) -> None:
    """Send a request as soon as a connection is available.

    :param pool: Connections to the target.
    :param exchange: Exchange to start.
    """
    queue_entry = (exchange.priority, pool.next_sequence_number(), exchange)
    heapq.heappush(pool.waiting, queue_entry)
    _dispatch(pool)


def cancel(pool: Pool, exchange: Exchange) -> None:
    """Cancel an exchange; its callback is not called after this.

    :param pool: Connections to the target.
    :param exchange: Exchange to cancel.
    """
    if exchange.is_ended:
        return
    exchange.is_ended = True
    if exchange.connection is not None:
        # The close signals to the target that the reply is not needed.
        exchange.connection.close()
        exchange.connection = None
        _forget_connection(pool)
        _dispatch(pool)


def reject_waiting(pool: Pool) -> None:
    """End all exchanges that wait for a connection, as not sent.

    :param pool: Connections to a target that must get no further requests.
    """
    waiting = [queued[-1] for queued in sorted(pool.waiting)]
    pool.waiting.clear()
    for exchange in waiting:
        if not exchange.is_ended:
            exchange.is_ended = True
            exchange.on_end(exchange, WithdrawnError('target is not available'))


def drop_idle(pool: Pool, before_seconds: float) -> None:
    """Close connections that have been idle since before a given time.

    :param pool: Connections to the target.
    :param before_seconds: Idle connections last used before this time are
        closed.
    """
    kept = [idle for idle in pool.idle if idle.since_seconds >= before_seconds]
    for idle in pool.idle:
        if idle.since_seconds < before_seconds:
            idle.connection.close()
            _forget_connection(pool)
    pool.idle = deque(kept)


def close_pool(pool: Pool) -> None:
    """Close all idle connections and keep none from now on.

    Exchanges in flight continue.

    :param pool: Connections to the target.
    """
    pool.is_open = False
    for idle in pool.idle:
        idle.connection.close()
        _forget_connection(pool)
    pool.idle.clear()


def has_open_idle(pool: Pool) -> bool:
    """Return whether any idle connection is open.

    :param pool: Connections to the target.
    :returns: Whether the target has not closed all of them, as it does when it
        ends.
    """
    return any(idle.connection.is_idle for idle in pool.idle)


def add_connection(pool: Pool, connection: Connection) -> None:
    """Add a connection that was opened for another purpose.

    :param pool: Connections to the target.
    :param connection: An idle connection; it is closed if the pool has no room.
    """
    if pool.connection_count >= _max_connections(pool):
        connection.close()
        return
    _count_connection(pool)
    _use_or_keep(pool, connection)


def _max_connections(pool: Pool) -> int:
    if has_reached_limit(pool.connections):
        return MIN_CONNECTION_SHARE
    return max(pool.connection_share, MIN_CONNECTION_SHARE)


def _dispatch(pool: Pool) -> None:
    while _has_waiting(pool):
        connection = _take_idle(pool)
        if connection is None:
            if not _can_open(pool):
                return
            _start_opening(pool)
        else:
            _, _, exchange = heapq.heappop(pool.waiting)
            _write(pool, exchange, connection)


def _has_waiting(pool: Pool) -> bool:
    while pool.waiting and pool.waiting[0][-1].is_ended:
        heapq.heappop(pool.waiting)
    return bool(pool.waiting)


def _can_open(pool: Pool) -> bool:
    if len(pool.opening) >= len(pool.waiting):
        return False
    if (
        pool.connection_count
        and boottime_seconds() < pool.reset_backoff_until_seconds
    ):
        return False
    return pool.connection_count < _max_connections(pool)


def _start_opening(pool: Pool) -> None:
    _count_connection(pool)
    task = asyncio.get_running_loop().create_task(_connect(pool))
    pool.opening.add(task)
    task.add_done_callback(pool.opening.discard)


async def _connect(pool: Pool) -> None:
    task = asyncio.current_task()
    try:
        connection = await pool.connections.connect(
            pool.address, pool.port, CONNECT_TIMEOUT_SECONDS
        )
    except OSError as error:
        _discard_opening_task(pool, task)
        _forget_connection(pool)
        _fail_next_exchange(pool, NotSentError(str(error)))
        return
    _discard_opening_task(pool, task)
    _use_or_keep(pool, connection)


def _use_or_keep(pool: Pool, connection: Connection) -> None:
    if _has_waiting(pool):
        _, _, exchange = heapq.heappop(pool.waiting)
        _write(pool, exchange, connection)
        _dispatch(pool)
    else:
        _keep_idle(pool, connection)


def _discard_opening_task(pool: Pool, task: asyncio.Task[None] | None) -> None:
    # The task no longer counts as one that serves a waiting exchange.
    if task is not None:
        pool.opening.discard(task)


def _fail_next_exchange(pool: Pool, error: NotSentError) -> None:
    if _has_waiting(pool):
        _, _, exchange = heapq.heappop(pool.waiting)
        exchange.is_ended = True
        exchange.on_end(exchange, error)
    _dispatch(pool)


def _write(pool: Pool, exchange: Exchange, connection: Connection) -> None:
    if not exchange.may_write():
        _keep_idle(pool, connection)
        _withdraw(exchange)
        return
    exchange.connection = connection
    exchange.opened_seconds = connection.opened_seconds
    exchange.written_seconds = boottime_seconds()

    is_new = not connection.reply_count

    def on_done(outcome: Outcome) -> None:
        if is_new and isinstance(outcome, ExchangeError):
            # A target resets connections beyond the number that it accepts.
            pool.reset_backoff_until_seconds = (
                boottime_seconds() + RESET_BACKOFF_SECONDS
            )
        exchange.connection = None
        exchange.is_ended = True
        if connection.is_idle:
            _keep_idle(pool, connection)
        else:
            _forget_connection(pool)
        exchange.on_end(exchange, outcome)
        _dispatch(pool)

    accepts = functools.partial(exchange.accepts, pool.identifier_use)
    connection.start(exchange.make_request(), on_done, accepts)


def _withdraw(exchange: Exchange) -> None:
    exchange.is_ended = True
    error = WithdrawnError('target takes no more requests now')
    # The request may be in the middle of sending other attempts.
    asyncio.get_running_loop().call_soon(exchange.on_end, exchange, error)


def _keep_idle(pool: Pool, connection: Connection) -> None:
    is_surplus = pool.connection_count > _max_connections(pool)
    if is_surplus or not pool.is_open:
        connection.close()
        _forget_connection(pool)
        return
    now_seconds = boottime_seconds()
    keep_alive_until_seconds = now_seconds + connection.idle_seconds
    pool.idle.append(
        IdleConnection(connection, now_seconds, keep_alive_until_seconds)
    )


def _take_idle(pool: Pool) -> Connection | None:
    min_until_seconds = boottime_seconds() + IDLE_MARGIN_SECONDS
    while pool.idle:
        idle = pool.idle.pop()
        if (
            idle.connection.is_idle
            and idle.keep_alive_until_seconds > min_until_seconds
        ):
            return idle.connection
        idle.connection.close()
        _forget_connection(pool)
    return None


def _count_connection(pool: Pool) -> None:
    pool.connection_count += 1
    pool.connections.open_count += 1


def _forget_connection(pool: Pool) -> None:
    pool.connection_count -= 1
    pool.connections.open_count -= 1
