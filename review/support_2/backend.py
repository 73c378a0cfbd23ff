"""Stand-in for a backend."""

import asyncio
import time
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from review.support_2.messages import Message, encode, read_message
from review.support_2.record import Record
from review.support_2.store import Store

ADDRESS: Final = '127.0.0.1'
SLOT_COUNT: Final = 3
MILLISECONDS_PER_SECOND: Final = 1000
WRONG_TARGET: Final = 421


class Reply(NamedTuple):
    """How a backend answers a request that it runs.

    :param status: HTTP status.
    :param body: The body.
    :param work_seconds: Time that it works before it answers.
    """

    status: int = 200
    body: bytes = b'sixteen bytes.. ' * 4
    work_seconds: float = 0.02


Behaviour = Callable[[Message], Reply]


def _answer_well(_request: Message) -> Reply:
    return Reply()


class Backend:
    """One backend, which runs every request that names it.

    :param identifier: Its ``Id``.
    :param behaviour: Chooses how it answers a request.
    :param port: TCP port on which it listens.
    """

    def __init__(self, service: str, number: int, record: Record) -> None:
        self.identifier = f'i-{service}-{number}'
        self.behaviour: Behaviour = _answer_well
        self.port = 0
        self._service = service
        self._record = record
        self._running_count = 0

    async def start(self) -> None:
        """Start to listen."""
        server = await asyncio.start_server(self._serve, ADDRESS, 0)
        self.port = server.sockets[0].getsockname()[1]

    def register(self, store: Store, zone: str) -> None:
        """Write the entry of this backend.

        :param store: The platform's store.
        :param zone: Its zone.
        """
        fields: dict[str, Any] = {
            'Service': self._service,
            'Address': f'{ADDRESS}:{self.port}',
            'Zone': zone,
            'Version': '1',
            'Slots': SLOT_COUNT,
            'State': 'ready',
            'ColdLeftMs': 0,
            'Sequence': 1,
            'born': int(time.time() * MILLISECONDS_PER_SECOND),
        }
        store.put(f'servers/{self.identifier}', fields)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._serve_requests(reader, writer)
        except (OSError, EOFError):
            return
        finally:
            writer.close()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            request = await read_message(reader)
            writer.write(await self._answer(request))
            await writer.drain()

    async def _answer(self, request: Message) -> bytes:
        attempt = request.header('x-attempt-id')
        named = request.header('x-target-instance', self.identifier)
        if named != self.identifier:
            self._record.add('rejected', attempt, self.identifier)
            return _encode_reply(WRONG_TARGET, {'X-Attempt-Id': attempt}, b'')
        self._record.add('runs', attempt, self.identifier, request.first_line)
        reply = self.behaviour(request)
        self._running_count += 1
        await asyncio.sleep(reply.work_seconds)
        self._running_count -= 1
        self._record.add('ran', attempt, self.identifier, reply.status)
        headers = {
            'X-Attempt-Id': attempt,
            'X-Response-Stamp': f'{self.identifier}.{attempt}',
            'X-Server-Load': f'{self._running_count},0,{SLOT_COUNT}',
        }
        return _encode_reply(reply.status, headers, reply.body)


def _encode_reply(status: int, headers: dict[str, str], body: bytes) -> bytes:
    return encode(f'HTTP/1.1 {status} Status', headers, body)
