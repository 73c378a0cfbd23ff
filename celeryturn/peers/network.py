"""Links to other instances, and messages to all of them."""

import asyncio
import math
from typing import Final

from websockets.asyncio.server import Server

from celeryturn.decisions.configuration.document import PublishedDocument
from celeryturn.decisions.fleet import membership
from celeryturn.instance import Instance, log_member_changes
from celeryturn.peers import dial_timeouts, messages
from celeryturn.peers.handlers import build_progress
from celeryturn.peers.handovers import Handovers
from celeryturn.peers.links import (
    LinkPurpose,
    PeerLink,
    enqueue,
    flush_news,
    tell_news,
)
from celeryturn.settings import Endpoint
from celeryturn.timer import Timer
from celeryturn.watcher import update_connection_shares

MIN_ANNOUNCEMENT_SECONDS: Final = 0.2


class Network:
    """All links of an instance.

    :param instance: The instance.
    :param links: Open links, dialled and accepted.
    :param dialling: Tasks of dialled links by peer name; a seed whose name
        is not known yet is listed by its address.
    :param watched: Instances that become suspect if they do not respond.
    :param purposes: Purpose of each dialled link, by the name used in
        ``dialling``.
    :param delegates: Time from which each delegate of another zone is to be
        linked.
    :param handovers: Requests that peers serve for others.
    :param first_contact: Set once a peer has reported its versions.
    :param joined_seconds: Time of that; infinite before.
    :param peer_versions: Newest version of each service that any peer has
        reported.
    :param server: Server that accepts links; ``None`` until started.
    :param seeds: Endpoints of peers whose names are not known in advance.
    :param dial_timeouts: Attempts to dial a peer that timed out before the
        first contact, by the name used in ``dialling``.
    :param announced_seconds: Time at which peers were last told what this
        instance knows of the store.
    :param announcement_timer: Tells them again when it is due.
    """

    __slots__ = (
        'announced_seconds',
        'announcement_timer',
        'delegates',
        'dial_timeouts',
        'dialling',
        'first_contact',
        'handovers',
        'instance',
        'joined_seconds',
        'links',
        'peer_versions',
        'purposes',
        'seeds',
        'server',
        'watched',
    )

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.links: set[PeerLink] = set()
        self.dialling: dict[str, asyncio.Task[None]] = {}
        self.watched: set[str] = set()
        self.purposes: dict[str, LinkPurpose] = {}
        self.delegates: dict[str, float] = {}
        self.handovers = Handovers()
        self.first_contact = asyncio.Event()
        self.joined_seconds = math.inf
        self.peer_versions: dict[str, int] = {}
        self.server: Server | None = None
        self.seeds: tuple[Endpoint, ...] = ()
        self.dial_timeouts = dial_timeouts.DialTimeouts()
        self.announced_seconds = 0.0
        self.announcement_timer = Timer()
        instance.on_adopted.append(
            lambda adopted: _broadcast_adopted(self, adopted)
        )


def broadcast(
    network: Network,
    message: messages.Message,
    excluded_link: PeerLink | None = None,
) -> None:
    """Queue a message on every link of neighbours.

    :param network: The network.
    :param message: The message.
    :param excluded_link: A link on which the message is not sent, if any.
    """
    for link in network.links:
        if link is not excluded_link and link.is_neighbour:
            enqueue(link, message)


def announce_progress(network: Network) -> None:
    """Tell the peers soon what this instance knows of the store.

    Peers that rely on this instance request what they lack.

    :param network: The network.
    """
    elapsed_seconds = network.instance.clock() - network.announced_seconds
    delay_seconds = max(0.0, MIN_ANNOUNCEMENT_SECONDS - elapsed_seconds)

    def announce() -> None:
        network.announced_seconds = network.instance.clock()
        progress = build_progress(network.instance)
        broadcast(network, messages.Announcement(progress))

    network.announcement_timer.arm(delay_seconds, announce)


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
        now_seconds = network.instance.clock()
        for link in network.links:
            if link is not source_link and link.is_neighbour:
                tell_news(link, changed, now_seconds)


async def flush(network: Network, timeout_seconds: float) -> None:
    """Wait until all queued messages have been sent.

    :param network: The network.
    :param timeout_seconds: Maximum wait; messages that are still queued
        after it stay queued.
    """
    flushed_seconds = network.instance.clock()
    for open_link in network.links:
        flush_news(open_link, flushed_seconds)
    joins = [
        asyncio.get_running_loop().create_task(link.queue.join())
        for link in network.links
    ]
    if joins:
        _, pending = await asyncio.wait(joins, timeout=timeout_seconds)
        for join in pending:
            join.cancel()


def _broadcast_adopted(network: Network, published: PublishedDocument) -> None:
    document = published.document
    broadcast(network, messages.Versions({document.service: document.version}))
