"""Websockets between instances that read a bounded part in each turn."""

import asyncio
from typing import Any, ClassVar, Final

from websockets.asyncio.client import ClientConnection
from websockets.asyncio.server import ServerConnection

from celeryturn.bounded_reads import BoundedReads
from celeryturn.clients.account import (
    CLIENT_ACCOUNT,
    CONNECTION_BYTES,
    Holding,
    close_holding,
    make_room,
    open_holding,
    resize,
    wait_for_client,
)

# All frames of a read are parsed in one turn of the event loop, and the
# smallest have a few bytes.
READ_BYTES: Final = 4096


class _LinkReads(BoundedReads):
    """Reads of any websocket between instances."""

    read_buffer: ClassVar = memoryview(bytearray(READ_BYTES))


class AcceptedSocket(_LinkReads, ServerConnection):
    """Websocket that a peer has opened, or a client that is none.

    It is charged for what was received since the last complete message, and
    waits for its peer from that message on.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._holding = Holding(self._give_way)
        self._handshake_bytes = CONNECTION_BYTES

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the account."""
        super().connection_made(transport)
        open_holding(CLIENT_ACCOUNT, self._holding)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection held."""
        close_holding(CLIENT_ACCOUNT, self._holding)
        super().connection_lost(exc)
        self._discard_received()

    def data_received(self, chunk: bytes) -> None:
        """Parse what was received, and charge it."""
        if self.request is None:
            self._handshake_bytes += len(chunk)
        super().data_received(chunk)
        size_bytes = self._holding.size_bytes + len(chunk)
        resize(CLIENT_ACCOUNT, self._holding, size_bytes)
        if not make_room(CLIENT_ACCOUNT, size_bytes, kept=self._holding):
            self._give_way()

    def record_message(self) -> None:
        """Record that a complete message was received."""
        held_bytes = self._handshake_bytes + len(self.protocol.reader.buffer)
        resize(CLIENT_ACCOUNT, self._holding, held_bytes)
        wait_for_client(CLIENT_ACCOUNT, self._holding)

    def _discard_received(self) -> None:
        # Objects that refer to each other would keep it until the garbage
        # collector runs: the parser, and the tracebacks of its errors.
        self.protocol.reader.buffer.clear()
        fault: BaseException | None = self.protocol.handshake_exc
        while fault is not None:
            fault.__traceback__ = None
            fault = fault.__cause__ or fault.__context__

    def _give_way(self) -> None:
        close_holding(CLIENT_ACCOUNT, self._holding)
        self.transport.abort()


class DialledSocket(_LinkReads, ClientConnection):
    """Websocket that this instance has opened."""
