"""Connections to targets: kept, bounded, and waited for by rank."""

import asyncio
import heapq
from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple, TypeAlias

from celeryturn.clock import boottime_seconds
from celeryturn.http.client import (
    ReplyFilter,
    Connection,
    ExchangeError,
    connect,
)
from celeryturn.http.messages import HttpReply, HttpRequest

Outcome: TypeAlias = HttpReply | Exception
MakeRequest: TypeAlias = Callable[[], HttpRequest]

CONNECT_SECONDS: Final = 1.0
IDLE_MARGIN_SECONDS: Final = 0.6
FULL_SECONDS: Final = 1.0
LEAST_SHARE: Final = 2


class NotSentError(ConnectionError):
    """Nothing of the request left this instance."""


class Exchange:
    """One request to one target.

    :param rank: Zero goes first where requests wait.
    :param make_request: Builds the request right before it is written.
    :param on_end: Gets the outcome exactly once, unless cancelled.
    :param accepts: Tells whether a reply belongs to the request.
    :param connection: The connection it was written on.
    :param written_seconds: When it was written; zero before.
    :param is_ended: Whether nothing more will be called back.
    """

    __slots__ = (
        'accepts',
        'connection',
        'is_ended',
        'make_request',
        'on_end',
        'rank',
        'written_seconds',
    )

    def __init__(
        self,
        rank: int,
        make_request: MakeRequest,
        on_end: Callable[['Exchange', Outcome], None],
        accepts: ReplyFilter,
    ) -> None:
        self.rank = rank
        self.make_request = make_request
        self.on_end = on_end
        self.accepts = accepts
        self.connection: Connection | None = None
        self.written_seconds = 0.0
        self.is_ended = False


class Idle(NamedTuple):
    """A connection without an exchange.

    :param connection: The connection.
    :param since_seconds: When its last exchange ended.
    :param until_seconds: When the target may close it.
    """

    connection: Connection
    since_seconds: float
    until_seconds: float


class Pool:
    """Connections to one target.

    :param address: IP address.
    :param port: TCP port.
    :param share: Most connections of this instance.
    :param held_count: Connections open or being opened.
    :param idle: Connections without an exchange, the latest used last.
    :param waiting: Exchanges without a connection, by rank and age.
    :param opening: Tasks that open connections.
    :param is_current: Whether connections are kept.
    :param full_until_seconds: Until then no connection beyond those held is
        opened, since the target reset a new one.
    """

    __slots__ = (
        '_last_ticket',
        'address',
        'full_until_seconds',
        'held_count',
        'idle',
        'is_current',
        'opening',
        'port',
        'share',
        'waiting',
    )

    def __init__(self, address: str, port: int, share: int) -> None:
        self.address = address
        self.port = port
        self.share = share
        self.held_count = 0
        self.idle: deque[Idle] = deque()
        self.waiting: list[tuple[int, int, Exchange]] = []
        self.opening: set[asyncio.Task[None]] = set()
        self.is_current = True
        self.full_until_seconds = 0.0
        self._last_ticket = 0

    def next_ticket(self) -> int:
        """Number an exchange, so that equal ranks go by age."""
        self._last_ticket += 1
        return self._last_ticket


def submit(pool: Pool, exchange: Exchange) -> None:
    """Send a request as soon as there is a connection for it.

    :param pool: Connections to its target.
    :param exchange: What to exchange.
    """
    waiting = (exchange.rank, pool.next_ticket(), exchange)
    heapq.heappush(pool.waiting, waiting)
    _serve(pool)


def cancel(pool: Pool, exchange: Exchange) -> None:
    """Give a request up; nothing is called back after this.

    :param pool: Connections to its target.
    :param exchange: Which.
    """
    if exchange.is_ended:
        return
    exchange.is_ended = True
    if exchange.connection is not None:
        # The target learns by the close that nobody waits for the reply.
        exchange.connection.close()
        exchange.connection = None
        _give_up(pool)
        _serve(pool)


def drop_idle(pool: Pool, before_seconds: float) -> None:
    """Close connections that have been idle for long.

    :param pool: Connections to a target.
    :param before_seconds: Those last used before this time are closed.
    """
    kept = [idle for idle in pool.idle if idle.since_seconds >= before_seconds]
    for idle in pool.idle:
        if idle.since_seconds < before_seconds:
            idle.connection.close()
            _give_up(pool)
    pool.idle = deque(kept)


def close_pool(pool: Pool) -> None:
    """Keep nothing; exchanges under way go on.

    :param pool: Connections to a target.
    """
    pool.is_current = False
    for idle in pool.idle:
        idle.connection.close()
        _give_up(pool)
    pool.idle.clear()


def _serve(pool: Pool) -> None:
    while _has_waiting(pool):
        connection = _take_idle(pool)
        if connection is None:
            if not _may_open(pool):
                return
            _open(pool)
        else:
            _, _, exchange = heapq.heappop(pool.waiting)
            _write(pool, exchange, connection)


def _has_waiting(pool: Pool) -> bool:
    while pool.waiting and pool.waiting[0][-1].is_ended:
        heapq.heappop(pool.waiting)
    return bool(pool.waiting)


def _may_open(pool: Pool) -> bool:
    if len(pool.opening) >= len(pool.waiting):
        return False
    if pool.held_count and boottime_seconds() < pool.full_until_seconds:
        return False
    return pool.held_count < max(pool.share, LEAST_SHARE)


def _open(pool: Pool) -> None:
    pool.held_count += 1
    task = asyncio.get_running_loop().create_task(_connect(pool))
    pool.opening.add(task)
    task.add_done_callback(pool.opening.discard)


async def _connect(pool: Pool) -> None:
    task = asyncio.current_task()
    try:
        connection = await connect(pool.address, pool.port, CONNECT_SECONDS)
    except OSError as error:
        _forget_opening(pool, task)
        _give_up(pool)
        _fail_next(pool, NotSentError(str(error)))
        return
    _forget_opening(pool, task)
    if _has_waiting(pool):
        _, _, exchange = heapq.heappop(pool.waiting)
        _write(pool, exchange, connection)
    else:
        _keep(pool, connection)


def _forget_opening(pool: Pool, task: asyncio.Task[None] | None) -> None:
    # It no longer stands for a request that waits for a connection.
    if task is not None:
        pool.opening.discard(task)


def _fail_next(pool: Pool, error: NotSentError) -> None:
    if _has_waiting(pool):
        _, _, exchange = heapq.heappop(pool.waiting)
        exchange.is_ended = True
        exchange.on_end(exchange, error)
    _serve(pool)


def _write(pool: Pool, exchange: Exchange, connection: Connection) -> None:
    exchange.connection = connection
    exchange.written_seconds = boottime_seconds()

    is_new = not connection.reply_count

    def on_done(outcome: Outcome) -> None:
        if is_new and isinstance(outcome, ExchangeError):
            # Targets reset connections beyond the number they accept.
            pool.full_until_seconds = boottime_seconds() + FULL_SECONDS
        exchange.connection = None
        exchange.is_ended = True
        if connection.is_idle:
            _keep(pool, connection)
        else:
            _give_up(pool)
        exchange.on_end(exchange, outcome)
        _serve(pool)

    connection.start(exchange.make_request(), on_done, exchange.accepts)


def _keep(pool: Pool, connection: Connection) -> None:
    is_surplus = pool.held_count > max(pool.share, LEAST_SHARE)
    if is_surplus or not pool.is_current:
        connection.close()
        _give_up(pool)
        return
    now_seconds = boottime_seconds()
    until_seconds = now_seconds + connection.idle_seconds
    pool.idle.append(Idle(connection, now_seconds, until_seconds))


def _take_idle(pool: Pool) -> Connection | None:
    useful_until = boottime_seconds() + IDLE_MARGIN_SECONDS
    while pool.idle:
        idle = pool.idle.pop()
        if idle.connection.is_idle and idle.until_seconds > useful_until:
            return idle.connection
        idle.connection.close()
        _give_up(pool)
    return None


def _give_up(pool: Pool) -> None:
    pool.held_count -= 1
