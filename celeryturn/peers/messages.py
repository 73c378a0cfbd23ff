"""Typed messages between instances and their encoding.

A message is a CBOR array: the protocol version, the code of the message type,
and the fields in order.  What a later build appends, fields as well as message
types, is ignored, so that instances of two builds form one fleet.
"""

import zlib
from collections.abc import Mapping
from types import MappingProxyType
from typing import Annotated, Final, NamedTuple, TypeAlias

import cbor2
import msgspec

from celeryturn.decisions.fleet.membership import Member
from celeryturn.decisions.store_position import NO_POSITION, StorePosition
from celeryturn.decisions.targets.departures import TargetIncarnation
from celeryturn.decisions.targets.entry_history import EntryUpdate
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.schema import drop_unknown_fields
from celeryturn.units import ClockSeconds, Count, Name
from celeryturn.units import Digest as HashDigest

PROTOCOL_VERSION: Final = 2
MAX_MESSAGE_BYTES: Final = 2_000_000
MAX_TABLE_BYTES: Final = 2_000_000
MAX_AGE_SECONDS: Final = 1e6
_HEADER_LENGTH: Final = 2

AgeSeconds: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MAX_AGE_SECONDS)]


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
    | TargetListRequest
    | TargetList
    | LeavingTargets
)

# A code is never used again for another type.
_TYPES_BY_CODE: Final[Mapping[int, type[Message]]] = MappingProxyType(
    {
        1: Hello,
        2: Join,
        3: Digest,
        4: Members,
        5: Ping,
        6: Pong,
        7: Announcement,
        8: Versions,
        9: DocumentRequest,
        10: Document,
        11: TableRequest,
        12: Table,
        13: TargetListRequest,
        14: TargetList,
        15: LeavingTargets,
        16: Summary,
        17: EntryRequest,
    }
)
_CODES_BY_TYPE: Final[Mapping[type[Message], int]] = MappingProxyType(
    {shape: code for code, shape in _TYPES_BY_CODE.items()}
)


def pack(message: Message) -> bytes:
    """Encode a message.

    :param message: The message.
    :returns: The message as one CBOR array.
    """
    code = _CODES_BY_TYPE[type(message)]
    return cbor2.dumps([PROTOCOL_VERSION, code, *message])


def unpack(encoded: bytes) -> Message | None:
    """Decode a message.

    :param encoded: The received bytes.
    :returns: The message; ``None`` if this build does not know its type.
    :raises CeleryturnError: ``peer_protocol`` if the message is not valid;
        ``peer_too_large`` if it exceeds :data:`MAX_MESSAGE_BYTES`.
    """
    if len(encoded) > MAX_MESSAGE_BYTES:
        raise CeleryturnError(
            Kind.PEER_TOO_LARGE,
            f'{len(encoded)} bytes in one message; '
            f'at most {MAX_MESSAGE_BYTES} are allowed',
        )
    envelope = _load_envelope(encoded)
    protocol, code = envelope[:_HEADER_LENGTH]
    if protocol != PROTOCOL_VERSION:
        raise CeleryturnError(
            Kind.PEER_PROTOCOL,
            f'protocol version {protocol!r} is not supported; '
            f'this instance uses version {PROTOCOL_VERSION}',
        )
    if not isinstance(code, int):
        raise CeleryturnError(
            Kind.PEER_PROTOCOL, 'the message type must be a number'
        )
    message_type = _TYPES_BY_CODE.get(code)
    if message_type is None:
        return None
    return _decode_fields(message_type, envelope[_HEADER_LENGTH:])


def make_table(body: bytes) -> Table:
    """Build the message that contains the routes.

    :param body: Bytes of the published routes.
    :returns: The message.
    """
    return Table(zlib.compress(body))


def table_body(message: Table) -> bytes:
    """Return the routes that a message contains.

    :param message: The message.
    :returns: Bytes of the published routes.
    :raises CeleryturnError: ``peer_protocol`` if they cannot be decompressed
        or are larger than :data:`MAX_TABLE_BYTES`.
    """
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(message.compressed_body, MAX_TABLE_BYTES)
    except zlib.error as error:
        raise CeleryturnError(
            Kind.PEER_PROTOCOL, f'routes cannot be decompressed: {error}'
        ) from error
    if not decompressor.eof:
        raise CeleryturnError(
            Kind.PEER_PROTOCOL,
            f'routes are incomplete or larger than {MAX_TABLE_BYTES} bytes',
        )
    return body


def _load_envelope(encoded: bytes) -> list[object]:
    try:
        envelope = cbor2.loads(encoded)
    # cbor2 does not wrap the errors of its hooks and of huge sizes.
    except Exception as error:
        raise CeleryturnError(
            Kind.PEER_PROTOCOL, f'message is not valid CBOR: {error}'
        ) from error
    if not isinstance(envelope, list) or len(envelope) < _HEADER_LENGTH:
        raise CeleryturnError(
            Kind.PEER_PROTOCOL,
            'message must be a CBOR array of a protocol version, a type and'
            ' fields; builds with protocol version 1 send maps',
        )
    return envelope


def _decode_fields(shape: type[Message], fields: list[object]) -> Message:
    try:
        return msgspec.convert(drop_unknown_fields(shape, fields), shape)
    except msgspec.ValidationError as error:
        raise CeleryturnError(
            Kind.PEER_PROTOCOL, f'message has invalid fields: {error}'
        ) from error
