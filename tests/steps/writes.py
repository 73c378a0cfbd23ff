"""Steps on whether a booking may be written."""

from typing import Any

from behave import given, then, when
from behave.runner import Context

from celeryturn.decisions import booking, booking_table
from celeryturn.decisions.document import Home
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
    """Plan a booking and believe what it was planned on."""
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
    context.belief = booking.KnownState(document, NOW_SECONDS, False)
    context.now_seconds = NOW_SECONDS


@when('a repartition gave the key another home')
def repartition(context: Context) -> None:
    """Serve another index whose shards are called the same."""
    document = make_published(raw_document(shard_count=64)).document
    context.belief = context.belief._replace(document=document)


@when('the deadline has passed')
def pass_deadline(context: Context) -> None:
    """Let time pass."""
    context.now_seconds = context.plan.deadline_seconds


@when('the configuration was confirmed {seconds:d} seconds ago')
def age(context: Context, seconds: int) -> None:
    """Let the belief be old."""
    confirmed = context.now_seconds - seconds
    context.belief = context.belief._replace(confirmed_seconds=confirmed)


@when('the home is held')
def hold(context: Context) -> None:
    """Hold the home."""
    _set_home(context, Home('t-1', 3, 'held'))


@when('the home moved to "{target}" at epoch {epoch:d}')
def move(context: Context, target: str, epoch: int) -> None:
    """Move the home."""
    _set_home(context, Home(target, epoch))


@when('the home moved away and back by epoch {epoch:d}')
def move_back(context: Context, epoch: int) -> None:
    """Move the home twice."""
    _set_home(context, Home('t-1', epoch))


@when("the home's target is leaving")
def leave_home(context: Context) -> None:
    """Let the home's target leave."""
    context.belief = context.belief._replace(is_target_leaving=True)


@when('the shard has no home any more')
def lose_home(context: Context) -> None:
    """Publish no home."""
    document = context.belief.document._replace(homes={})
    context.belief = context.belief._replace(document=document)


@then('the booking may be written')
def expect_written(context: Context) -> None:
    """Expect that nothing speaks against the write."""
    assert _refusal(context) is None, _refusal(context)


@then('the booking is refused as {kind:w}')
def expect_kind(context: Context, kind: str) -> None:
    """Expect a reason, one that says not run."""
    refused = _refusal(context)
    assert refused is not None
    assert str(refused) == kind, refused


@when('a booking was {sending}')
def send_booking(context: Context, sending: str) -> None:
    """Let a sending come so far."""
    context.sending = booking.SendProgress(
        is_written=sending != 'not written',
        is_reported_not_run=sending.endswith('said not run'),
    )


@then('its silence is "{run}"')
def expect_silence(context: Context, run: str) -> None:
    """Expect what may be said."""
    assert ANSWERS[booking.failure_kind(context.sending)].run == run


@when('{count:d} bookings are begun')
def begin_many(context: Context, count: int) -> None:
    """Begin many bookings."""
    context.ids = booking_table.BookingTable()
    for number in range(count):
        booking_table.begin(context.ids, f'b-{number}')


@then('{count:d} ids are held and the oldest is forgotten')
def expect_ids(context: Context, count: int) -> None:
    """Expect the bound."""
    assert len(context.ids.outcomes) == count
    assert booking_table.earlier_outcome(context.ids, 'b-0') is None
    assert booking_table.earlier_outcome(context.ids, f'b-{count}')


def _set_home(context: Context, home: Home) -> None:
    document = context.belief.document._replace(homes={'s00': home})
    context.belief = context.belief._replace(document=document)


def _refusal(context: Context) -> Any:
    return booking.write_refusal_kind(
        context.plan, context.belief, context.now_seconds
    )
