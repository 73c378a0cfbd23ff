"""Store, targets and instances of a scenario on published routes."""

import asyncio
import itertools
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, Final

import msgspec
from behave.runner import Context

from celeryturn.clients.process_limits import DEFAULT_LIMITS
from celeryturn.decisions.load.cold_share import ColdBounds
from celeryturn.decisions.load.extra_load import ExtraLoadBounds
from celeryturn.forwarding.app import ForwardingApplication
from celeryturn.forwarding.settings import ForwardingSettings, Grace
from celeryturn.http.client import Connection, connect
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.settings import Endpoint, Settings, Timing
from examples.fleet import find_free_ports
from standins.shard_target import ShardTarget
from standins.store import StoreStandin

ADDRESS: Final = '127.0.0.1'
HOST: Final = 'trips.example'
SERVICE: Final = 'bookings'
ZONE: Final = 'near'
WAIT_SECONDS: Final = 15.0
POLL_SECONDS: Final = 0.005
PORT_COUNT: Final = 5


class RoutedWorld:
    """Store, targets, instances and connections of one scenario.

    :param store: Stand-in for the store of the platform.
    :param targets: Targets by identifier.
    :param applications: Instances in the order of their start.
    :param config: Configuration that was last published.
    :param max_connections: Connections that each target accepts, as published.
    :param service_fields: Further fields of each service, as published.
    :param cold_bounds: Bounds in the settings of instances that start later.
    """

    def __init__(self) -> None:
        self.store = StoreStandin()
        self.targets: dict[str, ShardTarget] = {}
        self.applications: list[ForwardingApplication] = []
        self.config: dict[str, Any] = {}
        self.max_connections = 41
        self.service_fields: dict[str, Any] = {}
        self.cold_bounds: ColdBounds | None = None
        self._run_tasks: list[asyncio.Task[None]] = []
        self._connections: list[Connection] = []
        self._sequence_numbers = itertools.count(1)

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.server.start(ADDRESS, 0)

    async def start_targets(self, service: str, count: int) -> None:
        """Start the targets of a service and write their entries."""
        for number in range(count):
            target = ShardTarget(f'{service}-{number}')
            await target.start(ADDRESS)
            self.targets[target.identifier] = target
            self.list_target(target.identifier, service)

    def list_target(self, target: str, service: str, **fields: Any) -> None:
        """Write the entry of a target to the store."""
        port = self.targets[target].port
        self.list_port(target, service, port, **fields)

    def list_port(
        self, target: str, service: str, port: int, **fields: Any
    ) -> None:
        """Write the entry of a target that listens on a port."""
        entry = {
            'Service': service,
            'Address': f'{ADDRESS}:{port}',
            'Zone': ZONE,
            'Version': 'v1',
            'Slots': 4,
            'State': 'ready',
            'ColdLeftMs': 0,
            'Sequence': next(self._sequence_numbers),
            **fields,
        }
        self.store.put(f'servers/{target}', msgspec.json.encode(entry))

    def publish(self, version: int, *routes: dict[str, Any]) -> None:
        """Write a configuration to the store, as the operator does."""
        names = {
            name
            for route in routes
            for name in (*route.get('Gather', ()), route.get('Service'))
            if name
        }
        services = [
            {
                'Name': name,
                'MaxConns': self.max_connections,
                'HealthPath': '/health',
                **self.service_fields,
            }
            for name in sorted(names)
        ]
        self.config = {
            'Version': version,
            'Routes': list(routes),
            'Services': services,
            'Limits': {
                'MaxHeaderBytes': 16384,
                'MaxBodyBytes': 262144,
                'HeaderTimeoutMs': 3000,
                'IdleTimeoutMs': 15000,
            },
        }
        self.store.put('op/config', msgspec.json.encode(self.config))

    async def start_instance(
        self,
        seeds: tuple[Endpoint, ...] | None = None,
        zone: str = ZONE,
        **grace: float,
    ) -> ForwardingApplication:
        """Start an instance whose seeds are the instances started before."""
        callers, peers, ready, directory, metrics = (
            Endpoint(ADDRESS, port) for port in find_free_ports(PORT_COUNT)
        )
        store = Endpoint(ADDRESS, self.store.server.port)
        settings = ForwardingSettings(
            instance=Settings(
                instance=f'entry-{len(self.applications)}',
                availability_zone=zone,
                regions={'r': sorted({ZONE, zone})},
                callers=callers,
                peers=peers,
                configuration=store,
                instances=store,
                timing=Timing(gossip_every_seconds=0.05),
            ),
            ready=ready,
            directory=directory,
            metrics=metrics,
            seeds=self._peer_endpoints() if seeds is None else seeds,
            limits=DEFAULT_LIMITS,
            extra_load=ExtraLoadBounds(),
            limits_zone_spillover=True,
            grace=Grace(
                shutdown_seconds=grace.get('shutdown_seconds', 1.0),
                advice_keep_seconds=1.0,
            ),
            cold_bounds=self.cold_bounds,
        )
        application = ForwardingApplication(settings)
        await application.start()
        self.applications.append(application)
        self._run_tasks.append(asyncio.create_task(application.run()))
        return application

    async def wait_for(self, condition: Callable[[], object]) -> None:
        """Wait until a condition is true."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not condition():
                await asyncio.sleep(POLL_SECONDS)

    async def wait_followed(self) -> None:
        """Wait until the first instance has read all that was written."""
        progress = self.applications[0].shared.progress
        await self.wait_for(
            lambda: progress.position.revision >= self.store.revision
        )

    async def wait_ready(self) -> None:
        """Wait until every instance is ready and has all targets."""
        await self.wait_for(
            lambda: all(
                application.shared.instance.is_ready
                and len(application.shared.directory.services)
                == len(self.targets)
                for application in self.applications
            )
        )

    async def connect(self, endpoint: Endpoint) -> Connection:
        """Open a connection of a caller."""
        connection = await connect(endpoint.address, endpoint.port, 1)
        self._connections.append(connection)
        return connection

    async def send_request(
        self, request: HttpRequest, instance: int = 0
    ) -> HttpReply:
        """Send a request of a caller on a connection of its own."""
        settings = self.applications[instance].shared.settings
        connection = await self.connect(settings.instance.callers)
        return await connection.exchange_within(request, WAIT_SECONDS)

    async def send_all(
        self, requests: Iterable[HttpRequest]
    ) -> list[HttpReply]:
        """Send requests to the first instance at the same time."""
        return await asyncio.gather(*map(self.send_request, requests))

    async def drain_during(
        self,
        requests: Iterable[HttpRequest],
        instance: int,
        is_under_way: Callable[[], object],
    ) -> list[HttpReply]:
        """Begin a graceful shutdown of an instance during requests.

        :param requests: Requests to send to the first instance at once.
        :param instance: Index of the instance that shuts down.
        :param is_under_way: Condition at which it begins to.
        :returns: The answers.
        """
        sending = asyncio.create_task(self.send_all(requests))
        await self.wait_for(is_under_way)
        self.applications[instance].drain()
        return await sending

    def read_metrics(self) -> str:
        """Read the metrics of the first instance."""
        application = self.applications[0]
        request = HttpRequest('GET', '/metrics')
        reply = application.collectors.answer(application.shared, request)
        return reply.body.decode()

    async def close(self) -> None:
        """Close all connections and stop the instances, targets and store."""
        for connection in self._connections:
            connection.close()
        for task in self._run_tasks:
            task.cancel()
        for application in self.applications:
            await application.stop()
        for target in self.targets.values():
            await target.stop()
        await self.store.server.stop(0)
        await asyncio.gather(*self._run_tasks, return_exceptions=True)

    def _peer_endpoints(self) -> tuple[Endpoint, ...]:
        return tuple(
            application.shared.settings.instance.peers
            for application in self.applications
        )


def run(context: Context, coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on the event loop of the scenario."""
    return context.loop.run_until_complete(coroutine)


def get_world(context: Context) -> RoutedWorld:
    """Return the store, targets and instances of the scenario."""
    world: RoutedWorld = context.routed
    return world


def plain_route(service: str, prefix: str = '/one/', **fields: Any) -> Any:
    """Build a route to one service."""
    return _route(prefix, {'Service': service, **fields})


def gather_route(
    shards: list[str], prefix: str = '/all/', **fields: Any
) -> Any:
    """Build a route over several shards."""
    gather = {'Gather': shards, 'TopK': 3, 'MinPartShare': 0.6}
    return _route(prefix, {**gather, **fields})


def caller_request(
    path: str,
    attempt_number: int = 1,
    *,
    wait_ms: int = 2000,
    method: str = 'GET',
) -> HttpRequest:
    """Build a request of a caller."""
    headers = (
        ('host', HOST),
        ('x-attempt-id', f'attempt-{attempt_number}'),
        ('x-deadline-remaining', str(wait_ms)),
    )
    body = b'' if method == 'GET' else b'a booking'
    return HttpRequest(method, path, headers, body)


def _route(prefix: str, fields: dict[str, Any]) -> dict[str, Any]:
    return {
        'Name': f'route {prefix}',
        'Host': HOST,
        'Prefix': prefix,
        'Kind': 'safe',
        'TimeoutMs': 2000,
        'TargetLatencyMs': 1000,
        'MaxAttempts': 2,
        'Priority': 1,
        **fields,
    }
