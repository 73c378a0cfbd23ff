"""A target that replies with given bytes."""

import asyncio
from typing import Any, Final

from celeryturn.decisions.targets.directory import serving_replicas
from tests.support.routed import (
    ADDRESS,
    SERVICE,
    RoutedWorld,
    plain_route,
)

RAW_SERVICE: Final = 'raw'
HEAD_END: Final = b'\r\n\r\n'


class RawTarget:
    """Replies to each request with given bytes.

    :param reply: The bytes, after which it closes the connection.
    :param repeated: What it sends after them until the connection is closed;
        empty for nothing.
    :param stalls: Whether it then waits for its caller to close.
    """

    def __init__(
        self, reply: bytes, repeated: bytes = b'', *, stalls: bool = False
    ) -> None:
        self.reply = reply
        self.repeated = repeated
        self.stalls = stalls
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> int:
        """Start to listen.

        :returns: The port.
        """
        self._server = await asyncio.start_server(self._serve, ADDRESS, 0)
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def close(self) -> None:
        """Stop to listen, and break off all connections."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._reply(reader, writer)
        except (OSError, EOFError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _reply(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(HEAD_END)
        writer.write(self.reply)
        await writer.drain()
        while self.repeated:
            writer.write(self.repeated)
            await writer.drain()
        if self.stalls:
            await reader.read()


async def add_raw_target(
    world: RoutedWorld, prefix: str, reply: bytes, **fields: Any
) -> RawTarget:
    """List a target that replies with given bytes, and publish its route.

    :param world: The scenario, with a plain route and one instance.
    :param prefix: Prefix of the route to the target.
    :param reply: Its reply to each request.
    :param fields: Further fields of the route.
    :returns: The target.
    """
    target = RawTarget(reply)
    world.list_port(RAW_SERVICE, RAW_SERVICE, await target.start())
    version = world.config['Version'] + 1
    route = plain_route(RAW_SERVICE, prefix, **fields)
    world.publish(version, plain_route(SERVICE), route)
    shared = world.applications[0].shared
    await world.wait_for(
        lambda: (
            shared.table is not None
            and shared.table.version == version
            and serving_replicas(shared.directory, RAW_SERVICE)
        )
    )
    return target
