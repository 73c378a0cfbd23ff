"""Clients on slow lines: small windows, and a constant rate of reading."""

import asyncio
import socket
from collections.abc import Callable
from typing import Final, NamedTuple

from review.support_2.messages import Message, encode, read_head
from review.support_2.world import ADDRESS, HOST

# Small windows, as the links of the users' machines have them.
RECEIVE_BUFFER_BYTES: Final = 16_384
SEGMENT_BYTES: Final = 1460
READ_GAP_SECONDS: Final = 0.02
LONG_BUFFER_BYTES: Final = 1_048_576


class Line(NamedTuple):
    """A connection of a client.

    :param reader: Its incoming stream.
    :param writer: Its outgoing stream.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Reading(NamedTuple):
    """What a client has read of an answer.

    :param head: The head of the answer.
    :param stated_bytes: Length of the body that the head states.
    :param received_bytes: Bytes of the body that have arrived.
    """

    head: Message
    stated_bytes: int
    received_bytes: int

    @property
    def is_whole(self) -> bool:
        """Whether the whole body has arrived."""
        return self.received_bytes == self.stated_bytes


async def open_line(port: int, *, is_slow: bool = True) -> Line:
    """Connect to an instance.

    :param port: TCP port of the instance.
    :param is_slow: Whether the windows are small.
    :returns: The connection.
    """
    connected = socket.socket()
    if is_slow:
        connected.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        connected.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES
        )
    connected.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connected, (ADDRESS, port))
    return Line(
        *await asyncio.open_connection(
            sock=connected,
            limit=RECEIVE_BUFFER_BYTES if is_slow else LONG_BUFFER_BYTES,
        )
    )


def encode_request(path: str, attempt: str, deadline_ms: int) -> bytes:
    """Encode a request without a body.

    :param path: Its path.
    :param attempt: Its ``X-Attempt-Id``.
    :param deadline_ms: How long the client waits, in milliseconds.
    :returns: The bytes to send.
    """
    headers = {
        'Host': HOST,
        'X-Attempt-Id': attempt,
        'X-Deadline-Remaining': str(deadline_ms),
    }
    return encode(f'GET {path} HTTP/1.1', headers, b'')


async def read_at_rate(
    line: Line, bytes_per_second: float, on_read: Callable[[int], None]
) -> Reading:
    """Read an answer at a constant rate.

    :param line: The connection, on which a request was sent.
    :param bytes_per_second: The rate.
    :param on_read: Called with the bytes that have arrived so far.
    :returns: What has arrived when the body or the connection ends.
    """
    head = await read_head(line.reader)
    stated_bytes = int(head.header('content-length', '0'))
    received_bytes = 0
    loop = asyncio.get_running_loop()
    began_seconds = loop.time()
    while received_bytes < stated_bytes:
        await asyncio.sleep(READ_GAP_SECONDS)
        elapsed_seconds = loop.time() - began_seconds
        allowed_bytes = int(
            min(stated_bytes, elapsed_seconds * bytes_per_second)
        )
        chunk = await _read_some(line.reader, allowed_bytes - received_bytes)
        if not chunk:
            break
        received_bytes += len(chunk)
        on_read(received_bytes)
    return Reading(head, stated_bytes, received_bytes)


async def _read_some(reader: asyncio.StreamReader, size_bytes: int) -> bytes:
    try:
        return await reader.read(max(1, size_bytes))
    except OSError:
        return b''
