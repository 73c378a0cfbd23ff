"""Steps for the checks before a booking is written."""

from typing import Any

from behave import given, then, when
from behave.runner import Context

from celeryturn.decisions.bookings import booking, booking_table
from celeryturn.decisions.configuration.document import Home
from celeryturn.errors import ANSWERS
from tests.support.documents import make_published, raw_document

NOW_SECONDS = 1000.0


@given(
    'a home "{target}" at epoch {epoch:d}, a dwell of {dwell:d} s and '
    'bookings of {deadline:d} s'
)
def make_home(
    context: Context, target: str, epoch: int, dwell: int, deadline: int
) -> None:
    """Plan a booking, with the state that it was planned on."""
    document = make_published(raw_document(shard_count=1)).document._replace(
        homes={'s00': Home(target, epoch)},
        dwell_seconds=dwell,
        booking_deadline_seconds=deadline,
    )
    context.plan = booking.BookingPlan(
        'b-1',
        'reservas',
        'site-1/0',
        's00',
        target,
        epoch,
        NOW_SECONDS + deadline,
    )
    context.known_state = booking.KnownState(document, NOW_SECONDS, False)
    context.now_seconds = NOW_SECONDS


@when('a repartition gave the key another home')
def repartition(context: Context) -> None:
    """Serve another index whose shards have the same names."""
    document = make_published(raw_document(shard_count=64)).document
    context.known_state = context.known_state._replace(document=document)


@when('the deadline has passed')
def pass_deadline(context: Context) -> None:
    """Advance the clock to the deadline."""
    context.now_seconds = context.plan.deadline_seconds


@when('the configuration was confirmed {seconds:d} seconds ago')
def age_confirmation(context: Context, seconds: int) -> None:
    """Set the age of the last confirmation."""
    confirmed = context.now_seconds - seconds
    context.known_state = context.known_state._replace(
        confirmed_seconds=confirmed
    )


@when('the home is held')
def hold(context: Context) -> None:
    """Hold the home."""
    _set_home(context, Home('t-1', 3, 'held'))


@when('the home moved to "{target}" at epoch {epoch:d}')
def move(context: Context, target: str, epoch: int) -> None:
    """Move the home to another target."""
    _set_home(context, Home(target, epoch))


@when('the home moved to another target and back by epoch {epoch:d}')
def move_back(context: Context, epoch: int) -> None:
    """Set the epoch that the home has after it moved and returned."""
    _set_home(context, Home('t-1', epoch))


@when("the home's target is leaving")
def mark_target_leaving(context: Context) -> None:
    """Mark the target of the home as leaving."""
    context.known_state = context.known_state._replace(is_target_leaving=True)


@when('the shard has no home any more')
def remove_home(context: Context) -> None:
    """Remove the home of the shard from the configuration."""
    document = context.known_state.document._replace(homes={})
    context.known_state = context.known_state._replace(document=document)


@then('the booking may be written')
def expect_written(context: Context) -> None:
    """Check that the write is not refused."""
    assert _refusal(context) is None, _refusal(context)


@then('the booking is refused as {kind:w}')
def expect_kind(context: Context, kind: str) -> None:
    """Check that the write is refused for this reason."""
    refused = _refusal(context)
    assert refused is not None
    assert str(refused) == kind, refused


@when('a booking was {sending}')
def send_booking(context: Context, sending: str) -> None:
    """Set how far the sending of the booking progressed."""
    context.sending = booking.SendProgress(
        is_written=sending != 'not written',
        is_reported_not_run=sending.endswith('reported as not run'),
    )


@then('the run state is reported as "{run}"')
def expect_run_state(context: Context, run: str) -> None:
    """Check the run state of the resulting error."""
    assert ANSWERS[booking.failure_kind(context.sending)].run == run


@when('{count:d} bookings are started')
def start_many(context: Context, count: int) -> None:
    """Record the start of many bookings."""
    context.recorded_bookings = booking_table.BookingTable()
    for number in range(count):
        assert booking_table.begin(context.recorded_bookings, f'b-{number}')


@when('{count:d} bookings are started and end')
def run_many(context: Context, count: int) -> None:
    """Record the start and the end of many bookings."""
    context.recorded_bookings = booking_table.BookingTable()
    _run_bookings(context, count)


@when('a booking is started')
def start_one(context: Context) -> None:
    """Record the start of one booking."""
    context.recorded_bookings = booking_table.BookingTable()
    assert booking_table.begin(context.recorded_bookings, 'first')


@when('{count:d} further bookings are started and end')
def run_further(context: Context, count: int) -> None:
    """Record the start and the end of many further bookings."""
    _run_bookings(context, count)


@when('one of them ends')
def end_one(context: Context) -> None:
    """Record the outcome of the first booking."""
    booking_table.finish(context.recorded_bookings, 'b-0', 'booked')


@then('{count:d} ids are recorded and the oldest is dropped')
def expect_table_size(context: Context, count: int) -> None:
    """Check the size of the table, its oldest id and its newest id."""
    recorded = context.recorded_bookings
    assert booking_table.count(recorded) == count
    assert booking_table.earlier_outcome(recorded, 'b-0') is None
    newest = booking_table.earlier_outcome(recorded, f'b-{count}')
    assert newest == 'booked', newest


@then('the first id is still recorded as in flight')
def expect_in_flight_kept(context: Context) -> None:
    """Check that the booking in flight cannot be sent again."""
    outcome = booking_table.earlier_outcome(context.recorded_bookings, 'first')
    assert outcome == booking_table.IN_FLIGHT, outcome


@then('a further booking is not sent')
def expect_not_begun(context: Context) -> None:
    """Check that a booking that could not be recorded is not sent."""
    recorded = context.recorded_bookings
    assert not booking_table.begin(recorded, 'further')
    assert booking_table.earlier_outcome(recorded, 'further') is None


@then('a further booking is sent')
def expect_begun(context: Context) -> None:
    """Check that there is room for one more booking."""
    assert booking_table.begin(context.recorded_bookings, 'further')


def _run_bookings(context: Context, count: int) -> None:
    for number in range(count):
        assert booking_table.begin(context.recorded_bookings, f'b-{number}')
        booking_table.finish(context.recorded_bookings, f'b-{number}', 'booked')


def _set_home(context: Context, home: Home) -> None:
    document = context.known_state.document._replace(homes={'s00': home})
    context.known_state = context.known_state._replace(document=document)


def _refusal(context: Context) -> Any:
    return booking.write_refusal_kind(
        context.plan, context.known_state, context.now_seconds
    )
