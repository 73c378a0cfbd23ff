"""The application object of an instance that serves published routes."""

import asyncio
import time
from typing import Final

from celeryturn.decisions import membership
from celeryturn.decisions.route_table import RouteTable
from celeryturn.errors import CeleryturnError, Fault, Kind
from celeryturn.events import (
    LEAVING,
    READY,
    STARTED,
    STOPPED,
    log,
)
from celeryturn.forwarding import tier as tiers
from celeryturn.forwarding.answering import make_answerer
from celeryturn.forwarding.asides import make_asides
from celeryturn.forwarding.follow import follow, hear_revision, keep_house
from celeryturn.forwarding.measures import Measures
from celeryturn.forwarding.peer_lists import (
    lacks,
    listed,
    offer_listed,
    wants_since,
)
from celeryturn.forwarding.refusals import refusal_reply
from celeryturn.forwarding.settings import ForwardingSettings
from celeryturn.http.server import HttpServer
from celeryturn.instance import Instance, Routes
from celeryturn.loops import Loop, begin
from celeryturn.peers import network as peers
from celeryturn.settings import Endpoint

MILLISECONDS: Final = 1000
READY_CHECK_SECONDS: Final = 0.02
FIRST_PEER_SECONDS: Final = 1.0
FLUSH_SECONDS: Final = 0.2
# Parts of the grace of a shutdown: until new requests are refused, until
# the port is closed, and until what still runs is answered.
REFUSE_SHARE: Final = 0.48
CLOSE_SHARE: Final = 0.82
STOP_SHARE: Final = 0.9


class ForwardingApplication:
    """One daemon that serves published routes.

    :param tier: Its state.
    :param network: Links to peers.
    :param measures: What is counted of requests.
    :param front: What callers speak to.
    :param leaving: Set when a graceful shutdown is to begin.
    """

    def __init__(self, settings: ForwardingSettings) -> None:
        incarnation = int(time.time() * MILLISECONDS)
        instance = Instance(settings.instance, tiers.now, incarnation)
        self.tier = tiers.Tier(settings, instance)
        self.network = peers.Network(instance)
        self.network.seeds = settings.seeds
        instance.routes = Routes(
            version=lambda: tiers.table_version(self.tier),
            body=lambda: self.tier.table_body,
            offer=self._offer,
            revision=lambda: self.tier.progress.revision,
            hear_revision=lambda heard: hear_revision(self.tier, heard),
            lacks=lambda: lacks(self.tier),
            wants_since=lambda heard: wants_since(self.tier, heard),
            listed=lambda since: listed(self.tier, since),
            offer_listed=lambda heard: offer_listed(self.tier, heard),
        )
        self.measures = Measures()
        self.front = HttpServer(
            make_answerer(self.tier, self.measures), refusal_reply
        )
        self.front.limits.max_connections = settings.connection_count
        self.tier.on_adopted.append(self._limit_callers)
        self.leaving = asyncio.Event()
        self._asides = make_asides(self.tier, self.measures)
        self._loops: list[asyncio.Task[None]] = []
        self._following: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, then become ready in the background.

        :raises CeleryturnError: ``invalid_settings`` naming every port that
            cannot be listened on.
        """
        settings = self.tier.settings
        faults = [
            await _listen(self.front, settings.instance.callers),
            *[
                await _listen(part.server, part.endpoint)
                for part in self._asides
            ],
            await self._listen_peers(),
        ]
        found = tuple(fault for fault in faults if fault is not None)
        if found:
            await self.stop()
            raise CeleryturnError(Kind.INVALID_SETTINGS, 'cannot listen', found)
        log(STARTED, instance=settings.instance.instance)
        self._following = self._begin(lambda: follow(self.tier))
        self._begin(lambda: keep_house(self.tier))
        self._begin(lambda: peers.gossip(self.network))
        self._begin(self._become_ready)

    def put_settings(self, settings: ForwardingSettings) -> None:
        """Put changed settings in force, but for names and ports.

        :param settings: The settings as they are now.
        """
        self.network.seeds = settings.seeds
        self.tier.settings = settings._replace(
            instance=self.tier.settings.instance
        )

    def restart_following(self) -> None:
        """Follow the store anew, at the address of the settings."""
        if self._following is not None:
            self._following.cancel()
        self._following = self._begin(lambda: follow(self.tier))

    def drain(self) -> None:
        """Begin a graceful shutdown; :meth:`run` carries it out."""
        self.leaving.set()

    async def run(self) -> None:
        """Serve until a graceful shutdown has begun, then carry it out."""
        await self.leaving.wait()
        await self.leave()
        await self.stop()

    async def leave(self) -> None:
        """Be advised no more, serve on for a while, finish what runs."""
        began_seconds = tiers.now()
        instance = self.tier.instance
        instance.is_leaving = True
        self.front.is_closing = True
        log(LEAVING, instance=instance.settings.instance)
        own = membership.leave(instance.membership, instance.clock())
        peers.broadcast_members(self.network, [own])
        await peers.flush(self.network, FLUSH_SECONDS)
        grace_seconds = self.tier.settings.grace.shutdown_seconds
        await _sleep_until(began_seconds + REFUSE_SHARE * grace_seconds)
        self.tier.is_refusing = True
        await self._finish(began_seconds + CLOSE_SHARE * grace_seconds)
        await self.front.close_idle()
        await self._finish(began_seconds + STOP_SHARE * grace_seconds)
        for runner in tuple(self.tier.under_way):
            runner.stop()

    async def stop(self) -> None:
        """Close everything, in the reverse order of starting."""
        self.tier.instance.is_closing = True
        for task in self._loops:
            task.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)
        await peers.close_network(self.network)
        await self.front.stop(FLUSH_SECONDS)
        for aside in self._asides:
            await aside.server.stop(0)
        log(STOPPED, instance=self.tier.settings.instance.instance)

    async def _finish(self, until_seconds: float) -> None:
        while self.tier.under_way and tiers.now() < until_seconds:
            await asyncio.sleep(READY_CHECK_SECONDS)

    def _offer(self, body: bytes) -> None:
        tiers.offer_table(self.tier, body, 'peer')

    def _limit_callers(self, table: RouteTable) -> None:
        limits = self.front.limits
        limits.head_bytes = table.limits.head_bytes
        limits.body_bytes = table.limits.body_bytes
        limits.request_seconds = table.limits.head_seconds
        limits.idle_seconds = table.limits.idle_seconds

    def _begin(self, loop: Loop) -> asyncio.Task[None]:
        task = begin(loop)
        self._loops.append(task)
        return task

    async def _listen_peers(self) -> Fault | None:
        try:
            await peers.listen(self.network)
        except OSError as error:
            return Fault('peers', f'a free port: {error}')
        return None

    async def _become_ready(self) -> None:
        tier = self.tier
        started_seconds = tiers.now()
        while lacks(tier):
            await asyncio.sleep(READY_CHECK_SECONDS)
        # What was in force before a restart must not revert, and callers
        # are advised of peers too.
        while self._waits_for_peers(started_seconds):
            await asyncio.sleep(READY_CHECK_SECONDS)
        tier.instance.is_ready = True
        log(
            READY,
            instance=tier.settings.instance.instance,
            version=tiers.table_version(tier),
        )

    def _waits_for_peers(self, started_seconds: float) -> bool:
        if self.network.first_contact.is_set():
            return False
        own = self.tier.settings.instance.peers
        has_seeds = any(seed != own for seed in self.network.seeds)
        waited_seconds = tiers.now() - started_seconds
        return has_seeds and waited_seconds < FIRST_PEER_SECONDS


async def _listen(server: HttpServer, endpoint: Endpoint) -> Fault | None:
    try:
        await server.start(endpoint.address, endpoint.port)
    except OSError as error:
        return Fault(f'port {endpoint.port}', f'a free port: {error}')
    return None


async def _sleep_until(at_seconds: float) -> None:
    await asyncio.sleep(max(0.0, at_seconds - tiers.now()))
