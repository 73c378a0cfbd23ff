"""The application object, which starts and stops its parts in order."""

import asyncio
import contextlib
import time
from typing import Final

from celeryturn import watcher
from celeryturn.decisions.configuration.document import PublishedDocument
from celeryturn.decisions.fleet import membership
from celeryturn.entry.routes import HandlerContext, answer_request, refuse
from celeryturn.errors import CeleryturnError, Fault, Kind
from celeryturn.events import (
    LEAVING,
    READY,
    STARTED,
    STOPPED,
    log,
)
from celeryturn.http.server import LINGER_SECONDS, HttpServer
from celeryturn.instance import Instance, current_versions
from celeryturn.loops import start_loop
from celeryturn.peers import dialling, network
from celeryturn.settings import Settings
from celeryturn.targets.health_checks import poll_leaving_targets
from celeryturn.targets.links import Links, close_links, prune_links

MILLISECONDS: Final = 1000
READY_CHECK_SECONDS: Final = 0.02
FLUSH_SECONDS: Final = 0.5


class Application:
    """One daemon.

    :param instance: State of the instance.
    :param links: Links to targets.
    :param network: Links to peers.
    :param server: HTTP server for callers.
    :param drain_requested: Set to begin a graceful shutdown.
    """

    def __init__(self, settings: Settings) -> None:
        loop = asyncio.get_running_loop()
        incarnation = int(time.time() * MILLISECONDS)
        self.instance = Instance(settings, loop.time, incarnation)
        self.links = Links(
            loop.time,
            settings.timing.connect_timeout_seconds,
            settings.callers.address,
        )
        self.instance.on_adopted.append(self._prune_links)
        self.network = network.Network(self.instance)
        entry = HandlerContext(self.instance, self.links, self.drain)
        self.server = HttpServer(
            lambda request: answer_request(entry, request),
            lambda error: refuse(self.instance, error),
        )
        self.drain_requested = asyncio.Event()
        self._loops: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start to listen, then become ready in the background.

        :raises CeleryturnError: ``invalid_settings`` with every port that
            cannot be opened; everything that was started is stopped again.
        """
        faults = [
            fault
            for fault in (await self._listen(), await self._listen_peers())
            if fault is not None
        ]
        if faults:
            await self.stop()
            raise CeleryturnError(
                Kind.INVALID_SETTINGS, 'cannot listen', tuple(faults)
            )
        settings = self.instance.settings
        log(STARTED, instance=settings.instance, port=settings.callers.port)
        loops = (
            lambda: watcher.watch_instance_list(self.instance),
            lambda: watcher.watch_configuration(self.instance),
            lambda: dialling.gossip(self.network),
            lambda: poll_leaving_targets(self.instance),
            self._become_ready,
        )
        self._loops.extend(map(start_loop, loops))

    def drain(self) -> None:
        """Begin a graceful shutdown, which :meth:`run` carries out."""
        self.drain_requested.set()

    async def run(self) -> None:
        """Serve until a graceful shutdown is requested, then carry it out."""
        await self.drain_requested.wait()
        await self.leave()
        await self.stop()

    async def leave(self) -> None:
        """Announce the shutdown, let kept advice expire and finish requests.

        Requests that are still in flight at the end of the grace period are
        ended with what they have, so that each is answered.
        """
        instance = self.instance
        timing = instance.settings.timing
        instance.is_leaving = True
        self.server.is_closing = True
        log(LEAVING, instance=instance.settings.instance)
        own = membership.leave(instance.membership, instance.clock())
        network.broadcast_members(self.network, [own])
        await network.flush(self.network, FLUSH_SECONDS)
        await asyncio.sleep(timing.advice_keep_seconds)
        await self.server.close_idle()
        instance.running.is_refusing = True
        await self._wait_until_idle(
            timing.shutdown_grace_seconds - LINGER_SECONDS - FLUSH_SECONDS
        )
        for stop_request in tuple(instance.running.stops):
            stop_request()
        await self.server.stop(FLUSH_SECONDS)

    async def stop(self) -> None:
        """Close everything, in the reverse order of starting."""
        self.instance.is_closing = True
        for task in self._loops:
            task.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)
        await dialling.close_network(self.network)
        await self.server.stop(0)
        await close_links(self.links)
        log(STOPPED, instance=self.instance.settings.instance)

    async def _wait_until_idle(self, timeout_seconds: float) -> None:
        until_seconds = self.instance.clock() + timeout_seconds
        running = {
            *self.server.running_tasks(),
            *self.instance.running.background_tasks,
        }
        if running and timeout_seconds > 0:
            await asyncio.wait(running, timeout=timeout_seconds)
        # The process ends with what callers have not read yet.
        while (
            self.server.has_unread_answers()
            and self.instance.clock() < until_seconds
        ):
            await asyncio.sleep(READY_CHECK_SECONDS)

    def _prune_links(self, adopted: PublishedDocument) -> None:
        document = adopted.document
        prune_links(self.links, document.service, document.targets)

    async def _listen(self) -> Fault | None:
        endpoint = self.instance.settings.callers
        try:
            await self.server.start(endpoint.address, endpoint.port)
        except OSError as error:
            return Fault('callers.port', f'must be a free port: {error}')
        return None

    async def _listen_peers(self) -> Fault | None:
        try:
            await dialling.listen(self.network)
        except OSError as error:
            return Fault('peers.port', f'must be a free port: {error}')
        return None

    async def _become_ready(self) -> None:
        # Wait for the versions of a peer first: the service may be stale, and
        # a restart must not revert to an older configuration.
        instance = self.instance
        wait_seconds = instance.settings.timing.first_peer_wait_seconds
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_seconds):
                await self.network.first_contact.wait()
        while not instance.services or dialling.outdated_services(self.network):
            await asyncio.sleep(READY_CHECK_SECONDS)
        instance.is_ready = True
        log(
            READY,
            instance=instance.settings.instance,
            versions=current_versions(instance),
        )
