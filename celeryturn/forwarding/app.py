"""Application of an instance that serves published routes."""

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
from celeryturn.forwarding import shared_state as tiers
from celeryturn.forwarding.answering import make_answerer
from celeryturn.forwarding.auxiliary_listeners import make_auxiliary_listeners
from celeryturn.forwarding.metrics import ForwardingMetrics
from celeryturn.forwarding.peer_lists import (
    apply_peer_update,
    collect_update,
    lacks_routes_or_targets,
    revision_to_request,
)
from celeryturn.forwarding.refusals import refusal_reply
from celeryturn.forwarding.settings import ForwardingSettings
from celeryturn.forwarding.store_watch import (
    note_peer_revision,
    run_housekeeping,
    watch_store,
)
from celeryturn.http.server import HttpServer
from celeryturn.instance import Instance, Routes
from celeryturn.loops import Loop, start_loop
from celeryturn.peers import network as peers
from celeryturn.settings import Endpoint

MILLISECONDS: Final = 1000
POLL_INTERVAL_SECONDS: Final = 0.02
FIRST_PEER_WAIT_SECONDS: Final = 1.0
FLUSH_TIMEOUT_SECONDS: Final = 0.2
# Fractions of the grace period of a shutdown at which new requests are refused,
# the port is closed at the latest, and the requests still in flight are ended.
REFUSE_SHARE: Final = 0.48
CLOSE_SHARE: Final = 0.82
STOP_SHARE: Final = 0.9


class ForwardingApplication:
    """Application of one instance that serves published routes.

    :param tier: State of the instance.
    :param network: Links to peers.
    :param measures: Metrics of requests.
    :param caller_server: Server for the requests of callers.
    :param leaving: Set when a graceful shutdown is requested.
    """

    def __init__(self, settings: ForwardingSettings) -> None:
        incarnation = int(time.time() * MILLISECONDS)
        instance = Instance(settings.instance, tiers.now, incarnation)
        self.tier = tiers.SharedState(settings, instance)
        self.network = peers.Network(instance)
        self.network.seeds = settings.seeds
        instance.routes = Routes(
            version=lambda: tiers.table_version(self.tier),
            body=lambda: self.tier.table_body,
            offer=self._offer_table,
            revision=lambda: self.tier.progress.revision,
            hear_revision=lambda revision: note_peer_revision(
                self.tier, revision
            ),
            lacks=lambda: lacks_routes_or_targets(self.tier),
            wants_since=lambda revision: revision_to_request(
                self.tier, revision
            ),
            listed=lambda since: collect_update(self.tier, since),
            offer_listed=lambda update: apply_peer_update(self.tier, update),
        )
        self.measures = ForwardingMetrics()
        self.caller_server = HttpServer(
            make_answerer(self.tier, self.measures), refusal_reply
        )
        self.caller_server.limits.max_connections = (
            settings.max_connection_count
        )
        self.tier.on_adopted.append(self._apply_limits)
        self.leaving = asyncio.Event()
        self._auxiliary_servers = make_auxiliary_listeners(
            self.tier, self.measures
        )
        self._loops: list[asyncio.Task[None]] = []
        self._watch_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen on all ports, then become ready in the background.

        :raises CeleryturnError: ``invalid_settings`` with a fault for every
            port that cannot be listened on.
        """
        settings = self.tier.settings
        faults = [
            await _listen(self.caller_server, settings.instance.callers),
            *[
                await _listen(auxiliary.server, auxiliary.endpoint)
                for auxiliary in self._auxiliary_servers
            ],
            await self._listen_peers(),
        ]
        found_faults = tuple(fault for fault in faults if fault is not None)
        if found_faults:
            await self.stop()
            raise CeleryturnError(
                Kind.INVALID_SETTINGS,
                'cannot listen on all ports',
                found_faults,
            )
        log(STARTED, instance=settings.instance.instance)
        self._watch_task = self._start_loop(lambda: watch_store(self.tier))
        self._start_loop(lambda: run_housekeeping(self.tier))
        self._start_loop(lambda: peers.gossip(self.network))
        self._start_loop(self._become_ready)

    def apply_settings(self, settings: ForwardingSettings) -> None:
        """Apply changed settings, except for names and ports.

        :param settings: Changed settings.
        """
        self.network.seeds = settings.seeds
        self.tier.settings = settings._replace(
            instance=self.tier.settings.instance
        )

    def restart_watch(self) -> None:
        """Restart the watch of the store, at the address in the settings."""
        if self._watch_task is not None:
            self._watch_task.cancel()
        self._watch_task = self._start_loop(lambda: watch_store(self.tier))

    def drain(self) -> None:
        """Request a graceful shutdown, which :meth:`run` performs."""
        self.leaving.set()

    async def run(self) -> None:
        """Serve until a graceful shutdown is requested, then perform it."""
        await self.leaving.wait()
        await self.leave()
        await self.stop()

    async def leave(self) -> None:
        """Announce the departure, serve for a while, then end all requests.

        Peers are notified, so that callers are no longer advised of this
        instance.  After fractions of the grace period, new requests are
        refused, the port is closed, and the requests still in flight are
        ended with the replies received so far.
        """
        started_seconds = tiers.now()
        instance = self.tier.instance
        instance.is_leaving = True
        self.caller_server.is_closing = True
        log(LEAVING, instance=instance.settings.instance)
        own_member = membership.leave(instance.membership, instance.clock())
        peers.broadcast_members(self.network, [own_member])
        await peers.flush(self.network, FLUSH_TIMEOUT_SECONDS)
        grace_seconds = self.tier.settings.grace.shutdown_seconds
        await _sleep_until(started_seconds + REFUSE_SHARE * grace_seconds)
        self.tier.is_refusing = True
        await self._wait_until_idle(
            started_seconds + CLOSE_SHARE * grace_seconds
        )
        await self.caller_server.close_idle()
        await self._wait_until_idle(
            started_seconds + STOP_SHARE * grace_seconds
        )
        for runner in tuple(self.tier.in_flight):
            runner.stop()

    async def stop(self) -> None:
        """Stop the background tasks, close the peer links and all servers."""
        self.tier.instance.is_closing = True
        for task in self._loops:
            task.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)
        await peers.close_network(self.network)
        await self.caller_server.stop(FLUSH_TIMEOUT_SECONDS)
        for auxiliary in self._auxiliary_servers:
            await auxiliary.server.stop(0)
        log(STOPPED, instance=self.tier.settings.instance.instance)

    async def _wait_until_idle(self, until_seconds: float) -> None:
        while self.tier.in_flight and tiers.now() < until_seconds:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def _offer_table(self, body: bytes) -> None:
        tiers.adopt_table(self.tier, body, 'peer')

    def _apply_limits(self, table: RouteTable) -> None:
        limits = self.caller_server.limits
        limits.head_bytes = table.limits.head_bytes
        limits.body_bytes = table.limits.body_bytes
        limits.request_seconds = table.limits.head_seconds
        limits.idle_seconds = table.limits.idle_seconds

    def _start_loop(self, loop: Loop) -> asyncio.Task[None]:
        task = start_loop(loop)
        self._loops.append(task)
        return task

    async def _listen_peers(self) -> Fault | None:
        try:
            await peers.listen(self.network)
        except OSError as error:
            return Fault('peers', f'must be a free port: {error}')
        return None

    async def _become_ready(self) -> None:
        tier = self.tier
        started_seconds = tiers.now()
        while lacks_routes_or_targets(tier):
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        # A restart must not revert to an older configuration than the current
        # one, and the advice to callers names peers too: wait for contact
        # with a peer.
        while self._must_wait_for_peers(started_seconds):
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        tier.instance.is_ready = True
        log(
            READY,
            instance=tier.settings.instance.instance,
            version=tiers.table_version(tier),
        )

    def _must_wait_for_peers(self, started_seconds: float) -> bool:
        if self.network.first_contact.is_set():
            return False
        own_endpoint = self.tier.settings.instance.peers
        has_seeds = any(seed != own_endpoint for seed in self.network.seeds)
        waited_seconds = tiers.now() - started_seconds
        return has_seeds and waited_seconds < FIRST_PEER_WAIT_SECONDS


async def _listen(server: HttpServer, endpoint: Endpoint) -> Fault | None:
    try:
        await server.start(endpoint.address, endpoint.port)
    except OSError as error:
        return Fault(f'port {endpoint.port}', f'must be a free port: {error}')
    return None


async def _sleep_until(at_seconds: float) -> None:
    await asyncio.sleep(max(0.0, at_seconds - tiers.now()))
