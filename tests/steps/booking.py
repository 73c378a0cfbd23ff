"""Steps in which callers send bookings."""

import asyncio
from typing import Any

import msgspec
from behave import then, when
from behave.runner import Context

from celeryturn.decisions.bookings.booking_table import (
    IN_FLIGHT,
    earlier_outcome,
)
from celeryturn.http.messages import HttpRequest
from tests.support.world import until


@when('a caller books "{key}" as "{booking_id}"')
def book(context: Context, key: str, booking_id: str) -> None:
    """Send a booking of one place."""
    _book(context, key, booking_id)


@when('a caller books {places:d} places of "{key}" as "{booking_id}"')
def book_places(
    context: Context, places: int, key: str, booking_id: str
) -> None:
    """Send a booking of several places."""
    _book(context, key, booking_id, places_count=places)


@when('a caller books "{key}" as "{booking_id}" within {seconds:g} seconds')
def book_within(
    context: Context, key: str, booking_id: str, seconds: float
) -> None:
    """Send a booking with a deadline."""
    _book(context, key, booking_id, deadline_seconds=seconds)


@when(
    'a caller books "{key}" as "{booking_id}" and disconnects after the write'
)
def book_and_disconnect(context: Context, key: str, booking_id: str) -> None:
    """Close the connection of the caller after the write to the target."""

    async def go() -> None:
        connection = await context.world.connect()
        body = msgspec.json.encode(_body(key, booking_id))
        request = HttpRequest('POST', '/v1/book', body=body)
        connection.start(request, lambda outcome: None)
        await until(
            lambda: any(
                path == '/v1/book'
                for standin in context.world.targets.values()
                for path, _ in standin.request_log
            )
        )
        connection.close()

    context.loop.run_until_complete(go())


@when(
    'a caller books "{key}" as "{booking_id}" and the process pauses '
    '{seconds:d} seconds before the write'
)
def book_and_pause(
    context: Context, key: str, booking_id: str, seconds: int
) -> None:
    """Advance the clock between admission and write.

    A pause of the process has this effect: the checks before the write read
    a later time than those at admission.
    """
    application = next(iter(context.world.applications.values()))
    real_clock = application.instance.clock

    async def go() -> None:
        task = asyncio.create_task(
            context.world.send_request(
                'POST', '/v1/book', _body(key, booking_id)
            )
        )
        while not application.links.opening:
            await asyncio.sleep(0)
        application.instance.clock = lambda: real_clock() + seconds
        await task

    context.loop.run_until_complete(go())


@then('the booking is run')
def expect_run(context: Context) -> None:
    """Check that the last answer reports a booking that was run."""
    reply = context.world.answers[-1]
    assert reply.status == 200, reply
    answer = msgspec.json.decode(reply.body)
    assert (answer['run'], answer['outcome']) == ('run', 'booked'), answer


@then('"{booking_id}" was run {count:d} time')
@then('"{booking_id}" was run {count:d} times')
def expect_runs(context: Context, booking_id: str, count: int) -> None:
    """Check the number of runs, summed over all targets."""
    runs = _runs(context, booking_id)
    assert len(runs) == count, runs


@then('"{booking_id}" was eventually run {count:d} time')
def expect_runs_in_the_end(
    context: Context, booking_id: str, count: int
) -> None:
    """Wait for the run of a booking whose caller disconnected."""
    context.loop.run_until_complete(
        until(lambda: len(_runs(context, booking_id)) == count)
    )


@then('"{booking_id}" was run at a second replica')
def expect_moved(context: Context, booking_id: str) -> None:
    """Check that the booking was run only at the new home."""
    targets = [run['target'] for run in _runs(context, booking_id)]
    assert len(targets) == 1, targets
    assert targets[0].endswith('-1'), targets


@then('the instance keeps the outcome of "{booking_id}"')
def expect_outcome(context: Context, booking_id: str) -> None:
    """Check that the outcome is kept after the caller disconnected."""
    instance = next(iter(context.world.applications.values())).instance
    bookings = instance.bookings
    context.loop.run_until_complete(
        until(lambda: earlier_outcome(bookings, booking_id) != IN_FLIGHT)
    )
    assert earlier_outcome(bookings, booking_id) == 'booked'


def _book(
    context: Context, key: str, booking_id: str, **fields: object
) -> None:
    body = {**_body(key, booking_id), **fields}
    context.loop.run_until_complete(
        context.world.send_request('POST', '/v1/book', body)
    )


def _body(key: str, booking_id: str) -> dict[str, object]:
    return {'service': 'reservas', 'key': key, 'booking_id': booking_id}


def _runs(context: Context, booking_id: str) -> list[dict[str, Any]]:
    return [
        run
        for dataset in context.world.datasets.values()
        for run in dataset.bookings
        if run['booking_id'] == booking_id
    ]
