"""Dialling and accepting links, and the periodic messages on them."""

import asyncio
from typing import Final

from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import WebSocketException

from celeryturn.clients.buffers import limit_buffers
from celeryturn.decisions.fleet import membership, neighbours
from celeryturn.decisions.fleet.delegates import linked_delegates, settle
from celeryturn.decisions.store_position import NO_POSITION
from celeryturn.instance import current_versions
from celeryturn.peers import dial_timeouts, encoding, messages
from celeryturn.peers.handlers import build_progress, request_target_list
from celeryturn.peers.handovers import is_in_use
from celeryturn.peers.links import LinkPurpose, PeerLink, Socket, enqueue
from celeryturn.peers.network import Network, broadcast, broadcast_members
from celeryturn.peers.seeds import unknown_seed_urls
from celeryturn.peers.sessions import run_link
from celeryturn.peers.sockets import AcceptedSocket, DialledSocket

FAST_RETRY_SECONDS: Final = 0.1


async def listen(network: Network) -> None:
    """Start to accept links.

    :param network: The network.
    :raises OSError: If the port is in use.
    """
    endpoint = network.instance.settings.peers
    network.server = await serve(
        lambda socket: run_link(network, PeerLink(socket)),
        endpoint.address,
        endpoint.port,
        max_size=encoding.MAX_MESSAGE_BYTES,
        compression=None,
        ping_interval=None,
        create_connection=AcceptedSocket,
    )
    limit_buffers(network.server.sockets)


async def gossip(network: Network) -> None:
    """Dial and ping neighbours and detect those that do not respond.

    Runs until the instance is closing or the task is cancelled.  Each round
    also requests documents that are outdated on this instance, and routes and
    targets that are missing.

    :param network: The network.
    """
    instance = network.instance
    every_seconds = instance.settings.timing.gossip_every_seconds
    while not instance.is_closing:
        dial_neighbours(network)
        _ping_neighbours(network)
        for name in outdated_services(network):
            broadcast(network, messages.DocumentRequest(name))
        is_missing_routes = instance.routes.lacks_routes_or_targets()
        if is_missing_routes:
            _request_routes_and_targets(network)
        changed = membership.tick(
            instance.membership, network.watched, instance.clock()
        )
        broadcast_members(network, changed)
        # Seeds may start slightly later than this instance, so retry sooner
        # until a peer has reported its versions.
        is_without_peers = network.seeds and not network.first_contact.is_set()
        needs_fast_retry = is_without_peers or is_missing_routes
        await asyncio.sleep(
            FAST_RETRY_SECONDS if needs_fast_retry else every_seconds
        )


def outdated_services(network: Network) -> list[str]:
    """List the services for which a peer has reported a newer version.

    :param network: The network.
    :returns: Service names; empty if this instance is up to date.
    """
    own_versions = current_versions(network.instance)
    return [
        name
        for name, version in network.peer_versions.items()
        if own_versions.get(name, 0) < version
    ]


def dial_neighbours(network: Network) -> None:
    """Keep a link to each neighbour and try to reach one gone instance.

    :param network: The network.
    """
    purposes = _link_purposes(network)
    _watch(network, set(purposes))
    members = network.instance.membership.members
    urls = {name: _url(members[name]) for name in purposes}
    seed_urls = unknown_seed_urls(network.seeds, members.values())
    urls.update(seed_urls)
    purposes.update(dict.fromkeys(seed_urls, LinkPurpose.JOIN))
    _update_dialled_links(network, urls, purposes)


async def close_network(network: Network) -> None:
    """Close dialled links and the server with its accepted links.

    :param network: The network.
    """
    network.announcement_timer.disarm()
    for task in tuple(network.dialling.values()):
        task.cancel()
    await asyncio.gather(*network.dialling.values(), return_exceptions=True)
    if network.server is not None:
        network.server.close()
        await network.server.wait_closed()


def _link_purposes(network: Network) -> dict[str, LinkPurpose]:
    instance = network.instance
    known = instance.membership
    now_seconds = instance.clock()
    count = neighbours.neighbour_count(
        instance.settings.neighbour_count, now_seconds - network.joined_seconds
    )
    chosen = {
        *neighbours.neighbours_of(known, count),
        *settle(network.delegates, linked_delegates(known), now_seconds),
        *neighbours.choose_gone_instance(known, instance.random()),
    }
    helpers = [
        name for name in network.handovers.helpers if name in known.members
    ]
    watched = neighbours.next_by_name(known)
    # The later purpose of a peer replaces the earlier one.
    return {
        **dict.fromkeys(helpers, LinkPurpose.HELPER),
        **dict.fromkeys(watched, LinkPurpose.WATCH),
        **dict.fromkeys(chosen, LinkPurpose.NEIGHBOUR),
    }


def _watch(network: Network, names: set[str]) -> None:
    # The response timeout of another instance starts now, not at its last
    # contact.
    instance = network.instance
    for name in names - network.watched:
        membership.record_contact(instance.membership, name, instance.clock())
    network.watched = names


def _ping_neighbours(network: Network) -> None:
    # Only the dialling side sends pings; for the other side, receiving them
    # counts as contact.
    instance = network.instance
    ping = messages.Ping(instance.clock(), build_progress(instance))
    for link in network.links:
        if link.purpose is not LinkPurpose.ACCEPTED:
            enqueue(link, ping)


def _request_routes_and_targets(network: Network) -> None:
    # Send the requests to one random peer only, because the replies are
    # large.
    instance = network.instance
    links = tuple(network.links)
    if not links:
        return
    link = links[int(instance.random() * len(links))]
    if not instance.routes.version():
        enqueue(link, messages.TableRequest(0))
    for request in request_target_list(instance, NO_POSITION):
        enqueue(link, request)


def _update_dialled_links(
    network: Network,
    urls: dict[str, str],
    purposes: dict[str, LinkPurpose],
) -> None:
    for name, url in urls.items():
        if name not in network.dialling:
            network.purposes[name] = purposes[name]
            dial = _dial(network, name, url)
            task = asyncio.get_running_loop().create_task(dial)
            network.dialling[name] = task
    for dialled, open_task in network.dialling.items():
        # A link whose purpose has changed is opened anew in the next round.
        is_changed = purposes.get(dialled) is not network.purposes[dialled]
        if is_changed and not is_in_use(network.handovers, dialled):
            open_task.cancel()


async def _dial(network: Network, name: str, url: str) -> None:
    try:
        await _dial_once(network, name, url)
    except (OSError, WebSocketException) as error:
        if network.first_contact.is_set():
            max_delay_seconds = 1.0
        else:
            max_delay_seconds = FAST_RETRY_SECONDS
            dial_timeouts.record_failure(network.dial_timeouts, name, error)
        await asyncio.sleep(max_delay_seconds * network.instance.random())
    finally:
        network.dialling.pop(name, None)
        network.purposes.pop(name, None)


def _open_timeout_seconds(network: Network, name: str) -> float:
    if network.first_contact.is_set():
        return dial_timeouts.MAX_TIMEOUT_SECONDS
    return dial_timeouts.timeout_seconds(network.dial_timeouts, name)


async def _dial_once(network: Network, name: str, url: str) -> None:
    async with connect(
        url,
        max_size=encoding.MAX_MESSAGE_BYTES,
        compression=None,
        ping_interval=None,
        open_timeout=_open_timeout_seconds(network, name),
        close_timeout=1,
        proxy=None,
        create_connection=DialledSocket,
    ) as socket:
        await run_dialled(network, name, socket)


async def run_dialled(network: Network, name: str, socket: Socket) -> None:
    """Exchange messages on a link that this instance dialled until it ends.

    :param network: The network.
    :param name: Name of the peer, or temporary name of a seed.
    :param socket: The websocket.
    """
    await run_link(network, PeerLink(socket, name, network.purposes[name]))


def _url(member: membership.Member) -> str:
    host = member.address
    if ':' in host:
        host = f'[{host}]'
    return f'ws://{host}:{member.peers_port}/'
