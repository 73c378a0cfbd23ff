"""Simulated links between the instances of a fleet."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Final, TypeAlias

from websockets.exceptions import ConnectionClosedError

ZONE_SECONDS: Final = 0.0001
CROSS_ZONE_SECONDS: Final = 0.0014

Accept: TypeAlias = Callable[['SimulatedSocket'], None]
CanReach: TypeAlias = Callable[[str, str], bool]


class SimulatedSocket:
    """One end of a link.

    :param peer: The other end; set once both exist.
    :param delay_seconds: Time that a message takes.
    :param can_send: Returns whether messages arrive at present.
    :param transport: Has ``abort``, like a transport.
    """

    def __init__(
        self, delay_seconds: float, can_send: Callable[[], bool]
    ) -> None:
        self.peer: SimulatedSocket | None = None
        self.delay_seconds = delay_seconds
        self.can_send = can_send
        self.transport = self
        self._received: asyncio.Queue[bytes | None] = asyncio.Queue()

    async def send(self, message: bytes) -> None:
        """Send a message; it is lost while the network is partitioned.

        :param message: The encoded message.
        """
        if self.peer is not None and self.can_send():
            asyncio.get_running_loop().call_later(
                self.delay_seconds, self.peer.deliver, message
            )

    async def recv(self, *, decode: bool) -> bytes:
        """Wait for the next message.

        :param decode: Ignored, as all messages are bytes.
        :returns: The encoded message.
        :raises ConnectionClosedError: If the link was closed.
        """
        message = await self._received.get()
        if message is None:
            raise ConnectionClosedError(None, None)
        return message

    def deliver(self, message: bytes | None) -> None:
        """Receive a message or, if there is none, the end of the link.

        :param message: The encoded message.
        """
        self._received.put_nowait(message)

    def abort(self) -> None:
        """Close both ends."""
        self.deliver(None)
        if self.peer is not None and self.can_send():
            self.peer.deliver(None)


class Wires:
    """All endpoints of a fleet.

    :param accepting: Accepting function of each instance that runs, by URL.
    :param zones: Availability zone of each instance by URL.
    :param can_reach: Returns whether messages pass between two URLs.
    """

    def __init__(self) -> None:
        self.accepting: dict[str, Accept] = {}
        self.zones: dict[str, str] = {}
        self.can_reach: CanReach = lambda _from, _to: True

    @contextlib.asynccontextmanager
    async def connect(
        self, source: str, destination: str, open_timeout: float
    ) -> AsyncIterator[SimulatedSocket]:
        """Open a link.

        :param source: URL of the instance that dials.
        :param destination: URL of the other one.
        :param open_timeout: Maximum wait in seconds.
        :returns: The dialling end.
        :raises OSError: If the other one does not run or cannot be reached.
        """
        if not self.can_reach(source, destination):
            await asyncio.sleep(open_timeout)
            raise TimeoutError
        is_same_zone = self.zones[source] == self.zones[destination]
        delay_seconds = ZONE_SECONDS if is_same_zone else CROSS_ZONE_SECONDS
        await asyncio.sleep(2 * delay_seconds)
        accept = self.accepting.get(destination)
        if accept is None:
            raise ConnectionRefusedError
        dialled = SimulatedSocket(
            delay_seconds, lambda: self.can_reach(source, destination)
        )
        accepted = SimulatedSocket(
            delay_seconds, lambda: self.can_reach(destination, source)
        )
        dialled.peer = accepted
        accepted.peer = dialled
        accept(accepted)
        try:
            yield dialled
        finally:
            dialled.abort()
