"""A small deployment: the store, backends, instances and a record."""

import asyncio
import itertools
import os
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final, TypeAlias

from review.support.addresses import ADDRESS
from review.support.backends import Backend
from review.support.clients import wait_for_status
from review.support.instances import (
    ZONES,
    Instance,
    make_instances,
    seeds_of,
)
from review.support.store import Store

HELD: Final = 0
BROKEN: Final = 1
NOT_RUN: Final = 2
HOST: Final = 'trips.example'
READY_SECONDS: Final = 20.0
TOUCH_SECONDS: Final = 5.0
MAX_RUN_SECONDS: Final = 110.0
LIMITS: Final = MappingProxyType(
    {
        'MaxHeaderBytes': 16384,
        'MaxBodyBytes': 262144,
        'HeaderTimeoutMs': 3000,
        'IdleTimeoutMs': 15000,
    }
)


class CaseError(Exception):
    """The case could not run."""


class Deployment:
    """Everything that one run of a case starts.

    :param store: The platform's store.
    :param backends: All backends.
    :param instances: All instances.
    :param has_trouble: Whether the disruption is played.
    """

    def __init__(self, folder: Path, record: Path) -> None:
        self.store = Store()
        self.backends: list[Backend] = []
        self.instances: list[Instance] = []
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
        self._folder = folder
        self._record = record
        self._started_seconds = time.monotonic()
        self._backend_numbers = itertools.count()

    def note(self, text: str) -> None:
        """Write a line to the record.

        :param text: The line.
        """
        elapsed_seconds = time.monotonic() - self._started_seconds
        line = f'{elapsed_seconds:8.3f} {text}'
        with self._record.open('a') as record:
            record.write(f'{line}\n')

    async def start_backends(self, service: str, count: int) -> list[Backend]:
        """Start the backends of a service, which register themselves.

        :param service: Name of the service.
        :param count: Number of backends.
        :returns: The backends.
        """
        started = [
            Backend(
                f'i-{service}-{next(self._backend_numbers)}',
                service,
                ZONES[number % len(ZONES)],
            )
            for number in range(count)
        ]
        for backend in started:
            await backend.start()
            backend.register(self.store)
        self.backends.extend(started)
        return started

    def publish(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Write a configuration, as the operator does.

        :param version: Its version.
        :param routes: Its routes.
        """
        services = sorted({route['Service'] for route in routes})
        self.store.put(
            'op/config',
            {
                'Version': version,
                'Routes': routes,
                'Services': [
                    {'Name': name, 'HealthPath': '/health', 'MaxConns': 41}
                    for name in services
                ],
                'Limits': dict(LIMITS),
            },
        )

    async def start_instances(self, count: int) -> None:
        """Start instances and wait until they are ready and in touch.

        :param count: Number of instances.
        :raises CaseError: If one does not become ready.
        """
        self.instances = make_instances(count)
        self.restart_instances()
        for instance in self.instances:
            port = instance.ports['ready']
            if not await wait_for_status(port, '/v1/readiness', READY_SECONDS):
                raise CaseError(f'instance {instance.number} is not ready')
        self.note(f'{count} instances are ready')
        await asyncio.sleep(TOUCH_SECONDS)

    def restart_instances(self) -> None:
        """Start the processes of all instances."""
        seeds = seeds_of(self.instances)
        for instance in self.instances:
            instance.start(self._folder, self.store.port, seeds)

    def stop(self) -> None:
        """Kill all processes that were started."""
        for instance in self.instances:
            instance.stop()


def route(prefix: str, service: str, **fields: Any) -> dict[str, Any]:
    """Build a route to one service.

    :param prefix: Its prefix.
    :param service: Its service.
    :param fields: Fields that differ from the usual ones.
    :returns: The route.
    """
    return {
        'Name': f'r-{prefix.strip("/")}',
        'Host': HOST,
        'Prefix': prefix,
        'Kind': 'safe',
        'TimeoutMs': 1000,
        'TargetLatencyMs': 200,
        'Priority': 1,
        'Service': service,
        'MaxAttempts': 2,
        **fields,
    }


# Plays the case and returns whether the rule held.
Play: TypeAlias = Callable[[Deployment], Awaitable[bool]]


def main(play: Play) -> None:
    """Play a case in the folder of its script, and exit with the result.

    :param play: Plays the case.
    """
    record = Path(sys.argv[0]).resolve().parent / 'record.txt'
    record.write_text('')
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), record)
        sys.exit(asyncio.run(_play(deployment, play)))


async def _play(deployment: Deployment, play: Play) -> int:
    try:
        async with asyncio.timeout(MAX_RUN_SECONDS):
            await deployment.store.start(ADDRESS)
            has_held = await play(deployment)
    except (CaseError, OSError) as error:
        deployment.note(f'the case could not run: {error!r}')
        return NOT_RUN
    finally:
        deployment.stop()
    deployment.note('the rule held' if has_held else 'the rule was broken')
    return HELD if has_held else BROKEN
