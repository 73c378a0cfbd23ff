"""Typed messages between instances and their encoding."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, NamedTuple, TypeAlias

import cbor2

from celeryturn.decisions.fleet.membership import Member
from celeryturn.decisions.targets.departures import TargetIncarnation
from celeryturn.decisions.targets.entry_history import EntryUpdate
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.schema import decode, encode
from celeryturn.units import ClockSeconds, Count, Digest, Name

PROTOCOL_VERSION: Final = 1
MAX_MESSAGE_BYTES: Final = 2_000_000
_TYPE_FIELD: Final = 'type'
_PROTOCOL_FIELD: Final = 'protocol'


class Hello(NamedTuple):
    """First message on a link.

    :param instance: Name of the sender.
    """

    instance: Name


class Ping(NamedTuple):
    """A request that every live peer answers immediately.

    :param sent_seconds: Time of sending by the sender's clock.
    :param table_version: Version of the sender's routes; zero if it has
        none.
    :param store_revision: Revision up to which the sender has followed the
        store.
    """

    sent_seconds: ClockSeconds
    table_version: Count = 0
    store_revision: Count = 0


class Pong(NamedTuple):
    """The reply to a ping.

    :param echo_seconds: ``sent_seconds`` of the ping, unchanged.
    :param age_seconds: Age of the sender's configuration confirmation;
        negative if it has none.
    :param versions_digest: Hash of the current documents of all services.
    :param highest_revision: Highest revision that the sender has received
        from the configuration service.
    :param table_version: Version of the sender's routes; zero if it has
        none.
    :param store_revision: Revision up to which the sender has followed the
        store.
    """

    echo_seconds: ClockSeconds
    age_seconds: ClockSeconds
    versions_digest: Digest
    highest_revision: Count
    table_version: Count = 0
    store_revision: Count = 0


class Members(NamedTuple):
    """Known states of instances: all on a new link, then changes only.

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

    :param body: Bytes of the published routes.
    """

    body: bytes


class TargetListRequest(NamedTuple):
    """A request for the list of targets.

    :param since_revision: Revision up to which the sender has the list;
        zero requests the whole list.
    """

    since_revision: Count


class TargetList(NamedTuple):
    """The list of targets, or its changes since a revision.

    :param listed: Entries and the revision they belong to.
    """

    listed: EntryUpdate


class LeavingTargets(NamedTuple):
    """Targets that announced their departure: all on a new link, then changes.

    :param targets: The incarnations that are leaving.
    """

    targets: tuple[TargetIncarnation, ...]


Message: TypeAlias = (
    Hello
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

_TYPES_BY_NAME: Final[Mapping[str, type[Message]]] = MappingProxyType(
    {
        'hello': Hello,
        'ping': Ping,
        'pong': Pong,
        'members': Members,
        'versions': Versions,
        'want': DocumentRequest,
        'document': Document,
        'want_table': TableRequest,
        'table': Table,
        'want_listed': TargetListRequest,
        'target_list': TargetList,
        'leaving_targets': LeavingTargets,
    }
)
_NAMES_BY_TYPE: Final[Mapping[type[Message], str]] = MappingProxyType(
    {shape: name for name, shape in _TYPES_BY_NAME.items()}
)


def pack(message: Message) -> bytes:
    """Encode a message.

    :param message: The message.
    :returns: The message as one CBOR map.
    """
    fields = encode(message)
    envelope = {
        _TYPE_FIELD: _NAMES_BY_TYPE[type(message)],
        _PROTOCOL_FIELD: PROTOCOL_VERSION,
        'fields': fields,
    }
    return cbor2.dumps(envelope)


def unpack(encoded: bytes) -> Message:
    """Decode a message.

    :param encoded: The received bytes.
    :returns: The message.
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
    protocol = envelope.get(_PROTOCOL_FIELD)
    if protocol != PROTOCOL_VERSION:
        raise CeleryturnError(
            Kind.PEER_PROTOCOL,
            f'protocol version {protocol!r} is not supported; '
            f'this instance uses version {PROTOCOL_VERSION}',
        )
    name = envelope.get(_TYPE_FIELD)
    message_type = _TYPES_BY_NAME.get(name) if isinstance(name, str) else None
    if message_type is None:
        raise CeleryturnError(
            Kind.PEER_PROTOCOL, f'unknown message type {name!r}'
        )
    return _decode_fields(message_type, envelope.get('fields'))


def _load_envelope(encoded: bytes) -> Mapping[object, object]:
    try:
        envelope = cbor2.loads(encoded)
    # cbor2 does not wrap the errors of its hooks and of huge sizes.
    except Exception as error:
        raise CeleryturnError(
            Kind.PEER_PROTOCOL, f'message is not valid CBOR: {error}'
        ) from error
    if not isinstance(envelope, Mapping):
        raise CeleryturnError(Kind.PEER_PROTOCOL, 'message must be a CBOR map')
    return envelope


def _decode_fields(shape: type[Message], fields: object) -> Message:
    decoded = decode(shape, fields)
    if decoded.parsed is None:
        raise CeleryturnError(
            Kind.PEER_PROTOCOL, 'message has invalid fields', decoded.faults
        )
    return decoded.parsed
