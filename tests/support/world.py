"""Stand-ins and instances of a scenario, connected over loopback."""

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from typing import Any, Final

import msgspec

from celeryturn.app import Application
from celeryturn.http.client import Connection, connect, fetch
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.settings import Settings, parse_settings
from examples.fleet import find_free_ports
from standins.store import StoreStandin
from standins.target import Dataset, TargetStandin
from standins.topology import build_records
from tests.support.documents import ZONES, raw_document

ADDRESS: Final = '127.0.0.1'
WAIT_SECONDS: Final = 15.0
POLL_SECONDS: Final = 0.01


class World:
    """Stand-ins and instances of one scenario.

    :param platform: Stand-in of the platform, once started.
    :param targets: Stand-ins of the targets by name.
    :param documents: Latest published document by service.
    :param datasets: Records by service.
    :param applications: Instances by name.
    :param running: Tasks that run the instances, by name of the instance.
    :param answers: Replies to requests, in the order of their arrival.
    :param tasks: Requests that run in the background.
    """

    def __init__(self) -> None:
        self.platform: StoreStandin | None = None
        self.targets: dict[str, TargetStandin] = {}
        self.documents: dict[str, dict[str, Any]] = {}
        self.datasets: dict[str, Dataset] = {}
        self.applications: dict[str, Application] = {}
        self.running: dict[str, asyncio.Task[None]] = {}
        self.answers: list[HttpReply] = []
        self.tasks: list[asyncio.Task[HttpReply]] = []

    async def start_platform(self) -> StoreStandin:
        """Start the stand-in of the platform store."""
        self.platform = StoreStandin()
        await self.platform.server.start(ADDRESS, 0)
        return self.platform

    async def start_service(
        self, service: str, shard_count: int, replica_count: int, **fields: Any
    ) -> None:
        """Start the targets of a service and publish its document."""
        raw = raw_document(service, shard_count, replica_count, **fields)
        dataset = Dataset(service, build_records(raw))
        self.datasets[service] = dataset
        for name, target in raw['targets'].items():
            standin = TargetStandin(
                name, dataset, target['slots'], target['connections']
            )
            await standin.server.start(ADDRESS, 0)
            target['port'] = standin.server.port
            self.targets[name] = standin
        self.publish(raw)

    def publish(self, raw: dict[str, Any]) -> None:
        """Publish a document in the platform store, as operators do."""
        assert self.platform is not None
        self.documents[raw['service']] = raw
        self.platform.put(
            f'services/{raw["service"]}', msgspec.json.encode(raw)
        )

    async def start_instances(
        self, count: int, **timing: float
    ) -> list[Application]:
        """Start instances that find each other through the list."""
        assert self.platform is not None
        ports = iter(find_free_ports(2 * count))
        names = [
            f'entry-{len(self.applications) + number}'
            for number in range(count)
        ]
        all_settings = [
            self.settings(name, next(ports), next(ports), timing)
            for name in names
        ]
        for listed in map(_build_list_entry, all_settings):
            key = f'instances/{listed["instance"]}'
            self.platform.put(key, msgspec.json.encode(listed))
        return [await self.start(settings) for settings in all_settings]

    async def start(self, settings: Settings) -> Application:
        """Start one instance."""
        application = Application(settings)
        await application.start()
        self.applications[settings.instance] = application
        self.running[settings.instance] = asyncio.create_task(application.run())
        return application

    async def kill(self, name: str) -> Settings:
        """Stop an instance abruptly, without a message to its peers."""
        application = self.applications.pop(name)
        self.running[name].cancel()
        for link in tuple(application.network.links):
            link.socket.transport.abort()
        await application.stop()
        return application.instance.settings

    def settings(
        self,
        name: str,
        callers_port: int,
        peers_port: int,
        timing: Mapping[str, float],
    ) -> Settings:
        """Build settings with short intervals for a scenario."""
        assert self.platform is not None
        platform = {'address': ADDRESS, 'port': self.platform.server.port}
        return parse_settings(
            {
                'instance': name,
                'availability_zone': ZONES[len(self.applications) % 3],
                'regions': {'region': list(ZONES)},
                'callers': {'address': ADDRESS, 'port': callers_port},
                'peers': {'address': ADDRESS, 'port': peers_port},
                'configuration': platform,
                'instances': platform,
                'timing': {
                    'watch_wait_seconds': 0.3,
                    'list_every_seconds': 0.2,
                    'gossip_every_seconds': 0.1,
                    'first_peer_wait_seconds': 0.1,
                    'advice_keep_seconds': 0.3,
                    **timing,
                },
            },
            name,
        )

    def place(self, name: str = '') -> tuple[str, int]:
        """Return the address and port of the callers' interface."""
        application = self.applications[name or next(iter(self.applications))]
        return ADDRESS, application.server.port

    async def connect(self) -> Connection:
        """Open a connection of a caller to the first instance."""
        address, port = self.place()
        return await connect(address, port, WAIT_SECONDS)

    async def send_request(
        self, method: str, url: str, body: object = None, name: str = ''
    ) -> HttpReply:
        """Send one request and record its reply."""
        encoded = b'' if body is None else msgspec.json.encode(body)
        reply = await fetch(
            *self.place(name),
            HttpRequest(method, url, body=encoded),
            WAIT_SECONDS,
        )
        self.answers.append(reply)
        return reply

    async def wait_until_ready(self) -> None:
        """Wait until every instance is ready."""
        await until(
            lambda: all(
                application.instance.is_ready
                for application in self.applications.values()
            )
        )

    async def close(self) -> None:
        """Close everything, in the reverse order of starting."""
        for request in self.tasks:
            request.cancel()
        for name, application in self.applications.items():
            self.running[name].cancel()
            await application.stop()
        for standin in self.targets.values():
            await standin.server.stop(0)
        if self.platform is not None:
            await self.platform.server.stop(0)
        everything = (*self.tasks, *self.running.values())
        await asyncio.gather(*everything, return_exceptions=True)
        await _wait_for_tasks()


async def until(
    condition: Callable[[], bool], wait_seconds: float = WAIT_SECONDS
) -> None:
    """Wait until a condition is met.

    :param condition: Function that is polled until it returns true.
    :param wait_seconds: Timeout, which only a failing test reaches.
    :raises TimeoutError: If the condition is not met in time.
    """
    async with asyncio.timeout(wait_seconds):
        while not condition():
            await asyncio.sleep(POLL_SECONDS)


def _build_list_entry(settings: Settings) -> dict[str, Any]:
    return {
        'instance': settings.instance,
        'address': settings.callers.address,
        'callers_port': settings.callers.port,
        'peers_port': settings.peers.port,
        'availability_zone': settings.availability_zone,
        'state': 'live',
    }


async def _wait_for_tasks() -> None:
    # Handlers of closed connections end first, so that any task that remains
    # is a leak.
    with contextlib.suppress(TimeoutError):
        await until(lambda: len(asyncio.all_tasks()) == 1, wait_seconds=2)
