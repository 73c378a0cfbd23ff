"""Reading and writing of HTTP/1.1 messages."""

import asyncio
from typing import Final, NamedTuple

HEAD_END: Final = b'\r\n\r\n'
ENCODING: Final = 'latin-1'


class Message(NamedTuple):
    """A complete request or reply.

    :param first_line: Request line or status line.
    :param headers: Values by name in lower case.
    :param body: The body.
    """

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a reply."""
        return int(self.first_line.split()[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a head.

    :param reader: Stream of a connection.
    :returns: A message whose body has not been read.
    """
    head = (await reader.readuntil(HEAD_END)).decode(ENCODING)
    first_line, *lines = head.rstrip().split('\r\n')
    headers: dict[str, str] = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return Message(first_line, headers, b'')


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a length.

    :param reader: Stream of a connection.
    :returns: The message.
    """
    message = await read_head(reader)
    size_bytes = int(message.headers.get('content-length', '0'))
    return message._replace(body=await reader.readexactly(size_bytes))


def encode(first_line: str, headers: dict[str, str], body: bytes) -> bytes:
    """Encode a message.

    :param first_line: Request line or status line.
    :param headers: Values by name.
    :param body: The body.
    :returns: The bytes to send.
    """
    lines = [f'{name}: {text}' for name, text in headers.items()]
    length = f'Content-Length: {len(body)}'
    head = '\r\n'.join((first_line, *lines, length))
    return head.encode(ENCODING) + HEAD_END + body
