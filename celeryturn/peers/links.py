"""A link to another instance and its queue of outgoing messages."""

import asyncio
from typing import Final, TypeAlias

from websockets.asyncio.client import ClientConnection
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import WebSocketException

from celeryturn.peers import messages

Socket: TypeAlias = ClientConnection | ServerConnection

MAX_QUEUED_MESSAGES: Final = 1024


class PeerLink:
    """A websocket link to a peer.

    :param socket: The websocket.
    :param instance: Name of the peer; on an accepted link empty until the
        peer has sent its hello.
    :param is_dialled: Whether this instance opened the link and therefore
        sends the pings on it.
    :param queue: Messages to send, oldest first.
    """

    __slots__ = ('instance', 'is_dialled', 'queue', 'socket')

    def __init__(self, socket: Socket, instance: str = '') -> None:
        self.socket = socket
        self.is_dialled = bool(instance)
        self.instance = instance
        self.queue: asyncio.Queue[messages.Message] = asyncio.Queue(
            MAX_QUEUED_MESSAGES
        )


def enqueue(link: PeerLink, message: messages.Message) -> None:
    """Queue a message, or abort the link if its queue is full.

    :param link: The link.
    :param message: The message.
    """
    try:
        link.queue.put_nowait(message)
    except asyncio.QueueFull:
        link.socket.transport.abort()


async def send_queued(link: PeerLink) -> None:
    """Send queued messages until cancelled or the link fails.

    :param link: The link.
    """
    while True:
        message = await link.queue.get()
        try:
            await link.socket.send(messages.pack(message))
        except (OSError, WebSocketException):
            link.socket.transport.abort()
            return
        finally:
            link.queue.task_done()
