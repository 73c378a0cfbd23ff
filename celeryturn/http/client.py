"""HTTP client connections that carry one exchange at a time."""

import asyncio
import contextlib
import math
import re
import socket
from collections.abc import Callable
from typing import Final, TypeAlias

import h11

from celeryturn.clients.buffers import limit_target_buffers
from celeryturn.clock import boottime_seconds
from celeryturn.http.charged_reply import ChargedReply
from celeryturn.http.exchange_errors import (
    BrokenOffError,
    ExchangeError,
    ReplyTooLargeError,
)
from celeryturn.http.incoming_bytes import unparsed_size
from celeryturn.http.incoming_reply import (
    ReplyFault,
    append_chunk,
    check_status,
    count_preceding,
)
from celeryturn.http.messages import (
    HttpReply,
    HttpRequest,
    decode_headers,
    encode_headers,
    header,
)
from celeryturn.number_text import read_decimal
from celeryturn.timer import Timer

OnDone: TypeAlias = Callable[[HttpReply | Exception], None]
ReplyFilter: TypeAlias = Callable[[HttpReply], bool]

CLOSE_TIMEOUT_SECONDS: Final = 1.0
UNACKED_TIMEOUT_MILLISECONDS: Final = 2000
KEEPALIVE_IDLE_SECONDS: Final = 2
KEEPALIVE_INTERVAL_SECONDS: Final = 1
KEEPALIVE_PROBE_COUNT: Final = 2
MAX_IDLE_TIMEOUT_SECONDS: Final = 86_400.0
_KEEP_ALIVE_TIMEOUT: Final = re.compile(r'timeout\s*=\s*([0-9]+)')


class Connection(ChargedReply):
    """A client connection that is reused only after complete exchanges.

    :param is_open: Whether the transport is open and may be used.
    :param opened_seconds: Time at which it was opened.
    :param idle_seconds: Idle timeout of the server, from the ``Keep-Alive``
        header of its last reply; infinite if not stated.
    :param reply_count: Complete replies after which the connection could be
        reused.
    """

    def __init__(self, host: str) -> None:
        super().__init__()
        self.opened_seconds = 0.0
        self.idle_seconds = math.inf
        self.reply_count = 0
        self._host = host
        self._on_done: OnDone | None = None
        self._reply = HttpReply(0)
        self._timer = Timer()
        self._request: HttpRequest | None = None
        self._reply_filter: ReplyFilter | None = None
        self._on_closed: Callable[[], None] | None = None
        self._is_ended = False

    @property
    def is_idle(self) -> bool:
        """Whether an exchange can be started."""
        return self.is_open and self._on_done is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        super().connection_made(transport)
        self.opened_seconds = boottime_seconds()
        self.is_open = self._transport is not None

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in flight, if any."""
        self.is_open = False
        self._timer.disarm()
        super().connection_lost(exc)
        self._complete(self._fault or BrokenOffError(f'connection lost: {exc}'))
        if self._on_closed is not None:
            self._on_closed()
            self._on_closed = None

    def data_received(self, chunk: bytes) -> None:
        """Parse the reply; what follows no request ends the connection."""
        if self._on_done is None:
            self._abort_unsolicited()
        else:
            self._receive(chunk)

    def eof_received(self) -> bool:
        """Signal the end of the data to the parser.

        :returns: Whether to keep the connection until all is parsed.
        """
        self._is_ended = True
        if self._on_done is None:
            self._abort_unsolicited()
        else:
            self._receive_end()
        return self._is_waiting

    def start(
        self,
        request: HttpRequest,
        on_done: OnDone,
        reply_filter: ReplyFilter | None = None,
    ) -> None:
        """Write a request and call back exactly once with its outcome.

        There is no callback if the connection is closed from this side first.

        :param request: The request.
        :param on_done: Called with the complete reply, or with the exception
            that explains why there is none.
        :param reply_filter: Returns whether a reply belongs to the request;
            a reply that does not is skipped. By default every reply belongs
            to the request.
        """
        self._on_done = on_done
        self._request = request
        self._reply_filter = reply_filter
        self._incoming.preceding_count = 0
        self._discard()
        if self._transport is not None:
            machine = self._bytes.machine
            self._write(_serialize(machine, self._host, request))

    def close(self) -> None:
        """Close immediately; an exchange in flight gets no callback."""
        self.is_open = False
        self._on_done = None
        self._discard()
        self._abort()

    def close_gracefully(self, on_closed: Callable[[], None]) -> None:
        """Send an end of file and abandon the exchange in flight, if any.

        :param on_closed: Called once the server has closed the connection
            too, or after :data:`CLOSE_TIMEOUT_SECONDS`.  Until then the
            server still counts the connection.
        """
        self.is_open = False
        self._on_done = None
        self._bytes.received = b''
        self._discard()
        if self._transport is None or self._transport.is_closing():
            on_closed()
            return
        self._on_closed = on_closed
        self._transport.write_eof()
        self._timer.arm(CLOSE_TIMEOUT_SECONDS, self._transport.abort)

    async def exchange_within(
        self, request: HttpRequest, timeout_seconds: float
    ) -> HttpReply:
        """Send a request and wait a limited time for its complete reply.

        :param request: The request.
        :param timeout_seconds: Maximum wait for the complete reply.
        :returns: The reply.
        :raises OSError: If there is no complete reply in time.
        """
        async with asyncio.timeout(timeout_seconds):
            return await self.exchange(request)

    async def exchange(self, request: HttpRequest) -> HttpReply:
        """Send a request and wait for its complete reply.

        :param request: The request.
        :returns: The reply.
        :raises ExchangeError: If there is no complete reply.
        """
        future = asyncio.get_running_loop().create_future()

        def settle(outcome: HttpReply | Exception) -> None:
            if future.done():
                return
            if isinstance(outcome, Exception):
                future.set_exception(outcome)
            else:
                future.set_result(outcome)

        self.start(request, settle)
        reply: HttpReply = await future
        return reply

    def _is_receiving(self) -> bool:
        return self.is_open and self._on_done is not None

    def _may_parse(self) -> bool:
        return self._on_done is not None and super()._may_parse()

    def _handle_violation(self, error: h11.RemoteProtocolError) -> None:
        # Without further bytes, the reply is not wrong but incomplete.
        is_broken_off = self._is_ended and not self._bytes.is_end_received
        error_type = BrokenOffError if is_broken_off else ExchangeError
        self._fail(error_type(f'not valid HTTP: {error}'))

    def _handle_event(self, event: object) -> bool:
        if isinstance(event, h11.InformationalResponse):
            return self._may_continue(count_preceding(self._incoming))
        if isinstance(event, h11.Response):
            headers = decode_headers(event.headers)
            self._reply = HttpReply(event.status_code, headers)
            self._incoming.header_count = len(headers)
            return self._may_continue(check_status(event.status_code))
        if isinstance(event, h11.Data):
            chunk = bytes(event.data)
            return self._may_continue(append_chunk(self._incoming, chunk))
        if isinstance(event, h11.EndOfMessage):
            return self._finish_reply()
        if isinstance(event, h11.ConnectionClosed):
            self._fail(BrokenOffError('connection closed by the server'))
            return False
        return event is not h11.NEED_DATA and event is not h11.PAUSED

    def _may_continue(self, fault: ReplyFault | None) -> bool:
        if fault is None:
            return True
        error_type = ReplyTooLargeError if fault.is_too_large else ExchangeError
        self._fail(error_type(fault.detail))
        return False

    def _finish_reply(self) -> bool:
        reply = self._reply._replace(body=bytes(self._incoming.body))
        if self._reply_filter is not None and not self._reply_filter(reply):
            return (
                self._may_continue(count_preceding(self._incoming))
                and self._skip_reply()
            )
        if self._may_reuse():
            self._bytes.machine.start_next_cycle()
            self.reply_count += 1
            self.idle_seconds = stated_idle_seconds(reply)
        else:
            self.is_open = False
            if self._transport is not None:
                self._transport.close()
        self._complete(reply)
        return False

    def _may_reuse(self) -> bool:
        machine = self._bytes.machine
        states = {machine.our_state, machine.their_state}
        is_surplus_received = self._is_ended or unparsed_size(self._bytes)
        # A server may reply before it has read the request.
        return not (
            is_surplus_received or self._is_unread or states != {h11.DONE}
        )

    def _skip_reply(self) -> bool:
        # This is a late reply to an earlier request.  The expected reply may
        # follow on the same connection, so start over with a new parser.
        self._bytes.restart()
        self._discard()
        if self._request is not None:
            _serialize(self._bytes.machine, self._host, self._request)
        return True

    def _abort_unsolicited(self) -> None:
        # Nothing on a connection with unsolicited bytes can be trusted.
        if self._on_closed is None:
            self.is_open = False
            self._abort()

    def _fail(self, error: ExchangeError) -> None:
        self.is_open = False
        self._abort()
        self._complete(error)

    def _complete(self, outcome: HttpReply | Exception) -> None:
        on_done = self._on_done
        self._on_done = None
        self._discard()
        if on_done is not None:
            on_done(outcome)


_METHODS_WITHOUT_BODY: Final = frozenset(('GET', 'HEAD'))


def _serialize(
    machine: h11.Connection, host: str, request: HttpRequest
) -> bytes:
    headers = list(request.headers)
    if header(request.headers, 'host') is None:
        headers.insert(0, ('host', host))
    if request.body or request.method not in _METHODS_WITHOUT_BODY:
        headers.append(('content-length', str(len(request.body))))
    head = machine.send(
        h11.Request(
            method=request.method,
            target=request.url,
            headers=encode_headers(headers),
        )
    )
    body = machine.send(h11.Data(request.body)) if request.body else b''
    end = machine.send(h11.EndOfMessage())
    return b''.join((head or b'', body or b'', end or b''))


def stated_idle_seconds(reply: HttpReply) -> float:
    """Read the idle timeout that a reply states.

    :param reply: The reply.
    :returns: Seconds; infinite if the reply does not state a valid number.
    """
    matched = _KEEP_ALIVE_TIMEOUT.search(
        header(reply.headers, 'keep-alive') or ''
    )
    idle_seconds = (
        read_decimal(matched.group(1), MAX_IDLE_TIMEOUT_SECONDS)
        if matched
        else None
    )
    return math.inf if idle_seconds is None else idle_seconds


async def connect(
    address: str,
    port: int,
    timeout_seconds: float,
    local_address: str | None = None,
) -> Connection:
    """Open a connection.

    :param address: IP address of the server.
    :param port: TCP port of the server.
    :param timeout_seconds: Maximum wait.
    :param local_address: Local address to connect from; chosen by the system
        by default.
    :returns: An idle connection.
    :raises OSError: If the connection cannot be opened in time.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_seconds):
        connected_socket = await _connect_socket(address, port, local_address)
        _, connection = await loop.create_connection(
            lambda: Connection(f'{address}:{port}'), sock=connected_socket
        )
    _enable_keepalive(connected_socket)
    return connection


async def _connect_socket(
    address: str, port: int, local_address: str | None
) -> socket.socket:
    family = socket.AF_INET6 if ':' in address else socket.AF_INET
    with contextlib.ExitStack() as clean_up:
        connecting = clean_up.enter_context(socket.socket(family))
        connecting.setblocking(False)
        limit_target_buffers(connecting)
        if local_address:
            connecting.bind((local_address, 0))
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connecting, (address, port))
        clean_up.pop_all()
    return connecting


def _enable_keepalive(connected_socket: socket.socket) -> None:
    # Lets the system detect a network path that stopped responding without a
    # reset.
    tcp = socket.IPPROTO_TCP
    connected_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected_socket.setsockopt(
        tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS
    )
    connected_socket.setsockopt(
        tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
    )
    connected_socket.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)
    connected_socket.setsockopt(
        tcp, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MILLISECONDS
    )


async def fetch(
    address: str, port: int, request: HttpRequest, timeout_seconds: float
) -> HttpReply:
    """Make one exchange on a new connection and close it afterwards.

    :param address: IP address of the server.
    :param port: TCP port of the server.
    :param request: The request.
    :param timeout_seconds: Maximum wait for connecting and the exchange
        together.
    :returns: The reply.
    :raises OSError: If there is no complete reply in time.
    """
    async with asyncio.timeout(timeout_seconds):
        connection = await connect(address, port, timeout_seconds)
        try:
            return await connection.exchange(request)
        finally:
            connection.close()
