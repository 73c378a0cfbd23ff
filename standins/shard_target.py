"""Stand-in for a target that serves opaque requests and injects faults."""

import asyncio
import contextlib
import enum
import hashlib
from collections.abc import Callable
from types import MappingProxyType
from typing import Final

import h11

from celeryturn.http.messages import (
    Headers,
    decode_headers,
    encode_headers,
    header,
)

MAX_READ_BYTES: Final = 65_536
OK: Final = 200
INTERNAL_ERROR: Final = 500
UNAVAILABLE: Final = 503
MISDIRECTED: Final = 421
STAMP_CHARACTER_COUNT: Final = 16


class Fault(enum.StrEnum):
    """Faults that a target can inject.

    - ``NONE``: replies normally.
    - ``SHED``: replies 503 and marks the request as not executed.
    - ``FAIL``: replies 500 after running the request.
    - ``SILENT``: runs the request and does not respond.
    - ``LOSE``: closes the connection without a reply.
    - ``TRUNCATE``: sends the reply without its last byte, then closes.
    - ``GARBLE``: sends bytes that are not HTTP, then closes.
    - ``REPEAT``: sends the reply twice.
    - ``LATE_EXTRA``: sends a reply to the previous attempt first.
    - ``LATE_REFUSAL``: sends a refusal that names no request first, as for the
      previous attempt.
    - ``ENCODED``: declares a content encoding.
    - ``UNSIGNED``: omits the response stamp.
    - ``ENDLESS_HEAD``: sends header fields until the caller closes.
    - ``ENDLESS_BODY``: sends a body without a length until the caller closes.
    - ``ENDLESS_CHUNKS``: sends a body in chunks of one byte until the caller
      closes.
    - ``ENDLESS_REPLIES``: sends replies to another attempt until the caller
      closes.
    - ``ENDLESS_INTERIM``: sends interim responses until the caller closes.
    """

    NONE = 'none'
    SHED = 'shed'
    FAIL = 'fail'
    SILENT = 'silent'
    LOSE = 'lose'
    TRUNCATE = 'truncate'
    GARBLE = 'garble'
    REPEAT = 'repeat'
    LATE_EXTRA = 'late_extra'
    LATE_REFUSAL = 'late_refusal'
    ENCODED = 'encoded'
    UNSIGNED = 'unsigned'
    ENDLESS_HEAD = 'endless head'
    ENDLESS_BODY = 'endless body'
    ENDLESS_CHUNKS = 'endless chunks'
    ENDLESS_REPLIES = 'endless replies'
    ENDLESS_INTERIM = 'endless interim'


_STATUS_LINE: Final = b'HTTP/1.1 200 OK\r\n'
_STAMP_LINE: Final = b'x-response-stamp: endless\r\n'
# What is sent first, and what is then repeated.
_ENDLESS_BYTES: Final = MappingProxyType(
    {
        Fault.ENDLESS_HEAD: (_STATUS_LINE, b'x-filler: endless\r\n'),
        Fault.ENDLESS_BODY: (
            b''.join((_STATUS_LINE, _STAMP_LINE, b'\r\n')),
            b'endless ',
        ),
        Fault.ENDLESS_CHUNKS: (
            b''.join(
                (
                    _STATUS_LINE,
                    _STAMP_LINE,
                    b'transfer-encoding: chunked\r\n\r\n',
                )
            ),
            b'1\r\nx\r\n',
        ),
        Fault.ENDLESS_REPLIES: (
            b'',
            b''.join(
                (
                    _STATUS_LINE,
                    b'content-length: 0\r\nx-attempt-id: other\r\n\r\n',
                )
            ),
        ),
        Fault.ENDLESS_INTERIM: (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
    }
)
_REPEATS_PER_WRITE: Final = 1000


class ShardTarget:
    """One target.

    :param identifier: Identifier of the target.
    :param body: Body of its successful replies.
    :param fault: Fault that it injects at present.
    :param delay_seconds: Processing time of a request.
    :param server_load: Value of the load header of its replies.
    :param is_leaving: Whether its replies say that it is leaving.
    :param extra_headers: Further headers of its replies.
    :param retry_after: Value of the retry header of requests that it sheds;
        empty for no header.
    :param executed_attempt_ids: Identifiers of the attempts that it ran, in
        order.
    :param received_headers: Headers of the requests that it received, in
        order.
    :param disconnect_count: Requests whose connection was closed while they
        were in progress.
    :param ending_urls: Paths with query of the requests that end this target
        when it runs them.
    :param first_bytes: What it sends before such a request ends it.
    :param served_urls: Paths with query of the requests that it ran, in order.
    :param on_ended: Called when a request has ended it.
    """

    def __init__(self, identifier: str, body: bytes = b'') -> None:
        self.identifier = identifier
        self.body = body
        self.fault = Fault.NONE
        self.delay_seconds = 0.0
        self.server_load = '0,0,4'
        self.is_leaving = False
        self.extra_headers: Headers = ()
        self.retry_after = ''
        self.executed_attempt_ids: list[str] = []
        self.received_headers: list[Headers] = []
        self.disconnect_count = 0
        self.ending_urls: frozenset[str] = frozenset()
        self.first_bytes = b''
        self.served_urls: list[str] = []
        self.on_ended: Callable[[ShardTarget], None] = _ignore
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str, port: int = 0) -> None:
        """Start to listen.

        :param address: IP address.
        :param port: TCP port; with 0 the system chooses one.
        """
        self._server = await asyncio.start_server(self._serve, address, port)

    @property
    def port(self) -> int:
        """TCP port on which the target listens."""
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def stop(self) -> None:
        """Simulate a crash: close the port and abort every connection."""
        if self._server is not None:
            self._server.close()
        self.break_off()
        await asyncio.sleep(0)

    def break_off(self) -> None:
        """Abort every connection; the target goes on listening."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await _ConnectionHandler(self, reader, writer).run()
        except (OSError, h11.RemoteProtocolError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


def _ignore(_ended: ShardTarget) -> None:
    """Do nothing when a target has ended."""


class _ConnectionHandler:
    """Handles the requests of one connection."""

    def __init__(
        self,
        target: ShardTarget,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._target = target
        self._reader = reader
        self._writer = writer
        self._protocol = h11.Connection(h11.SERVER)
        self._url = ''
        self._is_head = False

    async def run(self) -> None:
        """Reply to requests until the connection ends."""
        while True:
            headers = await self._read_request()
            if headers is None:
                return
            await self._handle_request(headers)
            if self._protocol.our_state is not h11.DONE:
                return
            self._protocol.start_next_cycle()

    async def _read_request(self) -> Headers | None:
        headers: Headers = ()
        event = await self._read_event()
        while not isinstance(event, h11.EndOfMessage):
            if isinstance(event, h11.ConnectionClosed):
                return None
            if isinstance(event, h11.Request):
                headers = decode_headers(event.headers)
                self._url = event.target.decode()
                self._is_head = event.method == b'HEAD'
            event = await self._read_event()
        return headers

    async def _read_event(self) -> object:
        event = self._protocol.next_event()
        while event is h11.NEED_DATA:
            self._protocol.receive_data(await self._reader.read(MAX_READ_BYTES))
            event = self._protocol.next_event()
        return event

    async def _handle_request(self, headers: Headers) -> None:
        target = self._target
        target.received_headers.append(headers)
        if header(headers, 'x-target-instance') != target.identifier:
            await self._reply(headers, MISDIRECTED, b'')
            return
        if target.fault is Fault.SHED:
            await self._shed(headers)
            return
        await self._run_request(headers)

    async def _run_request(self, headers: Headers) -> None:
        target = self._target
        target.executed_attempt_ids.append(
            header(headers, 'x-attempt-id') or ''
        )
        target.served_urls.append(self._url)
        await self._simulate_work()
        if self._url in target.ending_urls:
            await self._end_target()
        if target.fault in _ENDLESS_BYTES:
            await self._reply_without_end()
        await self._reply_after_run(headers)

    async def _end_target(self) -> None:
        if self._target.first_bytes:
            self._writer.write(self._target.first_bytes)
            await self._writer.drain()
        await self._target.stop()
        self._target.on_ended(self._target)
        raise ConnectionResetError

    async def _shed(self, headers: Headers) -> None:
        shed_headers = [('x-not-executed', '1')]
        if self._target.retry_after:
            shed_headers.append(('retry-after', self._target.retry_after))
        await self._reply(headers, UNAVAILABLE, b'', *shed_headers)

    async def _simulate_work(self) -> None:
        target = self._target
        if target.fault is Fault.SILENT:
            await self._wait_for_disconnect(None)
        elif target.delay_seconds:
            await self._wait_for_disconnect(target.delay_seconds)

    async def _wait_for_disconnect(self, timeout_seconds: float | None) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                if not await self._reader.read(MAX_READ_BYTES):
                    self._target.disconnect_count += 1
                    raise ConnectionResetError

    async def _reply_after_run(self, headers: Headers) -> None:
        target = self._target
        stamp = self._stamp(headers)
        match target.fault:
            case Fault.FAIL:
                await self._reply(headers, INTERNAL_ERROR, b'', stamp)
            case Fault.LOSE | Fault.GARBLE | Fault.TRUNCATE:
                await self._abort_reply(self._encode(headers, OK, target.body))
            case Fault.ENCODED:
                encoding = ('content-encoding', 'gzip')
                await self._reply(headers, OK, target.body, stamp, encoding)
            case Fault.UNSIGNED:
                await self._reply(headers, OK, target.body)
            case _:
                await self._reply_success(headers)

    async def _abort_reply(self, reply_bytes: bytes) -> None:
        if self._target.fault is Fault.GARBLE:
            self._writer.write(b'\x00 this is no reply \r\n\r\n')
        elif self._target.fault is Fault.TRUNCATE:
            self._writer.write(reply_bytes[:-1])
        await self._writer.drain()
        raise ConnectionResetError

    async def _reply_without_end(self) -> None:
        first, repeated = _ENDLESS_BYTES[self._target.fault]
        self._writer.write(first)
        try:
            while True:
                self._writer.write(repeated * _REPEATS_PER_WRITE)
                await self._writer.drain()
        finally:
            self._target.disconnect_count += 1

    async def _reply_success(self, headers: Headers) -> None:
        target = self._target
        raw = self._encode(headers, OK, target.body, self._stamp(headers))
        if len(target.executed_attempt_ids) > 1:
            # A reply to the previous attempt precedes the expected reply.
            self._writer.write(self._encode_late())
        self._writer.write(raw)
        if target.fault is Fault.REPEAT:
            self._writer.write(raw)
        await self._writer.drain()

    def _encode_late(self) -> bytes:
        if self._target.fault is Fault.LATE_REFUSAL:
            not_run = ('x-not-executed', '1')
            return _encode_raw((), UNAVAILABLE, b'', not_run)
        if self._target.fault is Fault.LATE_EXTRA:
            earlier = ('x-attempt-id', self._target.executed_attempt_ids[-2])
            stamp = ('x-response-stamp', 'stale')
            return _encode_raw((earlier,), OK, b'stale' * 4, stamp)
        return b''

    async def _reply(
        self,
        headers: Headers,
        status: int,
        body: bytes,
        *extra_headers: tuple[str, str],
    ) -> None:
        self._writer.write(self._encode(headers, status, body, *extra_headers))
        await self._writer.drain()

    def _encode(
        self,
        headers: Headers,
        status: int,
        body: bytes,
        *extra_headers: tuple[str, str],
    ) -> bytes:
        reply_headers = (
            ('content-length', str(len(body))),
            ('x-attempt-id', header(headers, 'x-attempt-id') or ''),
            ('x-server-load', self._target.server_load),
            *self._leaving_headers(),
            *self._target.extra_headers,
            *extra_headers,
        )
        protocol = self._protocol
        response = h11.Response(
            status_code=status, headers=encode_headers(reply_headers)
        )
        parts = [protocol.send(response)]
        if body and not self._is_head:
            parts.append(protocol.send(h11.Data(body)))
        parts.append(protocol.send(h11.EndOfMessage()))
        return b''.join(part for part in parts if part)

    def _leaving_headers(self) -> Headers:
        return (('server-leaving', '1'),) if self._target.is_leaving else ()

    def _stamp(self, headers: Headers) -> tuple[str, str]:
        stamped_text = (
            f'{self._target.identifier} {header(headers, "x-attempt-id")}'
        )
        digest = hashlib.sha256(stamped_text.encode()).hexdigest()
        return ('x-response-stamp', digest[:STAMP_CHARACTER_COUNT])


def _encode_raw(
    headers: Headers, status: int, body: bytes, *extra_headers: tuple[str, str]
) -> bytes:
    lines = [f'HTTP/1.1 {status} OK', f'content-length: {len(body)}']
    lines.extend(f'{name}: {text}' for name, text in (*headers, *extra_headers))
    head = '\r\n'.join((*lines, '', ''))
    return head.encode() + body
