"""Application of an instance that serves published routes."""

import asyncio
import time
from typing import Final

from celeryturn.decisions.fleet import membership
from celeryturn.decisions.request.route_table import RouteTable
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.events import (
    LEAVING,
    STARTED,
    STOPPED,
    log,
)
from celeryturn.forwarding import shared_state
from celeryturn.forwarding.background import make_loops
from celeryturn.forwarding.operations.auxiliary_listeners import (
    make_auxiliary_listeners,
)
from celeryturn.forwarding.operations.listening import (
    try_listen,
    try_listen_peers,
)
from celeryturn.forwarding.operations.metrics import ForwardingMetrics
from celeryturn.forwarding.peers.access import connect_peers
from celeryturn.forwarding.request.answering import (
    make_caller_server,
    make_relayed_answerer,
)
from celeryturn.forwarding.settings import ForwardingSettings
from celeryturn.forwarding.store.watch import watch_store
from celeryturn.instance import Instance
from celeryturn.loops import Loop, start_loop
from celeryturn.peers import dialling, network

MILLISECONDS_PER_SECOND: Final = 1000
POLL_INTERVAL_SECONDS: Final = 0.02
FLUSH_TIMEOUT_SECONDS: Final = 0.2
# Fractions of the grace period of a shutdown at which new requests are refused,
# the port is closed at the latest, and the requests still in flight are ended.
REFUSE_SHARE: Final = 0.48
CLOSE_SHARE: Final = 0.82
STOP_SHARE: Final = 0.9


class ForwardingApplication:
    """Application of one instance that serves published routes.

    :param shared: Shared state of the instance.
    :param network: Links to peers.
    :param collectors: Metric collectors of the instance.
    :param caller_server: Server for the requests of callers.
    :param drain_requested: Set when a graceful shutdown is requested.
    """

    def __init__(self, settings: ForwardingSettings) -> None:
        incarnation = int(time.time() * MILLISECONDS_PER_SECOND)
        instance = Instance(settings.instance, shared_state.now, incarnation)
        self.shared = shared_state.SharedState(settings, instance)
        self.network = network.Network(instance)
        connect_peers(self.shared, self.network)
        self.network.seeds = settings.seeds
        self.collectors = ForwardingMetrics()
        self.caller_server = make_caller_server(self.shared, self.collectors)
        self.network.handovers.serve_relayed = make_relayed_answerer(
            self.shared, self.collectors
        )
        self.shared.callbacks.adopted.append(self._apply_limits)
        self.drain_requested = asyncio.Event()
        self._auxiliary_servers = make_auxiliary_listeners(
            self.shared, self.collectors
        )
        self._loops: list[asyncio.Task[None]] = []
        self._watch_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen on all ports, then become ready in the background.

        :raises CeleryturnError: ``invalid_settings`` with a fault for every
            port that cannot be listened on.
        """
        settings = self.shared.settings
        faults = [
            await try_listen(self.caller_server, settings.instance.callers),
            *[
                await try_listen(auxiliary.server, auxiliary.endpoint)
                for auxiliary in self._auxiliary_servers
            ],
            await try_listen_peers(self.network),
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
        self._watch_task = self._start_loop(lambda: watch_store(self.shared))
        for loop in make_loops(self.shared, self.network):
            self._start_loop(loop)

    def apply_settings(self, settings: ForwardingSettings) -> None:
        """Apply changed settings, except for names and ports.

        If the address of the store has changed, the watch is restarted there.

        :param settings: Changed settings.
        """
        self.network.seeds = settings.seeds
        known = self.shared.settings.instance
        store = settings.instance.configuration
        self.shared.settings = settings._replace(
            instance=known._replace(configuration=store, instances=store)
        )
        if store != known.configuration:
            self.restart_watch()

    def restart_watch(self) -> None:
        """Restart the watch of the store, at the address in the settings."""
        if self._watch_task is not None:
            self._watch_task.cancel()
        self._watch_task = self._start_loop(lambda: watch_store(self.shared))

    def drain(self) -> None:
        """Request a graceful shutdown, which :meth:`run` performs."""
        self.drain_requested.set()

    async def run(self) -> None:
        """Serve until a graceful shutdown is requested, then perform it."""
        await self.drain_requested.wait()
        await self.leave()
        await self.stop()

    async def leave(self) -> None:
        """Announce the departure, serve for a while, then end all requests.

        Peers are notified, so that callers are no longer advised of this
        instance.  After fractions of the grace period, new requests are
        refused, the port is closed, and the requests still in flight are
        ended with the replies received so far.
        """
        started_seconds = shared_state.now()
        instance = self.shared.instance
        instance.is_leaving = True
        self.caller_server.is_closing = True
        log(LEAVING, instance=instance.settings.instance)
        own_member = membership.leave(instance.membership, instance.clock())
        network.broadcast_members(self.network, [own_member])
        await network.flush(self.network, FLUSH_TIMEOUT_SECONDS)
        grace_seconds = self.shared.settings.grace.shutdown_seconds
        await _sleep_until(started_seconds + REFUSE_SHARE * grace_seconds)
        self.shared.is_refusing = True
        await self._wait_until_idle(
            started_seconds + CLOSE_SHARE * grace_seconds
        )
        await self.caller_server.close_idle()
        await self._wait_until_idle(
            started_seconds + STOP_SHARE * grace_seconds
        )
        for runner in tuple(self.shared.in_flight):
            runner.stop()

    async def stop(self) -> None:
        """Stop the background tasks, close the peer links and all servers."""
        self.shared.instance.is_closing = True
        for task in self._loops:
            task.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)
        await dialling.close_network(self.network)
        await self.caller_server.stop(FLUSH_TIMEOUT_SECONDS)
        for auxiliary in self._auxiliary_servers:
            await auxiliary.server.stop(0)
        log(STOPPED, instance=self.shared.settings.instance.instance)

    async def _wait_until_idle(self, until_seconds: float) -> None:
        while self._is_busy() and shared_state.now() < until_seconds:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def _is_busy(self) -> bool:
        # The process ends with what callers have not read yet.
        has_unread = self.caller_server.has_unread_answers()
        return bool(self.shared.in_flight) or has_unread

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


async def _sleep_until(at_seconds: float) -> None:
    await asyncio.sleep(max(0.0, at_seconds - shared_state.now()))
