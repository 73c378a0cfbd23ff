"""Tell peers when this instance becomes busy, and when it no longer is."""

import asyncio
from typing import Final

from celeryturn.decisions.fleet import membership
from celeryturn.decisions.load.busyness import is_busy
from celeryturn.forwarding import shared_state
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.peers.network import Network, broadcast_members

CHECK_INTERVAL_SECONDS: Final = 0.5


async def announce_busy(shared: SharedState, network: Network) -> None:
    """Announce changes until cancelled.

    :param shared: Shared state of the instance.
    :param network: Links to peers.
    """
    known = shared.instance.membership
    capacity_per_second = known.own.capacity_per_second
    while True:
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        now_seconds = shared_state.now()
        is_now_busy = is_busy(
            shared.fleet_share.busyness, capacity_per_second, now_seconds
        )
        if is_now_busy != known.own.is_busy:
            entry = membership.announce_busy(
                known, now_seconds, is_busy=is_now_busy
            )
            broadcast_members(network, [entry])
