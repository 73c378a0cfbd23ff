"""Steps on callers and targets that read slowly."""

import asyncio
import re
import socket
from collections.abc import Callable
from typing import Any, Final
from unittest import mock

from behave import given, then, when
from behave.runner import Context

from celeryturn.decisions.targets.directory import serving_replicas
from celeryturn.clients.account import CLIENT_ACCOUNT, LARGE_SHARE
from celeryturn.http import charged_connection
from celeryturn.http.client import Connection, connect
from celeryturn.http.messages import HttpRequest
from celeryturn.http.server import ServerConnection
from celeryturn.http.unsent_bytes import UNREAD_ANSWERS, UNREAD_REQUESTS
from tests.support.routed import (
    ADDRESS,
    HOST,
    SERVICE,
    caller_request,
    get_world,
    plain_route,
    run,
)

SMALL_BUFFER_BYTES: Final = 4096
DEAF: Final = 'deaf'
READ_BYTES: Final = 65_536
DEAF_WAIT_MS: Final = 1500


@given('the bodies of its targets are {count:d} bytes long')
def lengthen_bodies(context: Context, count: int) -> None:
    """Set the body of all replies."""
    context.abandoned_before = UNREAD_ANSWERS.abandoned_count
    for target in get_world(context).targets.values():
        target.body = b'.' * count


@given('an answer is abandoned after {seconds:g} s')
def shorten_wait(context: Context, seconds: float) -> None:
    """Lower the time for which an unread answer is kept."""
    _patch(context, charged_connection, 'UNREAD_ANSWER_SECONDS', seconds)


@given('unread answers may take {count:d} bytes together')
def limit_unread(context: Context, count: int) -> None:
    """Lower the limit of all that is held."""
    limit_bytes = int(count / LARGE_SHARE)
    _patch(context, CLIENT_ACCOUNT, 'limit_bytes', limit_bytes)


@given(
    'a target of the route "{prefix}" that accepts connections and reads'
    ' nothing'
)
def add_deaf_target(context: Context, prefix: str) -> None:
    """List a port whose connections nobody reads."""
    world = get_world(context)
    listener = socket.socket()
    _shrink(listener)
    listener.bind((ADDRESS, 0))
    listener.listen()
    context.add_cleanup(listener.close)
    world.list_port(DEAF, DEAF, listener.getsockname()[1])
    world.publish(2, plain_route(SERVICE), plain_route(DEAF, prefix))
    shared = world.applications[0].shared
    shared.target_connections.connect = _connect_with_small_buffers
    run(
        context,
        world.wait_for(
            lambda: (
                shared.table is not None
                and shared.table.version == 2
                and serving_replicas(shared.directory, DEAF)
            )
        ),
    )


@when('a caller sends {count:d} requests in a row and reads nothing')
def send_in_row(context: Context, count: int) -> None:
    """Send pipelined requests and wait until an answer is not read."""
    run(context, _send_unread(context, _encode(b'') * count))


@when('a caller sends a request that closes the connection and reads nothing')
def send_last(context: Context) -> None:
    """Send one request, after which the instance closes."""
    run(context, _send_unread(context, _encode(b'', 'connection: close')))


@when(
    '{count:d} callers send a request each, one after the other, and read'
    ' nothing'
)
def send_each(context: Context, count: int) -> None:
    """Send a request on each of several connections."""

    async def send_all() -> None:
        for _ in range(count):
            await _send_unread(context, _encode(b''))

    run(context, send_all())


@when(
    'a caller sends {size:d} bytes of further requests during each of'
    ' {count:d} requests'
)
def send_further(context: Context, size: int, count: int) -> None:
    """Send many requests whenever one has reached the target."""
    world = get_world(context)
    callers = world.applications[0].shared.settings.instance.callers
    request = _encode(b'')

    async def send_all() -> None:
        _, writer = await asyncio.open_connection(callers.address, callers.port)
        writer.write(request)
        for number in range(count):
            await world.wait_for(_has_served(context, number))
            writer.write(request * (size // len(request)))
        await world.wait_for(lambda: not _server_connections(context))
        writer.transport.abort()

    run(context, send_all())


@when('{count:d} callers post {size:d} bytes to "{path}" at once')
def post_to_deaf(context: Context, count: int, size: int, path: str) -> None:
    """Send requests whose bodies their target does not read."""
    world = get_world(context)
    context.unread_request_bytes = 0
    requests = [
        _with_body(caller_request(path, number, wait_ms=DEAF_WAIT_MS), size)
        for number in range(count)
    ]

    async def send_all() -> None:
        sending = asyncio.create_task(world.send_all(requests))
        await world.wait_for(lambda: UNREAD_REQUESTS.used_bytes)
        while not sending.done():
            context.unread_request_bytes = max(
                context.unread_request_bytes, UNREAD_REQUESTS.used_bytes
            )
            await asyncio.sleep(0)
        context.replies = sending.result()

    run(context, send_all())


@when('that caller reads all')
def read_all(context: Context) -> None:
    """Read until all answers have arrived."""

    async def read() -> None:
        loop = asyncio.get_running_loop()
        context.received = bytearray()
        body = get_world(context).targets[f'{SERVICE}-0'].body
        while context.received.count(b'.') < 5 * len(body):
            chunk = await loop.sock_recv(context.callers[-1], READ_BYTES)
            assert chunk, 'the connection was closed'
            context.received.extend(chunk)

    run(context, asyncio.wait_for(read(), 15))


@when('these callers disconnect')
def disconnect_all(context: Context) -> None:
    """Close the connections of all callers that read nothing."""
    for caller in context.callers:
        caller.close()


@then(
    'the instance holds between {least:d} and {most:d} bytes that callers have'
    ' not read'
)
def expect_held(context: Context, least: int, most: int) -> None:
    """Check the bytes held for callers."""
    assert least <= UNREAD_ANSWERS.used_bytes <= most, UNREAD_ANSWERS.used_bytes


@then('the instance reads nothing from that caller')
def expect_paused(context: Context) -> None:
    """Check that no request is handled or read."""
    connection = _server_connections(context).copy().pop()
    assert connection.task is None
    assert connection._transport is not None
    assert not connection._transport.is_reading()
    target = get_world(context).targets[f'{SERVICE}-0']
    assert len(target.executed_attempt_ids) == 1, target.executed_attempt_ids


@then('it has received {count:d} answers with {size:d} bytes each')
def expect_received(context: Context, count: int, size: int) -> None:
    """Check the answers."""
    assert context.received.count(b'HTTP/1.1 200') == count
    assert context.received.count(b'.' * size) == count


@then('the instance holds no unread bytes')
def expect_none_held(context: Context) -> None:
    """Wait until nothing is held for callers."""
    run(
        context,
        get_world(context).wait_for(lambda: not UNREAD_ANSWERS.used_bytes),
    )
    assert not UNREAD_ANSWERS.held


@then('the connection of that caller is closed')
def expect_closed(context: Context) -> None:
    """Wait until the instance has no connection of a caller."""
    run(
        context,
        get_world(context).wait_for(lambda: not _server_connections(context)),
    )


@then('{count:d} answer is counted as abandoned')
@then('{count:d} answers are counted as abandoned')
def expect_abandoned(context: Context, count: int) -> None:
    """Check the number of abandoned answers in this scenario."""
    found = UNREAD_ANSWERS.abandoned_count - context.abandoned_before
    assert found == count, found


@then(
    'the instance held between {least:d} and {most:d} bytes that targets had'
    ' not read'
)
def expect_requests_held(context: Context, least: int, most: int) -> None:
    """Check the bytes held for targets."""
    found = context.unread_request_bytes
    assert least <= found <= most, found


@then('every answer has a status of {status:d} or above')
def expect_failures(context: Context, status: int) -> None:
    """Check that each request ended by its deadline."""
    found = [reply.status for reply in context.replies]
    assert min(found) >= status, found


@then('no bytes to targets are held any more')
def expect_requests_released(context: Context) -> None:
    """Wait until all connections to the target are closed."""
    run(
        context,
        get_world(context).wait_for(lambda: not UNREAD_REQUESTS.used_bytes),
    )


@then('the metrics state the bytes held')
def expect_metrics(context: Context) -> None:
    """Check the metric of bytes that callers have not read."""
    text = get_world(context).read_metrics()
    found = re.search(r'celeryturn_unread_answer_bytes (\d+)', text)
    assert found is not None, text
    assert int(found.group(1)) == UNREAD_ANSWERS.used_bytes
    assert 'celeryturn_unread_request_bytes 0' in text


async def _send_unread(context: Context, encoded: bytes) -> None:
    world = get_world(context)
    callers = world.applications[0].shared.settings.instance.callers
    caller = socket.socket()
    context.add_cleanup(caller.close)
    _shrink(caller)
    caller.setblocking(False)
    known = _server_connections(context).copy()
    loop = asyncio.get_running_loop()
    await loop.sock_connect(caller, (callers.address, callers.port))
    await world.wait_for(lambda: _server_connections(context) - known)
    connection = (_server_connections(context) - known).pop()
    assert connection._transport is not None
    _shrink(connection._transport.get_extra_info('socket'))
    context.callers = [*getattr(context, 'callers', ()), caller]
    before = (UNREAD_ANSWERS.used_bytes, UNREAD_ANSWERS.abandoned_count)
    await loop.sock_sendall(caller, encoded)
    await world.wait_for(
        lambda: (
            before
            != (UNREAD_ANSWERS.used_bytes, UNREAD_ANSWERS.abandoned_count)
        )
    )


async def _connect_with_small_buffers(*arguments: Any) -> Connection:
    connection = await connect(*arguments)
    assert connection._transport is not None
    connected = connection._transport.get_extra_info('socket')
    connected.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
    )
    return connection


def _has_served(context: Context, number: int) -> Callable[[], bool]:
    target = get_world(context).targets[f'{SERVICE}-0']

    def has_served() -> bool:
        is_closed = not _server_connections(context)
        return is_closed or len(target.executed_attempt_ids) > number

    return has_served


def _encode(body: bytes, *lines: str) -> bytes:
    head = '\r\n'.join(
        (
            'POST /one/x HTTP/1.1',
            f'host: {HOST}',
            'x-attempt-id: attempt-1',
            'x-deadline-remaining: 2000',
            f'content-length: {len(body)}',
            *lines,
            '',
            '',
        )
    )
    return head.encode() + body


def _with_body(request: HttpRequest, size: int) -> HttpRequest:
    return request._replace(method='POST', body=b'.' * size)


def _shrink(connected: socket.socket) -> None:
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        connected.setsockopt(socket.SOL_SOCKET, option, SMALL_BUFFER_BYTES)


def _server_connections(context: Context) -> set[ServerConnection]:
    return get_world(context).applications[0].caller_server.connections


def _patch(context: Context, owner: object, name: str, found: Any) -> None:
    patch: Any = mock.patch.object(owner, name, found)
    patch.start()
    stop: Callable[[], None] = patch.stop
    context.add_cleanup(stop)
