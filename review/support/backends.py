"""Stand-in for a backend, which does what the pages say of a sound one."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple, TypeAlias

from review.support.addresses import ADDRESS
from review.support.messages import Reply, Request, Server
from review.support.store import Store

OK: Final = 200
MISDIRECTED: Final = 421
MILLISECONDS_PER_SECOND: Final = 1000
SLOT_COUNT: Final = 4
WORK_SECONDS: Final = 0.005

# Called before a request is run; returns a reply for one that is not to run.
BeforeRun: TypeAlias = Callable[
    [Request, asyncio.StreamWriter], Awaitable[Reply | None]
]


class Run(NamedTuple):
    """A request that a backend ran.

    :param attempt: Id of the attempt.
    :param method: Its method.
    :param url: Its path with its query string.
    :param body_bytes: Size of its body.
    """

    attempt: str
    method: str
    url: str
    body_bytes: int


class Backend:
    """One backend.

    :param identifier: Its id.
    :param service: Its service.
    :param runs: The requests that it ran, in order.
    :param before_run: Called before a request is run; ``None`` for a sound
        backend.
    :param port: TCP port; zero before the start.
    """

    def __init__(self, identifier: str, service: str, zone: str) -> None:
        self.identifier = identifier
        self.service = service
        self.zone = zone
        self.runs: list[Run] = []
        self.before_run: BeforeRun | None = None
        self.port = 0
        self.address = ADDRESS
        self.born_ms = int(time.time() * MILLISECONDS_PER_SECOND)
        self._running_count = 0
        self._server = Server(self._answer)

    async def start(self) -> None:
        """Start to listen."""
        await self._server.start(self.address)
        self.port = self._server.port

    def crash(self) -> None:
        """End at once, without a word to the store."""
        self._server.crash()

    def entry(self) -> dict[str, Any]:
        """Build the entry that the backend writes to the store.

        :returns: The entry.
        """
        return {
            'Service': self.service,
            'Address': f'{self.address}:{self.port}',
            'Zone': self.zone,
            'Version': 'v1',
            'Slots': SLOT_COUNT,
            'State': 'ready',
            'ColdLeftMs': 0,
            'Sequence': 1,
            'born': self.born_ms,
        }

    def register(self, store: Store) -> None:
        """Write the entry to the store.

        :param store: The store.
        """
        store.put(f'servers/{self.identifier}', self.entry())

    async def _answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> Reply | None:
        headers = request.headers
        if request.path == '/health':
            return Reply(OK, {'x-instance-id': self.identifier})
        if headers.get('x-target-instance') not in {None, self.identifier}:
            return Reply(MISDIRECTED, {'x-instance-id': self.identifier})
        if self.before_run is not None:
            refusal = await self.before_run(request, writer)
            if refusal is not None:
                return refusal
        attempt = headers.get('x-attempt-id', '')
        self.runs.append(
            Run(attempt, request.method, request.url, len(request.body))
        )
        return await self._run(attempt)

    async def _run(self, attempt: str) -> Reply:
        self._running_count += 1
        await asyncio.sleep(WORK_SECONDS)
        self._running_count -= 1
        headers = {
            'x-attempt-id': attempt,
            'x-response-stamp': f'{self.identifier}.{attempt}',
            'x-server-load': f'{self._running_count},0,{SLOT_COUNT}',
        }
        return Reply(OK, headers, f'{self.identifier} {attempt}'.encode())
