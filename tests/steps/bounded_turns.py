"""Steps on the work that one turn of the event loop does."""

import asyncio
import contextlib
import re
from collections import Counter, deque
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from types import MappingProxyType
from typing import Final
from unittest import mock

import cbor2
import h11
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from websockets.frames import Frame

from celeryturn.http import incoming_bytes, sliced_reads
from celeryturn.http.client import Connection
from celeryturn.http.exchange_errors import ExchangeError
from celeryturn.http.server import ServerConnection
from celeryturn.http.turn_scheduler import (
    BACKLOG_SLICES,
    SLICE_UNITS,
    TURN_SCHEDULER,
    TURN_UNITS,
    Slice,
    TurnScheduler,
    run_or_queue,
)
from celeryturn.forwarding.store import entries
from celeryturn.peers import encoding
from celeryturn.platform import wire
from celeryturn.platform.store import StoreClient, StoreError
from celeryturn.settings import Endpoint
from tests.support.raw_target import RawTarget, add_raw_target
from tests.support.routed import (
    ADDRESS,
    HOST,
    caller_request,
    get_world,
    run,
)
from tests.support.turns import TurnProbe, count_calls

MESSAGE_TYPE_UNKNOWN: Final = 999
WEBSOCKET_HANDSHAKE: Final = b'\r\n'.join(
    (
        b'GET / HTTP/1.1',
        b'Host: peer',
        b'Upgrade: websocket',
        b'Connection: Upgrade',
        b'Sec-WebSocket-Version: 13',
        b'Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==',
        b'',
        b'',
    )
)
HEAD_OF_CHUNKS: Final = b'transfer-encoding: chunked\r\n\r\n'
REPLY_STATUS: Final = b'HTTP/1.1 200 OK\r\n'
STAMP_LINE: Final = b'x-response-stamp: raw\r\n'
BODY_OF_SEARCH: Final = b'{"service":"reservas"}'
STORE_TIMEOUT_SECONDS: Final = 0.3


@given('the events of all HTTP parsers are counted in each turn')
def count_events(context: Context) -> None:
    """Count the events that the parsers of all connections return."""
    context.events_probe = count_calls(context, h11.Connection, 'next_event')


@given('the frames of all links are counted in each turn')
def count_frames(context: Context) -> None:
    """Count the frames that all websockets parse."""
    context.frames_probe = count_calls(context, Frame, 'parse')


@given('the messages of all links are counted in each turn')
def count_messages(context: Context) -> None:
    """Count the messages that all links decode."""
    context.messages_probe = count_calls(context, encoding, 'unpack')


@given('the bytes that connections hold unparsed are recorded')
def record_held(context: Context) -> None:
    """Record the most that any connection holds when it begins a slice."""
    context.held_bytes = []
    next_event = incoming_bytes.next_event

    def record(incoming: incoming_bytes.IncomingBytes) -> object:
        context.held_bytes.append(len(incoming.received))
        return next_event(incoming)

    patching = mock.patch.object(sliced_reads, 'next_event', record)
    patching.start()
    context.add_cleanup(patching.stop)


@then('no connection held more than {count:d} bytes unparsed')
def expect_little_held(context: Context, count: int) -> None:
    """Check that reading stops while bytes wait."""
    assert 0 < max(context.held_bytes) <= count, max(context.held_bytes)


@when('the instance closes idle connections while a request waits for its turn')
def close_while_waiting(context: Context) -> None:
    """Use up the turn right before the request arrives."""
    world = get_world(context)
    server = world.applications[0].caller_server
    receive = ServerConnection.data_received

    def receive_late(connection: ServerConnection, chunk: bytes) -> None:
        TURN_SCHEDULER.units_left = 0
        receive(connection, chunk)
        server.is_closing = True
        connection.close_when_idle()

    patching = mock.patch.object(
        ServerConnection, 'data_received', receive_late
    )
    patching.start()
    context.add_cleanup(patching.stop)
    request = caller_request('/one/x')
    context.replies = [run(context, world.send_request(request))]


@given('the records that are merged are counted in each turn')
def count_records(context: Context) -> None:
    """Count the records that are read from the replies of shards."""
    probe = TurnProbe()
    read_records = wire.read_records

    def read_and_count(bodies: Iterable[bytes]) -> Iterator[bytes]:
        for record in read_records(bodies):
            probe.count()
            yield record

    patching = mock.patch.object(wire, 'read_records', read_and_count)
    patching.start()
    context.add_cleanup(patching.stop)
    context.records_probe = probe
    probe.watch(context.loop)


@given('the entries that are decoded are counted in each turn')
def count_entries(context: Context) -> None:
    """Count the entries of targets that are decoded."""
    context.entries_probe = count_calls(context, entries, 'decode_entry')


@when('another writer leaves {count:d} entries that describe no targets')
def put_unusable(context: Context, count: int) -> None:
    """Write unusable entries, all before the instance reads any."""
    store = get_world(context).store
    for number in range(count):
        store.put(f'servers/unusable-{number}', b'{}')


@then('at most {most:d} log lines name unusable entries')
def expect_few_lines(context: Context, most: int) -> None:
    """Check the log."""
    line_count = context.log.getvalue().count('CT208')
    assert 0 < line_count <= most, line_count


@given(
    'a target of the route "{prefix}" that replies with {size:d} bytes in'
    ' chunks of 1 byte and closes'
)
def add_chunking_target(context: Context, prefix: str, size: int) -> None:
    """List a target whose replies end with their connection."""
    reply = b''.join(
        (
            REPLY_STATUS,
            STAMP_LINE,
            HEAD_OF_CHUNKS,
            b'1\r\nx\r\n' * size,
            b'0\r\n\r\n',
        )
    )
    _add_raw_target(context, prefix, reply)


@given(
    'a target of the route "{prefix}" that replies with {size:d} bytes until it'
    ' closes'
)
def add_closing_target(context: Context, prefix: str, size: int) -> None:
    """List a target whose replies state no length."""
    reply = b''.join((REPLY_STATUS, STAMP_LINE, b'\r\n', b'x' * size))
    _add_raw_target(context, prefix, reply)


@given('the turn is used up whenever a target closes')
def use_up_turn(context: Context) -> None:
    """Let the end of each connection wait for the next turn."""
    receive_end = Connection.eof_received

    def receive_late(connection: Connection) -> bool:
        TURN_SCHEDULER.units_left = 0
        return receive_end(connection)

    patching = mock.patch.object(Connection, 'eof_received', receive_late)
    patching.start()
    context.add_cleanup(patching.stop)


@given(
    'a target of the route "{prefix}" that replies with {count:d} short header'
    ' lines'
)
def add_target_with_lines(context: Context, prefix: str, count: int) -> None:
    """List a target whose replies have many header lines."""
    lines = b'a:\r\n' * count
    reply = b''.join(
        (REPLY_STATUS, STAMP_LINE, lines, b'content-length: 0\r\n\r\n')
    )
    _add_raw_target(context, prefix, reply)


@when(
    'a caller posts {size:d} bytes to "{path}" in chunks of 2 bytes while'
    ' others request "{other_path}"'
)
def post_chunks(
    context: Context, size: int, path: str, other_path: str
) -> None:
    """Send a body in small chunks, and other requests until it is answered."""
    world = get_world(context)
    callers = world.applications[0].shared.settings.instance.callers
    head = (
        f'POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: long\r\n'
        'x-deadline-remaining: 2000\r\n'
    )
    posted = b''.join((head.encode(), HEAD_OF_CHUNKS, _chunks(size, 2)))

    async def post() -> None:
        posting = asyncio.create_task(
            _read_status((callers.address, callers.port), posted)
        )
        context.replies = []
        while not posting.done():
            request = caller_request(other_path, len(context.replies))
            context.replies.append(await world.send_request(request))
        assert await posting == 200

    run(context, post())


@then('the target received {size:d} bytes')
def expect_received(context: Context, size: int) -> None:
    """Check the length of the body that was passed on."""
    lengths = {
        dict(headers).get('content-length')
        for target in get_world(context).targets.values()
        for headers in target.received_headers
    }
    assert str(size) in lengths, lengths


@when(
    'the store replies to a client with a body in chunks of 1 byte without end'
)
def read_from_endless_store(context: Context) -> None:
    """Read from a store that never completes its reply."""
    reply = b''.join((REPLY_STATUS, HEAD_OF_CHUNKS, b'1\r\n \r\n' * 1_000_000))
    store = RawTarget(reply)

    async def read() -> None:
        client = StoreClient(Endpoint(ADDRESS, await store.start()), Counter())
        try:
            await client.read('servers/', STORE_TIMEOUT_SECONDS)
        except (TimeoutError, StoreError, ExchangeError) as error:
            context.store_error = error
        finally:
            client.close()
            store.close()

    run(context, read())


@then('the client gives up after its timeout')
def expect_given_up(context: Context) -> None:
    """Check that the reply was not taken for a complete one."""
    assert isinstance(context.store_error, TimeoutError), context.store_error


@when('a peer sends {count:d} {kind}')
def send_frames(context: Context, count: int, kind: str) -> None:
    """Send the smallest frames of a kind on a new link."""
    world = get_world(context)
    peers = world.applications[0].shared.settings.instance.peers
    frame = _MASKED_FRAMES[kind]

    async def send() -> None:
        async with _raw_link(peers) as writer:
            writer.write(frame * count)
            await writer.drain()
            await world.wait_for(
                lambda: (
                    context.frames_probe.total >= count or writer.is_closing()
                )
            )

    run(context, send())


@given("a running instance of the project's own interface")
def start_own_interface(context: Context) -> None:
    """Start one instance with a service."""
    context.execute_steps(
        """
        Given a platform
        And service "reservas" with 2 shards and 2 replicas each
        And 1 instance that is ready
        """
    )


@when(
    'a caller posts {size:d} bytes to its interface in chunks of 1 byte while'
    ' others search'
)
def post_chunks_to_own(context: Context, size: int) -> None:
    """Send a search padded with spaces in small chunks, and other searches."""
    world = context.world
    padding = b'1\r\n \r\n' * (size - len(BODY_OF_SEARCH))
    posted = b''.join(
        (
            b'POST /v1/search HTTP/1.1\r\nhost: a\r\n',
            HEAD_OF_CHUNKS,
            padding,
            b'%x\r\n%b\r\n0\r\n\r\n' % (len(BODY_OF_SEARCH), BODY_OF_SEARCH),
        )
    )

    async def post() -> None:
        posting = asyncio.create_task(_read_status(world.place(), posted))
        while not posting.done():
            await world.send_request(
                'POST', '/v1/search', {'service': 'reservas'}
            )
        assert await posting == 200

    run(context, post())


@then('every search is answered with 200')
def expect_searches(context: Context) -> None:
    """Check that other callers were served meanwhile."""
    statuses = [answer.status for answer in context.world.answers]
    assert len(statuses) > 1, statuses
    assert set(statuses) == {200}, statuses


@then('every answer has a body of {size:d} bytes')
def expect_bodies(context: Context, size: int) -> None:
    """Check that no answer was cut."""
    sizes = [len(reply.body) for reply in context.replies]
    assert set(sizes) == {size}, sizes


@then(
    'more than {least:d} {what} were counted, and at most {most:d} in any turn'
)
def expect_bounded(context: Context, least: int, what: str, most: int) -> None:
    """Check that there was enough work, and little in each turn."""
    probe = getattr(context, f'{what}_probe')
    assert probe.total > least, probe.total
    assert probe.largest <= most, probe.largest


@then('the metrics state that slices have waited')
def expect_metrics(context: Context) -> None:
    """Check the metrics of the first instance."""
    text = get_world(context).read_metrics()
    found = re.search(r'celeryturn_slices_waited (\d+)', text)
    assert found, text
    assert int(found.group(1)), found
    assert 'celeryturn_reads_waiting ' in text


@then('at most {most:d} messages were counted in any turn')
def expect_few_messages(context: Context, most: int) -> None:
    """Check the messages of the links."""
    largest = context.messages_probe.largest
    assert largest <= most, largest


@given('any slices that connections bring in any order')
def given_slices(context: Context) -> None:
    """Let each turn bring connections that need slices of some units."""
    slices = st.lists(st.integers(1, SLICE_UNITS), min_size=1, max_size=20)
    context.turns = st.lists(st.lists(slices, max_size=30), max_size=8)


@then(
    'no turn takes more than its units, the part of the backlog and one slice'
)
def expect_turns_bounded(context: Context) -> None:
    """Check the units of each turn."""
    bound = TURN_UNITS + (BACKLOG_SLICES + 1) * SLICE_UNITS
    _check_turns(
        context, lambda played: all(used <= bound for used in played.used)
    )


@then('every slice runs')
def expect_all_run(context: Context) -> None:
    """Check that nothing waits for good."""
    _check_turns(context, lambda played: not any(played.left))


@then('the slices of a connection run in their order')
def expect_order(context: Context) -> None:
    """Check that a connection is parsed in the order of its bytes."""
    _check_turns(
        context,
        lambda played: all(
            ran == sorted(ran) for ran in played.positions.values()
        ),
    )


@then('a first slice never waits for the backlog')
def expect_first_first(context: Context) -> None:
    """Check that first slices run whenever a turn has units."""
    _check_turns(context, lambda played: not played.delayed_count)


class _Played:
    """Slices that were played, and what happened.

    :param used: Units of each turn.
    :param left: Slices left of each connection.
    :param positions: Positions of the slices that ran, by connection.
    :param delayed_count: Turns that ended with units and waiting first slices.
    """

    def __init__(self, turns: list[list[list[int]]]) -> None:
        self.used: list[int] = []
        self.left: list[deque[int]] = []
        self.positions: dict[int, list[int]] = {}
        self.delayed_count = 0
        self._scheduler = TurnScheduler()
        self._used = 0
        asyncio.run(self._play(turns))

    async def _play(self, turns: list[list[list[int]]]) -> None:
        for turn in turns:
            for units in turn:
                self._add(units)
            await self._end_turn()
        while any(self.left):
            await self._end_turn()

    async def _end_turn(self) -> None:
        self.used.append(self._used)
        self._used = 0
        # The scheduler runs waiting slices at the beginning of the next turn.
        await asyncio.sleep(0)
        scheduler = self._scheduler
        self.delayed_count += bool(scheduler.first and scheduler.units_left > 0)

    def _add(self, units: list[int]) -> None:
        number = len(self.left)
        self.left.append(deque(units))
        self.positions[number] = []

        def parse_slice() -> Slice:
            left = self.left[number]
            self.positions[number].append(len(units) - len(left))
            unit_count = left.popleft()
            self._used += unit_count
            return Slice(unit_count, bool(left))

        run_or_queue(self._scheduler, parse_slice)


def _check_turns(context: Context, holds: Callable[[_Played], bool]) -> None:
    @hypothesis_settings(max_examples=100, derandomize=True, deadline=None)
    @for_all(context.turns)
    def check(turns: list[list[list[int]]]) -> None:
        assert holds(_Played(turns))

    check()


def _add_raw_target(context: Context, prefix: str, reply: bytes) -> None:
    world = get_world(context)
    added = add_raw_target(world, prefix, reply)
    target = run(context, added)
    context.servers.append(target)


def _chunks(size: int, chunk_size: int) -> bytes:
    chunk = b'%x\r\n%b\r\n' % (chunk_size, b'x' * chunk_size)
    return b''.join((chunk * (size // chunk_size), b'0\r\n\r\n'))


async def _read_status(place: tuple[str, int], request: bytes) -> int:
    reader, writer = await asyncio.open_connection(*place)
    try:
        writer.write(request)
        await writer.drain()
        return int((await reader.readline()).split()[1])
    finally:
        writer.transport.abort()


@contextlib.asynccontextmanager
async def _raw_link(peers: Endpoint) -> AsyncIterator[asyncio.StreamWriter]:
    reader, writer = await asyncio.open_connection(peers.address, peers.port)
    writer.write(WEBSOCKET_HANDSHAKE)
    await reader.readuntil(b'\r\n\r\n')
    draining = asyncio.create_task(_discard(reader))
    try:
        yield writer
    finally:
        writer.transport.abort()
        await draining


async def _discard(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(65_536):
            await asyncio.sleep(0)


def _mask(opcode: int, payload: bytes) -> bytes:
    # The mask is zero, which leaves the payload as it is.
    frame_head = bytes((0x80 | opcode, 0x80 | len(payload), 0, 0, 0, 0))
    return b''.join((frame_head, payload))


_MASKED_FRAMES: Final = MappingProxyType(
    {
        'messages of unknown type': _mask(
            2, cbor2.dumps([encoding.PROTOCOL_VERSION, MESSAGE_TYPE_UNKNOWN])
        ),
        'pings': _mask(9, b''),
    }
)
