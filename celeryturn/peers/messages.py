"""Typed messages between instances."""

from typing import NamedTuple, TypeAlias

from celeryturn.decisions.fleet.membership import Member
from celeryturn.decisions.request.quarantine import TargetEnd
from celeryturn.decisions.store_position import NO_POSITION, StorePosition
from celeryturn.decisions.targets.departures import TargetIncarnation
from celeryturn.decisions.targets.entry_history import EntryUpdate
from celeryturn.decisions.targets.evacuations import ZoneChange
from celeryturn.decisions.targets.health_reports import TargetReport
from celeryturn.decisions.targets.stated_rates import StatedRate
from celeryturn.peers.handover_messages import HandoverMessage
from celeryturn.units import (
    MAX_AGE_SECONDS,
    AgeSeconds,
    ClockSeconds,
    Count,
    Name,
)
from celeryturn.units import Digest as HashDigest


class Hello(NamedTuple):
    """First message on a link.

    :param instance: Name of the sender.
    :param is_neighbour: Whether the link serves to exchange what is new, and
        not only to join or to watch the peer.
    """

    instance: Name
    is_neighbour: bool = True


class Join(NamedTuple):
    """A request for the next instances on the ring, from one that starts.

    :param member: Entry of the sender.
    """

    member: Member


class Digest(NamedTuple):
    """Digest of the sender's membership table: first on a link of neighbours.

    :param buckets: Hashes of the entries of each bucket.
    """

    buckets: bytes


class Summary(NamedTuple):
    """The reply to a digest that differs.

    :param buckets: Digest of the sender's membership table.
    :param entries: Hashes of the entries in the buckets that differ.
    """

    buckets: bytes
    entries: bytes


class EntryRequest(NamedTuple):
    """A request for membership entries.

    :param name_hashes: Hashes of the names of the instances.
    """

    name_hashes: bytes


class Progress(NamedTuple):
    """What the sender knows of the store; part of other messages.

    :param table_version: Version of the routes; zero if it has none.
    :param position: Position of the store up to which it knows the targets.
    :param age_seconds: Time since this was known to be the newest position.
    """

    table_version: Count = 0
    position: StorePosition = NO_POSITION
    age_seconds: AgeSeconds = MAX_AGE_SECONDS


class Announcement(NamedTuple):
    """News that the sender knows more of the store than before.

    :param progress: What it knows.
    """

    progress: Progress


class Ping(NamedTuple):
    """A request that every live peer answers immediately.

    :param sent_seconds: Time of sending by the sender's clock.
    :param progress: What the sender knows of the store.
    """

    sent_seconds: ClockSeconds
    progress: Progress = Progress()


class Pong(NamedTuple):
    """The reply to a ping.

    :param echo_seconds: ``sent_seconds`` of the ping, unchanged.
    :param age_seconds: Age of the sender's configuration confirmation;
        negative if it has none.
    :param versions_digest: Hash of the current documents of all services.
    :param highest_revision: Highest revision that the sender has received
        from the configuration service.
    :param progress: What the sender knows of the store.
    """

    echo_seconds: ClockSeconds
    age_seconds: ClockSeconds
    versions_digest: HashDigest
    highest_revision: Count
    progress: Progress = Progress()


class Members(NamedTuple):
    """Known states of instances.

    :param members: Membership entries.
    """

    members: tuple[Member, ...]


class Versions(NamedTuple):
    """Current versions: all on a new link, then changes only.

    :param versions: Version of the current document by service name.
    """

    versions: dict[Name, Count]


class DocumentRequest(NamedTuple):
    """A request for the configuration document of a service.

    :param service: Name of the service.
    """

    service: Name


class Document(NamedTuple):
    """A configuration document, as it was published.

    :param body: Bytes of the document.
    """

    body: bytes


class TableRequest(NamedTuple):
    """A request for the routes.

    :param version: Version of the routes that the peer reported; zero if
        none is known.
    """

    version: Count


class Table(NamedTuple):
    """The routes, as they were published.

    :param compressed_body: Bytes of the published routes, compressed.
    """

    compressed_body: bytes


class TargetListRequest(NamedTuple):
    """A request for the list of targets.

    :param since: Position up to which the sender has the list.
    """

    since: StorePosition


class TargetList(NamedTuple):
    """The list of targets, or its changes since a position.

    :param listed: Entries and the position they belong to.
    """

    listed: EntryUpdate


class LeavingTargets(NamedTuple):
    """Targets that announced their departure: all on a new link, then changes.

    :param targets: The incarnations that are leaving.
    """

    targets: tuple[TargetIncarnation, ...]


class RequestRates(NamedTuple):
    """Request rates that targets state: all on a new link, then changes.

    :param stated: The last statement of each of the targets.
    """

    stated: tuple[StatedRate, ...]


class TargetEnds(NamedTuple):
    """Ends of targets that ran requests: all on a new link, then changes.

    :param ends: The ends, each with what it says of the request.
    """

    ends: tuple[TargetEnd, ...]


class ZoneChanges(NamedTuple):
    """Evacuations of zones, begun or ended: all on a new link, then changes.

    :param changes: The last known change of each of the zones.
    """

    changes: tuple[ZoneChange, ...]


class TargetReports(NamedTuple):
    """Observations of targets: all on a new link, then what is new.

    :param reports: The reports of instances.
    """

    reports: tuple[TargetReport, ...]


TargetMessage: TypeAlias = (
    TargetListRequest
    | TargetList
    | LeavingTargets
    | RequestRates
    | TargetEnds
    | ZoneChanges
    | TargetReports
)
Message: TypeAlias = (
    Hello
    | Join
    | Digest
    | Summary
    | EntryRequest
    | Announcement
    | Ping
    | Pong
    | Members
    | Versions
    | DocumentRequest
    | Document
    | TableRequest
    | Table
    | TargetMessage
    | HandoverMessage
)
