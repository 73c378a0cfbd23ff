"""A stand-in of a target that answers opaque requests, with faults."""

import asyncio
import contextlib
import enum
import hashlib
from typing import Final

import h11

from celeryturn.http.messages import Headers, header

READ_BYTES: Final = 65_536
OK: Final = 200
FAILED: Final = 500
SHED: Final = 503
WRONG_TARGET: Final = 421
STAMP_CHARACTERS: Final = 16


class Fault(enum.StrEnum):
    """What goes wrong with the requests of a target."""

    NONE = 'none'
    SHED = 'shed'
    FAIL = 'fail'
    SILENT = 'silent'
    LOSE = 'lose'
    TRUNCATE = 'truncate'
    GARBLE = 'garble'
    REPEAT = 'repeat'
    LATE_EXTRA = 'late_extra'
    ENCODED = 'encoded'
    UNSIGNED = 'unsigned'


class ShardTarget:
    """One target.

    :param target: Its identifier.
    :param body: What it answers.
    :param fault: What goes wrong now.
    :param delay_seconds: How long a request takes.
    :param load: What it says of its load.
    :param run: Identifiers of requests that it ran, in order.
    :param seen: Headers of requests that it was sent, in order.
    :param gone_count: Requests whose connection was closed meanwhile.
    """

    def __init__(self, target: str, body: bytes = b'') -> None:
        self.target = target
        self.body = body
        self.fault = Fault.NONE
        self.delay_seconds = 0.0
        self.load = '0,0,4'
        self.run: list[str] = []
        self.seen: list[Headers] = []
        self.gone_count = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str, port: int = 0) -> None:
        """Listen.

        :param address: IP address.
        :param port: TCP port; 0 lets the system choose.
        """
        self._server = await asyncio.start_server(self._serve, address, port)

    @property
    def port(self) -> int:
        """The port it listens on."""
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def stop(self) -> None:
        """Crash: close the port and every connection."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await _Exchanges(self, reader, writer).run()
        except (OSError, h11.RemoteProtocolError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class _Exchanges:
    """The requests of one connection."""

    def __init__(
        self,
        owner: ShardTarget,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._owner = owner
        self._reader = reader
        self._writer = writer
        self._machine = h11.Connection(h11.SERVER)

    async def run(self) -> None:
        """Answer requests until the connection ends."""
        while True:
            headers = await self._next_request()
            if headers is None:
                return
            await self._answer(headers)
            if self._machine.our_state is not h11.DONE:
                return
            self._machine.start_next_cycle()

    async def _next_request(self) -> Headers | None:
        headers: Headers = ()
        event = await self._next_event()
        while not isinstance(event, h11.EndOfMessage):
            if isinstance(event, h11.ConnectionClosed):
                return None
            if isinstance(event, h11.Request):
                headers = _decode(event)
            event = await self._next_event()
        return headers

    async def _next_event(self) -> object:
        event = self._machine.next_event()
        while event is h11.NEED_DATA:
            self._machine.receive_data(await self._reader.read(READ_BYTES))
            event = self._machine.next_event()
        return event

    async def _answer(self, headers: Headers) -> None:
        owner = self._owner
        owner.seen.append(headers)
        if header(headers, 'x-target-instance') != owner.target:
            await self._reply(headers, WRONG_TARGET, b'')
            return
        if owner.fault is Fault.SHED:
            await self._reply(headers, SHED, b'', ('x-not-executed', '1'))
            return
        owner.run.append(header(headers, 'x-attempt-id') or '')
        await self._work()
        await self._reply_run(headers)

    async def _work(self) -> None:
        owner = self._owner
        if owner.fault is Fault.SILENT:
            await self._closed(None)
        elif owner.delay_seconds:
            await self._closed(owner.delay_seconds)

    async def _closed(self, timeout_seconds: float | None) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                if not await self._reader.read(READ_BYTES):
                    self._owner.gone_count += 1
                    raise ConnectionResetError

    async def _reply_run(self, headers: Headers) -> None:
        owner = self._owner
        stamp = self._stamp(headers)
        match owner.fault:
            case Fault.FAIL:
                await self._reply(headers, FAILED, b'', stamp)
            case Fault.LOSE | Fault.GARBLE | Fault.TRUNCATE:
                await self._break_off(self._encode(headers, OK, owner.body))
            case Fault.ENCODED:
                encoding = ('content-encoding', 'gzip')
                await self._reply(headers, OK, owner.body, stamp, encoding)
            case Fault.UNSIGNED:
                await self._reply(headers, OK, owner.body)
            case _:
                await self._reply_well(headers)

    async def _break_off(self, whole: bytes) -> None:
        if self._owner.fault is Fault.GARBLE:
            self._writer.write(b'\x00 this is no reply \r\n\r\n')
        elif self._owner.fault is Fault.TRUNCATE:
            self._writer.write(whole[:-1])
        await self._writer.drain()
        raise ConnectionResetError

    async def _reply_well(self, headers: Headers) -> None:
        owner = self._owner
        raw = self._encode(headers, OK, owner.body, self._stamp(headers))
        if owner.fault is Fault.LATE_EXTRA and len(owner.run) > 1:
            # The reply to an earlier request comes where this one is due.
            earlier = (('x-attempt-id', owner.run[-2]),)
            stamp = ('x-response-stamp', 'stale')
            self._writer.write(_raw(earlier, OK, b'stale' * 4, stamp))
        self._writer.write(raw)
        if owner.fault is Fault.REPEAT:
            self._writer.write(raw)
        await self._writer.drain()

    async def _reply(
        self,
        headers: Headers,
        status: int,
        body: bytes,
        *more: tuple[str, str],
    ) -> None:
        self._writer.write(self._encode(headers, status, body, *more))
        await self._writer.drain()

    def _encode(
        self,
        headers: Headers,
        status: int,
        body: bytes,
        *more: tuple[str, str],
    ) -> bytes:
        sent = (
            ('content-length', str(len(body))),
            ('x-attempt-id', header(headers, 'x-attempt-id') or ''),
            ('x-server-load', self._owner.load),
            *more,
        )
        machine = self._machine
        response = h11.Response(status_code=status, headers=list(sent))
        parts = [machine.send(response)]
        if body:
            parts.append(machine.send(h11.Data(body)))
        parts.append(machine.send(h11.EndOfMessage()))
        return b''.join(part for part in parts if part)

    def _stamp(self, headers: Headers) -> tuple[str, str]:
        named = f'{self._owner.target} {header(headers, "x-attempt-id")}'
        digest = hashlib.sha256(named.encode()).hexdigest()
        return ('x-response-stamp', digest[:STAMP_CHARACTERS])


def _decode(event: h11.Request) -> Headers:
    return tuple((name.decode(), text.decode()) for name, text in event.headers)


def _raw(
    headers: Headers, status: int, body: bytes, *more: tuple[str, str]
) -> bytes:
    lines = [f'HTTP/1.1 {status} OK', f'content-length: {len(body)}']
    lines.extend(f'{name}: {text}' for name, text in (*headers, *more))
    head = '\r\n'.join((*lines, '', ''))
    return head.encode() + body
