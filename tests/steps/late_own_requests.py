"""Steps on late requests to the project's own interface."""

import asyncio
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

import msgspec
from behave import given, then, when
from behave.runner import Context

from celeryturn.http.client import fetch
from celeryturn.http.exchange_errors import ExchangeError
from celeryturn.http.messages import HttpReply, HttpRequest
from tests.support.routed import run
from tests.support.world import until

INTERVAL_SECONDS: Final = 0.02
SENT_BEFORE_COUNT: Final = 10
CALL_SECONDS: Final = 10.0
DEADLINE_SECONDS: Final = 30.0
BOOK_PATH: Final = '/v1/book'
SEARCH_PATH: Final = '/v1/search'


class _Sent(NamedTuple):
    """One request and what became of it.

    :param reply: The reply, or None if there is none.
    :param is_cut: Whether the connection was open and ended without a reply.
    """

    reply: HttpReply | None
    is_cut: bool = False


@given(
    'service "{service}" with {shards:d} shards and {replicas:d} replicas each'
    ' and bookings of {seconds:d} s'
)
def start_service(
    context: Context, service: str, shards: int, replicas: int, seconds: int
) -> None:
    """Start the targets of a service whose bookings may take long."""
    started = context.world.start_service(
        service,
        shards,
        replicas,
        booking_deadline_seconds=seconds,
        dwell_seconds=10 * seconds,
    )
    run(context, started)


@given('1 instance that is ready and has {seconds:g} s to end its requests')
def start_instance(context: Context, seconds: float) -> None:
    """Start an instance with a short grace period."""
    world = context.world
    run(context, world.start_instances(1, shutdown_grace_seconds=seconds))
    run(context, world.wait_until_ready())


@when('the instance shuts down, and callers book all the while')
def book_during_shutdown(context: Context) -> None:
    """Send bookings from before the shutdown until it has ended."""
    run(context, _shut_down(context, BOOK_PATH))


@when('the instance shuts down, and callers search all the while')
def search_during_shutdown(context: Context) -> None:
    """Send searches from before the shutdown until it has ended."""
    run(context, _shut_down(context, SEARCH_PATH))


@when(
    'the body of a booking is completed after the instance has closed its port'
)
def complete_late(context: Context) -> None:
    """Begin a booking before the shutdown, and complete it late."""
    world = context.world
    application = next(iter(world.applications.values()))
    body = msgspec.json.encode(
        {'service': 'reservas', 'key': 'site-0000/0', 'booking_id': 'late'}
    )
    head = f'POST {BOOK_PATH} HTTP/1.1\r\nhost: a\r\ncontent-length: '

    async def complete() -> bytes:
        reader, writer = await asyncio.open_connection(*world.place())
        writer.write(f'{head}{len(body)}\r\n\r\n'.encode())
        await until(lambda: bool(application.server.connections))
        application.drain()
        await until(lambda: application.instance.running.is_refusing)
        writer.write(body)
        received = await reader.read()
        writer.transport.abort()
        return received

    context.late_answer = run(context, complete())


@then('the late booking is refused with "{kind}" as "{run_state}"')
def expect_late_refusal(context: Context, kind: str, run_state: str) -> None:
    """Check the answer on the connection."""
    _, _, body = context.late_answer.partition(b'\r\n\r\n')
    error = msgspec.json.decode(body)['error']
    assert (error['kind'], error['run']) == (kind, run_state), error


@then('no target received a booking')
def expect_none_received(context: Context) -> None:
    """Check that nothing was passed on."""
    assert not _received_count(context)


@then('each booking that a target ran is answered as run or unknown')
def expect_answered(context: Context) -> None:
    """Compare what targets ran with what callers were told."""
    assert not any(sent.is_cut for sent in context.sent), context.sent
    ran = {
        booking['booking_id']
        for dataset in context.world.datasets.values()
        for booking in dataset.bookings
    }
    untrue = [
        sent
        for number, sent in enumerate(context.sent)
        if f'b-{number}' in ran and not _may_have_run(sent)
    ]
    assert not untrue, untrue


@then('each booking that a target has not replied to is answered as unknown')
def expect_unknown(context: Context) -> None:
    """Compare what targets received with what callers were told."""
    unknown_count = sum(map(_may_have_run, context.sent))
    received = _received_count(context)
    assert unknown_count == received, (unknown_count, received)


@then(
    'each booking that no target received is answered as not run, or its port'
    ' was closed'
)
def expect_refused(context: Context) -> None:
    """Check that nobody is told of a run that cannot have been."""
    possibly_run = sum(map(_may_have_run, context.sent))
    received = _received_count(context)
    assert possibly_run <= received, (possibly_run, received)


@then('some bookings were passed on during the shutdown')
def expect_some(context: Context) -> None:
    """Check that the scenario has shown something."""
    assert context.received_before < _received_count(context)


@then('each search is answered, or its port was closed')
def expect_searches(context: Context) -> None:
    """Check that no search was cut."""
    assert not any(sent.is_cut for sent in context.sent), context.sent
    assert any(sent.reply is not None for sent in context.sent)


@then('the searches in flight at the end are answered without any shard')
def expect_uncovered(context: Context) -> None:
    """Check the coverage of the answers."""
    coverages = [
        msgspec.json.decode(sent.reply.body)['coverage']
        for sent in context.sent
        if sent.reply is not None and sent.reply.status == 200
    ]
    assert coverages, context.sent
    assert not any(coverage['is_complete'] for coverage in coverages)


async def _shut_down(context: Context, path: str) -> None:
    world = context.world
    name = next(iter(world.applications))
    context.place = world.place()
    tasks: list[asyncio.Task[_Sent]] = []
    for _ in range(SENT_BEFORE_COUNT):
        tasks.append(_send(context, path, len(tasks)))
        await asyncio.sleep(INTERVAL_SECONDS)
    context.received_before = _received_count(context)
    world.applications[name].drain()
    while not world.running[name].done():
        tasks.append(_send(context, path, len(tasks)))
        await asyncio.sleep(INTERVAL_SECONDS)
    context.sent = await asyncio.gather(*tasks)


def _send(context: Context, path: str, number: int) -> asyncio.Task[_Sent]:
    body: Mapping[str, Any] = {
        'service': 'reservas',
        'deadline_seconds': DEADLINE_SECONDS,
    }
    if path == BOOK_PATH:
        body = {
            **body,
            'key': f'site-{number % 8:04}/0',
            'booking_id': f'b-{number}',
        }
    request = HttpRequest('POST', path, body=msgspec.json.encode(body))
    return asyncio.create_task(_exchange(context.place, request))


async def _exchange(place: tuple[str, int], request: HttpRequest) -> _Sent:
    try:
        return _Sent(await fetch(*place, request, CALL_SECONDS))
    except ExchangeError:
        return _Sent(None, is_cut=True)
    except OSError:
        return _Sent(None)


def _may_have_run(sent: _Sent) -> bool:
    if sent.reply is None:
        return False
    if sent.reply.status == 200:
        return True
    error = msgspec.json.decode(sent.reply.body)['error']
    return bool(error['run'] != 'not_run')


def _received_count(context: Context) -> int:
    return sum(
        path == BOOK_PATH
        for target in context.world.targets.values()
        for path, _ in target.request_log
    )
