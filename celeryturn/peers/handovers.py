"""Requests that peers serve for this instance, and those of peers.

A request is handed over at most once: who serves it for a peer never hands it
over again.
"""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple, TypeAlias

from celeryturn.events import INTERNAL_FAULT, log
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.peers.handover_messages import (
    Handover,
    HandoverCancel,
    HandoverDecline,
    HandoverMessage,
    HandoverReply,
    HandoverTerms,
)
from celeryturn.peers.links import PeerLink, enqueue

MAX_RELAYED: Final = 256
INTERNAL_ERROR: Final = 500

# Serves a request for a peer; ``None`` if it is declined without being run.
ServeRelayed: TypeAlias = Callable[
    [HttpRequest, HandoverTerms], Awaitable[HttpReply | None]
]


class HandoverLostError(ConnectionError):
    """The link to the peer ended before its reply; the request may have run."""


class HandoverDeclinedError(Exception):
    """No peer has taken the request, which was not run."""


class PendingHandover(NamedTuple):
    """A request that a peer was asked to serve.

    :param link: Link to the peer.
    :param reply: Receives its reply.
    """

    link: PeerLink
    reply: asyncio.Future[HttpReply]


class RelayedRequest(NamedTuple):
    """A request that is served for a peer.

    :param link: Link to the peer.
    :param number: Number of the request among those of the peer.
    """

    link: PeerLink
    number: int


class Handovers:
    """Requests under way between this instance and its peers.

    :param helpers: Peers to keep a link to, so that they can be asked.
    :param pending: Requests that peers were asked to serve, by number.
    :param relayed: Tasks that serve requests of peers.
    :param serve_relayed: Serves a request for a peer; declines by default.
    """

    __slots__ = (
        '_numbers',
        'helpers',
        'pending',
        'relayed',
        'serve_relayed',
    )

    def __init__(self) -> None:
        self.helpers: tuple[str, ...] = ()
        self.pending: dict[int, PendingHandover] = {}
        self.relayed: dict[RelayedRequest, asyncio.Task[None]] = {}
        self.serve_relayed: ServeRelayed = _decline
        self._numbers = itertools.count(1)

    def next_number(self) -> int:
        """Return the number of the next request that is handed over."""
        return next(self._numbers)


async def hand_over(
    handovers: Handovers,
    link: PeerLink,
    request: HttpRequest,
    terms: HandoverTerms,
) -> HttpReply:
    """Let a peer serve a request, and wait for its reply.

    If this is cancelled, the peer is told to end the request.

    :param handovers: Requests under way.
    :param link: Link to the peer.
    :param request: Request of a caller.
    :param terms: What the peer needs to know besides the request.
    :returns: The reply to the caller.
    :raises HandoverDeclinedError: If the peer has not run the request.
    :raises HandoverLostError: If the link ended before the reply.
    """
    number = handovers.next_number()
    reply: asyncio.Future[HttpReply] = (
        asyncio.get_running_loop().create_future()
    )
    handovers.pending[number] = PendingHandover(link, reply)
    enqueue(link, Handover(number, terms, *request))
    try:
        return await reply
    finally:
        if handovers.pending.pop(number, None) is not None:
            enqueue(link, HandoverCancel(number))


def pending_count(handovers: Handovers, link: PeerLink) -> int:
    """Return how many requests wait for the reply of a peer.

    :param handovers: Requests under way.
    :param link: Link to the peer.
    :returns: Number of requests.
    """
    return sum(pending.link is link for pending in handovers.pending.values())


def is_in_use(handovers: Handovers, instance: str) -> bool:
    """Return whether requests are under way on a link to a peer.

    :param handovers: Requests under way.
    :param instance: Name of the peer.
    :returns: Whether it serves requests for this instance, or the reverse.
    """
    links = itertools.chain(
        (pending.link for pending in handovers.pending.values()),
        (known.link for known in handovers.relayed),
    )
    return any(link.instance == instance for link in links)


def handle_handover(
    handovers: Handovers, link: PeerLink, message: HandoverMessage
) -> None:
    """Apply a message about a request that is handed over.

    :param handovers: Requests under way.
    :param link: Link on which it was received.
    :param message: The message.
    """
    match message:
        case Handover():
            _accept(handovers, link, message)
        case HandoverReply(number, status, headers, body):
            reply = HttpReply(status, headers, body)
            _settle(handovers, link, number, reply)
        case HandoverDecline(number):
            _settle(handovers, link, number, HandoverDeclinedError())
        case HandoverCancel(number):
            task = handovers.relayed.get(RelayedRequest(link, number))
            if task is not None:
                task.cancel()


def end_handovers(handovers: Handovers, link: PeerLink) -> None:
    """End all requests of a link that has ended.

    :param handovers: Requests under way.
    :param link: The link.
    """
    for number, pending in tuple(handovers.pending.items()):
        if pending.link is link:
            lost = HandoverLostError('the link to the peer ended')
            _settle(handovers, link, number, lost)
    for relayed, task in tuple(handovers.relayed.items()):
        if relayed.link is link:
            task.cancel()


def _settle(
    handovers: Handovers,
    link: PeerLink,
    number: int,
    outcome: HttpReply | Exception,
) -> None:
    pending = handovers.pending.get(number)
    if pending is None or pending.link is not link:
        return
    handovers.pending.pop(number)
    if pending.reply.done():
        return
    if isinstance(outcome, Exception):
        pending.reply.set_exception(outcome)
    else:
        pending.reply.set_result(outcome)


def _accept(handovers: Handovers, link: PeerLink, message: Handover) -> None:
    relayed = RelayedRequest(link, message.number)
    if len(handovers.relayed) >= MAX_RELAYED or relayed in handovers.relayed:
        enqueue(link, HandoverDecline(message.number))
        return
    serving = _serve(handovers, link, message)
    task = asyncio.get_running_loop().create_task(serving)
    handovers.relayed[relayed] = task
    task.add_done_callback(lambda _ended: handovers.relayed.pop(relayed, None))


async def _serve(
    handovers: Handovers, link: PeerLink, message: Handover
) -> None:
    number, terms, method, url, headers, body = message
    request = HttpRequest(method, url, headers, body)
    try:
        reply = await handovers.serve_relayed(request, terms)
    except Exception as fault:
        log(INTERNAL_FAULT, url=url, detail=repr(fault))
        reply = HttpReply(INTERNAL_ERROR)
    if reply is None:
        enqueue(link, HandoverDecline(number))
    else:
        enqueue(link, HandoverReply(number, *reply))


async def _decline(_request: HttpRequest, _terms: HandoverTerms) -> None:
    """Decline every request, since there are no routes to serve."""
