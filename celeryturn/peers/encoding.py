"""Encoding of the messages between instances.

A message is a CBOR array: the protocol version, the code of the message type,
and the fields in order.  What a later build appends, fields as well as message
types, is ignored, so that instances of two builds form one fleet.
"""

import zlib
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

import cbor2
import msgspec

from celeryturn.errors import CeleryturnError, Kind
from celeryturn.peers import handover_messages, messages
from celeryturn.peers.messages import Message
from celeryturn.schema import drop_unknown_fields

PROTOCOL_VERSION: Final = 2
MAX_MESSAGE_BYTES: Final = 2_000_000
MAX_TABLE_BYTES: Final = 2_000_000
_HEADER_LENGTH: Final = 2

# A code is never used again for another type.
_TYPES_BY_CODE: Final[Mapping[int, type[Message]]] = MappingProxyType(
    {
        1: messages.Hello,
        2: messages.Join,
        3: messages.Digest,
        4: messages.Members,
        5: messages.Ping,
        6: messages.Pong,
        7: messages.Announcement,
        8: messages.Versions,
        9: messages.DocumentRequest,
        10: messages.Document,
        11: messages.TableRequest,
        12: messages.Table,
        13: messages.TargetListRequest,
        14: messages.TargetList,
        15: messages.LeavingTargets,
        16: messages.Summary,
        17: messages.EntryRequest,
        18: messages.RequestRates,
        19: handover_messages.Handover,
        20: handover_messages.HandoverReply,
        21: handover_messages.HandoverDecline,
        22: handover_messages.HandoverCancel,
        23: messages.TargetEnds,
        24: messages.ZoneChanges,
        25: messages.TargetReports,
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


def make_table(body: bytes) -> messages.Table:
    """Build the message that contains the routes.

    :param body: Bytes of the published routes.
    :returns: The message.
    """
    return messages.Table(zlib.compress(body))


def table_body(message: messages.Table) -> bytes:
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
