"""Reading and writing of HTTP/1.1 messages."""

import asyncio
import re
from typing import Final, NamedTuple

HEAD_END: Final = b'\r\n\r\n'
ENCODING: Final = 'latin-1'


class Message(NamedTuple):
    """A complete request or reply.

    :param head: First line and headers, as received.
    :param body: The body.
    """

    head: bytes
    body: bytes = b''

    @property
    def first_line(self) -> str:
        """Request line or status line."""
        return self.head.partition(b'\r\n')[0].decode(ENCODING)

    @property
    def status(self) -> int:
        """Status of a reply."""
        return int(self.first_line.split()[1])

    def header(self, name: str, default: str = '') -> str:
        """Look up a header without decoding the others.

        :param name: Its name.
        :param default: What to return if there is none.
        :returns: Its value.
        """
        pattern = rb'\r\n%b:[ \t]*([^\r]*)' % re.escape(name.encode(ENCODING))
        found = re.search(pattern, self.head, re.IGNORECASE)
        return found.group(1).decode(ENCODING) if found else default


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a head.

    :param reader: Stream of a connection.
    :returns: A message whose body has not been read.
    """
    return Message(await reader.readuntil(HEAD_END))


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a length.

    :param reader: Stream of a connection.
    :returns: The message.
    """
    message = await read_head(reader)
    size_bytes = int(message.header('content-length', '0'))
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
