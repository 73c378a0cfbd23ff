"""Bookings: each one is sent to one target, at most once.

A booking is reported as not run only if that is certain.
"""

import asyncio
import functools
from typing import NamedTuple

from celeryturn.decisions.bookings import booking, booking_table
from celeryturn.decisions.configuration.document import serving_index, shard_of
from celeryturn.decisions.configuration.service_state import ServiceState
from celeryturn.decisions.load.admission import is_booking_expected_late
from celeryturn.decisions.load.limits import Urgency
from celeryturn.decisions.targets import views
from celeryturn.errors import CeleryturnError, Kind, Run
from celeryturn.events import BOOKING_ENDED, log
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.instance import Instance, get_service, require_accepting
from celeryturn.targets import links, wire


class BookingRequest(NamedTuple):
    """A booking request of a caller.

    :param service: Name of the service.
    :param booking_id: Booking identifier chosen by the caller; sent at most
        once.
    :param key: Key of the record.
    :param places_count: Number of places to book.
    :param deadline_seconds: Maximum time that the caller waits, relative to
        admission.
    """

    service: str
    booking_id: str
    key: str
    places_count: int
    deadline_seconds: float


class BookingAnswer(NamedTuple):
    """A booking that was run.

    :param booking_id: Booking identifier chosen by the caller.
    :param service: Name of the service.
    :param key: Key of the record.
    :param shard: Shard of the record.
    :param target: The home that ran the booking.
    :param epoch: Epoch of the home.
    :param configuration_version: Configuration version when the booking
        ended.
    :param run: Always ``run``.
    :param outcome: ``booked``.
    """

    booking_id: str
    service: str
    key: str
    shard: str
    target: str
    epoch: int
    configuration_version: int
    run: str
    outcome: str


class Sender:
    """State of sending one booking.

    :param instance: The instance.
    :param links: Links to targets.
    :param request: The booking request of the caller.
    :param plan: Target and deadline of the booking.
    :param outcome: Set once, when the exchange ends.
    :param is_withdrawn: Whether the caller has disconnected; the booking is
        no longer written then.
    """

    __slots__ = (
        'instance',
        'is_withdrawn',
        'links',
        'outcome',
        'plan',
        'request',
    )

    def __init__(
        self,
        instance: Instance,
        target_links: links.Links,
        request: BookingRequest,
        plan: booking.BookingPlan,
    ) -> None:
        self.instance = instance
        self.links = target_links
        self.request = request
        self.plan = plan
        self.is_withdrawn = False
        self.outcome: asyncio.Future[links.Outcome] = (
            asyncio.get_running_loop().create_future()
        )


async def book(
    instance: Instance, target_links: links.Links, request: BookingRequest
) -> BookingAnswer:
    """Run a booking at most once.

    If the caller disconnects before the write, the booking is withdrawn.
    After the write it runs to its outcome, which is recorded in the booking
    table.

    :param instance: The instance.
    :param target_links: Links to targets.
    :param request: The booking request of the caller.
    :returns: The booking that was run.
    :raises CeleryturnError: If the booking was not confirmed; the error
        states whether it was run, as far as that is known.
    """
    require_accepting(instance)
    _require_new_id(instance, request)
    sender = Sender(instance, target_links, request, _plan(instance, request))
    if not booking_table.begin(instance.bookings, request.booking_id):
        raise CeleryturnError(
            Kind.OVERLOADED, 'too many bookings are being sent'
        )
    task = asyncio.get_running_loop().create_task(_run(sender))
    instance.running.background_tasks.add(task)
    task.add_done_callback(instance.running.background_tasks.discard)
    try:
        outcome = await asyncio.shield(task)
    except asyncio.CancelledError:
        sender.is_withdrawn = True
        raise
    if isinstance(outcome, CeleryturnError):
        raise outcome
    return outcome


async def _run(sender: Sender) -> BookingAnswer | CeleryturnError:
    # Errors are returned rather than raised, because the caller may have
    # disconnected and nothing would then retrieve the exception.
    try:
        booked = _parse_outcome(await _send(sender))
    except CeleryturnError as error:
        _record_outcome(sender, error.answer.run, str(error.kind))
        return error
    _record_outcome(sender, Run.RUN, booked['outcome'])
    return _answer(sender, booked)


def _require_new_id(instance: Instance, request: BookingRequest) -> None:
    earlier = booking_table.earlier_outcome(
        instance.bookings, request.booking_id
    )
    if earlier is not None:
        raise CeleryturnError(
            booking_table.duplicate_kind(earlier),
            f'booking id {request.booking_id!r} was already sent; '
            f'its outcome: {earlier}',
        )


def _plan(instance: Instance, request: BookingRequest) -> booking.BookingPlan:
    service = get_service(instance, request.service)
    document = service.document
    shard = shard_of(serving_index(document), request.key)
    home = document.homes.get(shard)
    if home is None:
        raise CeleryturnError(Kind.NO_HOME, f'shard {shard} has no home')
    allowed_seconds = min(
        request.deadline_seconds, document.booking_deadline_seconds
    )
    plan = booking.BookingPlan(
        booking_id=request.booking_id,
        service=request.service,
        key=request.key,
        shard=shard,
        target=home.target,
        epoch=home.epoch,
        deadline_seconds=instance.clock() + allowed_seconds,
    )
    _require_writable(instance, service, plan)
    return plan


def _require_writable(
    instance: Instance, service: ServiceState, plan: booking.BookingPlan
) -> None:
    view = service.views.get(plan.target)
    known_state = booking.KnownState(
        document=service.document,
        confirmed_seconds=instance.freshness.confirmed_seconds,
        is_target_leaving=view is None or not views.can_receive_work(view),
    )
    kind = booking.write_refusal_kind(plan, known_state, instance.clock())
    if kind is not None:
        raise CeleryturnError(
            kind, f'shard {plan.shard}, home {plan.target}: booking not written'
        )


async def _send(sender: Sender) -> links.Outcome:
    exchange = _submit(sender)
    remaining_seconds = sender.plan.deadline_seconds - sender.instance.clock()
    stop = functools.partial(_stop, sender)
    sender.instance.running.stops.add(stop)
    try:
        return await asyncio.wait_for(sender.outcome, remaining_seconds)
    except TimeoutError as error:
        progress = links.cancel(sender.links, exchange)
        send_progress = booking.SendProgress(
            progress.is_written, is_reported_not_run=False
        )
        raise CeleryturnError(
            booking.failure_kind(send_progress),
            f'no reply from {sender.plan.target} in time',
        ) from error
    finally:
        sender.instance.running.stops.discard(stop)


def _stop(sender: Sender) -> None:
    if not sender.outcome.done():
        sender.outcome.set_exception(TimeoutError())


def _submit(sender: Sender) -> links.Exchange:
    plan = sender.plan
    service = get_service(sender.instance, plan.service)
    view = service.views[plan.target]
    target = service.document.targets[plan.target]
    link = links.get_or_create_link(
        sender.links, plan.service, plan.target, target, view
    )
    exchange = links.Exchange(
        plan.target,
        Urgency.URGENT,
        plan.deadline_seconds,
        lambda: _make_request(sender),
        lambda _ended, outcome: _set_outcome(sender, outcome),
    )
    remaining_seconds = plan.deadline_seconds - sender.instance.clock()
    is_refused = is_booking_expected_late(view, remaining_seconds)
    if is_refused or not links.submit(sender.links, link, exchange):
        raise CeleryturnError(
            Kind.OVERLOADED, f'too many requests are waiting for {plan.target}'
        )
    return exchange


def _make_request(sender: Sender) -> HttpRequest:
    # Called right before the write, so that a process that paused since
    # admission decides with its current state.
    if sender.is_withdrawn:
        raise CeleryturnError(
            Kind.DEADLINE_PASSED, 'the caller withdrew the booking'
        )
    service = get_service(sender.instance, sender.plan.service)
    _require_writable(sender.instance, service, sender.plan)
    return wire.build_book_request(
        sender.plan,
        sender.request.places_count,
        sender.instance.clock(),
    )


def _set_outcome(sender: Sender, outcome: links.Outcome) -> None:
    if not sender.outcome.done():
        sender.outcome.set_result(outcome)


def _parse_outcome(outcome: links.Outcome) -> wire.BookedBody:
    if isinstance(outcome, CeleryturnError):
        raise outcome
    try:
        booked = _parse_reply(outcome)
    except links.NotSentError as error:
        raise _failure_error(error, is_written=False) from error
    except wire.RefusalError as refusal:
        raise _failure_error(
            refusal,
            is_written=True,
            is_reported_not_run=refusal.is_reported_not_run,
        ) from refusal
    except OSError as error:
        raise _failure_error(error, is_written=True) from error
    if booked['outcome'] != 'booked':
        raise CeleryturnError(
            Kind.BOOKING_REFUSED,
            f'the target returned the outcome {booked["outcome"]}',
        )
    return booked


def _parse_reply(outcome: links.Outcome) -> wire.BookedBody:
    if isinstance(outcome, HttpReply):
        return wire.parse_booked(outcome)
    raise outcome


def _failure_error(
    cause: Exception, *, is_written: bool, is_reported_not_run: bool = False
) -> CeleryturnError:
    send_progress = booking.SendProgress(is_written, is_reported_not_run)
    return CeleryturnError(booking.failure_kind(send_progress), str(cause))


def _record_outcome(sender: Sender, run: Run, outcome: str) -> None:
    booking_id = sender.request.booking_id
    recorded_outcome = str(Run.NOT_RUN) if run is Run.NOT_RUN else outcome
    booking_table.finish(sender.instance.bookings, booking_id, recorded_outcome)
    log(
        BOOKING_ENDED,
        booking_id=booking_id,
        service=sender.plan.service,
        target=sender.plan.target,
        epoch=sender.plan.epoch,
        run=str(run),
        outcome=outcome,
    )


def _answer(sender: Sender, booked: wire.BookedBody) -> BookingAnswer:
    plan = sender.plan
    service = get_service(sender.instance, plan.service)
    return BookingAnswer(
        booking_id=plan.booking_id,
        service=plan.service,
        key=sender.request.key,
        shard=plan.shard,
        target=plan.target,
        epoch=plan.epoch,
        configuration_version=service.document.version,
        run=str(Run.RUN),
        outcome=booked['outcome'],
    )
