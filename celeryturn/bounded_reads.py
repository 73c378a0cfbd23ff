"""Connections that read a bounded number of bytes in each turn."""

import asyncio
from typing import ClassVar


class BoundedReads(asyncio.Protocol, asyncio.BufferedProtocol):
    """Leaves what exceeds its buffer to the next turn of the event loop.

    A subclass sets the buffer.  All its connections read into it, since each
    copies what it has read at once.
    """

    read_buffer: ClassVar[memoryview]

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle what was read into the buffer."""
        self.data_received(bytes(self.read_buffer[:nbytes]))
