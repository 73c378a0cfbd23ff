"""Links to targets: admission, connection pools, exchanges, cancellation.

An exchange is admitted by :mod:`celeryturn.decisions.load.limits`, is assigned
a connection, builds its request right before the write, and ends exactly once.
A connection whose exchange was cancelled or whose reply was only partly read is
closed and never reused.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Container
from typing import Final, NamedTuple, TypeAlias

from celeryturn.clients.account import CLIENT_ACCOUNT
from celeryturn.decisions.configuration.document import Target
from celeryturn.decisions.load import limits
from celeryturn.decisions.targets.views import TargetView
from celeryturn.errors import CeleryturnError
from celeryturn.http.client import Connection, connect
from celeryturn.http.messages import HttpReply, HttpRequest

Outcome: TypeAlias = HttpReply | Exception
MakeRequest: TypeAlias = Callable[[], HttpRequest]
OnEnd: TypeAlias = Callable[['Exchange', Outcome], None]

MAX_LINKS: Final = 8192
# Exchanges of one link that are admitted however many connections are open.
GUARANTEED_EXCHANGES: Final = 2


class NotSentError(ConnectionError):
    """No byte of the request was sent."""


class Progress(NamedTuple):
    """How far an exchange progressed.

    :param is_written: Whether any byte may have been sent.
    :param is_ended: Whether the exchange has ended.
    """

    is_written: bool = False
    is_ended: bool = False


class Exchange:
    """One request to one target, and its reply.

    :param target: Name of the target.
    :param urgency: Urgency class used for admission.
    :param deadline_seconds: Time after which a reply is no longer useful.
    :param make_request: Builds the request right before the write, or
        raises :exc:`CeleryturnError` if it must not be written.
    :param on_end: Called exactly once with the outcome, unless the exchange
        is cancelled first.
    :param status: Progress of the exchange; modified only by this module.
    """

    __slots__ = (
        'deadline_seconds',
        'make_request',
        'on_end',
        'status',
        'target',
        'urgency',
    )

    def __init__(
        self,
        target: str,
        urgency: limits.Urgency,
        deadline_seconds: float,
        make_request: MakeRequest,
        on_end: OnEnd,
    ) -> None:
        self.target = target
        self.urgency = urgency
        self.deadline_seconds = deadline_seconds
        self.make_request = make_request
        self.on_end = on_end
        self.status = ExchangeStatus()


class ExchangeStatus:
    """Progress of an exchange.

    :param ticket: Identifies the exchange at the gate of its target.
    :param link: The link that the exchange was submitted to.
    :param connection: The connection in use, if any.
    :param written_seconds: Time of the write; zero before it.
    :param is_ended: Whether the exchange has ended; no callback follows.
    """

    __slots__ = (
        'connection',
        'is_ended',
        'link',
        'ticket',
        'written_seconds',
    )

    def __init__(self) -> None:
        self.ticket = 0
        self.link: Link | None = None
        self.connection: Connection | None = None
        self.written_seconds = 0.0
        self.is_ended = False


class Link:
    """The connections to one target.

    :param address: IP address and port.
    :param view: Known state of the target, including its gate.
    :param idle: Connections without an exchange, most recently used last.
    :param waiting: Exchanges that wait for admission, by ticket.
    :param is_current: Whether new exchanges use this link.
    """

    __slots__ = ('address', 'idle', 'is_current', 'view', 'waiting')

    def __init__(self, address: tuple[str, int], view: TargetView) -> None:
        self.address = address
        self.view = view
        self.idle: deque[Connection] = deque()
        self.waiting: dict[int, Exchange] = {}
        self.is_current = True


class Links:
    """All links of an instance.

    :param links: Links by service name and target name.
    :param clock: Monotonic clock, in seconds.
    :param connect_timeout_seconds: Maximum wait for a connection.
    :param own_address: Local address to connect from; chosen by the system
        by default.
    :param opening: Tasks that open connections.
    :param admitted_count: Exchanges that are admitted and have not ended, each
        with a connection.
    :param idle_count: Connections without an exchange, of all links.
    :param last_ticket: Ticket of the most recently submitted exchange.
    """

    __slots__ = (
        'admitted_count',
        'clock',
        'connect_timeout_seconds',
        'idle_count',
        'last_ticket',
        'links',
        'opening',
        'own_address',
    )

    def __init__(
        self,
        clock: Callable[[], float],
        connect_timeout_seconds: float,
        own_address: str | None = None,
    ) -> None:
        self.own_address = own_address
        self.links: dict[tuple[str, str], Link] = {}
        self.clock = clock
        self.connect_timeout_seconds = connect_timeout_seconds
        self.opening: set[asyncio.Task[None]] = set()
        self.admitted_count = 0
        self.idle_count = 0
        self.last_ticket = 0


def get_or_create_link(
    links: Links,
    service: str,
    target_name: str,
    target: Target,
    view: TargetView,
) -> Link:
    """Return the link to a target, creating it if necessary.

    :param links: All links.
    :param service: Name of the service.
    :param target_name: Name of the target.
    :param target: Entry of the target in the current configuration.
    :param view: Known state of the target.
    :returns: The link; a new one if the address or the view of the target
        has changed.
    """
    link_key = (service, target_name)
    address = (target.address, target.port)
    link = links.links.get(link_key)
    if link is None or link.address != address or link.view is not view:
        if link is not None:
            _retire(links, link)
        link = Link(address, view)
        links.links[link_key] = link
        _drop_oldest_links(links)
    return link


def prune_links(links: Links, service: str, targets: Container[str]) -> None:
    """Close the links to targets that are no longer configured.

    :param links: All links.
    :param service: Name of the service.
    :param targets: Names of the targets in the current configuration.
    """
    for link_key in tuple(links.links):
        link_service, target = link_key
        if link_service == service and target not in targets:
            _retire(links, links.links.pop(link_key))


def submit(links: Links, link: Link, exchange: Exchange) -> bool:
    """Send an exchange, or let it wait for admission.

    It is refused if the target or this process has no connection for it.

    :param links: All links.
    :param link: The link to the target of the exchange.
    :param exchange: The exchange.
    :returns: False if the exchange was refused and will never be sent.
    """
    links.last_ticket += 1
    exchange.status.ticket = links.last_ticket
    exchange.status.link = link
    admission = _offer(links, link, exchange)
    if admission is limits.AdmissionResult.REFUSE:
        exchange.status.is_ended = True
        return False
    if admission is limits.AdmissionResult.WAIT:
        link.waiting[exchange.status.ticket] = exchange
    else:
        _transmit(links, link, exchange)
    return True


def cancel(links: Links, exchange: Exchange) -> Progress:
    """Cancel an exchange; no callback follows.

    :param links: All links.
    :param exchange: The exchange to cancel.
    :returns: How far the exchange had progressed.
    """
    status = exchange.status
    progress = Progress(status.written_seconds > 0, status.is_ended)
    if status.is_ended:
        return progress
    status.is_ended = True
    link = status.link
    if link is None:
        return progress
    if status.connection is not None:
        status.connection.close_gracefully(lambda: _release(links, link))
        status.connection = None
    elif link.waiting.pop(status.ticket, None) is not None:
        limits.withdraw(link.view.gate, status.ticket)
    # The gate still counts the exchange until its connection is open, or,
    # if it was written, until the target has closed the connection.
    # Otherwise more connections than the share could be open.
    return progress


async def close_links(links: Links) -> None:
    """Close every connection.

    :param links: All links.
    """
    for task in tuple(links.opening):
        task.cancel()
    await asyncio.gather(*links.opening, return_exceptions=True)
    for link in links.links.values():
        _retire(links, link)
    links.links.clear()


def _offer(
    links: Links, link: Link, exchange: Exchange
) -> limits.AdmissionResult:
    gate = link.view.gate
    is_guaranteed = gate.in_flight < GUARANTEED_EXCHANGES
    if not is_guaranteed and _has_reached_limit(links):
        return limits.AdmissionResult.REFUSE
    return limits.offer(
        gate,
        exchange.urgency,
        limits.QueuedRequest(exchange.status.ticket, exchange.deadline_seconds),
    )


def _has_reached_limit(links: Links) -> bool:
    limit = CLIENT_ACCOUNT.max_target_connections
    if links.admitted_count + links.idle_count >= limit:
        for link in links.links.values():
            _close_idle(links, link)
    return links.admitted_count >= limit


def _transmit(links: Links, link: Link, exchange: Exchange) -> None:
    links.admitted_count += 1
    connection = _pop_idle(links, link)
    if connection is not None:
        _write(links, link, exchange, connection)
        return
    task = asyncio.get_running_loop().create_task(
        _open_and_write(links, link, exchange)
    )
    links.opening.add(task)
    task.add_done_callback(links.opening.discard)


async def _open_and_write(links: Links, link: Link, exchange: Exchange) -> None:
    try:
        connection = await connect(
            *link.address, links.connect_timeout_seconds, links.own_address
        )
    except OSError as error:
        _fail_opening(links, link, exchange, NotSentError(str(error)))
        return
    if exchange.status.is_ended:
        _return_connection(links, link, connection)
        _release(links, link)
    else:
        _write(links, link, exchange, connection)


def _fail_opening(
    links: Links, link: Link, exchange: Exchange, error: NotSentError
) -> None:
    if exchange.status.is_ended:
        _release(links, link)
    else:
        _end_exchange(links, link, exchange, error)


def _write(
    links: Links, link: Link, exchange: Exchange, connection: Connection
) -> None:
    try:
        request = exchange.make_request()
    except CeleryturnError as error:
        _return_connection(links, link, connection)
        _end_exchange(links, link, exchange, error)
        return
    exchange.status.connection = connection
    exchange.status.written_seconds = links.clock()

    def on_done(outcome: Outcome) -> None:
        if connection.is_idle:
            _return_connection(links, link, connection)
        exchange.status.connection = None
        _end_exchange(links, link, exchange, outcome)

    connection.start(request, on_done)


def _end_exchange(
    links: Links, link: Link, exchange: Exchange, outcome: Outcome
) -> None:
    if exchange.status.is_ended:
        return
    exchange.status.is_ended = True
    _release(links, link)
    exchange.on_end(exchange, outcome)


def _release(links: Links, link: Link) -> None:
    links.admitted_count -= 1
    for waiting in limits.release(link.view.gate, links.clock()):
        exchange = link.waiting.pop(waiting.ticket, None)
        if exchange is None:
            links.admitted_count += 1
            _release(links, link)
        else:
            _transmit(links, link, exchange)


def _pop_idle(links: Links, link: Link) -> Connection | None:
    while link.idle:
        connection = link.idle.pop()
        links.idle_count -= 1
        if connection.is_idle:
            return connection
    return None


def _return_connection(
    links: Links, link: Link, connection: Connection
) -> None:
    held_count = len(link.idle) + link.view.gate.in_flight
    if link.is_current and held_count <= link.view.gate.share:
        link.idle.append(connection)
        links.idle_count += 1
    else:
        connection.close()


def _drop_oldest_links(links: Links) -> None:
    # The oldest link is dropped first.  Exchanges in flight on it are not
    # cancelled and end normally.
    while len(links.links) > MAX_LINKS:
        _retire(links, links.links.pop(next(iter(links.links))))


def _retire(links: Links, link: Link) -> None:
    link.is_current = False
    _close_idle(links, link)


def _close_idle(links: Links, link: Link) -> None:
    links.idle_count -= len(link.idle)
    while link.idle:
        link.idle.pop().close()
