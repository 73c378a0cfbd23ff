"""Book: one target, one send, and an honest word on what became of it."""

import asyncio
from typing import NamedTuple

from celeryturn.decisions import booking, booking_table, views
from celeryturn.decisions.admission import is_booking_expected_late
from celeryturn.decisions.document import serving_index, shard_of
from celeryturn.decisions.limits import Urgency
from celeryturn.decisions.service_state import ServiceState
from celeryturn.errors import CeleryturnError, Kind, Run
from celeryturn.events import BOOKING_ENDED, log
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.instance import Instance, get_service
from celeryturn.targets import links, wire


class BookingAsk(NamedTuple):
    """What a caller asks.

    :param service: Name of the service.
    :param booking_id: The caller's identifier; one is sent at most once.
    :param key: Key of the record.
    :param places_count: How many places.
    :param deadline_seconds: Longest wait the caller accepts, relative.
    """

    service: str
    booking_id: str
    key: str
    places_count: int
    deadline_seconds: float


class BookingAnswer(NamedTuple):
    """A booking that was run.

    :param booking_id: The caller's identifier.
    :param service: Name of the service.
    :param key: Key of the record.
    :param shard: Shard of the record.
    :param target: The home that ran it.
    :param epoch: The home's epoch.
    :param configuration_version: Configuration it was planned under.
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
    """The sending of one booking.

    :param instance: The instance.
    :param links: Links to targets.
    :param ask: What the caller asks.
    :param plan: Where it is to be written.
    :param outcome: Set once, when the exchange ends.
    :param is_withdrawn: Whether the caller went away; nothing is written
        after that.
    """

    __slots__ = (
        'ask',
        'instance',
        'is_withdrawn',
        'links',
        'outcome',
        'plan',
    )

    def __init__(
        self,
        instance: Instance,
        target_links: links.Links,
        ask: BookingAsk,
        plan: booking.BookingPlan,
    ) -> None:
        self.instance = instance
        self.links = target_links
        self.ask = ask
        self.plan = plan
        self.is_withdrawn = False
        self.outcome: asyncio.Future[links.Outcome] = (
            asyncio.get_running_loop().create_future()
        )


async def book(
    instance: Instance, target_links: links.Links, ask: BookingAsk
) -> BookingAnswer:
    """Run a booking at most once.

    A caller that goes away before the write withdraws it; after the write
    it runs to its outcome, which the table of bookings keeps.

    :param instance: The instance.
    :param target_links: Links to targets.
    :param ask: What the caller asks.
    :returns: The booking that was run.
    :raises CeleryturnError: With what is known about whether it was run.
    """
    _require_new(instance, ask)
    sender = Sender(instance, target_links, ask, _plan(instance, ask))
    booking_table.begin(instance.bookings, ask.booking_id)
    task = asyncio.get_running_loop().create_task(_run(sender))
    instance.background_tasks.add(task)
    task.add_done_callback(instance.background_tasks.discard)
    try:
        outcome = await asyncio.shield(task)
    except asyncio.CancelledError:
        sender.is_withdrawn = True
        raise
    if isinstance(outcome, CeleryturnError):
        raise outcome
    return outcome


async def _run(sender: Sender) -> BookingAnswer | CeleryturnError:
    # Errors are returned: nobody may be left to raise them to.
    try:
        booked = _read_outcome(await _send(sender))
    except CeleryturnError as error:
        _finish(sender, error.answer.run, str(error.kind))
        return error
    _finish(sender, Run.RUN, booked['outcome'])
    return _answer(sender, booked)


def _require_new(instance: Instance, ask: BookingAsk) -> None:
    earlier = booking_table.earlier_outcome(instance.bookings, ask.booking_id)
    if earlier is not None:
        raise CeleryturnError(
            booking_table.duplicate_kind(earlier),
            f'booking id {ask.booking_id!r} was sent before: {earlier}',
        )


def _plan(instance: Instance, ask: BookingAsk) -> booking.BookingPlan:
    service = get_service(instance, ask.service)
    document = service.document
    shard = shard_of(serving_index(document), ask.key)
    home = document.homes.get(shard)
    if home is None:
        raise CeleryturnError(Kind.NO_HOME, f'shard {shard} has no home')
    allowed_seconds = min(
        ask.deadline_seconds, document.booking_deadline_seconds
    )
    plan = booking.BookingPlan(
        booking_id=ask.booking_id,
        service=ask.service,
        key=ask.key,
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
    belief = booking.KnownState(
        document=service.document,
        confirmed_seconds=instance.freshness.confirmed_seconds,
        is_target_leaving=view is None or not views.can_receive_work(view),
    )
    kind = booking.write_refusal_kind(plan, belief, instance.clock())
    if kind is not None:
        raise CeleryturnError(
            kind, f'shard {plan.shard}, home {plan.target}: not written'
        )


async def _send(sender: Sender) -> links.Outcome:
    exchange = _submit(sender)
    left_seconds = sender.plan.deadline_seconds - sender.instance.clock()
    try:
        return await asyncio.wait_for(sender.outcome, left_seconds)
    except TimeoutError as error:
        progress = links.cancel(sender.links, exchange)
        sending = booking.SendProgress(
            progress.is_written, is_reported_not_run=False
        )
        raise CeleryturnError(
            booking.failure_kind(sending),
            f'no answer of {sender.plan.target} within the deadline',
        ) from error


def _submit(sender: Sender) -> links.Exchange:
    plan = sender.plan
    service = get_service(sender.instance, plan.service)
    view = service.views[plan.target]
    target = service.document.targets[plan.target]
    link = links.link_to(sender.links, plan.service, plan.target, target, view)
    exchange = links.Exchange(
        plan.target,
        Urgency.URGENT,
        plan.deadline_seconds,
        lambda: _make_request(sender),
        lambda _ended, outcome: _settle(sender, outcome),
    )
    left_seconds = plan.deadline_seconds - sender.instance.clock()
    is_refused = is_booking_expected_late(view, left_seconds)
    if is_refused or not links.submit(sender.links, link, exchange):
        raise CeleryturnError(
            Kind.OVERLOADED, f'too much is waiting for {plan.target}'
        )
    return exchange


def _make_request(sender: Sender) -> HttpRequest:
    # Called right before the write: a process that paused since admission
    # decides here on what it knows now.
    if sender.is_withdrawn:
        raise CeleryturnError(Kind.DEADLINE_PASSED, 'withdrawn by its caller')
    service = get_service(sender.instance, sender.plan.service)
    _require_writable(sender.instance, service, sender.plan)
    return wire.book_request(
        sender.plan,
        sender.ask.places_count,
        sender.instance.clock(),
    )


def _settle(sender: Sender, outcome: links.Outcome) -> None:
    if not sender.outcome.done():
        sender.outcome.set_result(outcome)


def _read_outcome(outcome: links.Outcome) -> wire.BookedBody:
    if isinstance(outcome, CeleryturnError):
        raise outcome
    try:
        booked = _parse(outcome)
    except links.NotSentError as error:
        raise _silence(error, is_written=False) from error
    except wire.Refusal as refusal:
        raise _silence(
            refusal, is_written=True, said_not_run=refusal.said_not_run
        ) from refusal
    except OSError as error:
        raise _silence(error, is_written=True) from error
    if booked['outcome'] != 'booked':
        raise CeleryturnError(
            Kind.BOOKING_REFUSED, f'the target says: {booked["outcome"]}'
        )
    return booked


def _parse(outcome: links.Outcome) -> wire.BookedBody:
    if isinstance(outcome, HttpReply):
        return wire.parse_booked(outcome)
    raise outcome


def _silence(
    cause: Exception, *, is_written: bool, said_not_run: bool = False
) -> CeleryturnError:
    sending = booking.SendProgress(is_written, said_not_run)
    return CeleryturnError(booking.failure_kind(sending), str(cause))


def _finish(sender: Sender, run: Run, outcome: str) -> None:
    booking_id = sender.ask.booking_id
    kept = str(Run.NOT_RUN) if run is Run.NOT_RUN else outcome
    booking_table.finish(sender.instance.bookings, booking_id, kept)
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
        key=sender.ask.key,
        shard=plan.shard,
        target=plan.target,
        epoch=plan.epoch,
        configuration_version=service.document.version,
        run=str(Run.RUN),
        outcome=booked['outcome'],
    )
