"""State shared by the components of one daemon."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Final

from celeryturn.decisions.bookings.booking_table import BookingTable
from celeryturn.decisions.configuration import adoption, service_state
from celeryturn.decisions.configuration.document import (
    PublishedDocument,
    parse_document,
)
from celeryturn.decisions.configuration.freshness import Freshness
from celeryturn.decisions.fleet import membership
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.events import (
    ADOPTED,
    MEMBER_CHANGED,
    MEMBERS_CHANGED,
    NOT_ADOPTED,
    log,
)
from celeryturn.metrics import Metrics
from celeryturn.route_access import NO_ROUTES
from celeryturn.settings import Settings

OnAdopted = Callable[[PublishedDocument], None]
MAX_SERVICE_COUNT: Final = 256
MAX_LOGGED_MEMBERS: Final = 8


class RunningRequests:
    """Requests in flight, and whether further ones are accepted.

    :param background_tasks: Tasks that outlive the request that started them.
    :param stops: Functions that end a request with what it has so far.
    :param is_refusing: Whether new requests are refused, since they might not
        end before the shutdown does.
    """

    __slots__ = ('background_tasks', 'is_refusing', 'stops')

    def __init__(self) -> None:
        self.background_tasks: set[asyncio.Task[object]] = set()
        self.stops: set[Callable[[], None]] = set()
        self.is_refusing = False


class Instance:
    """State of one instance.

    :param settings: Settings of the instance.
    :param clock: Monotonic clock, in seconds.
    :param random: Source of random numbers in [0, 1).
    :param services: State of each service, by name.
    :param freshness: When the configuration was last confirmed.
    :param membership: Known state of all instances.
    :param bookings: Table of recent booking ids.
    :param metrics: Metric collectors and counts of traffic.
    :param on_adopted: Callbacks that receive every adopted document.
    :param probes: Future of the query that probes for the snapshot, by
        service; it completes when the probe ends.
    :param routes: Published routes, if the instance serves any.
    :param running: Requests in flight.
    :param is_ready: Whether the instance serves callers.
    :param is_leaving: Whether a graceful shutdown has begun.
    :param is_closing: Whether all components are to stop.
    """

    def __init__(
        self, settings: Settings, clock: Callable[[], float], incarnation: int
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.random = random.random
        self.services: dict[str, service_state.ServiceState] = {}
        self.freshness = Freshness()
        self.membership = membership.Membership(
            own_member(settings, incarnation), clock()
        )
        self.bookings = BookingTable()
        self.metrics = Metrics()
        self.on_adopted: list[OnAdopted] = []
        self.probes: dict[str, asyncio.Future[None]] = {}
        self.routes = NO_ROUTES
        self.running = RunningRequests()
        self.is_ready = False
        self.is_leaving = False
        self.is_closing = False


def own_member(settings: Settings, incarnation: int) -> membership.Member:
    """Build the entry with which an instance announces itself.

    :param settings: Settings of the instance.
    :param incarnation: Number that is higher than at any earlier start.
    :returns: The membership entry.
    """
    return membership.Member(
        instance=settings.instance,
        address=settings.callers.address,
        callers_port=settings.callers.port,
        peers_port=settings.peers.port,
        availability_zone=settings.availability_zone,
        incarnation=incarnation,
        status=membership.Status.ALIVE,
        capacity_per_second=settings.capacity_per_second,
    )


def offer_document(
    instance: Instance, body: bytes, source: str
) -> adoption.Outcome:
    """Adopt a published document if it is valid and newer than the current one.

    :param instance: The instance.
    :param body: The document as published, in JSON.
    :param source: Where the document came from, for the log.
    :returns: Whether it was adopted, or why not.
    """
    try:
        return _adopt_document(instance, parse_document(body), source)
    except CeleryturnError as error:
        log(
            NOT_ADOPTED,
            source=source,
            outcome=str(adoption.Outcome.INVALID),
            detail=str(error),
        )
        return adoption.Outcome.INVALID


def get_service(instance: Instance, name: str) -> service_state.ServiceState:
    """Find the state of a service.

    :param instance: The instance.
    :param name: Name of the service.
    :returns: Its state.
    :raises CeleryturnError: ``not_configured`` or ``unknown_service``.
    """
    if not instance.is_ready:
        raise CeleryturnError(
            Kind.NOT_CONFIGURED, 'no configuration is in use yet'
        )
    service = instance.services.get(name)
    if service is None:
        known = ', '.join(sorted(instance.services))
        raise CeleryturnError(
            Kind.UNKNOWN_SERVICE,
            f'service {name!r} is unknown; published services: {known}',
        )
    return service


def require_accepting(instance: Instance) -> None:
    """Refuse a request of which nothing has been sent, late in a shutdown.

    :param instance: The instance.
    :raises CeleryturnError: ``leaving`` if no new requests are accepted.
    """
    if instance.running.is_refusing:
        raise CeleryturnError(
            Kind.LEAVING, 'the instance is shutting down; use another one'
        )


def current_versions(instance: Instance) -> dict[str, int]:
    """List the current version of each service.

    :param instance: The instance.
    :returns: Versions by name of the service.
    """
    return {
        name: service.document.version
        for name, service in sorted(instance.services.items())
    }


def log_member_changes(changed: list[membership.Member]) -> None:
    """Log changes in the known state of instances.

    :param changed: Entries that changed; more than
        :data:`MAX_LOGGED_MEMBERS` are logged as their number by status.
    """
    if len(changed) > MAX_LOGGED_MEMBERS:
        counts = Counter(str(member.status) for member in changed)
        log(MEMBERS_CHANGED, counts=dict(counts))
        return
    for member in changed:
        log(
            MEMBER_CHANGED,
            instance=member.instance,
            status=str(member.status),
            incarnation=member.incarnation,
            capacity_per_second=member.capacity_per_second,
            is_busy=member.is_busy,
        )


def _adopt_document(
    instance: Instance, candidate: PublishedDocument, source: str
) -> adoption.Outcome:
    name = candidate.document.service
    service = instance.services.get(name)
    current_document = service.published if service else None
    adopted = adoption.adopt(current_document, candidate)
    if adopted.outcome is adoption.Outcome.ADOPTED:
        _apply_document(instance, adopted.current, source)
    elif adopted.outcome is not adoption.Outcome.SAME:
        log(
            NOT_ADOPTED,
            source=source,
            service=name,
            version=candidate.document.version,
            outcome=str(adopted.outcome),
            detail='; '.join(map(str, adopted.faults)),
        )
    return adopted.outcome


def _apply_document(
    instance: Instance, published: PublishedDocument, source: str
) -> None:
    name = published.document.service
    now_seconds = instance.clock()
    service = instance.services.get(name)
    if service is None:
        if len(instance.services) >= MAX_SERVICE_COUNT:
            raise CeleryturnError(
                Kind.INVALID_CONFIGURATION,
                f'{name}: the limit of {MAX_SERVICE_COUNT} services is reached',
            )
        service = service_state.ServiceState(published, now_seconds)
        instance.services[name] = service
    count = membership.live_count(instance.membership)
    service_state.apply_document(service, published, count, now_seconds)
    log(
        ADOPTED,
        service=name,
        version=published.document.version,
        source=source,
    )
    for callback in instance.on_adopted:
        callback(published)
