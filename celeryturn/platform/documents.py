"""Decoding of values in the platform's store into the product's types."""

import ipaddress
import re
from collections.abc import Mapping
from types import MappingProxyType
from typing import Annotated, Final, TypedDict, TypeVar

import msgspec

from celeryturn.decisions.load.cold_share import ColdStart
from celeryturn.decisions.request import route_table
from celeryturn.decisions.targets.replicas import TargetEntry
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.platform.node_settings import parse_endpoint
from celeryturn.schema import UNREADABLE_ERRORS
from celeryturn.units import Fraction, Integer, PositiveCount

# Prefix of all keys that operators write.
OPERATOR_PREFIX: Final = 'op/'
TABLE_KEY: Final = 'op/config'
EVACUATIONS_PREFIX: Final = 'op/evacuate/'
TARGETS_PREFIX: Final = 'servers/'
MILLISECONDS_PER_SECOND: Final = 1000
MAX_MILLISECONDS: Final = 86_400_000.0
MAX_WEIGHT: Final = 1e9
MAX_COLD_START_SECONDS: Final = 86_400.0
MAX_COLD_RATE_PER_SECOND: Final = 1e9
MAX_ZONE_CHARACTERS: Final = 256
# Instances tell each other the entries in messages of a limited size.
MAX_ENTRY_CHARACTERS: Final = 256

# What can be sent as a header that names the target.
_IDENTIFIER: Final = re.compile(
    '[!-~\x80-\xff]([ -~\x80-\xff]*[!-~\x80-\xff])?'
)

DocumentT = TypeVar('DocumentT')
_Text = Annotated[str, msgspec.Meta(min_length=1)]
_EntryText = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_ENTRY_CHARACTERS)
]
_Milliseconds = Annotated[float, msgspec.Meta(gt=0, le=MAX_MILLISECONDS)]
_Weight = Annotated[float, msgspec.Meta(ge=0, le=MAX_WEIGHT)]


class _PartBody(TypedDict):
    Service: _Text
    Weight: _Weight


class _RouteBody(TypedDict, total=False):
    Name: _Text
    Host: _Text
    Prefix: _Text
    # ``safe`` requests may run more than once, all other kinds at most once.
    Kind: _Text
    # Maximum time a caller waits, as allowed by the operator; not a limit on
    # the time a target takes.
    TimeoutMs: _Milliseconds
    TargetLatencyMs: _Milliseconds
    MaxAttempts: PositiveCount
    Priority: Integer
    Service: _Text
    Split: Annotated[list[_PartBody], msgspec.Meta(min_length=1)]
    Gather: Annotated[list[_Text], msgspec.Meta(min_length=1)]
    TopK: PositiveCount
    MinPartShare: Fraction


class _ServiceRequired(TypedDict):
    Name: _Text
    # Limit on the sum of the connections of all callers of one target.
    MaxConns: PositiveCount


class _ServiceBody(_ServiceRequired, total=False):
    ColdStartS: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_START_SECONDS)]
    # Requests from all callers that a target tolerates while it is cold.
    ColdPerS: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_RATE_PER_SECOND)]


class _LimitsBody(TypedDict):
    MaxHeaderBytes: PositiveCount
    MaxBodyBytes: PositiveCount
    # Time until the complete request has arrived, not only its header.
    HeaderTimeoutMs: _Milliseconds
    IdleTimeoutMs: _Milliseconds


class _TableBody(TypedDict):
    Version: Integer
    Routes: list[_RouteBody]
    Services: list[_ServiceBody]
    Limits: _LimitsBody


class _EntryRequired(TypedDict):
    Service: _EntryText
    Address: _EntryText
    Zone: _EntryText
    Slots: PositiveCount
    State: _EntryText
    # Increases with each write of one incarnation.
    Sequence: Integer


class _EntryBody(_EntryRequired, total=False):
    ColdLeftMs: Annotated[float, msgspec.Meta(ge=0, le=MAX_MILLISECONDS)]
    # Start time in Unix milliseconds, since an identifier may be reused.
    born: Integer


_table_decoder: Final = msgspec.json.Decoder(_TableBody)
_entry_decoder: Final = msgspec.json.Decoder(_EntryBody)
_IS_DRAINING_BY_STATE: Final[Mapping[str, bool]] = MappingProxyType(
    {'ready': False, 'draining': True}
)


def decode_table(encoded: bytes) -> route_table.RouteTable:
    """Decode the routing configuration that operators publish.

    :param encoded: Value of the configuration's key.
    :returns: The route table.
    :raises CeleryturnError: ``invalid_configuration`` if the value cannot be
        decoded or a route lacks a field.
    """
    body = _decode_value(_table_decoder, encoded)
    limits = body['Limits']
    return route_table.make_table(
        body['Version'],
        [_decode_route(route) for route in body['Routes']],
        {service['Name']: service['MaxConns'] for service in body['Services']},
        route_table.CallerLimits(
            head_bytes=limits['MaxHeaderBytes'],
            body_bytes=limits['MaxBodyBytes'],
            head_seconds=limits['HeaderTimeoutMs'] / MILLISECONDS_PER_SECOND,
            idle_seconds=limits['IdleTimeoutMs'] / MILLISECONDS_PER_SECOND,
        ),
        _make_cold_starts(body['Services']),
    )


def decode_entry(target: str, encoded: bytes) -> TargetEntry:
    """Decode the entry of a target.

    :param target: Identifier of the target, taken from the key.
    :param encoded: Value of the target's key.
    :returns: The entry.
    :raises CeleryturnError: ``invalid_configuration`` if the entry does not
        describe a usable target.
    """
    if not _IDENTIFIER.fullmatch(target):
        raise CeleryturnError(
            Kind.INVALID_CONFIGURATION,
            f'identifier cannot be sent in a header, got {target!r}',
        )
    body = _decode_value(_entry_decoder, encoded)
    endpoint = parse_endpoint(body['Address'])
    is_draining = _IS_DRAINING_BY_STATE.get(body['State'])
    if (
        endpoint is None
        or not _is_ip_address(endpoint.address)
        or is_draining is None
    ):
        raise CeleryturnError(
            Kind.INVALID_CONFIGURATION,
            'address must be IP:PORT and state must be ready or draining, got '
            f'address {body["Address"]!r}, state {body["State"]!r}',
        )
    return TargetEntry(
        target=target,
        service=body['Service'],
        address=endpoint.address,
        port=endpoint.port,
        zone=body['Zone'],
        slot_count=body['Slots'],
        is_draining=is_draining,
        cold_seconds=body.get('ColdLeftMs', 0) / MILLISECONDS_PER_SECOND,
        born_ms=body.get('born', 0),
        sequence=body['Sequence'],
    )


def decode_zone(key: str) -> str:
    """Decode the zone that a key requests to evacuate.

    :param key: A key with the prefix of the evacuations; its value is ignored.
    :returns: Name of the zone.
    :raises CeleryturnError: ``invalid_configuration`` if the name is empty or
        too long for the messages between instances.
    """
    zone = key.removeprefix(EVACUATIONS_PREFIX)
    if not 1 <= len(zone) <= MAX_ZONE_CHARACTERS:
        raise CeleryturnError(
            Kind.INVALID_CONFIGURATION,
            f'{key[:MAX_ZONE_CHARACTERS]}: the name of the zone must have 1 to '
            f'{MAX_ZONE_CHARACTERS} characters, got {len(zone)}',
        )
    return zone


def _is_ip_address(text: str) -> bool:
    # A host name would be looked up on each connection, and text that is not
    # even a host name raises errors other than those of a failed connection.
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _decode_value(
    decoder: msgspec.json.Decoder[DocumentT], encoded: bytes
) -> DocumentT:
    try:
        return decoder.decode(encoded)
    except UNREADABLE_ERRORS as error:
        raise CeleryturnError(
            Kind.INVALID_CONFIGURATION, f'value cannot be decoded: {error}'
        ) from error


def _make_cold_starts(services: list[_ServiceBody]) -> dict[str, ColdStart]:
    return {
        service['Name']: ColdStart(service['ColdStartS'], service['ColdPerS'])
        for service in services
        if 'ColdStartS' in service and 'ColdPerS' in service
    }


def _decode_route(body: _RouteBody) -> route_table.Route:
    try:
        return _make_route(body)
    except KeyError as error:
        raise CeleryturnError(
            Kind.INVALID_CONFIGURATION,
            f'route {body.get("Name")!r} must have the field {error}',
        ) from error


def _make_route(body: _RouteBody) -> route_table.Route:
    timeout_ms = body['TimeoutMs']
    return route_table.Route(
        name=body['Name'],
        host=body['Host'].lower(),
        prefix=body['Prefix'],
        is_idempotent=body['Kind'] == 'safe',
        timeout_seconds=timeout_ms / MILLISECONDS_PER_SECOND,
        objective_seconds=body.get('TargetLatencyMs', timeout_ms)
        / MILLISECONDS_PER_SECOND,
        attempt_limit=body.get('MaxAttempts', 1),
        priority=body.get('Priority', 0),
        services=_make_services(body),
        gather=_make_gather_plan(body),
    )


def _make_services(body: _RouteBody) -> tuple[route_table.WeightedService, ...]:
    if 'Gather' in body:
        return ()
    if 'Split' not in body:
        return (route_table.WeightedService(body['Service'], 1),)
    return tuple(
        route_table.WeightedService(part['Service'], part['Weight'])
        for part in body['Split']
    )


def _make_gather_plan(body: _RouteBody) -> route_table.GatherPlan | None:
    if 'Gather' not in body:
        return None
    return route_table.GatherPlan(
        shards=tuple(body['Gather']),
        record_count=body['TopK'],
        min_share=body.get('MinPartShare', 0),
    )
