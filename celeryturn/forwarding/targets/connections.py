"""Connections to targets that all pools of an instance may have open."""

from collections.abc import Awaitable, Callable
from typing import TypeAlias

from celeryturn.clients.account import CLIENT_ACCOUNT
from celeryturn.http.client import Connection, connect

# Opens a connection to an address and port, within a number of seconds.
Connector: TypeAlias = Callable[[str, int, float], Awaitable[Connection]]


class TargetConnections:
    """Connections of several pools.

    :param connect: Opens a connection to a target.
    :param open_count: Connections that are open or being opened.
    """

    __slots__ = ('connect', 'open_count')

    def __init__(self) -> None:
        self.connect: Connector = connect
        self.open_count = 0


def has_reached_limit(connections: TargetConnections) -> bool:
    """Return whether only the least connections of a pool may be opened.

    :param connections: Connections of all pools.
    :returns: Whether there are as many as the descriptors of the process
        allow.
    """
    return connections.open_count >= CLIENT_ACCOUNT.max_target_connections
