"""Sizes of the buffers that the system has for connections."""

import socket
from collections.abc import Iterable
from typing import Final, Protocol

from celeryturn.clients.account import (
    CLIENT_ACCOUNT,
    SEND_BUFFER_BYTES,
)

# The system holds up to twice the size of a buffer.
SYSTEM_BUFFER_FACTOR: Final = 2


class SocketOptions(Protocol):
    """The part of a socket that sets its options."""

    def setsockopt(self, level: int, option: int, number: int, /) -> None:
        """Set an option of the socket."""


def limit_buffers(listening: Iterable[SocketOptions]) -> None:
    """Limit the buffers of connections that sockets accept from now on.

    :param listening: Sockets that listen, or are about to.
    """
    for accepting in listening:
        _set_buffers(accepting, CLIENT_ACCOUNT.receive_buffer_bytes)


def limit_target_buffers(connecting: SocketOptions) -> None:
    """Limit the buffers of a connection to a target.

    :param connecting: Socket that is not connected yet, since the size of what
        the other side may send is agreed on when it is.
    """
    _set_buffers(connecting, CLIENT_ACCOUNT.target_buffer_bytes)


def _set_buffers(changed: SocketOptions, receive_bytes: int) -> None:
    level = socket.SOL_SOCKET
    changed.setsockopt(level, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    changed.setsockopt(level, socket.SO_RCVBUF, receive_bytes)
