"""Background loops of an instance that forwards requests."""

import asyncio
import functools
from typing import Final

from celeryturn.events import READY, log
from celeryturn.forwarding import shared_state
from celeryturn.forwarding.operations.housekeeping import run_housekeeping
from celeryturn.forwarding.peers.helping import follow_links
from celeryturn.forwarding.peers.lists import (
    lacks_routes_or_targets,
    may_lack_newer_routes,
)
from celeryturn.forwarding.peers.load_announcement import announce_busy
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.forwarding.targets.ends import examine_targets
from celeryturn.forwarding.targets.links import watch_target_links
from celeryturn.loops import Loop
from celeryturn.peers.dialling import gossip
from celeryturn.peers.network import Network

POLL_INTERVAL_SECONDS: Final = 0.02
# A store that was restored from a copy may hold outdated routes.
PEER_ROUTES_WAIT_SECONDS: Final = 0.3


def make_loops(shared: SharedState, network: Network) -> tuple[Loop, ...]:
    """Build the loops that run beside the one that follows the store.

    :param shared: Shared state of the instance.
    :param network: Links to peers.
    :returns: The loops, each to be started once.
    """
    return (
        lambda: run_housekeeping(shared),
        lambda: gossip(network),
        lambda: _become_ready(shared),
        lambda: announce_busy(shared, network),
        *_make_target_loops(shared, network),
    )


def _make_target_loops(
    shared: SharedState, network: Network
) -> tuple[Loop, ...]:
    return (
        lambda: examine_targets(shared),
        lambda: watch_target_links(
            shared, functools.partial(follow_links, shared, network)
        ),
    )


async def _become_ready(shared: SharedState) -> None:
    while lacks_routes_or_targets(shared):
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    until_seconds = shared_state.now() + PEER_ROUTES_WAIT_SECONDS
    while may_lack_newer_routes(shared) and shared_state.now() < until_seconds:
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    shared.instance.is_ready = True
    log(
        READY,
        instance=shared.settings.instance.instance,
        version=shared_state.table_version(shared),
    )
