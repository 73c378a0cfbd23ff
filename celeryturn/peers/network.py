"""Links to other instances: dial neighbours, accept others, spread news."""

import asyncio
from collections.abc import Iterable
from typing import Final

from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, serve
from websockets.exceptions import WebSocketException

from celeryturn.decisions import membership
from celeryturn.decisions.document import PublishedDocument
from celeryturn.errors import CeleryturnError
from celeryturn.events import PEER_REFUSED, log
from celeryturn.instance import (
    MAX_SERVICE_COUNT,
    Instance,
    current_versions,
    log_member_changes,
)
from celeryturn.peers import messages
from celeryturn.peers.dialogue import reply_to, want_listed
from celeryturn.peers.links import PeerLink, put, write_queue
from celeryturn.settings import Endpoint
from celeryturn.watcher import update_connection_shares

DIAL_SECONDS: Final = 2.0
SEED_NAME: Final = 'seed'
ALONE_SECONDS: Final = 0.1


class Network:
    """All links of an instance.

    :param instance: The instance.
    :param links: Open links, dialled and accepted.
    :param dialling: Tasks of dialled links, by name of the peer.
    :param watched: Neighbours whose silence counts.
    :param first_heard: Set when a peer has told its versions.
    :param heard_versions: Newest version of each service a peer has told.
    :param server: Accepts links, once started.
    :param seeds: Where peers may be found whose names are not known.
    """

    __slots__ = (
        'dialling',
        'first_heard',
        'heard_versions',
        'instance',
        'links',
        'seeds',
        'server',
        'watched',
    )

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.links: set[PeerLink] = set()
        self.dialling: dict[str, asyncio.Task[None]] = {}
        self.watched: set[str] = set()
        self.first_heard = asyncio.Event()
        self.heard_versions: dict[str, int] = {}
        self.server: Server | None = None
        self.seeds: tuple[Endpoint, ...] = ()
        instance.on_adopted.append(lambda adopted: _on_adopted(self, adopted))


async def listen(network: Network) -> None:
    """Accept links.

    :param network: The network.
    :raises OSError: When the port is in use.
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
    """Dial neighbours, ask all peers, note who is silent; until cancelled.

    :param network: The network.
    """
    instance = network.instance
    every_seconds = instance.settings.timing.gossip_every_seconds
    while not instance.is_closing:
        dial_neighbours(network)
        _ask_neighbours(network)
        for name in behind(network):
            broadcast(network, messages.Want(name))
        is_lacking = instance.routes.lacks()
        if is_lacking:
            _ask_for_all(network)
        changed = membership.tick(
            instance.membership, network.watched, instance.clock()
        )
        spread(network, changed)
        # Seeds may start a little later than this instance.
        is_alone = network.seeds and not network.first_heard.is_set()
        is_hurried = is_alone or is_lacking
        await asyncio.sleep(ALONE_SECONDS if is_hurried else every_seconds)


def behind(network: Network) -> list[str]:
    """Name the services of which a peer has told a newer version.

    :param network: The network.
    :returns: Names; empty when this instance has caught up.
    """
    held = current_versions(network.instance)
    return [
        name
        for name, version in network.heard_versions.items()
        if held.get(name, 0) < version
    ]


def dial_neighbours(network: Network) -> None:
    """Keep a link to each neighbour, and try one that is thought gone.

    :param network: The network.
    """
    instance = network.instance
    count = instance.settings.neighbour_count
    wanted = membership.neighbours_of(instance.membership, count)
    revived = membership.choose_gone_instance(
        instance.membership, instance.random()
    )
    _watch(network, set(wanted))
    members = instance.membership.members
    urls = {name: _url(members[name]) for name in (*wanted, *revived)}
    urls.update(_unknown_seeds(network))
    _dial_only(network, urls)


def broadcast(
    network: Network, message: messages.Message, but: PeerLink | None = None
) -> None:
    """Queue a message on every link.

    :param network: The network.
    :param message: The message.
    :param but: A link to leave out.
    """
    for link in network.links:
        if link is not but:
            put(link, message)


def spread(
    network: Network,
    changed: list[membership.Member],
    but: PeerLink | None = None,
) -> None:
    """Tell peers what changed in the beliefs about instances.

    :param network: The network.
    :param changed: Entries that changed.
    :param but: The link they came from, if any.
    """
    if changed:
        log_member_changes(changed)
        update_connection_shares(network.instance)
        broadcast(network, messages.Members(tuple(changed)), but)


async def close_network(network: Network) -> None:
    """Close every link.

    :param network: The network.
    """
    for task in tuple(network.dialling.values()):
        task.cancel()
    await asyncio.gather(*network.dialling.values(), return_exceptions=True)
    if network.server is not None:
        network.server.close()
        await network.server.wait_closed()


async def flush(network: Network, timeout_seconds: float) -> None:
    """Wait until what is queued has been written.

    :param network: The network.
    :param timeout_seconds: Longest wait.
    """
    joins = [
        asyncio.get_running_loop().create_task(link.queue.join())
        for link in network.links
    ]
    if joins:
        _, pending = await asyncio.wait(joins, timeout=timeout_seconds)
        for join in pending:
            join.cancel()


def _watch(network: Network, wanted: set[str]) -> None:
    # The silence of a new neighbour counts from now, not from its last word.
    instance = network.instance
    for name in wanted - network.watched:
        membership.record_contact(instance.membership, name, instance.clock())
    network.watched = wanted


def _ask_neighbours(network: Network) -> None:
    # Only the side that dialled asks: the other one hears it ask.
    instance = network.instance
    routes = instance.routes
    ping = messages.Ping(instance.clock(), routes.version(), routes.revision())
    for link in network.links:
        if link.is_dialled:
            put(link, ping)


def _ask_for_all(network: Network) -> None:
    # One peer after the other: what it sends is large.
    instance = network.instance
    links = tuple(network.links)
    if not links:
        return
    link = links[int(instance.random() * len(links))]
    if not instance.routes.version():
        put(link, messages.WantTable(0))
    for request in want_listed(instance, 0):
        put(link, request)


def _dial_only(network: Network, urls: dict[str, str]) -> None:
    for name, url in urls.items():
        if name not in network.dialling:
            dial = _dial(network, name, url)
            task = asyncio.get_running_loop().create_task(dial)
            network.dialling[name] = task
    for left in network.dialling.keys() - urls.keys():
        network.dialling[left].cancel()


def _unknown_seeds(network: Network) -> dict[str, str]:
    # A seed's name is learnt on a link; until then its address stands for it.
    known = {
        (member.address, member.peers_port)
        for member in network.instance.membership.members.values()
        if member.status is not membership.Status.GONE
    }
    return {
        f'{SEED_NAME} {seed.address}:{seed.port}': (
            f'ws://{seed.address}:{seed.port}/'
        )
        for seed in network.seeds
        if (seed.address, seed.port) not in known
    }


async def _dial(network: Network, name: str, url: str) -> None:
    try:
        await _dial_once(network, name, url)
    except (OSError, WebSocketException):
        longest_seconds = 1 if network.first_heard.is_set() else ALONE_SECONDS
        await asyncio.sleep(longest_seconds * network.instance.random())
    finally:
        network.dialling.pop(name, None)


async def _dial_once(network: Network, name: str, url: str) -> None:
    async with connect(
        url,
        max_size=messages.MAX_MESSAGE_BYTES,
        compression=None,
        ping_interval=None,
        open_timeout=DIAL_SECONDS,
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
    writer = asyncio.get_running_loop().create_task(write_queue(link))
    put(link, messages.Hello(instance.settings.instance))
    known = tuple(instance.membership.members.values())
    put(link, messages.Members(known))
    put(link, messages.Versions(current_versions(instance)))
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
        _take(network, link, messages.unpack(bytes(encoded)))


def _take(network: Network, link: PeerLink, message: messages.Message) -> None:
    instance = network.instance
    if isinstance(message, messages.Hello):
        link.instance = message.instance
    if isinstance(message, messages.Versions):
        _note_versions(network, message)
    if link.instance:
        membership.record_contact(
            instance.membership, link.instance, instance.clock()
        )
    if isinstance(message, messages.Members):
        _take_members(network, link, message.members)
        return
    for reply in reply_to(instance, message):
        put(link, reply)


def _note_versions(network: Network, message: messages.Versions) -> None:
    network.first_heard.set()
    heard = network.heard_versions
    for name, version in message.versions.items():
        if name in heard or len(heard) < MAX_SERVICE_COUNT:
            heard[name] = max(version, heard.get(name, 0))


def _take_members(
    network: Network, link: PeerLink, offered: Iterable[membership.Member]
) -> None:
    instance = network.instance
    changed = membership.merge_entries(
        instance.membership, offered, instance.clock()
    )
    spread(network, changed, link)


def _on_adopted(network: Network, published: PublishedDocument) -> None:
    document = published.document
    broadcast(network, messages.Versions({document.service: document.version}))
