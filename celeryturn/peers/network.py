"""Links to other instances: dialling, accepting and gossip."""

import asyncio
from collections.abc import Iterable
from typing import Final

from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, serve
from websockets.exceptions import WebSocketException

from celeryturn.decisions.configuration.document import PublishedDocument
from celeryturn.decisions.fleet import membership
from celeryturn.errors import CeleryturnError
from celeryturn.events import PEER_REFUSED, log
from celeryturn.instance import (
    MAX_SERVICE_COUNT,
    Instance,
    current_versions,
    log_member_changes,
)
from celeryturn.peers import dial_timeouts, messages
from celeryturn.peers.handlers import handle_message, request_target_list
from celeryturn.peers.links import PeerLink, enqueue, send_queued
from celeryturn.peers.seeds import unknown_seed_urls
from celeryturn.settings import Endpoint
from celeryturn.watcher import update_connection_shares

FAST_RETRY_SECONDS: Final = 0.1


class Network:
    """All links of an instance.

    :param instance: The instance.
    :param links: Open links, dialled and accepted.
    :param dialling: Tasks of dialled links by peer name; a seed whose name
        is not known yet is listed by its address.
    :param watched: Neighbours that become suspect if they do not respond.
    :param first_contact: Set once a peer has reported its versions.
    :param peer_versions: Newest version of each service that any peer has
        reported.
    :param server: Server that accepts links; ``None`` until started.
    :param seeds: Endpoints of peers whose names are not known in advance.
    :param dial_timeouts: Attempts to dial a peer that timed out before the
        first contact, by the name used in ``dialling``.
    """

    __slots__ = (
        'dial_timeouts',
        'dialling',
        'first_contact',
        'instance',
        'links',
        'peer_versions',
        'seeds',
        'server',
        'watched',
    )

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.links: set[PeerLink] = set()
        self.dialling: dict[str, asyncio.Task[None]] = {}
        self.watched: set[str] = set()
        self.first_contact = asyncio.Event()
        self.peer_versions: dict[str, int] = {}
        self.server: Server | None = None
        self.seeds: tuple[Endpoint, ...] = ()
        self.dial_timeouts = dial_timeouts.DialTimeouts()
        instance.on_adopted.append(
            lambda adopted: _broadcast_adopted(self, adopted)
        )


async def listen(network: Network) -> None:
    """Start to accept links.

    :param network: The network.
    :raises OSError: If the port is in use.
    """
    endpoint = network.instance.settings.peers
    network.server = await serve(
        lambda socket: _run_link(network, PeerLink(socket)),
        endpoint.address,
        endpoint.port,
        max_size=messages.MAX_MESSAGE_BYTES,
        compression=None,
        ping_interval=None,
    )


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
    instance = network.instance
    count = instance.settings.neighbour_count
    neighbours = membership.neighbours_of(instance.membership, count)
    retried = membership.choose_gone_instance(
        instance.membership, instance.random()
    )
    _watch_neighbours(network, set(neighbours))
    members = instance.membership.members
    urls = {name: _url(members[name]) for name in (*neighbours, *retried)}
    urls.update(unknown_seed_urls(network.seeds, members.values()))
    _update_dialled_links(network, urls)


def broadcast(
    network: Network,
    message: messages.Message,
    excluded_link: PeerLink | None = None,
) -> None:
    """Queue a message on every link.

    :param network: The network.
    :param message: The message.
    :param excluded_link: A link on which the message is not sent, if any.
    """
    for link in network.links:
        if link is not excluded_link:
            enqueue(link, message)


def broadcast_members(
    network: Network,
    changed: list[membership.Member],
    source_link: PeerLink | None = None,
) -> None:
    """Send changed membership entries to the peers.

    Also logs the changes and recalculates the connections that this instance
    may use, because these depend on the number of instances.

    :param network: The network.
    :param changed: Entries that changed; if empty, nothing is done.
    :param source_link: The link the entries were received on, if any; they
        are not sent back on it.
    """
    if changed:
        log_member_changes(changed)
        update_connection_shares(network.instance)
        broadcast(network, messages.Members(tuple(changed)), source_link)


async def close_network(network: Network) -> None:
    """Close dialled links and the server with its accepted links.

    :param network: The network.
    """
    for task in tuple(network.dialling.values()):
        task.cancel()
    await asyncio.gather(*network.dialling.values(), return_exceptions=True)
    if network.server is not None:
        network.server.close()
        await network.server.wait_closed()


async def flush(network: Network, timeout_seconds: float) -> None:
    """Wait until all queued messages have been sent.

    :param network: The network.
    :param timeout_seconds: Maximum wait; messages that are still queued
        after it stay queued.
    """
    joins = [
        asyncio.get_running_loop().create_task(link.queue.join())
        for link in network.links
    ]
    if joins:
        _, pending = await asyncio.wait(joins, timeout=timeout_seconds)
        for join in pending:
            join.cancel()


def _watch_neighbours(network: Network, neighbours: set[str]) -> None:
    # The response timeout of a new neighbour starts now, not at its last
    # contact.
    instance = network.instance
    for name in neighbours - network.watched:
        membership.record_contact(instance.membership, name, instance.clock())
    network.watched = neighbours


def _ping_neighbours(network: Network) -> None:
    # Only the dialling side sends pings; for the other side, receiving them
    # counts as contact.
    instance = network.instance
    routes = instance.routes
    ping = messages.Ping(instance.clock(), routes.version(), routes.revision())
    for link in network.links:
        if link.is_dialled:
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
    for request in request_target_list(instance, 0):
        enqueue(link, request)


def _update_dialled_links(network: Network, urls: dict[str, str]) -> None:
    for name, url in urls.items():
        if name not in network.dialling:
            dial = _dial(network, name, url)
            task = asyncio.get_running_loop().create_task(dial)
            network.dialling[name] = task
    for obsolete in network.dialling.keys() - urls.keys():
        network.dialling[obsolete].cancel()


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


def _open_timeout_seconds(network: Network, name: str) -> float:
    if network.first_contact.is_set():
        return dial_timeouts.MAX_TIMEOUT_SECONDS
    return dial_timeouts.timeout_seconds(network.dial_timeouts, name)


async def _dial_once(network: Network, name: str, url: str) -> None:
    async with connect(
        url,
        max_size=messages.MAX_MESSAGE_BYTES,
        compression=None,
        ping_interval=None,
        open_timeout=_open_timeout_seconds(network, name),
        close_timeout=1,
        proxy=None,
    ) as socket:
        await _run_link(network, PeerLink(socket, name))


def _url(member: membership.Member) -> str:
    host = member.address
    if ':' in host:
        host = f'[{host}]'
    return f'ws://{host}:{member.peers_port}/'


async def _run_link(network: Network, link: PeerLink) -> None:
    instance = network.instance
    network.links.add(link)
    writer = asyncio.get_running_loop().create_task(send_queued(link))
    enqueue(link, messages.Hello(instance.settings.instance))
    known = tuple(instance.membership.members.values())
    enqueue(link, messages.Members(known))
    enqueue(link, messages.Versions(current_versions(instance)))
    leaving = instance.routes.leaving_targets()
    if leaving:
        enqueue(link, messages.LeavingTargets(leaving))
    try:
        await _read(network, link)
    except CeleryturnError as error:
        log(PEER_REFUSED, peer=link.instance, detail=str(error))
    except (OSError, WebSocketException):
        return
    finally:
        writer.cancel()
        network.links.discard(link)


async def _read(network: Network, link: PeerLink) -> None:
    idle_seconds = network.instance.settings.timing.peer_idle_seconds
    while True:
        async with asyncio.timeout(idle_seconds):
            encoded = await link.socket.recv(decode=False)
        _handle_message(network, link, messages.unpack(bytes(encoded)))


def _handle_message(
    network: Network, link: PeerLink, message: messages.Message
) -> None:
    instance = network.instance
    if isinstance(message, messages.Hello):
        link.instance = message.instance
    if isinstance(message, messages.Versions):
        _record_versions(network, message)
    if link.instance:
        membership.record_contact(
            instance.membership, link.instance, instance.clock()
        )
    if isinstance(message, messages.Members):
        _merge_members(network, link, message.members)
        return
    if isinstance(message, messages.LeavingTargets):
        _merge_leaving_targets(network, link, message)
        return
    for reply in handle_message(instance, message):
        enqueue(link, reply)


def _record_versions(network: Network, message: messages.Versions) -> None:
    network.first_contact.set()
    peer_versions = network.peer_versions
    for name, version in message.versions.items():
        if name in peer_versions or len(peer_versions) < MAX_SERVICE_COUNT:
            peer_versions[name] = max(version, peer_versions.get(name, 0))


def _merge_members(
    network: Network, link: PeerLink, offered: Iterable[membership.Member]
) -> None:
    instance = network.instance
    changed = membership.merge_entries(
        instance.membership, offered, instance.clock()
    )
    broadcast_members(network, changed, link)


def _merge_leaving_targets(
    network: Network, link: PeerLink, message: messages.LeavingTargets
) -> None:
    marked = network.instance.routes.mark_leaving(message.targets)
    if marked:
        broadcast(network, messages.LeavingTargets(tuple(marked)), link)


def _broadcast_adopted(network: Network, published: PublishedDocument) -> None:
    document = published.document
    broadcast(network, messages.Versions({document.service: document.version}))
