"""HTTP/1.1 messages on streams, with the standard library alone."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple, TypeAlias
from urllib.parse import parse_qsl

HEX_BASE: Final = 16
HEAD_END: Final = b'\r\n\r\n'
MAX_HEAD_BYTES: Final = 1_000_000


class Request(NamedTuple):
    """A complete request.

    :param method: Method.
    :param url: Path with its query string.
    :param headers: Values by name in lower case.
    :param body: The body, possibly empty.
    """

    method: str
    url: str
    headers: dict[str, str]
    body: bytes = b''

    @property
    def path(self) -> str:
        """The path without its query string."""
        return self.url.partition('?')[0]

    @property
    def query(self) -> dict[str, str]:
        """Fields of the query string."""
        return dict(parse_qsl(self.url.partition('?')[2]))


class Reply(NamedTuple):
    """A complete reply.

    :param status: HTTP status.
    :param headers: Values by name in lower case.
    :param body: The body, possibly empty.
    """

    status: int
    headers: dict[str, str]
    body: bytes = b''


# Returns the reply; ``None`` if it has written to the stream itself, and the
# connection is to be closed.
Answerer: TypeAlias = Callable[
    [Request, asyncio.StreamWriter], Awaitable[Reply | None]
]


class Server:
    """A server and its connections.

    :param port: TCP port; zero before the start.
    """

    def __init__(self, answer: Answerer) -> None:
        self.port = 0
        self._answer = answer
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str) -> None:
        """Listen on a free port.

        :param address: IP address.
        """
        self._listener = await asyncio.start_server(
            self._serve_connection, address, 0, limit=MAX_HEAD_BYTES
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Stop to listen and reset every connection."""
        if self._listener is not None:
            self._listener.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await _serve_requests(self._answer, reader, writer)
        except (OSError, EOFError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Read a reply that states its length.

    :param reader: The stream.
    :returns: The reply.
    :raises EOFError: If the stream ends before it.
    """
    first, headers = await _read_head(reader)
    size_bytes = int(headers.get('content-length', '0'))
    body = await reader.readexactly(size_bytes)
    return Reply(int(first.split(' ')[1]), headers, body)


def encode_request(request: Request) -> bytes:
    """Encode a request whose body has a length.

    :param request: The request.
    :returns: Its bytes.
    """
    headers = dict(request.headers)
    if request.body:
        headers['content-length'] = str(len(request.body))
    first = f'{request.method} {request.url} HTTP/1.1'
    return _encode_head(first, headers) + request.body


def encode_chunked(request: Request, chunk_bytes: int) -> bytes:
    """Encode a request whose body is sent in chunks.

    :param request: The request.
    :param chunk_bytes: Size of each chunk.
    :returns: Its bytes.
    """
    headers = {**request.headers, 'transfer-encoding': 'chunked'}
    first = f'{request.method} {request.url} HTTP/1.1'
    parts = [_encode_head(first, headers)]
    for start in range(0, len(request.body), chunk_bytes):
        chunk = request.body[start : start + chunk_bytes]
        parts.append(b'%x\r\n%b\r\n' % (len(chunk), chunk))
    parts.append(b'0\r\n\r\n')
    return b''.join(parts)


def encode_reply(reply: Reply) -> bytes:
    """Encode a reply with its length.

    :param reply: The reply.
    :returns: Its bytes.
    """
    headers = {**reply.headers, 'content-length': str(len(reply.body))}
    return _encode_head(f'HTTP/1.1 {reply.status} X', headers) + reply.body


def _encode_head(first: str, headers: dict[str, str]) -> bytes:
    lines = [first, *(f'{name}: {text}' for name, text in headers.items())]
    return '\r\n'.join(lines).encode() + HEAD_END


async def _serve_requests(
    answer: Answerer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while True:
        request = await _read_request(reader)
        reply = await answer(request, writer)
        if reply is None:
            return
        writer.write(encode_reply(reply))
        await writer.drain()


async def _read_request(reader: asyncio.StreamReader) -> Request:
    first, headers = await _read_head(reader)
    method, url, _ = first.split(' ')
    if headers.get('transfer-encoding') == 'chunked':
        body = await _read_chunks(reader)
    else:
        size_bytes = int(headers.get('content-length', '0'))
        body = await reader.readexactly(size_bytes)
    return Request(method, url, headers, body)


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    head = await reader.readuntil(HEAD_END)
    first, *lines = head[: -len(HEAD_END)].decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines)
    headers = {name.strip().lower(): text.strip() for name, _, text in pairs}
    return first, headers


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    chunks = []
    size_bytes = -1
    while size_bytes:
        line = await reader.readuntil(b'\r\n')
        size_bytes = int(line, HEX_BASE)
        chunks.append(await reader.readexactly(size_bytes))
        await reader.readexactly(2)
    return b''.join(chunks)
