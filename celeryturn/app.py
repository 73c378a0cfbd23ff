"""The application object: owns the parts, starts and ends them in order."""

import asyncio
import contextlib
import time
from typing import Final

from celeryturn import watcher
from celeryturn.decisions import membership
from celeryturn.decisions.document import PublishedDocument
from celeryturn.entry.routes import Entry, answer_request, refuse
from celeryturn.errors import CeleryturnError, Fault, Kind
from celeryturn.events import (
    LEAVING,
    READY,
    STARTED,
    STOPPED,
    log,
)
from celeryturn.http.server import HttpServer
from celeryturn.instance import Instance, versions_of
from celeryturn.loops import begin
from celeryturn.peers import network as peers
from celeryturn.settings import Settings
from celeryturn.targets.links import Links, close_links, prune_links
from celeryturn.targets.health_checks import poll_leaving_targets

MILLISECONDS: Final = 1000
READY_CHECK_SECONDS: Final = 0.02
FLUSH_SECONDS: Final = 0.5


class Application:
    """One daemon.

    :param instance: Its state.
    :param links: Links to targets.
    :param network: Links to peers.
    :param server: What callers speak to.
    :param leaving: Set when a graceful shutdown is to begin.
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
        self.network = peers.Network(self.instance)
        entry = Entry(self.instance, self.links, self.drain)
        self.server = HttpServer(
            lambda request: answer_request(entry, request),
            lambda error: refuse(self.instance, error),
        )
        self.leaving = asyncio.Event()
        self._loops: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen, then become ready in the background.

        :raises CeleryturnError: ``invalid_settings`` naming every port that
            cannot be listened on; nothing is left half started.
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
            lambda: watcher.watch_list(self.instance),
            lambda: watcher.watch_configuration(self.instance),
            lambda: peers.gossip(self.network),
            lambda: poll_leaving_targets(self.instance),
            self._become_ready,
        )
        self._loops.extend(map(begin, loops))

    def drain(self) -> None:
        """Begin a graceful shutdown; :meth:`run` carries it out."""
        self.leaving.set()

    async def run(self) -> None:
        """Serve until a graceful shutdown has begun, then carry it out."""
        await self.leaving.wait()
        await self.leave()
        await self.stop()

    async def leave(self) -> None:
        """Be advised no more, serve kept advice out, finish what runs."""
        instance = self.instance
        timing = instance.settings.timing
        instance.is_leaving = True
        self.server.is_closing = True
        log(LEAVING, instance=instance.settings.instance)
        own = membership.leave(instance.membership, instance.clock())
        peers.broadcast_members(self.network, [own])
        await peers.flush(self.network, FLUSH_SECONDS)
        await asyncio.sleep(timing.advice_keep_seconds)
        await self.server.stop(timing.shutdown_grace_seconds)
        if instance.background:
            await asyncio.wait(
                instance.background, timeout=timing.shutdown_grace_seconds
            )

    async def stop(self) -> None:
        """Close everything, in the reverse order of starting."""
        self.instance.is_closing = True
        for task in self._loops:
            task.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)
        await peers.close_network(self.network)
        await self.server.stop(0)
        await close_links(self.links)
        log(STOPPED, instance=self.instance.settings.instance)

    def _prune_links(self, adopted: PublishedDocument) -> None:
        document = adopted.document
        prune_links(self.links, document.service, document.targets)

    async def _listen(self) -> Fault | None:
        endpoint = self.instance.settings.callers
        try:
            await self.server.start(endpoint.address, endpoint.port)
        except OSError as error:
            return Fault('callers.port', f'a free port: {error}')
        return None

    async def _listen_peers(self) -> Fault | None:
        try:
            await peers.listen(self.network)
        except OSError as error:
            return Fault('peers.port', f'a free port: {error}')
        return None

    async def _become_ready(self) -> None:
        # A peer's versions come first: the service may be stale, and what
        # was in force before a restart must not revert.
        instance = self.instance
        wait_seconds = instance.settings.timing.first_peer_wait_seconds
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_seconds):
                await self.network.first_contact.wait()
        while not instance.services or peers.outdated_services(self.network):
            await asyncio.sleep(READY_CHECK_SECONDS)
        instance.is_ready = True
        log(
            READY,
            instance=instance.settings.instance,
            versions=versions_of(instance),
        )
