"""A link to another instance and its queue of outgoing messages."""

import asyncio
import enum
from collections.abc import Callable, Iterable
from typing import Final, TypeAlias

from websockets.asyncio.client import ClientConnection
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import WebSocketException

from celeryturn.clients.account import CLIENT_ACCOUNT, charge
from celeryturn.decisions.fleet.dissemination import (
    News,
    add_news,
    seconds_until_due,
    take_news,
)
from celeryturn.decisions.fleet.membership import Member
from celeryturn.peers import encoding, messages
from celeryturn.peers.sockets import AcceptedSocket
from celeryturn.timer import Timer

Socket: TypeAlias = ClientConnection | ServerConnection

MAX_QUEUED_MESSAGES: Final = 1024


class LinkPurpose(enum.Enum):
    """Why a link was opened.

    - ``ACCEPTED``: the peer opened it.
    - ``NEIGHBOUR``: to exchange what is new.
    - ``JOIN``: to learn of the first peers from a seed.
    - ``WATCH``: to notice that the peer does not respond.
    - ``HELPER``: to let the peer serve requests.
    """

    ACCEPTED = 'accepted'
    NEIGHBOUR = 'neighbour'
    JOIN = 'join'
    WATCH = 'watch'
    HELPER = 'helper'


_NEIGHBOUR_PURPOSES: Final = frozenset(
    (LinkPurpose.ACCEPTED, LinkPurpose.NEIGHBOUR)
)


class PeerLink:
    """A websocket link to a peer.

    :param socket: The websocket.
    :param instance: Name of the peer; on an accepted link empty until the
        peer has sent its hello.
    :param purpose: Why the link was opened; the side that did sends the pings.
    :param is_neighbour: Whether what is new is told on the link.
    :param queue: Messages to send, oldest first.
    :param news: Changed membership entries to send.
    :param flush_timer: Sends them when they are due.
    """

    __slots__ = (
        'flush_timer',
        'instance',
        'is_neighbour',
        'news',
        'purpose',
        'queue',
        'socket',
    )

    def __init__(
        self,
        socket: Socket,
        instance: str = '',
        purpose: LinkPurpose = LinkPurpose.ACCEPTED,
    ) -> None:
        self.socket = socket
        self.purpose = purpose
        self.is_neighbour = purpose in _NEIGHBOUR_PURPOSES
        self.instance = instance
        self.queue: asyncio.Queue[messages.Message] = asyncio.Queue(
            MAX_QUEUED_MESSAGES
        )
        self.news = News()
        self.flush_timer = Timer()


def enqueue(link: PeerLink, message: messages.Message) -> None:
    """Queue a message, or abort the link if its queue is full.

    :param link: The link.
    :param message: The message.
    """
    try:
        link.queue.put_nowait(message)
    except asyncio.QueueFull:
        link.socket.transport.abort()


def tell_news(
    link: PeerLink, changed: Iterable[Member], now_seconds: float
) -> None:
    """Queue changed membership entries, in batches if there are many.

    :param link: The link.
    :param changed: The changed entries.
    :param now_seconds: Current time.
    """
    add_news(link.news, changed)
    due_seconds = seconds_until_due(link.news, now_seconds)
    if due_seconds:
        link.flush_timer.arm(
            due_seconds, lambda: flush_news(link, now_seconds + due_seconds)
        )
    else:
        flush_news(link, now_seconds)


def flush_news(link: PeerLink, now_seconds: float) -> None:
    """Queue the pending membership entries now.

    :param link: The link.
    :param now_seconds: Current time.
    """
    link.flush_timer.disarm()
    taken = take_news(link.news, now_seconds)
    if taken:
        enqueue(link, messages.Members(taken))


async def receive(link: PeerLink) -> bytes:
    """Receive a message.

    :param link: The link.
    :returns: The encoded message.
    """
    encoded = await link.socket.recv(decode=False)
    if isinstance(link.socket, AcceptedSocket):
        link.socket.record_message()
    return bytes(encoded)


async def send_queued(
    link: PeerLink, on_sent: Callable[[messages.Message, int], None]
) -> None:
    """Send queued messages until cancelled or the link fails.

    :param link: The link.
    :param on_sent: Called with each message and its size in bytes.
    """
    while True:
        message = await link.queue.get()
        encoded = encoding.pack(message)
        on_sent(message, len(encoded))
        charge(CLIENT_ACCOUNT, len(encoded))
        try:
            await link.socket.send(encoded)
        except (OSError, WebSocketException):
            link.socket.transport.abort()
            return
        finally:
            charge(CLIENT_ACCOUNT, -len(encoded))
            link.queue.task_done()
