"""Timeouts of dialling a peer, before any peer has responded.

A packet to a peer without power is lost, and the system sends it again only
after a second.  A new attempt reaches a peer that has just started sooner, so
the first attempts to dial a peer are short.
"""

from typing import Final

FIRST_TIMEOUT_SECONDS: Final = 0.25
MAX_TIMEOUT_SECONDS: Final = 2.0


class DialTimeouts:
    """Attempts to dial peers that timed out.

    :param counts: Number of consecutive attempts without any response, by the
        name of the peer.
    """

    __slots__ = ('counts',)

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}


def record_failure(timeouts: DialTimeouts, name: str, error: Exception) -> None:
    """Record a failed attempt to dial a peer.

    :param timeouts: Attempts that timed out.
    :param name: Name of the peer.
    :param error: Why the attempt failed; a peer that refuses a connection has
        power, and its process is starting.
    """
    if isinstance(error, TimeoutError):
        timeouts.counts[name] = timeouts.counts.get(name, 0) + 1
    else:
        timeouts.counts.pop(name, None)


def timeout_seconds(timeouts: DialTimeouts, name: str) -> float:
    """Return the time that a peer has to respond to the next attempt.

    :param timeouts: Attempts that timed out.
    :param name: Name of the peer.
    :returns: Seconds; doubles with each timeout, since a peer may be slow.
    """
    factor: int = 2 ** timeouts.counts.get(name, 0)
    return min(MAX_TIMEOUT_SECONDS, FIRST_TIMEOUT_SECONDS * factor)
