"""Typed messages between instances, and their codec."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, NamedTuple, TypeAlias

import cbor2

from celeryturn.decisions.entry_history import EntryUpdate
from celeryturn.decisions.membership import Member
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.schema import decode, encode
from celeryturn.units import Count, Name

PROTOCOL_VERSION: Final = 1
MAX_MESSAGE_BYTES: Final = 2_000_000
_TYPE_FIELD: Final = 'type'
_PROTOCOL_FIELD: Final = 'protocol'


class Hello(NamedTuple):
    """First message of a link.

    :param instance: Who speaks.
    """

    instance: Name


class Ping(NamedTuple):
    """A question that any live peer answers at once.

    :param sent_seconds: Time by the asker's clock.
    :param table_version: Version of the asker's routes; zero without.
    :param store_revision: Revision up to which it followed the store.
    """

    sent_seconds: float
    table_version: Count = 0
    store_revision: Count = 0


class Pong(NamedTuple):
    """The answer to a ping.

    :param echo_seconds: The asker's time, unchanged.
    :param age_seconds: Age of the speaker's confirmation; negative where
        it has none.
    :param versions_digest: Hash of all versions in force.
    :param highest_revision: Highest revision the service showed it.
    :param table_version: Version of its routes; zero without.
    :param store_revision: Revision up to which it followed the store.
    """

    echo_seconds: float
    age_seconds: float
    versions_digest: Count
    highest_revision: Count
    table_version: Count = 0
    store_revision: Count = 0


class Members(NamedTuple):
    """Beliefs about instances: all on a new link, then what changes.

    :param members: Entries.
    """

    members: tuple[Member, ...]


class Versions(NamedTuple):
    """Versions in force: all on a new link, then what changes.

    :param versions: Version by service.
    """

    versions: dict[Name, Count]


class Want(NamedTuple):
    """A request for a document.

    :param service: Name of the service.
    """

    service: Name


class Document(NamedTuple):
    """A document, as it was published.

    :param body: Its bytes.
    """

    body: bytes


class WantTable(NamedTuple):
    """A request for the routes.

    :param version: The version that was heard of.
    """

    version: Count


class Table(NamedTuple):
    """The routes, as they were published.

    :param body: Their bytes.
    """

    body: bytes


class WantListed(NamedTuple):
    """A request for the list of targets.

    :param since_revision: Up to here the asker knows it; zero for all.
    """

    since_revision: Count


class TargetList(NamedTuple):
    """The list of targets, or what changed in it.

    :param listed: Entries.
    """

    listed: EntryUpdate


Message: TypeAlias = (
    Hello
    | Ping
    | Pong
    | Members
    | Versions
    | Want
    | Document
    | WantTable
    | Table
    | WantListed
    | TargetList
)

_TYPES: Final[Mapping[str, type[Message]]] = MappingProxyType(
    {
        'hello': Hello,
        'ping': Ping,
        'pong': Pong,
        'members': Members,
        'versions': Versions,
        'want': Want,
        'document': Document,
        'want_table': WantTable,
        'table': Table,
        'want_listed': WantListed,
        'target_list': TargetList,
    }
)
_NAMES: Final[Mapping[type[Message], str]] = MappingProxyType(
    {shape: name for name, shape in _TYPES.items()}
)


def pack(message: Message) -> bytes:
    """Encode a message.

    :param message: The message.
    :returns: One CBOR map.
    """
    fields = encode(message)
    envelope = {
        _TYPE_FIELD: _NAMES[type(message)],
        _PROTOCOL_FIELD: PROTOCOL_VERSION,
        'fields': fields,
    }
    return cbor2.dumps(envelope)


def unpack(encoded: bytes) -> Message:
    """Decode a message.

    :param encoded: What came in.
    :returns: The message.
    :raises CeleryturnError: ``peer_protocol`` or ``peer_too_large``.
    """
    if len(encoded) > MAX_MESSAGE_BYTES:
        raise CeleryturnError(
            Kind.PEER_TOO_LARGE,
            f'{len(encoded)} bytes; at most {MAX_MESSAGE_BYTES} are read',
        )
    envelope = _loads(encoded)
    protocol = envelope.get(_PROTOCOL_FIELD)
    if protocol != PROTOCOL_VERSION:
        raise CeleryturnError(
            Kind.PEER_PROTOCOL,
            f'protocol {protocol!r}; this instance speaks {PROTOCOL_VERSION}',
        )
    name = envelope.get(_TYPE_FIELD)
    shape = _TYPES.get(name) if isinstance(name, str) else None
    if shape is None:
        raise CeleryturnError(Kind.PEER_PROTOCOL, f'no message type {name!r}')
    return _decode(shape, envelope.get('fields'))


def _loads(encoded: bytes) -> Mapping[object, object]:
    try:
        envelope = cbor2.loads(encoded)
    # The library lets errors of its hooks and of huge sizes through.
    except Exception as error:
        raise CeleryturnError(
            Kind.PEER_PROTOCOL, f'not CBOR: {error}'
        ) from error
    if not isinstance(envelope, Mapping):
        raise CeleryturnError(Kind.PEER_PROTOCOL, 'not a map')
    return envelope


def _decode(shape: type[Message], fields: object) -> Message:
    decoded = decode(shape, fields)
    if decoded.parsed is None:
        raise CeleryturnError(
            Kind.PEER_PROTOCOL, 'fields of a message', decoded.faults
        )
    return decoded.parsed
