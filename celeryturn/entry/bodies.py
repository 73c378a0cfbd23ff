"""Decoding of callers' requests into query and booking requests."""

from typing import Annotated, Final, NamedTuple, TypeVar

import msgspec

from celeryturn.commands.book import BookingRequest
from celeryturn.decisions.request.planning import QueryKind, QueryRequest
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.http.messages import HttpRequest, split_url
from celeryturn.schema import UNREADABLE_ERRORS, decode
from celeryturn.units import Key, Name

BodyT = TypeVar('BodyT')

DEFAULT_DEADLINE_SECONDS: Final = 2.0
MAX_RECORDS: Final = 1000
DEFAULT_RECORDS: Final = 100
MAX_TEXT_CHARACTERS: Final = 200

Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARACTERS)]
RecordCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_RECORDS)]
PlacesCount = Annotated[int, msgspec.Meta(ge=1, le=100)]
Deadline = Annotated[float, msgspec.Meta(le=60)]


class SearchBody(NamedTuple):
    """A search over all shards of a service."""

    service: Name
    text: Text = ''
    shards: tuple[Name, ...] = ()
    limit_count: RecordCount = DEFAULT_RECORDS
    deadline_seconds: Deadline = DEFAULT_DEADLINE_SECONDS


class QuickcheckBody(NamedTuple):
    """A request for the next free place, at one site or at any site."""

    service: Name
    site: Text = ''
    deadline_seconds: Deadline = DEFAULT_DEADLINE_SECONDS


class RecordBody(NamedTuple):
    """A request for one record."""

    service: Name
    key: Key
    deadline_seconds: Deadline = DEFAULT_DEADLINE_SECONDS


class BookBody(NamedTuple):
    """A request for a booking."""

    service: Name
    booking_id: Key
    key: Key
    places_count: PlacesCount = 1
    deadline_seconds: Deadline = DEFAULT_DEADLINE_SECONDS


class AdviceQuery(NamedTuple):
    """Query string of a request for the addresses of instances."""

    caller: Text = ''
    zone: Text = ''


class ExplainQuery(NamedTuple):
    """Query string of a request for the plan of a query."""

    service: Name
    kind: QueryKind = QueryKind.SEARCH
    key: Text = ''


def read_body(shape: type[BodyT], request: HttpRequest) -> BodyT:
    """Decode the JSON body of a request.

    :param shape: Named tuple class to decode into.
    :param request: The request.
    :returns: The decoded body.
    :raises CeleryturnError: ``bad_request`` with all faults.
    """
    try:
        raw = msgspec.json.decode(request.body)
    except UNREADABLE_ERRORS as error:
        raise CeleryturnError(
            Kind.BAD_REQUEST, f'the body must be JSON: {error}'
        ) from error
    return _decode_or_raise(shape, raw)


def read_query(shape: type[BodyT], request: HttpRequest) -> BodyT:
    """Decode the query string of a request.

    :param shape: Named tuple class to decode into.
    :param request: The request.
    :returns: The decoded fields.
    :raises CeleryturnError: ``bad_request`` with all faults.
    """
    _, fields = split_url(request.url)
    return _decode_or_raise(shape, fields)


def make_search_request(body: SearchBody) -> QueryRequest:
    """Build the query request of a search.

    :param body: The decoded body.
    :returns: The request.
    :raises CeleryturnError: ``deadline_passed`` if the deadline is not
        greater than zero.
    """
    return QueryRequest(
        QueryKind.SEARCH,
        body.service,
        key='',
        text=body.text,
        shards=body.shards,
        limit_count=body.limit_count,
        deadline_seconds=_require_positive_deadline(body.deadline_seconds),
    )


def make_quickcheck_request(body: QuickcheckBody) -> QueryRequest:
    """Build the query request of a quick-check, which returns one record.

    :param body: The decoded body.
    :returns: The request.
    :raises CeleryturnError: ``deadline_passed`` if the deadline is not
        greater than zero.
    """
    return _make_single_record_request(QueryKind.QUICKCHECK, body, body.site)


def make_record_request(body: RecordBody) -> QueryRequest:
    """Build the query request of a record read.

    :param body: The decoded body.
    :returns: The request.
    :raises CeleryturnError: ``deadline_passed`` if the deadline is not
        greater than zero.
    """
    return _make_single_record_request(QueryKind.RECORD, body, body.key)


def make_booking_request(body: BookBody) -> BookingRequest:
    """Build the booking request of a booking.

    :param body: The decoded body.
    :returns: The request.
    :raises CeleryturnError: ``deadline_passed`` if the deadline is not
        greater than zero.
    """
    return BookingRequest(
        service=body.service,
        booking_id=body.booking_id,
        key=body.key,
        places_count=body.places_count,
        deadline_seconds=_require_positive_deadline(body.deadline_seconds),
    )


def make_explain_request(query: ExplainQuery) -> QueryRequest:
    """Build the query request whose plan an operator wants explained.

    :param query: The decoded query string.
    :returns: The query request.
    """
    return QueryRequest(
        query.kind,
        query.service,
        key=query.key,
        text='',
        shards=(),
        limit_count=DEFAULT_RECORDS,
        deadline_seconds=DEFAULT_DEADLINE_SECONDS,
    )


def _make_single_record_request(
    kind: QueryKind, body: QuickcheckBody | RecordBody, key: str
) -> QueryRequest:
    return QueryRequest(
        kind,
        body.service,
        key=key,
        text='',
        shards=(),
        limit_count=1,
        deadline_seconds=_require_positive_deadline(body.deadline_seconds),
    )


def _require_positive_deadline(deadline_seconds: float) -> float:
    if deadline_seconds <= 0:
        raise CeleryturnError(
            Kind.DEADLINE_PASSED,
            f'deadline_seconds must be greater than 0, got {deadline_seconds}; '
            'it counts from now',
        )
    return deadline_seconds


def _decode_or_raise(shape: type[BodyT], raw: object) -> BodyT:
    decoded = decode(shape, raw)
    if decoded.parsed is None:
        raise CeleryturnError(
            Kind.BAD_REQUEST,
            f'{len(decoded.faults)} faults in the request',
            decoded.faults,
        )
    return decoded.parsed
