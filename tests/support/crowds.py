"""Clients that send much, or nothing, and keep their connections open."""

import asyncio
import contextlib
import itertools
import os
import socket
from collections.abc import Callable, Iterable, Iterator
from types import MappingProxyType
from typing import Final, NamedTuple, TypeAlias

from tests.support.routed import ADDRESS, HOST

# Clients that are still blocked then stay as they are.
SEND_SECONDS: Final = 4.0
CONNECT_SECONDS: Final = 2.0
# An answer of 1 MB is read in 5 s.
READ_BUFFER_BYTES: Final = 16_384
READ_BYTES: Final = 5000
READ_SECONDS: Final = 0.05
READ_BYTES_PER_SECOND: Final = 200_000
PIECE_BYTES: Final = 16_384
# A connection in this state holds nothing, and the table states sizes for it
# that are not valid yet.
SYN_SENT_STATE: Final = '02'
ANY_MASK: Final = bytes(4)
WEBSOCKET_MESSAGE_BYTES: Final = 1_900_000
HANDSHAKE_LINES: Final = 110
HANDSHAKE_LINE_BYTES: Final = 8000
SENT_AHEAD_COUNT: Final = 400
HEAD_LINES: Final = 900
HEAD_BYTES: Final = 30_000


class Place(NamedTuple):
    """What the clients of a crowd send their requests to.

    :param port: TCP port.
    :param path: Path of the requests.
    :param body_bytes: Largest body that the port accepts.
    :param read_body: Body of a request that reads something; empty for a GET
        request.
    """

    port: int
    path: str
    body_bytes: int
    read_body: bytes = b''


Send: TypeAlias = Callable[[Place], Iterable[bytes]]


class SlowReader:
    """A client that reads its answer bit by bit.

    :param received: What it has read.
    """

    def __init__(self, place: Place) -> None:
        self.received = bytearray()
        self._place = place
        self._client = socket.socket()
        self._client.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BUFFER_BYTES
        )
        self._client.setblocking(False)

    async def read(self) -> None:
        """Send a request and read until the connection is closed."""
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._client, (ADDRESS, self._place.port))
        request = _read_request(self._place, 'connection: close')
        await loop.sock_sendall(self._client, request)
        began_seconds = loop.time()
        chunk = await loop.sock_recv(self._client, READ_BYTES)
        while chunk:
            self.received += chunk
            await asyncio.sleep(READ_SECONDS)
            due = READ_BYTES_PER_SECOND * (loop.time() - began_seconds)
            size = max(READ_BYTES, int(due) - len(self.received))
            chunk = await loop.sock_recv(self._client, size)

    def close(self) -> None:
        """Close the connection."""
        self._client.close()


class Crowd:
    """Clients of one process.

    :param clients: Their sockets.
    """

    def __init__(self) -> None:
        self.clients: list[socket.socket] = []

    async def send(self, place: Place, behaviour: str, count: int) -> None:
        """Let clients connect and send what they can.

        :param place: Where they connect to.
        :param behaviour: What they send, one of :data:`BEHAVIOURS`.
        :param count: Number of clients.
        """
        sending = [
            asyncio.create_task(self._run_client(place, BEHAVIOURS[behaviour]))
            for _ in range(count)
        ]
        await asyncio.wait(sending, timeout=SEND_SECONDS)
        for blocked in sending:
            blocked.cancel()
        await asyncio.gather(*sending, return_exceptions=True)

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients:
            client.close()

    async def _run_client(self, place: Place, send: Send) -> None:
        client = socket.socket()
        client.setblocking(False)
        self.clients.append(client)
        loop = asyncio.get_running_loop()
        # The process may refuse or close any of these connections.
        with contextlib.suppress(OSError):
            async with asyncio.timeout(CONNECT_SECONDS):
                await loop.sock_connect(client, (ADDRESS, place.port))
            for piece in send(place):
                await loop.sock_sendall(client, piece)
                await asyncio.sleep(0)


def _head(place: Place, *lines: str, method: str = 'POST') -> bytes:
    first = (
        f'{method} {place.path} HTTP/1.1',
        f'host: {HOST}',
        'x-attempt-id: crowd',
        'x-deadline-remaining: 2000',
    )
    return '\r\n'.join((*first, *lines, '', '')).encode()


def _read_request(place: Place, *lines: str) -> bytes:
    if not place.read_body:
        return _head(place, *lines, method='GET')
    length = f'content-length: {len(place.read_body)}'
    return _head(place, length, *lines) + place.read_body


def _pieces(body: bytes, piece_bytes: int) -> Iterator[bytes]:
    for start in range(0, len(body), piece_bytes):
        yield body[start : start + piece_bytes]


def _send_body(place: Place) -> Iterable[bytes]:
    size = place.body_bytes
    head = _head(place, f'content-length: {size}')
    return (head + bytes(size - 1),)


def _send_whole_body(place: Place) -> Iterable[bytes]:
    size = place.body_bytes
    return (_head(place, f'content-length: {size}') + bytes(size),)


def _send_body_in_pieces(place: Place) -> Iterable[bytes]:
    size = place.body_bytes
    head = _head(place, f'content-length: {size}')
    return (head, *_pieces(bytes(size - 1), PIECE_BYTES))


def _send_chunks(place: Place, chunk_bytes: int) -> Iterator[bytes]:
    yield _head(place, 'transfer-encoding: chunked')
    chunk = b'%x\r\n%b\r\n' % (chunk_bytes, bytes(chunk_bytes))
    count = (place.body_bytes - 1) // chunk_bytes
    per_piece = max(1, PIECE_BYTES // len(chunk))
    for sent_count in range(0, count, per_piece):
        yield chunk * min(per_piece, count - sent_count)


def _send_large_chunks(place: Place) -> Iterable[bytes]:
    return _send_chunks(place, PIECE_BYTES - 1)


def _send_small_chunks(place: Place) -> Iterable[bytes]:
    return _send_chunks(place, 1)


def _send_ahead(place: Place) -> Iterable[bytes]:
    return itertools.repeat(_read_request(place), SENT_AHEAD_COUNT)


def _send_bodies_ahead(place: Place) -> Iterable[bytes]:
    # The first request is whole; what follows stays just below the limit.
    size = place.body_bytes - PIECE_BYTES
    head = _head(place, f'content-length: {size}')
    return (_head(place, method='GET'), *_pieces(head + bytes(size), size))


def _send_chunk_size(place: Place) -> Iterable[bytes]:
    # A chunk may have extensions after its size.
    head = _head(place, 'transfer-encoding: chunked')
    return (b'%b1\r\nx\r\n1;x=%b' % (head, b'y' * HEAD_BYTES),)


def _send_trailers(place: Place) -> Iterable[bytes]:
    head = _head(place, 'transfer-encoding: chunked')
    line = _line(HEAD_BYTES // HEAD_LINES)
    return (b'%b1\r\nx\r\n0\r\n%b' % (head, HEAD_LINES * line),)


def _send_head(place: Place) -> Iterable[bytes]:
    line = _line(HEAD_BYTES // HEAD_LINES)
    head = _head(place, method='GET').removesuffix(b'\r\n')
    return (head + HEAD_LINES * line,)


def _line(size: int) -> bytes:
    return b'x: %b\r\n' % (b'y' * (size - len('x: \r\n')))


def _send_nothing(_place: Place) -> Iterable[bytes]:
    return ()


def _send_handshake_lines(_place: Place) -> Iterable[bytes]:
    lines = itertools.repeat(_line(HANDSHAKE_LINE_BYTES), HANDSHAKE_LINES)
    return (b'GET / HTTP/1.1\r\n', *lines)


def _send_websocket_message(place: Place) -> Iterator[bytes]:
    yield (
        f'GET / HTTP/1.1\r\nhost: {ADDRESS}:{place.port}\r\n'
        'upgrade: websocket\r\nconnection: Upgrade\r\n'
        'sec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n'
        'sec-websocket-version: 13\r\n\r\n'
    ).encode()
    size = WEBSOCKET_MESSAGE_BYTES
    yield b''.join((b'\x82\xff', size.to_bytes(8), ANY_MASK))
    yield from _pieces(bytes(size - 1), PIECE_BYTES)


BEHAVIOURS: Final = MappingProxyType(
    {
        'large bodies, short of their end': _send_body,
        'large bodies in pieces, short of their end': _send_body_in_pieces,
        'whole large bodies': _send_whole_body,
        'large chunks, short of their end': _send_large_chunks,
        'chunks of one byte, short of their end': _send_small_chunks,
        'requests ahead, and read no answer': _send_ahead,
        'bodies ahead of their turn': _send_bodies_ahead,
        'heads, short of their end': _send_head,
        'chunk sizes, short of their end': _send_chunk_size,
        'trailers, short of their end': _send_trailers,
        'nothing': _send_nothing,
        'handshakes, short of their end': _send_handshake_lines,
        'peer messages, short of their end': _send_websocket_message,
    }
)


class Ports(NamedTuple):
    """TCP ports of the connections of a process.

    :param own: Ports that it listens on.
    :param targets: Ports that it connects to.
    """

    own: frozenset[int]
    targets: frozenset[int]


def kernel_bytes(ports: Ports) -> int:
    """Return what the system holds for the connections of a process.

    :param ports: The ports of these connections.
    :returns: Bytes received and not read, and bytes written and not taken.
    """
    held_bytes = 0
    with open('/proc/net/tcp', encoding='ascii') as table:
        next(table)
        for line in table:
            fields = line.split()
            local_port, remote_port = map(_read_port, fields[1:3])
            is_counted = local_port in ports.own or remote_port in ports.targets
            if is_counted and fields[3] != SYN_SENT_STATE:
                written, _, received = fields[4].partition(':')
                held_bytes += int(written, 16) + int(received, 16)
    return held_bytes


def _read_port(endpoint: str) -> int:
    return int(endpoint.partition(':')[2], 16)


def descriptor_count(process_id: int) -> int:
    """Return how many descriptors a process has open.

    :param process_id: Identifier of the process.
    :returns: The number.
    """
    return len(os.listdir(f'/proc/{process_id}/fd'))
