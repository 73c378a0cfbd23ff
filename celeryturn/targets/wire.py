"""Messages to and from targets: JSON over HTTP/1.1, see docs/TARGETS.md."""

from typing import Final, TypedDict

import msgspec

from celeryturn.decisions.bookings.booking import BookingPlan
from celeryturn.decisions.request.course import Attempt, Failure
from celeryturn.decisions.request.planning import QueryPlan
from celeryturn.decisions.targets.messages import Record, Reply
from celeryturn.decisions.targets.views import Report
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.schema import UNREADABLE_ERRORS

READ_PATH: Final = '/v1/read'
BOOK_PATH: Final = '/v1/book'
HEALTH_PATH: Final = '/v1/health'
OK: Final = 200


class ReportBody(TypedDict, total=False):
    """Status that a target reports in every reply."""

    queue_count: int
    oldest_snapshot: int
    newest_snapshot: int
    draining: bool
    boot: str


class ReadBody(TypedDict):
    """Body of a reply to a read."""

    service: str
    shard: str
    index_version: int
    snapshot: int
    records: list[Record]
    report: ReportBody


class RefusalBody(TypedDict, total=False):
    """Body of a refusal."""

    run: str
    reason: str
    report: ReportBody


class BookedBody(TypedDict):
    """Body of a reply to a booking that was run."""

    booking_id: str
    outcome: str
    report: ReportBody


_read_decoder: Final = msgspec.json.Decoder(ReadBody)
_refusal_decoder: Final = msgspec.json.Decoder(RefusalBody)
_booked_decoder: Final = msgspec.json.Decoder(BookedBody)
_health_decoder: Final = msgspec.json.Decoder(ReportBody)


class RefusalError(Exception):
    """A target refused a request, or its reply is unusable.

    :param failure: The corresponding failure of an attempt.
    :param is_reported_not_run: Whether the target reported that it did not
        run the request.
    :param report: Status reported by the target.
    """

    def __init__(
        self, failure: Failure, *, is_reported_not_run: bool, report: Report
    ) -> None:
        super().__init__(failure)
        self.failure = failure
        self.is_reported_not_run = is_reported_not_run
        self.report = report


def build_read_request(
    plan: QueryPlan, attempt: Attempt, now_seconds: float
) -> HttpRequest:
    """Build the sub-request of an attempt.

    :param plan: Plan of the query.
    :param attempt: The attempt, with its shard and target.
    :param now_seconds: Current time, from a fresh clock reading.
    :returns: The request, with the remaining time until the deadline.
    :raises CeleryturnError: ``deadline_passed`` if no time remains.
    """
    query_request = plan.request
    body = msgspec.json.encode(
        {
            'service': query_request.service,
            'shard': attempt.shard,
            'index_version': plan.pinned_index.version,
            'snapshot': plan.snapshot,
            'kind': query_request.kind,
            'key': query_request.key,
            'text': query_request.text,
            'limit_count': query_request.limit_count + 1,
            'schema_version': plan.pinned_index.schema_version,
        }
    )
    deadline_header = _deadline_header(plan.deadline_seconds, now_seconds)
    return HttpRequest('POST', READ_PATH, (deadline_header,), body)


def build_book_request(
    plan: BookingPlan, places_count: int, now_seconds: float
) -> HttpRequest:
    """Build the request of a booking.

    :param plan: Plan of the booking.
    :param places_count: Number of places to book.
    :param now_seconds: Current time, from a fresh clock reading.
    :returns: The request, with the remaining time until the deadline.
    :raises CeleryturnError: ``deadline_passed`` if no time remains.
    """
    body = msgspec.json.encode(
        {
            'booking_id': plan.booking_id,
            'service': plan.service,
            'shard': plan.shard,
            'epoch': plan.epoch,
            'key': plan.key,
            'places_count': places_count,
        }
    )
    deadline_header = _deadline_header(plan.deadline_seconds, now_seconds)
    return HttpRequest('POST', BOOK_PATH, (deadline_header,), body)


def parse_read(reply: HttpReply) -> Reply:
    """Decode a reply to a sub-request.

    :param reply: The complete HTTP reply.
    :returns: The decoded reply.
    :raises RefusalError: If the target refused or its reply is not valid.
    """
    if reply.status != OK:
        raise parse_refusal(reply)
    try:
        body = _read_decoder.decode(reply.body)
    except UNREADABLE_ERRORS as error:
        raise _bad_reply() from error
    return Reply(
        body['service'],
        body['shard'],
        body['index_version'],
        body['snapshot'],
        body['records'],
        parse_report(body['report']),
    )


def parse_booked(reply: HttpReply) -> BookedBody:
    """Decode a reply to a booking.

    :param reply: The complete HTTP reply.
    :returns: The decoded body; its outcome is ``booked`` or ``taken``.
    :raises RefusalError: If the target refused or its reply is not valid.
    """
    if reply.status != OK:
        raise parse_refusal(reply)
    try:
        return _booked_decoder.decode(reply.body)
    except UNREADABLE_ERRORS as error:
        raise _bad_reply() from error


def parse_health(reply: HttpReply) -> Report:
    """Decode a reply of the health endpoint.

    :param reply: The complete HTTP reply.
    :returns: Status reported by the target.
    :raises RefusalError: If the reply is not usable.
    """
    if reply.status != OK:
        raise _bad_reply()
    try:
        return parse_report(_health_decoder.decode(reply.body))
    except UNREADABLE_ERRORS as error:
        raise _bad_reply() from error


def parse_refusal(reply: HttpReply) -> RefusalError:
    """Decode a refusal.

    :param reply: The complete HTTP reply.
    :returns: The refusal; a bad reply without a report if the body cannot be
        decoded.
    """
    try:
        body = _refusal_decoder.decode(reply.body)
    except UNREADABLE_ERRORS:
        return _bad_reply()
    reason = body.get('reason', '')
    known_reasons = {failure.value for failure in Failure}
    failure = Failure(reason) if reason in known_reasons else Failure.BAD_REPLY
    return RefusalError(
        failure,
        is_reported_not_run=body.get('run') == 'not_run',
        report=parse_report(body.get('report', {})),
    )


def parse_report(body: ReportBody) -> Report:
    """Convert the status in a reply to a report.

    :param body: The decoded status.
    :returns: The report; missing fields have their defaults.
    """
    return Report(
        queue_count=body.get('queue_count', 0),
        oldest_snapshot=body.get('oldest_snapshot', 0),
        newest_snapshot=body.get('newest_snapshot', 0),
        draining=body.get('draining', False),
        boot=body.get('boot', ''),
    )


def _bad_reply() -> RefusalError:
    return RefusalError(
        Failure.BAD_REPLY, is_reported_not_run=False, report=Report()
    )


def _deadline_header(
    deadline_seconds: float, now_seconds: float
) -> tuple[str, str]:
    remaining_seconds = deadline_seconds - now_seconds
    if remaining_seconds <= 0:
        raise CeleryturnError(
            Kind.DEADLINE_PASSED,
            'the deadline passed before the request was sent',
        )
    return 'deadline-seconds', f'{remaining_seconds:.4f}'
