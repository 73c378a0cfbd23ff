"""Sizes of the buffers that the system has for connections."""

import socket
from collections.abc import Iterable
from typing import Protocol

from celeryturn.clients.account import (
    CLIENT_ACCOUNT,
    SEND_BUFFER_BYTES,
)


class SocketOptions(Protocol):
    """The part of a socket that sets its options."""

    def setsockopt(self, level: int, option: int, number: int, /) -> None:
        """Set an option of the socket."""


def limit_buffers(listening: Iterable[SocketOptions]) -> None:
    """Limit the buffers of connections that sockets accept from now on.

    :param listening: Sockets that listen, or are about to.
    """
    for accepting in listening:
        limit_send_buffer(accepting)
        accepting.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            CLIENT_ACCOUNT.receive_buffer_bytes,
        )


def limit_send_buffer(connected: SocketOptions) -> None:
    """Limit what the system takes before the other side has read it.

    :param connected: Socket whose limit is set.
    """
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
