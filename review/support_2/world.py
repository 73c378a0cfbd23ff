"""A small deployment: store, backends, instances and clients."""

import asyncio
import os
import shutil
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, Final

from review.support_2.backend import Backend
from review.support_2.instance import ZONES, Instance
from review.support_2.messages import Message, encode, read_message
from review.support_2.record import Record
from review.support_2.store import Store

ADDRESS: Final = '127.0.0.1'
HOST: Final = 'tile33.example'
READY_SECONDS: Final = 20.0
# Rules with a time bound hold from StableWindowMs after a start.
SETTLE_SECONDS: Final = 4.5
POLL_SECONDS: Final = 0.05
ANSWER_SECONDS: Final = 15.0
OK: Final = 200
MAX_CONNECTION_COUNT: Final = 31
EXIT_HELD: Final = 0
EXIT_BROKEN: Final = 1
EXIT_NOT_RUN: Final = 2

# Returns what broke the rule, one line each.
Play = Callable[['World'], Awaitable[list[str]]]


class World:
    """A small deployment.

    :param record: What was sent, answered and run.
    :param store: The platform's store.
    :param backends: All backends.
    :param instances: All instances.
    :param has_trouble: Whether the disruption is to be brought about.
    """

    def __init__(self) -> None:
        self.record = Record()
        self.store = Store()
        self.backends: list[Backend] = []
        self.instances: list[Instance] = []
        self.has_trouble = os.environ.get('TROUBLE') != '0'
        self._folder = Path(tempfile.mkdtemp(prefix='review-'))

    async def start(
        self, backend_counts: dict[str, int], instance_count: int
    ) -> None:
        """Start the store, the backends and the instances.

        :param backend_counts: Number of backends by service.
        :param instance_count: Number of instances.
        """
        await self.store.start()
        for service, count in backend_counts.items():
            for number in range(count):
                await self._start_backend(service, number)
        for position in range(instance_count):
            self.instances.append(Instance(position, self._folder))

    async def start_instances(self, routes: list[dict[str, Any]]) -> None:
        """Publish the first configuration, start all instances, and wait.

        Afterwards they have been in touch for StableWindowMs.

        :param routes: The routes.
        """
        self.publish(1, routes)
        seeds = [known.ports.control for known in self.instances[:3]]
        for instance in self.instances:
            instance.start(self.store.port, seeds)
        for started in self.instances:
            await self._wait_ready(started)
        await asyncio.sleep(SETTLE_SECONDS)

    def publish(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Write a configuration, as the operator does.

        :param version: Its version.
        :param routes: Its routes.
        """
        services = sorted(set().union(*map(_list_services, routes)))
        self.store.put(
            'op/config',
            {
                'Version': version,
                'Routes': routes,
                'Services': [
                    {
                        'Name': name,
                        'HealthPath': '/health',
                        'MaxConns': MAX_CONNECTION_COUNT,
                    }
                    for name in services
                ],
                'Limits': {
                    'MaxHeaderBytes': 16384,
                    'MaxBodyBytes': 262144,
                    'HeaderTimeoutMs': 3000,
                    'IdleTimeoutMs': 15000,
                },
            },
        )

    async def exchange(self, instance: Instance, request: bytes) -> Message:
        """Send a request on a connection of its own.

        :param instance: Instance to send it to.
        :param request: The encoded request.
        :returns: The answer.
        """
        async with asyncio.timeout(ANSWER_SECONDS):
            return await _exchange(instance.ports.front, request)

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for instance in self.instances:
            instance.kill()
        shutil.rmtree(self._folder, ignore_errors=True)

    async def _start_backend(self, service: str, number: int) -> None:
        backend = Backend(service, number, self.record)
        await backend.start()
        backend.register(self.store, ZONES[number % len(ZONES)])
        self.backends.append(backend)

    async def _wait_ready(self, instance: Instance) -> None:
        request = encode('GET /v1/readiness HTTP/1.1', {'Host': ADDRESS}, b'')
        async with asyncio.timeout(READY_SECONDS):
            while not await _is_ready(instance.ports.ready, request):
                await asyncio.sleep(POLL_SECONDS)
        self.record.add('ready', instance.zone)


async def _exchange(port: int, request: bytes) -> Message:
    reader, writer = await asyncio.open_connection(ADDRESS, port)
    try:
        writer.write(request)
        return await read_message(reader)
    finally:
        writer.close()


async def _is_ready(port: int, request: bytes) -> bool:
    try:
        reply = await _exchange(port, request)
    except (OSError, EOFError):
        return False
    return reply.status == OK


def _list_services(route: dict[str, Any]) -> list[str]:
    gathered: list[str] = route.get('Gather', [])
    return gathered or [route['Service']]


def make_route(name: str, service: str, **fields: Any) -> dict[str, Any]:
    """Describe a route to one service.

    :param name: Name of the route, which is its prefix, too.
    :param service: Name of the service.
    :param fields: Fields that differ from those of ``machine-status``.
    :returns: The route, as it stands in a configuration.
    """
    return {
        'Name': name,
        'Host': HOST,
        'Prefix': f'/{name}/',
        'Kind': 'safe',
        'TimeoutMs': 6000,
        'TargetLatencyMs': 600,
        'MaxAttempts': 2,
        'Priority': 2,
        'Service': service,
        **fields,
    }


def make_search_route(
    name: str, shards: list[str], **fields: Any
) -> dict[str, Any]:
    """Describe a route to the shards of an index.

    :param name: Name of the route, which is its prefix, too.
    :param shards: Names of their services.
    :param fields: Fields that differ from those of ``day-sweep``.
    :returns: The route, as it stands in a configuration.
    """
    search = {
        'TimeoutMs': 1500,
        'TargetLatencyMs': 183,
        'Priority': 1,
        'Gather': shards,
        'TopK': 50,
        'MinPartShare': 0.89,
    }
    route = make_route(name, '', **search, **fields)
    route.pop('Service')
    return route


def run_case(play: Play, folder: Path) -> None:
    """Run a case and exit with its result.

    :param play: Brings about the disruption and judges what was seen.
    :param folder: Folder of the case, in which the record is written.
    """
    sys.exit(asyncio.run(_run(play, folder)))


async def _run(play: Play, folder: Path) -> int:
    world = World()
    try:
        faults = await play(world)
    except (OSError, EOFError, TimeoutError):
        world.record.add('could not run', traceback.format_exc())
        return EXIT_NOT_RUN
    finally:
        world.close()
        world.record.write(folder / 'record.txt')
    return _report(faults)


def _report(faults: Sequence[str]) -> int:
    for fault in faults:
        sys.stdout.write(f'{fault}\n')
    sys.stdout.write('broken\n' if faults else 'held\n')
    return EXIT_BROKEN if faults else EXIT_HELD
