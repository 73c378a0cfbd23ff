"""Connections whose unsent bytes are counted."""

import asyncio

from celeryturn.http.unsent_bytes import UnsentBytes, record_unsent


class CountedWrites(asyncio.Protocol):
    """Writes to a transport and counts what the other side does not take.

    :param unsent: Where the bytes are counted.
    """

    def __init__(self, unsent: UnsentBytes) -> None:
        self._transport: asyncio.Transport | None = None
        self._unsent = unsent
        self._is_unread = False

    @property
    def is_unread(self) -> bool:
        """Whether the other side has not taken all that was written."""
        return self._is_unread

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        if isinstance(transport, asyncio.Transport):
            self._transport = transport
            # Every byte that the socket does not accept counts as unread.
            transport.set_write_buffer_limits(high=0)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection held."""
        record_unsent(self._unsent, id(self), 0)

    def pause_writing(self) -> None:
        """Note that the other side does not take what was written."""
        self._is_unread = True

    def resume_writing(self) -> None:
        """Note that the other side has taken all that was written."""
        self._is_unread = False
        record_unsent(self._unsent, id(self), 0)

    def _write(self, encoded: bytes | None) -> None:
        if encoded and self._transport is not None:
            self._transport.write(encoded)
            if self._is_unread and not self._transport.is_closing():
                record_unsent(self._unsent, id(self), len(encoded))
