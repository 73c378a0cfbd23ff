"""Steps on replies that end too early."""

import asyncio
import itertools
from collections.abc import Iterable
from types import MappingProxyType
from typing import Final, NamedTuple

import msgspec
from behave import given, then, when
from behave.runner import Context

from celeryturn.http.client import connect
from celeryturn.http.exchange_errors import ExchangeError
from celeryturn.http.messages import HttpReply, HttpRequest
from tests.support.cutting_proxy import CuttingProxy
from tests.support.resets import end_connection
from tests.support.routed import (
    ADDRESS,
    RoutedWorld,
    caller_request,
    get_world,
    plain_route,
    run,
)

BODY: Final = b'a body'
WAIT_SECONDS: Final = 5.0
HEAD: Final = b'HTTP/1.1 200 OK\r\nx-response-stamp: stamp\r\n'
_REPLIES: Final = MappingProxyType(
    {
        'with a length': b''.join((HEAD, b'content-length: 6\r\n\r\n', BODY)),
        'in chunks': b''.join(
            (
                HEAD,
                b'transfer-encoding: chunked\r\n\r\n',
                b'3\r\na b\r\n3\r\nody\r\n0\r\n\r\n',
            )
        ),
        'until the end': b''.join((HEAD, b'\r\n', BODY)),
    }
)
RESET: Final = 'a reset'
BOOKING_WAIT_MS: Final = 1000


class _Cut(NamedTuple):
    """One exchange with a server that cuts its reply.

    :param position: Bytes that it sent.
    :param reply: The reply, or None if the exchange failed.
    """

    position: int
    reply: HttpReply | None


class _CuttingServer:
    """Sends a number of whole replies on a connection, then a part."""

    def __init__(self, reply: bytes, whole_count: int, *, is_reset: bool):
        self.reply = reply
        self.whole_count = whole_count
        self.is_reset = is_reset
        self.position = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Reply to the requests of one connection."""
        for _ in range(self.whole_count):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self.reply)
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self.reply[: self.position])
        await writer.drain()
        end_connection(writer, is_reset=self.is_reset)


@when(
    'a server ends the connection at each position of a reply {framing}, with'
    ' {ending}, after {count:d} whole replies'
)
def cut_each(context: Context, framing: str, ending: str, count: int) -> None:
    """Make an exchange for each position."""
    context.reply_bytes = _REPLIES[framing]
    context.is_reset = ending == RESET
    server = _CuttingServer(
        context.reply_bytes, count, is_reset=context.is_reset
    )

    async def exchange_all() -> list[_Cut]:
        listener = await asyncio.start_server(server.serve, ADDRESS, 0)
        port = listener.sockets[0].getsockname()[1]
        cuts = []
        for position in range(len(context.reply_bytes) + 1):
            server.position = position
            cuts.append(_Cut(position, await _exchange(port, count)))
        listener.close()
        return cuts

    context.cuts = run(context, exchange_all())


@then('no exchange that was cut before the end of its {part} has a reply')
def expect_none(context: Context, part: str) -> None:
    """Check the exchanges that were cut."""
    complete = context.reply_bytes
    end = len(complete)
    if part == 'head':
        end = complete.index(b'\r\n\r\n') + len(b'\r\n\r\n')
    taken = [
        cut
        for cut in context.cuts
        if cut.position < end and cut.reply is not None
    ]
    assert not taken, taken


@then('each exchange that was not cut has the whole reply')
def expect_whole(context: Context) -> None:
    """Check the last exchange; a reset may overtake the end of a reply."""
    last = context.cuts[-1]
    assert last.position == len(context.reply_bytes)
    if context.is_reset and last.reply is None:
        return
    assert last.reply is not None, last
    assert last.reply.body == BODY, last


@given(
    'the replies of its targets are cut at positions from 0 to {most:d}, with'
    ' {ending}, after {whole:d} whole replies'
)
def cut_targets(context: Context, most: int, ending: str, whole: int) -> None:
    """List a proxy in the place of each target."""
    targets = get_world(context).targets
    for each in targets.values():
        each.body = BODY
    proxies = {
        name: CuttingProxy(
            target.port,
            most * number // len(targets),
            whole_count=whole,
            is_reset=ending == RESET,
        )
        for number, (name, target) in enumerate(targets.items())
    }
    _list_proxies(context, proxies)


@given(
    'the replies of the targets of {count:d} shards are cut at position'
    ' {position:d}, with {ending}'
)
def cut_shards(
    context: Context, count: int, position: int, ending: str
) -> None:
    """List a proxy in the place of the target of each of some shards."""
    targets = get_world(context).targets
    proxies = {
        name: CuttingProxy(
            targets[name].port, position, is_reset=ending == RESET
        )
        for name in list(targets)[:count]
    }
    _list_proxies(context, proxies)


@given(
    'the replies of its targets are cut at position {position:d}, with {ending}'
)
def cut_own(context: Context, position: int, ending: str) -> None:
    """Publish the ports of proxies in place of those of the targets."""
    world = context.world
    document = next(iter(world.documents.values()))
    targets = document['targets'].values()
    context.proxies = [
        CuttingProxy(target['port'], position, is_reset=ending == RESET)
        for target in targets
    ]
    _start_proxies(context)
    for published, proxy in zip(targets, context.proxies, strict=True):
        published['port'] = proxy.port
    world.publish({**document, 'version': document['version'] + 1})


@given('{count:d} routes for at-most-once requests, each to one target')
def start_routes(context: Context, count: int) -> None:
    """Start targets that cannot take requests from each other."""
    world = RoutedWorld()
    context.routed = world
    context.prefixes = [f'/cut-{number}/' for number in range(count)]
    services = [prefix.strip('/') for prefix in context.prefixes]
    run(context, world.start_store())
    for service in services:
        run(context, world.start_targets(service, 1))
    routes = map(plain_route, services, context.prefixes)
    world.publish(1, *({**route, 'Kind': 'unsafe'} for route in routes))
    run(context, world.start_instance())
    run(context, world.wait_ready())


@when('callers send {count:d} bookings to "{path}", one after the other')
def send_bookings(context: Context, count: int, path: str) -> None:
    """Send requests that run at most once."""
    _send_bookings(context, itertools.repeat(path, count))


@when('callers send {count:d} bookings to these routes in turn')
def send_bookings_in_turn(context: Context, count: int) -> None:
    """Send requests that run at most once, one after the other."""
    paths = itertools.cycle(f'{prefix}x' for prefix in context.prefixes)
    _send_bookings(context, itertools.islice(paths, count))


def _send_bookings(context: Context, paths: Iterable[str]) -> None:
    world = get_world(context)
    context.replies = [
        run(
            context,
            world.send_request(
                caller_request(
                    path, number, method='POST', wait_ms=BOOKING_WAIT_MS
                )
            ),
        )
        for number, path in enumerate(paths)
    ]


@then('replies were cut at {count:d} positions or more')
def expect_cuts(context: Context, count: int) -> None:
    """Check that the scenario has shown something."""
    positions = {
        proxy.cut_after_bytes for proxy in context.proxies if proxy.cut_count
    }
    assert len(positions) >= count, sorted(positions)


@then('each answer is whole or has no success')
def expect_whole_or_failure(context: Context) -> None:
    """Check that no answer looks complete and is not."""
    wrong = [
        reply
        for reply in context.replies
        if reply.status < 300 and reply.body != BODY
    ]
    assert not wrong, wrong
    failures = [reply for reply in context.replies if reply.status >= 500]
    assert failures, context.replies


@then('no shard is covered')
def expect_uncovered(context: Context) -> None:
    """Check the coverage of the last search."""
    answer = context.world.answers[-1]
    fields = msgspec.json.decode(answer.body)
    covered = fields.get('coverage', {}).get('included')
    assert answer.status >= 500 or not covered, fields


def _list_proxies(context: Context, proxies: dict[str, CuttingProxy]) -> None:
    world = get_world(context)
    context.proxies = list(proxies.values())
    _start_proxies(context)
    for name, proxy in proxies.items():
        service = name.rpartition('-')[0]
        world.list_port(name, service, proxy.port)
    run(context, world.wait_followed())


def _start_proxies(context: Context) -> None:
    context.servers.extend(context.proxies)
    for proxy in context.proxies:
        run(context, proxy.start())


async def _exchange(port: int, whole_count: int) -> HttpReply | None:
    request = HttpRequest('GET', '/')
    connection = await connect(ADDRESS, port, WAIT_SECONDS)
    try:
        for _ in range(whole_count):
            await connection.exchange_within(request, WAIT_SECONDS)
        return await connection.exchange_within(request, WAIT_SECONDS)
    except ExchangeError:
        return None
    finally:
        connection.close()
