"""Bodies of callers' requests, and how they become questions."""

from typing import Annotated, Final, NamedTuple, TypeVar

import msgspec

from celeryturn.commands.book import BookingRequest
from celeryturn.decisions.planning import QueryKind, QueryRequest
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.http.messages import HttpRequest, split_url
from celeryturn.schema import decode
from celeryturn.units import Key, Name

BodyT = TypeVar('BodyT')

DEFAULT_DEADLINE_SECONDS: Final = 2.0
MOST_RECORDS: Final = 1000
DEFAULT_RECORDS: Final = 100
MOST_CHARACTERS: Final = 200

Text = Annotated[str, msgspec.Meta(max_length=MOST_CHARACTERS)]
RecordCount = Annotated[int, msgspec.Meta(ge=1, le=MOST_RECORDS)]
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
    """A question for the next free place, at one site or anywhere."""

    service: Name
    site: Text = ''
    deadline_seconds: Deadline = DEFAULT_DEADLINE_SECONDS


class RecordBody(NamedTuple):
    """A question for one record."""

    service: Name
    key: Key
    deadline_seconds: Deadline = DEFAULT_DEADLINE_SECONDS


class BookBody(NamedTuple):
    """A booking."""

    service: Name
    booking_id: Key
    key: Key
    places_count: PlacesCount = 1
    deadline_seconds: Deadline = DEFAULT_DEADLINE_SECONDS


class AdviceQuery(NamedTuple):
    """A question for addresses; a query string."""

    caller: Text = ''
    zone: Text = ''


class ExplainQuery(NamedTuple):
    """A question for the plan of a query; a query string."""

    service: Name
    kind: QueryKind = QueryKind.SEARCH
    key: Text = ''


def read_body(shape: type[BodyT], request: HttpRequest) -> BodyT:
    """Decode the JSON body of a request.

    :param shape: The named tuple that it must be.
    :param request: The request.
    :returns: The decoded body.
    :raises CeleryturnError: ``bad_request`` with every fault.
    """
    try:
        raw = msgspec.json.decode(request.body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise CeleryturnError(
            Kind.BAD_REQUEST, f'the body is not JSON: {error}'
        ) from error
    return _require(shape, raw)


def read_query(shape: type[BodyT], request: HttpRequest) -> BodyT:
    """Decode the query string of a request.

    :param shape: The named tuple that it must be.
    :param request: The request.
    :returns: The decoded fields.
    :raises CeleryturnError: ``bad_request`` with every fault.
    """
    _, fields = split_url(request.url)
    return _require(shape, fields)


def search_ask(body: SearchBody) -> QueryRequest:
    """Turn a search into a question.

    :param body: The decoded body.
    :returns: The question.
    :raises CeleryturnError: ``deadline_passed``.
    """
    return QueryRequest(
        QueryKind.SEARCH,
        body.service,
        key='',
        text=body.text,
        shards=body.shards,
        limit_count=body.limit_count,
        deadline_seconds=_ahead(body.deadline_seconds),
    )


def quickcheck_ask(body: QuickcheckBody) -> QueryRequest:
    """Turn a quick-check into a question for one record.

    :param body: The decoded body.
    :returns: The question.
    :raises CeleryturnError: ``deadline_passed``.
    """
    return _single_ask(QueryKind.QUICKCHECK, body, body.site)


def record_ask(body: RecordBody) -> QueryRequest:
    """Turn a record read into a question.

    :param body: The decoded body.
    :returns: The question.
    :raises CeleryturnError: ``deadline_passed``.
    """
    return _single_ask(QueryKind.RECORD, body, body.key)


def booking_ask(body: BookBody) -> BookingRequest:
    """Turn a booking into a question.

    :param body: The decoded body.
    :returns: The question.
    :raises CeleryturnError: ``deadline_passed``.
    """
    return BookingRequest(
        service=body.service,
        booking_id=body.booking_id,
        key=body.key,
        places_count=body.places_count,
        deadline_seconds=_ahead(body.deadline_seconds),
    )


def explain_ask(query: ExplainQuery) -> QueryRequest:
    """Turn an operator's question into the one to be explained.

    :param query: The decoded query string.
    :returns: The question.
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


def _single_ask(
    kind: QueryKind, body: QuickcheckBody | RecordBody, key: str
) -> QueryRequest:
    return QueryRequest(
        kind,
        body.service,
        key=key,
        text='',
        shards=(),
        limit_count=1,
        deadline_seconds=_ahead(body.deadline_seconds),
    )


def _ahead(deadline_seconds: float) -> float:
    if deadline_seconds <= 0:
        raise CeleryturnError(
            Kind.DEADLINE_PASSED,
            f'deadline_seconds is {deadline_seconds}; it counts from now',
        )
    return deadline_seconds


def _require(shape: type[BodyT], raw: object) -> BodyT:
    decoded = decode(shape, raw)
    if decoded.shape is None:
        raise CeleryturnError(
            Kind.BAD_REQUEST,
            f'{len(decoded.faults)} faults in the request',
            decoded.faults,
        )
    return decoded.shape
