"""HTTP server that handles complete requests and replies."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias

import h11

from celeryturn.clients.account import (
    CLIENT_ACCOUNT,
    HEADER_BYTES,
    REQUEST_BYTES,
    serve_client,
    wait_for_client,
)
from celeryturn.clients.buffers import limit_buffers
from celeryturn.errors import ANSWERS, CeleryturnError, Kind
from celeryturn.events import INTERNAL_FAULT, log
from celeryturn.http.charged_connection import ChargedConnection
from celeryturn.http.incoming_bytes import unparsed_size
from celeryturn.http.messages import (
    HttpReply,
    HttpRequest,
    decode_headers,
    encode_headers,
)
from celeryturn.timer import Timer

RequestHandler: TypeAlias = Callable[[HttpRequest], Awaitable[HttpReply]]
ErrorHandler: TypeAlias = Callable[[CeleryturnError], HttpReply]

MAX_BODY_BYTES: Final = 65_536
MAX_HEAD_BYTES: Final = 16_384
REQUEST_TIMEOUT_SECONDS: Final = 5.0
IDLE_TIMEOUT_SECONDS: Final = 60.0
LINGER_SECONDS: Final = 0.2
PARSER_BUFFER_FACTOR: Final = 2
# A caller that sends as much of later requests before its answer gives way to
# others while it waits for the answer.
FREE_AHEAD_BYTES: Final = 16_384


ProtocolFactory: TypeAlias = Callable[['HttpServer'], 'ServerConnection']


class Limits:
    """Limits of one server.

    :param body_bytes: Maximum size of a request body.
    :param head_bytes: Maximum size of a request target and its headers.
    :param request_seconds: Maximum time from the first byte of a request
        until it is complete.
    :param idle_seconds: Maximum time between requests of a connection.
    :param max_connections: Maximum number of open connections; further ones
        are closed immediately.  Zero for no limit other than the one of the
        process.
    """

    __slots__ = (
        'body_bytes',
        'head_bytes',
        'idle_seconds',
        'max_connections',
        'request_seconds',
    )

    def __init__(
        self,
        body_bytes: int = MAX_BODY_BYTES,
        request_seconds: float = REQUEST_TIMEOUT_SECONDS,
        idle_seconds: float = IDLE_TIMEOUT_SECONDS,
        max_connections: int = 0,
        head_bytes: int = MAX_HEAD_BYTES,
    ) -> None:
        self.body_bytes = body_bytes
        self.head_bytes = head_bytes
        self.request_seconds = request_seconds
        self.idle_seconds = idle_seconds
        self.max_connections = max_connections


class HttpServer:
    """A listening server and its connections.

    :param request_handler: Returns the reply to a request.
    :param error_handler: Returns the reply to a request that was rejected
        with an error.
    :param limits: Limits of the server.
    :param protocol_factory: Creates the protocol of each connection;
        :class:`ServerConnection` by default.
    :param connections: Open connections.
    :param is_closing: Whether connections are closed after their reply, so
        that callers do not reuse them.
    """

    def __init__(
        self,
        request_handler: RequestHandler,
        error_handler: ErrorHandler,
        limits: Limits | None = None,
        protocol_factory: 'ProtocolFactory | None' = None,
    ) -> None:
        self.request_handler = request_handler
        self.error_handler = error_handler
        self.limits = limits or Limits()
        self.connections: set[ServerConnection] = set()
        self.is_closing = False
        self._protocol_factory = protocol_factory or ServerConnection
        self._listener: asyncio.Server | None = None

    async def start(self, address: str, port: int) -> None:
        """Start to listen.

        :param address: IP address.
        :param port: TCP port; 0 lets the system choose one.
        :raises OSError: If the port is in use.
        """
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: self._protocol_factory(self),
            address,
            port,
            start_serving=False,
        )
        # Connections inherit the sizes of the socket that accepts them.
        limit_buffers(self._listener.sockets)
        await self._listener.start_serving()

    @property
    def port(self) -> int:
        """The TCP port the server listens on; 0 before it is started."""
        if self._listener is None:
            return 0
        port: int = self._listener.sockets[0].getsockname()[1]
        return port

    def running_tasks(self) -> set[asyncio.Task[None]]:
        """Return the tasks that handle requests at present."""
        return {busy.task for busy in self.connections if busy.task is not None}

    def has_unread_answers(self) -> bool:
        """Return whether any caller has not read all of its answer."""
        return any(connection.is_unread for connection in self.connections)

    async def close_idle(self) -> None:
        """Accept no new connections and close idle ones after a short delay."""
        self.is_closing = True
        if self._listener is not None:
            self._listener.close()
        await asyncio.sleep(LINGER_SECONDS)
        for connection in tuple(self.connections):
            connection.close_when_idle()

    async def stop(self, grace_seconds: float) -> None:
        """Accept no new connections, finish requests in flight and close.

        Idle connections stay open for :data:`LINGER_SECONDS` at most, so that
        a request that a caller has already sent is still answered.

        :param grace_seconds: Maximum wait for requests in flight.
        """
        self.is_closing = True
        if self._listener is not None:
            self._listener.close()
        if self.connections and grace_seconds:
            await asyncio.sleep(min(LINGER_SECONDS, grace_seconds))
        for connection in tuple(self.connections):
            connection.close_when_idle()
        running = self.running_tasks()
        if running:
            await asyncio.wait(running, timeout=grace_seconds)
        for remaining in tuple(self.connections):
            remaining.close()


class ServerConnection(ChargedConnection):
    """A connection of a caller; its requests are answered in order.

    While the caller has not read an answer, nothing is read from it and its
    next request is not handled.

    :param task: Task that handles the current request, if any.
    """

    def __init__(self, server: HttpServer) -> None:
        max_buffer_bytes = PARSER_BUFFER_FACTOR * server.limits.head_bytes
        super().__init__(
            lambda: h11.Connection(
                h11.SERVER, max_incomplete_event_size=max_buffer_bytes
            ),
        )
        self.task: asyncio.Task[None] | None = None
        self._server = server
        self._timer = Timer()
        self._request: HttpRequest | None = None
        self._request_bytes = 0
        self._body = bytearray()
        self._is_head = False
        self._is_receiving = False
        self._ahead_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start the idle timeout."""
        self._server.connections.add(self)
        self._timer.arm(self._server.limits.idle_seconds, self.close)
        super().connection_made(transport)
        max_connections = self._server.limits.max_connections
        if 0 < max_connections < len(self._server.connections):
            self.close()

    def data_received(self, chunk: bytes) -> None:
        """Feed the parser and enforce the request timeout."""
        if self.task is None:
            self._begin_receiving()
        if self.task is None or self._accept_ahead(chunk):
            self._receive(chunk)

    def resume_writing(self) -> None:
        """Go on with the next request, because the answer was read."""
        super().resume_writing()
        if self._transport is None or self._transport.is_closing():
            return
        if self._bytes.machine.our_state is h11.DONE:
            self._start_next_cycle()

    def close(self) -> None:
        """Close the connection, regardless of a request in flight."""
        if self._transport is not None:
            self._transport.close()

    def close_when_idle(self) -> None:
        """Close now if no request is in flight.

        Otherwise the connection closes after its reply, provided that the
        server is closing.
        """
        is_busy = self.task is not None or self._request is not None
        if not (is_busy or self._is_waiting):
            self.close()

    def _held_bytes(self) -> int:
        unparsed_bytes = unparsed_size(self._bytes)
        return unparsed_bytes + self._request_bytes + len(self._body)

    def _refuse(self) -> None:
        # A request that is not complete has not run, and its caller is told.
        if self._is_receiving:
            detail = 'no memory is left for the request'
            self._reject(CeleryturnError(Kind.OVERLOADED, detail))

    def _discard(self) -> None:
        super()._discard()
        self._timer.disarm()
        self._server.connections.discard(self)
        self._body.clear()
        if self.task is not None:
            # Its caller has disconnected.
            self.task.cancel()

    def _accept_ahead(self, chunk: bytes) -> bool:
        # Reading continues while a request is handled, so that a disconnect
        # of the caller is detected.  Data is kept up to a limit.
        self._ahead_bytes += len(chunk)
        is_allowed = self._ahead_bytes <= self._server.limits.body_bytes
        if not is_allowed:
            self.close()
        elif 0 <= self._ahead_bytes - FREE_AHEAD_BYTES < len(chunk):
            wait_for_client(CLIENT_ACCOUNT, self._holding)
        return is_allowed

    def _begin_receiving(self) -> None:
        if not self._is_receiving:
            self._is_receiving = True
            seconds = self._server.limits.request_seconds
            self._timer.arm(seconds, self._reject_slow_request)
            wait_for_client(CLIENT_ACCOUNT, self._holding)

    def _may_parse(self) -> bool:
        return self.task is None and super()._may_parse()

    def _handle_violation(self, error: h11.RemoteProtocolError) -> None:
        self._reject(_protocol_error(error))

    def _handle_event(self, event: object) -> bool:
        try:
            return self._handle_request_event(event)
        except CeleryturnError as error:
            self._reject(error)
            return False

    def _handle_request_event(self, event: object) -> bool:
        if isinstance(event, h11.Request):
            self._begin_request(event)
            return True
        if isinstance(event, h11.Data):
            self._body += event.data
            _check_body_size(len(self._body), self._server.limits.body_bytes)
            return True
        if isinstance(event, h11.EndOfMessage):
            self._finish_request()
        elif event is not h11.PAUSED:
            self.close()
        return False

    def _begin_request(self, event: h11.Request) -> None:
        self._begin_receiving()
        self._is_head = event.method == b'HEAD'
        head_bytes = _head_size(event)
        _check_head_size(head_bytes, self._server.limits.head_bytes)
        self._request_bytes = head_bytes + HEADER_BYTES * len(event.headers)
        self._request = HttpRequest(
            event.method.decode('latin-1'),
            event.target.decode('latin-1'),
            decode_headers(event.headers),
        )
        if self._bytes.machine.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            self._write(self._bytes.machine.send(informational))

    def _finish_request(self) -> None:
        self._timer.disarm()
        if self._request is None:
            return
        request = self._request._replace(body=bytes(self._body))
        self._body.clear()
        self._request_bytes += REQUEST_BYTES + len(request.body)
        self._ahead_bytes = unparsed_size(self._bytes)
        if self._charge():
            self._is_receiving = False
            if self._ahead_bytes < FREE_AHEAD_BYTES:
                serve_client(CLIENT_ACCOUNT, self._holding)
            self.task = asyncio.get_running_loop().create_task(
                self._handle_request(request)
            )

    async def _handle_request(self, request: HttpRequest) -> None:
        try:
            reply = await self._server.request_handler(request)
        except CeleryturnError as error:
            reply = self._server.error_handler(error)
        self.task = None
        self._request = None
        self._request_bytes = 0
        self._write_reply(reply, is_last=self._server.is_closing)
        if self._is_unread:
            self._charge()
        else:
            self._resize()
        if self._holding.is_open:
            self._start_next_cycle()

    def _start_next_cycle(self) -> None:
        machine = self._bytes.machine
        if h11.DONE is not machine.our_state or (
            h11.DONE is not machine.their_state
        ):
            self.close()
        elif not self._is_unread:
            machine.start_next_cycle()
            self._is_head = False
            self._timer.arm(self._server.limits.idle_seconds, self.close)
            wait_for_client(CLIENT_ACCOUNT, self._holding)
            if self._ahead_bytes:
                self._ahead_bytes = 0
                self._begin_receiving()
            self._parse()

    def _reject_slow_request(self) -> None:
        seconds = self._server.limits.request_seconds
        self._reject(
            CeleryturnError(
                Kind.SLOW_REQUEST,
                f'request was not complete after {seconds} seconds',
            )
        )

    def _reject(self, error: CeleryturnError) -> None:
        self._timer.disarm()
        if self._bytes.machine.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            self._write_reply(self._server.error_handler(error), is_last=True)
        self.close()

    def _write_reply(self, reply: HttpReply, *, is_last: bool) -> None:
        if is_last:
            last = ('connection', 'close')
            reply = reply._replace(headers=(*reply.headers, last))
        try:
            self._write(
                _encode_reply(self._bytes.machine, reply, is_head=self._is_head)
            )
        except h11.LocalProtocolError as fault:
            # Nothing can be sent after it on this connection.
            log(INTERNAL_FAULT, detail=repr(fault))
            self.close()


def _encode_reply(
    machine: h11.Connection, reply: HttpReply, *, is_head: bool
) -> bytes:
    headers = list(reply.headers)
    if reply.body or not is_head:
        headers.insert(0, ('content-length', str(len(reply.body))))
    # A reply to HEAD states the length of the body that it does not have.
    body = b'' if is_head else reply.body
    events = (
        h11.Response(status_code=reply.status, headers=encode_headers(headers)),
        *((h11.Data(body),) if body else ()),
        h11.EndOfMessage(),
    )
    return b''.join(machine.send(event) or b'' for event in events)


def _head_size(event: h11.Request) -> int:
    return len(event.target) + sum(
        len(name) + len(text) for name, text in event.headers
    )


def _check_head_size(size_bytes: int, limit_bytes: int) -> None:
    # The parser limits only heads that arrive in several parts.
    if size_bytes > limit_bytes:
        raise CeleryturnError(
            Kind.TOO_LARGE, f'request head is larger than {limit_bytes} bytes'
        )


def _check_body_size(size_bytes: int, limit_bytes: int) -> None:
    if size_bytes > limit_bytes:
        raise CeleryturnError(
            Kind.TOO_LARGE, f'body is larger than {limit_bytes} bytes'
        )


def _protocol_error(error: h11.RemoteProtocolError) -> CeleryturnError:
    kind = Kind.BAD_REQUEST
    if error.error_status_hint in {
        ANSWERS[Kind.TOO_LARGE].status,
        431,
    }:
        kind = Kind.TOO_LARGE
    return CeleryturnError(kind, f'not valid HTTP: {error}')
