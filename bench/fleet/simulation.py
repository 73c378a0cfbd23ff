"""Start, run and disturb a simulated fleet."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final
from unittest import mock

from bench.fleet.links import SimulatedSocket, Wires
from bench.fleet.loop import SimulatedLoop
from celeryturn.decisions.fleet.membership import Status
from celeryturn.instance import Instance
from celeryturn.peers import dialling, network, sessions
from celeryturn.peers.links import PeerLink
from celeryturn.settings import Endpoint, Settings, Timing
from celeryturn.traffic import OTHER_ZONE

START_SPREAD_SECONDS: Final = 0.3
FIRST_PORT: Final = 8224
SEED_COUNT: Final = 3
NEIGHBOUR_COUNT: Final = 3
PEER_IDLE_SECONDS: Final = 3.0
CAPACITY_PER_SECOND: Final = 1032
POLL_SECONDS: Final = 0.1
INCARNATION: Final = 1_796_330_778_915


class Fleet:
    """A simulated fleet.

    :param loop: Event loop with the simulated clock.
    :param networks: Links of each instance that runs, by name.
    :param wires: The network between them.
    """

    def __init__(self, count: int, zone_count: int, seed: int) -> None:
        self.loop = SimulatedLoop()
        self.wires = Wires()
        self.networks: dict[str, network.Network] = {}
        self._random = random.Random(seed)
        self._settings = [
            _make_settings(number, zone_count) for number in range(count)
        ]
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def start_all(self) -> None:
        """Start all instances within :data:`START_SPREAD_SECONDS`."""
        for settings in self._settings:
            self.wires.zones[_url(settings)] = settings.availability_zone
            delay_seconds = START_SPREAD_SECONDS * self._random.random()
            self.loop.call_later(delay_seconds, self._start, settings)

    def kill(self, names: Iterable[str]) -> None:
        """Stop instances without a message to any peer.

        :param names: Names of the instances.
        """
        for name in tuple(names):
            stopped = self.networks.pop(name)
            self.wires.accepting.pop(_url(stopped.instance.settings))
            self._tasks.pop(name).cancel()
            for task in tuple(stopped.dialling.values()):
                task.cancel()
            for link in tuple(stopped.links):
                link.socket.transport.abort()

    def run(self, seconds: float) -> None:
        """Let simulated time pass.

        :param seconds: The time.
        """
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def seconds_until(
        self, condition: Callable[['Fleet'], bool], max_seconds: float
    ) -> float:
        """Let time pass until a condition holds.

        :param condition: Function of this fleet.
        :param max_seconds: Maximum wait.
        :returns: The simulated time that passed; infinite if the condition
            does not hold then.
        """
        began_seconds = self.loop.time()
        while self.loop.time() - began_seconds < max_seconds:
            if condition(self):
                return self.loop.time() - began_seconds
            self.run(POLL_SECONDS)
        return float('inf')

    def sent_bytes(self) -> tuple[float, float]:
        """Return the bytes sent to peers so far.

        :returns: Mean of all instances: all bytes, and those to other zones.
        """
        metrics = [known.instance.metrics for known in self.networks.values()]
        traffics = [known.traffic.peer_bytes for known in metrics]
        count = len(traffics)
        total = sum(sum(sent.values()) for sent in traffics)
        crossing = sum(
            size_bytes
            for sent in traffics
            for kind, size_bytes in sent.items()
            if kind.zone == OTHER_ZONE
        )
        return total / count, crossing / count

    def zone_of(self, name: str) -> str:
        """Return the availability zone of an instance.

        :param name: Name of the instance.
        :returns: The zone.
        """
        settings = self.networks[name].instance.settings
        return settings.availability_zone

    def close(self) -> None:
        """Stop all instances and close the loop."""
        self.kill(tuple(self.networks))
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(*tasks, return_exceptions=True)
        )
        self.loop.close()

    def _start(self, settings: Settings) -> None:
        instance = Instance(settings, self.loop.time, INCARNATION)
        instance.random = self._random.random
        started = network.Network(instance)
        started.seeds = tuple(
            known.peers for known in self._settings[:SEED_COUNT]
        )
        self.networks[settings.instance] = started
        url = _url(settings)
        self.wires.accepting[url] = lambda socket: self._accept(started, socket)
        self._tasks[settings.instance] = self.loop.create_task(
            dialling.gossip(started)
        )

    def _accept(
        self, accepting: network.Network, socket: SimulatedSocket
    ) -> None:
        # The links use only the methods that a simulated socket has.
        link = PeerLink(socket)  # type: ignore[arg-type]
        self.loop.create_task(sessions.run_link(accepting, link))


@contextlib.contextmanager
def open_fleet(count: int, zone_count: int, seed: int) -> Iterator[Fleet]:
    """Create a fleet whose instances dial each other over simulated links.

    :param count: Number of instances.
    :param zone_count: Number of availability zones.
    :param seed: Seed of all random numbers.
    :returns: The fleet, not started yet.
    """
    fleet = Fleet(count, zone_count, seed)

    async def dial_once(dialler: network.Network, name: str, url: str) -> None:
        source = _url(dialler.instance.settings)
        async with fleet.wires.connect(source, url, 1.0) as socket:
            await dialling.run_dialled(
                dialler,
                name,
                socket,  # type: ignore[arg-type]
            )

    no_log = mock.patch.object(network, 'log_member_changes')
    with mock.patch.object(dialling, '_dial_once', dial_once), no_log:
        try:
            yield fleet
        finally:
            fleet.close()


def knows_all(fleet: Fleet) -> bool:
    """Return whether every instance knows exactly those that run as alive.

    :param fleet: The fleet.
    :returns: Whether all views are right.
    """
    names = set(fleet.networks)
    return all(alive_names(known) == names for known in fleet.networks.values())


def alive_names(known: network.Network) -> set[str]:
    """List the instances that one believes to be alive.

    :param known: Links of the instance.
    :returns: Names of the instances.
    """
    return {
        member.instance
        for member in known.instance.membership.members.values()
        if member.status is Status.ALIVE
    }


def _make_settings(number: int, zone_count: int) -> Settings:
    zone = f'zone-{number % zone_count}'
    address = f'10.{number % zone_count}.{number // 250}.{number % 250 + 1}'
    endpoint = Endpoint(address, FIRST_PORT)
    store = Endpoint('10.200.0.1', FIRST_PORT)
    fields: dict[str, Any] = {'configuration': store, 'instances': store}
    return Settings(
        instance=f'front-{zone}-{number}',
        availability_zone=zone,
        regions={'region': [zone]},
        callers=Endpoint(address, FIRST_PORT + 1),
        peers=endpoint,
        neighbour_count=NEIGHBOUR_COUNT,
        timing=Timing(peer_idle_seconds=PEER_IDLE_SECONDS),
        capacity_per_second=CAPACITY_PER_SECOND,
        **fields,
    )


def _url(settings: Settings) -> str:
    return f'ws://{settings.peers.address}:{settings.peers.port}/'
