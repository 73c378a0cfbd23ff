"""The client side: one connection, one exchange at a time."""

import asyncio
import math
import re
import socket
from collections.abc import Callable
from typing import Final, TypeAlias

import h11

from celeryturn.http.messages import HttpReply, HttpRequest, header
from celeryturn.timer import Timer

OnDone: TypeAlias = Callable[[HttpReply | Exception], None]
ReplyFilter: TypeAlias = Callable[[HttpReply], bool]

CLOSE_TIMEOUT_SECONDS: Final = 1.0
MAX_REPLY_BYTES: Final = 4_000_000
UNACKED_TIMEOUT_MILLISECONDS: Final = 2000
KEEPALIVE_IDLE_SECONDS: Final = 2
KEEPALIVE_INTERVAL_SECONDS: Final = 1
KEEPALIVE_PROBE_COUNT: Final = 2
_KEEP_ALIVE_TIMEOUT: Final = re.compile(r'timeout\s*=\s*(\d+)')


class ExchangeError(ConnectionError):
    """The connection ended or broke the protocol before a whole reply."""


class Connection(asyncio.Protocol):
    """A client connection that is reused only after whole exchanges.

    :param is_open: Whether the transport is up.
    :param idle_seconds: How long the other side keeps it while it is idle,
        as far as it says so.
    :param reply_count: Whole replies that came on it.
    """

    def __init__(self, host: str) -> None:
        self.is_open = False
        self.idle_seconds = math.inf
        self.reply_count = 0
        self._host = host
        self._machine = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._on_done: OnDone | None = None
        self._reply = HttpReply(0)
        self._body_chunks: list[bytes] = []
        self._body_size_bytes = 0
        self._timer = Timer()
        self._request: HttpRequest | None = None
        self._reply_filter: ReplyFilter | None = None
        self._on_closed: Callable[[], None] | None = None

    @property
    def is_idle(self) -> bool:
        """Whether an exchange can be started."""
        return self.is_open and self._on_done is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        if isinstance(transport, asyncio.Transport):
            self._transport = transport
            self.is_open = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange under way, if any."""
        self.is_open = False
        self._timer.disarm()
        self._complete(ExchangeError(f'connection lost: {exc}'))
        if self._on_closed is not None:
            self._on_closed()
            self._on_closed = None

    def data_received(self, chunk: bytes) -> None:
        """Feed the parser and end the exchange when the reply is whole."""
        if self._on_done is None:
            self._abort_unsolicited()
            return
        self._machine.receive_data(chunk)
        try:
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._fail(f'not HTTP: {error}')

    def eof_received(self) -> None:
        """Tell the parser that nothing more comes."""
        self.data_received(b'')

    def start(
        self,
        request: HttpRequest,
        on_done: OnDone,
        reply_filter: ReplyFilter | None = None,
    ) -> None:
        """Write a request; the outcome is called back exactly once.

        :param request: What to send.
        :param on_done: Gets the whole reply, or why there is none.
        :param reply_filter: Tells whether a reply belongs to the request; one
            that does not is skipped. Every reply does by default.
        """
        self._on_done = on_done
        self._request = request
        self._reply_filter = reply_filter
        self._body_chunks.clear()
        self._body_size_bytes = 0
        if self._transport is not None:
            self._transport.write(self._serialize(request))

    def close(self) -> None:
        """Close at once; an exchange under way gets no further reply."""
        self.is_open = False
        self._on_done = None
        if self._transport is not None:
            self._transport.abort()

    def close_gracefully(self, on_closed: Callable[[], None]) -> None:
        """Ask the other side to close; an exchange under way is given up.

        :param on_closed: Called once the other side has closed too, or has
            not done so for a while: until then it counts the connection.
        """
        self.is_open = False
        self._on_done = None
        if self._transport is None or self._transport.is_closing():
            on_closed()
            return
        self._on_closed = on_closed
        self._transport.write_eof()
        self._timer.arm(CLOSE_TIMEOUT_SECONDS, self._transport.abort)

    async def exchange_within(
        self, request: HttpRequest, timeout_seconds: float
    ) -> HttpReply:
        """Make an exchange within a time.

        :param request: What to send.
        :param timeout_seconds: Longest wait for the whole reply.
        :returns: The reply.
        :raises OSError: When there is no whole reply in time.
        """
        async with asyncio.timeout(timeout_seconds):
            return await self.exchange(request)

    async def exchange(self, request: HttpRequest) -> HttpReply:
        """Write a request and wait for its whole reply.

        :param request: What to send.
        :returns: The reply.
        :raises ExchangeError: When there is no whole reply.
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

    def _serialize(self, request: HttpRequest) -> bytes:
        headers = list(request.headers)
        if header(request.headers, 'host') is None:
            headers.insert(0, ('host', self._host))
        if request.body or request.method not in _METHODS_WITHOUT_BODY:
            headers.append(('content-length', str(len(request.body))))
        machine = self._machine
        head = machine.send(
            h11.Request(
                method=request.method, target=request.url, headers=headers
            )
        )
        body = machine.send(h11.Data(request.body)) if request.body else b''
        end = machine.send(h11.EndOfMessage())
        return b''.join((head or b'', body or b'', end or b''))

    def _read_events(self) -> None:
        has_more = True
        while has_more:
            has_more = self._handle_event(self._machine.next_event())

    def _handle_event(self, event: object) -> bool:
        if isinstance(event, h11.Response):
            self._begin_reply(event)
        elif isinstance(event, h11.Data):
            return self._append_body(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._finish_reply()
            return False
        elif isinstance(event, h11.ConnectionClosed):
            self._fail('closed by the other side')
            return False
        return event is not h11.NEED_DATA and event is not h11.PAUSED

    def _append_body(self, chunk: bytes) -> bool:
        self._body_chunks.append(chunk)
        self._body_size_bytes += len(chunk)
        if self._body_size_bytes <= MAX_REPLY_BYTES:
            return True
        self._fail(f'a reply may have {MAX_REPLY_BYTES} bytes')
        return False

    def _begin_reply(self, event: h11.Response) -> None:
        headers = tuple(
            (name.decode('latin-1'), text.decode('latin-1'))
            for name, text in event.headers
        )
        self._reply = HttpReply(event.status_code, headers)

    def _finish_reply(self) -> None:
        reply = self._reply._replace(body=b''.join(self._body_chunks))
        if self._reply_filter is not None and not self._reply_filter(reply):
            self._skip_reply()
            return
        machine = self._machine
        trailing_bytes, _ = machine.trailing_data
        is_clean = machine.our_state is h11.DONE and not trailing_bytes
        if is_clean and machine.their_state is h11.DONE:
            machine.start_next_cycle()
            self.reply_count += 1
            self._record_idle_timeout(reply)
        else:
            self.is_open = False
            if self._transport is not None:
                self._transport.close()
        self._complete(reply)

    def _skip_reply(self) -> None:
        # A late reply to an earlier request; the one that is waited for may
        # follow it on the same connection.
        trailing_bytes, is_eof = self._machine.trailing_data
        self._machine = h11.Connection(h11.CLIENT)
        self._body_chunks.clear()
        self._body_size_bytes = 0
        if self._request is not None:
            self._serialize(self._request)
        if trailing_bytes:
            self.data_received(trailing_bytes)
        if is_eof:
            self.data_received(b'')

    def _record_idle_timeout(self, reply: HttpReply) -> None:
        matched = _KEEP_ALIVE_TIMEOUT.search(
            header(reply.headers, 'keep-alive') or ''
        )
        self.idle_seconds = float(matched.group(1)) if matched else math.inf

    def _abort_unsolicited(self) -> None:
        # Bytes that nobody asked for: none on this connection are trusted.
        if self._on_closed is None:
            self.is_open = False
            if self._transport is not None:
                self._transport.abort()

    def _fail(self, detail: str) -> None:
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()
        self._complete(ExchangeError(detail))

    def _complete(self, outcome: HttpReply | Exception) -> None:
        on_done = self._on_done
        self._on_done = None
        if on_done is not None:
            on_done(outcome)


_METHODS_WITHOUT_BODY: Final = frozenset(('GET', 'HEAD'))


async def connect(
    address: str,
    port: int,
    timeout_seconds: float,
    local_address: str | None = None,
) -> Connection:
    """Open a connection.

    :param address: IP address.
    :param port: TCP port.
    :param timeout_seconds: Longest wait.
    :param local_address: Address to connect from; any by default.
    :returns: An idle connection.
    :raises OSError: When it cannot be opened in time.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_seconds):
        transport, connection = await loop.create_connection(
            lambda: Connection(f'{address}:{port}'),
            address,
            port,
            local_addr=(local_address, 0) if local_address else None,
        )
    _enable_keepalive(transport.get_extra_info('socket'))
    return connection


def _enable_keepalive(connected_socket: socket.socket) -> None:
    # A path that went silent without a reset is found out by the system.
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
    """Make one exchange on a connection of its own.

    :param address: IP address.
    :param port: TCP port.
    :param request: What to send.
    :param timeout_seconds: Longest wait for the whole.
    :returns: The reply.
    :raises OSError: When there is no whole reply in time.
    """
    async with asyncio.timeout(timeout_seconds):
        connection = await connect(address, port, timeout_seconds)
        try:
            return await connection.exchange(request)
        finally:
            connection.close()
