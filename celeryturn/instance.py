"""The state that the parts of one daemon share."""

import asyncio
import random
from collections.abc import Callable
from typing import Final, NamedTuple

from celeryturn.decisions import adoption, membership, service_state
from celeryturn.decisions.booking_table import BookingTable
from celeryturn.decisions.document import PublishedDocument, parse_document
from celeryturn.decisions.entry_history import EntryUpdate
from celeryturn.decisions.freshness import Freshness
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.events import ADOPTED, MEMBER_CHANGED, NOT_ADOPTED, log
from celeryturn.metrics import Metrics
from celeryturn.settings import Settings

OnAdopted = Callable[[PublishedDocument], None]
MAX_SERVICE_COUNT: Final = 256


class Routes(NamedTuple):
    """The published routes, as peers exchange them.

    :param version: Reads the version in force; zero while there is none.
    :param body: Reads them as they were published.
    :param offer: Takes those of a peer in.
    :param revision: Reads how far the store was followed.
    :param hear_revision: Takes in how far a peer has followed it.
    :param lacks: Tells whether routes or targets are not known yet.
    :param wants_since: Reads since which revision a peer is asked for
        targets; ``None`` where the store serves, or a peer knows no more.
    :param listed: Reads what changed in the list of targets.
    :param offer_listed: Takes a peer's list of targets in.
    """

    version: Callable[[], int]
    body: Callable[[], bytes]
    offer: Callable[[bytes], None]
    revision: Callable[[], int]
    hear_revision: Callable[[int], None]
    lacks: Callable[[], bool]
    wants_since: Callable[[int], int | None]
    listed: Callable[[int], EntryUpdate | None]
    offer_listed: Callable[[EntryUpdate], None]


def _ignore(_received: object) -> None:
    """Take something in that has no use here."""


def _return_none(_revision: int) -> None:
    """Answer that there is nothing to exchange."""


NO_ROUTES: Final = Routes(
    version=int,
    body=bytes,
    offer=_ignore,
    revision=int,
    hear_revision=_ignore,
    lacks=bool,
    wants_since=_return_none,
    listed=_return_none,
    offer_listed=_ignore,
)


class Instance:
    """State of one instance.

    :param settings: Its settings.
    :param clock: Monotonic clock, in seconds.
    :param random: Source of numbers between 0 and 1.
    :param services: State of each service, by name.
    :param freshness: When the configuration was last confirmed.
    :param membership: What is believed of the instances.
    :param bookings: Booking ids seen.
    :param metrics: Collectors.
    :param on_adopted: Called with every document that comes in force.
    :param probes: Pending while a query finds out the snapshot, by service.
    :param routes: Published routes, where it serves some.
    :param background_tasks: Tasks that outlive the request that began them.
    :param is_ready: Whether it serves callers.
    :param is_leaving: Whether a graceful shutdown has begun.
    :param is_closing: Whether everything is to end.
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
        self.background_tasks: set[asyncio.Task[object]] = set()
        self.is_ready = False
        self.is_leaving = False
        self.is_closing = False


def own_member(settings: Settings, incarnation: int) -> membership.Member:
    """Build the entry by which an instance announces itself.

    :param settings: Its settings.
    :param incarnation: Higher than at any earlier start.
    :returns: The entry.
    """
    return membership.Member(
        instance=settings.instance,
        address=settings.callers.address,
        callers_port=settings.callers.port,
        peers_port=settings.peers.port,
        availability_zone=settings.availability_zone,
        incarnation=incarnation,
        status=membership.Status.ALIVE,
    )


def offer_document(
    instance: Instance, body: bytes, source: str
) -> adoption.Outcome:
    """Put a published document in force, if the policy says so.

    :param instance: The instance.
    :param body: JSON as it was published.
    :param source: Where it came from, for the log.
    :returns: What became of it.
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
            Kind.NOT_CONFIGURED, 'no configuration is in force yet'
        )
    service = instance.services.get(name)
    if service is None:
        known = ', '.join(sorted(instance.services))
        raise CeleryturnError(
            Kind.UNKNOWN_SERVICE, f'no service {name!r}; published are {known}'
        )
    return service


def current_versions(instance: Instance) -> dict[str, int]:
    """List the versions in force.

    :param instance: The instance.
    :returns: Version by service.
    """
    return {
        name: service.document.version
        for name, service in sorted(instance.services.items())
    }


def log_member_changes(changed: list[membership.Member]) -> None:
    """Log what changed in the beliefs about instances.

    :param changed: Entries that changed.
    """
    for member in changed:
        log(
            MEMBER_CHANGED,
            instance=member.instance,
            status=str(member.status),
            incarnation=member.incarnation,
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
                f'{name}: at most {MAX_SERVICE_COUNT} services are held',
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
