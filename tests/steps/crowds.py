"""Steps on crowds of clients that do not behave, at separate processes."""

import asyncio
import re
import signal
import socket
import tempfile
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

import msgspec
import yaml
from behave import given, then, when
from behave.runner import Context

from celeryturn.decisions.targets.messages import Record
from celeryturn.http.client import fetch
from celeryturn.http.messages import HttpRequest
from celeryturn.schema import encode
from examples.fleet import find_free_ports
from tests.steps.node import SETTINGS
from tests.support.crowds import (
    READ_BYTES,
    Crowd,
    Place,
    Ports,
    SlowReader,
)
from tests.support.limited_process import (
    MEGABYTE,
    LimitedProcess,
    ProcessLimits,
)
from tests.support.routed import (
    ADDRESS,
    PORT_COUNT,
    SERVICE,
    RoutedWorld,
    caller_request,
    gather_route,
    plain_route,
    run,
)

NODE_PORTS: Final = ('front', 'ready', 'control', 'directory', 'metrics')
OWN_PORTS: Final = ('callers', 'peers')
OWN_SERVICE: Final = 'reservas'
ANSWER_BYTES: Final = 1_000_000
BEGUN_BYTES: Final = 300_000
DEFAULT_BODY_BYTES: Final = 65_536
FRONT_BODY_BYTES: Final = 262_144
# Longer than a scenario takes, so that no timeout ends what a crowd holds.
CLIENT_TIMEOUT_MS: Final = 120_000
GRACE_SECONDS: Final = 7
START_SECONDS: Final = 15.0
ANSWER_SECONDS: Final = 30.0
TRY_SECONDS: Final = 5.0
RETRY_SECONDS: Final = 0.1
RECORD_COUNT: Final = 500
TEXT_CHARACTERS: Final = 1000
SEARCH_BODY: Final = msgspec.json.encode(
    {'service': OWN_SERVICE, 'limit_count': 2 * RECORD_COUNT}
)
OK: Final = 200
NOT_FOUND: Final = 404
_PATHS: Final = MappingProxyType(
    {
        'front': '/one/x',
        'ready': '/v1/readiness',
        'directory': '/v1/resolve?Name=x&Region=r&Zone=near',
        'metrics': '/metrics',
        'control': '/',
        'callers': '/v1/search',
        'peers': '/',
    }
)


@given(
    'a node with {memory_mb:d} MB and {descriptor_count:d} descriptors, whose'
    ' targets take {delay_ms:d} ms'
)
def start_node(
    context: Context, memory_mb: int, descriptor_count: int, delay_ms: int
) -> None:
    """Start ``celeryturn.node`` with limits in its settings."""
    world = RoutedWorld()
    context.routed = world
    run(context, _start_routed(world, delay_ms))
    context.ports = _name_ports(NODE_PORTS)
    settings = SETTINGS.format(
        address=ADDRESS, store=world.store.server.port, **context.ports
    )
    limits = f'Limits.MemoryMb={memory_mb}\nLimits.MaxFds={descriptor_count}\n'
    grace = f'Bounds.GraceS={GRACE_SECONDS}\n'
    path = _make_folder(context) / 'node.conf'
    path.write_text(settings + limits + grace)
    _start(
        context,
        ('celeryturn.node',),
        {'CELERYTURN_BOOT': str(path)},
        ProcessLimits(memory_mb, descriptor_count),
    )


@given(
    'a celeryturnd with {memory_mb:d} MB and {descriptor_count:d} descriptors'
)
def start_own(context: Context, memory_mb: int, descriptor_count: int) -> None:
    """Start ``celeryturnd``, which has the limits of its process."""
    world = context.world
    run(context, world.start_platform())
    run(context, world.start_service(OWN_SERVICE, 2, 1))
    shards = world.datasets[OWN_SERVICE].records[1]
    for shard, shard_records in shards.items():
        shard_records.extend(_make_records(shard))
    context.ports = _name_ports(OWN_PORTS)
    settings = world.settings('entry-0', *context.ports.values(), {})
    path = _make_folder(context) / 'settings.yaml'
    path.write_text(yaml.safe_dump(encode(settings)))
    _start(
        context,
        ('celeryturn.daemon', '--settings', str(path)),
        {},
        ProcessLimits(memory_mb, descriptor_count),
    )


@given(
    'a node with {memory_mb:d} MB and {descriptor_count:d} descriptors, and'
    ' {count:d} shards that read nothing'
)
def start_node_with_shards(
    context: Context, memory_mb: int, descriptor_count: int, count: int
) -> None:
    """Start ``celeryturn.node``, with a route to targets that do not read."""
    ports = [_listen(context) for _ in range(count)]
    limits = ProcessLimits(memory_mb, descriptor_count)
    start_node_over(context, limits, ports)


def start_node_over(
    context: Context, limits: ProcessLimits, shard_ports: list[int]
) -> None:
    """Start ``celeryturn.node`` with a route to shards on some ports."""
    context.target_ports = frozenset(shard_ports)
    start_node(context, *limits, 0)
    world = context.routed
    names = [f'shard-{number}' for number in range(len(shard_ports))]
    for name, port in zip(names, shard_ports, strict=True):
        world.list_port(name, name, port)
    routes = (plain_route(SERVICE), gather_route(names))
    world.publish(2, *routes)
    run(context, _wait_for_route(context.ports['front']))


@when('{count:d} clients send {behaviour} to its shards')
def send_to_shards(context: Context, count: int, behaviour: str) -> None:
    """Let a crowd send requests that each shard gets."""
    place = Place(context.ports['front'], '/all/x', FRONT_BODY_BYTES)
    run(
        context,
        watch_while(context, context.crowd.send(place, behaviour, count)),
    )


@when('{count:d} clients send {behaviour} to its {listener} port')
def send_crowd(
    context: Context, count: int, behaviour: str, listener: str
) -> None:
    """Let a crowd send, and keep its connections open."""
    place = _make_place(context, listener)
    run(
        context,
        watch_while(context, context.crowd.send(place, behaviour, count)),
    )


def _make_place(context: Context, listener: str) -> Place:
    return Place(
        context.ports[listener],
        _PATHS[listener],
        FRONT_BODY_BYTES if listener == 'front' else DEFAULT_BODY_BYTES,
        SEARCH_BODY if listener == 'callers' else b'',
    )


@when('{count:d} clients connect to each of its ports and send nothing')
def connect_crowd(context: Context, count: int) -> None:
    """Let idle connections take the descriptors."""
    for listener in context.ports:
        send_crowd(context, count, 'nothing', listener)


@when('a caller begins to read an answer bit by bit')
def begin_to_read(context: Context) -> None:
    """Let a caller read slowly, but all the time."""
    _begin_to_read(context, BEGUN_BYTES)


@when('it gets SIGTERM while a caller reads an answer bit by bit')
def end_while_reading(context: Context) -> None:
    """Send SIGTERM when a small part of the answer is read."""
    _begin_to_read(context, READ_BYTES)
    context.limited.process.send_signal(signal.SIGTERM)


@then('the process ends by itself')
def expect_end(context: Context) -> None:
    """Wait until the process has ended without a fault."""
    process = context.limited.process
    assert process.wait(ANSWER_SECONDS) == 0, context.limited.log.read_text()


def _begin_to_read(context: Context, least_bytes: int) -> None:
    listener = 'front' if 'front' in context.ports else 'callers'
    context.reader = SlowReader(_make_place(context, listener))
    context.add_cleanup(context.reader.close)
    context.reading = context.loop.create_task(context.reader.read())

    async def begin() -> None:
        while len(context.reader.received) < least_bytes:
            await asyncio.sleep(RETRY_SECONDS)

    run(context, asyncio.wait_for(begin(), START_SECONDS))


@then('that caller gets its whole answer')
def expect_whole_answer(context: Context) -> None:
    """Check that nothing is missing at the end."""
    waiting = asyncio.wait_for(context.reading, ANSWER_SECONDS)
    run(context, watch_while(context, waiting))
    head, _, body = context.reader.received.partition(b'\r\n\r\n')
    stated = re.search(rb'content-length: (\d+)', head.lower())
    assert stated is not None, head
    stated_bytes = int(stated.group(1))
    assert stated_bytes >= ANSWER_BYTES, head
    assert len(body) == stated_bytes, context.limited.log.read_text()[-3000:]


@then('an ordinary request is answered')
def expect_answer(context: Context) -> None:
    """Send an ordinary request on a new connection until it is answered."""
    run(
        context, watch_while(context, _wait_for_answer(context, ANSWER_SECONDS))
    )


@then('the process has stayed within its memory')
def expect_memory(context: Context) -> None:
    """Check that the process runs and never had more memory."""
    limited = context.limited
    assert limited.process.poll() is None, limited.log.read_text()[-2000:]
    bound_bytes = limited.limits.memory_mb * MEGABYTE
    seen = (limited.most_bytes, limited.most_kernel_bytes)
    assert limited.most_bytes <= bound_bytes, seen


@then('the process has stayed within its descriptors')
def expect_descriptors(context: Context) -> None:
    """Check that the process never had more descriptors."""
    limited = context.limited
    most = limited.most_descriptors
    assert most <= limited.limits.descriptor_count, most


def _make_records(shard: str) -> Iterator[Record]:
    for number in range(RECORD_COUNT):
        yield Record(
            key=f'{shard}-{number}/0',
            schema_version=1,
            starts_at_seconds=0,
            free_count=1,
            text='.' * TEXT_CHARACTERS,
        )


async def _start_routed(world: RoutedWorld, delay_ms: int) -> None:
    await world.start_store()
    await world.start_targets(SERVICE, 1)
    for target in world.targets.values():
        target.body = bytes(ANSWER_BYTES)
        target.delay_seconds = delay_ms / 1000
    world.publish(1, plain_route(SERVICE))
    limits = world.config['Limits']
    limits['HeaderTimeoutMs'] = CLIENT_TIMEOUT_MS
    limits['IdleTimeoutMs'] = CLIENT_TIMEOUT_MS
    world.store.put('op/config', msgspec.json.encode(world.config))


def _listen(context: Context) -> int:
    listener = socket.create_server((ADDRESS, 0))
    context.add_cleanup(listener.close)
    port: int = listener.getsockname()[1]
    return port


def _name_ports(names: tuple[str, ...]) -> dict[str, int]:
    ports = find_free_ports(PORT_COUNT)[: len(names)]
    return dict(zip(names, ports, strict=True))


def _make_folder(context: Context) -> Path:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return Path(folder.name)


def _start(
    context: Context,
    arguments: tuple[str, ...],
    variables: dict[str, str],
    limits: ProcessLimits,
) -> None:
    context.limited = LimitedProcess(
        arguments,
        variables,
        limits,
        Ports(
            frozenset(context.ports.values()),
            getattr(context, 'target_ports', frozenset()),
        ),
        _make_folder(context) / 'log',
        limits_resources=not variables,
    )
    context.add_cleanup(context.limited.end)
    context.crowd = Crowd()
    context.add_cleanup(context.crowd.close)
    run(context, _wait_for_answer(context, START_SECONDS))


async def watch_while(
    context: Context, work: Coroutine[Any, Any, None]
) -> None:
    """Record what the process uses during some work."""
    watching = asyncio.create_task(context.limited.watch())
    try:
        await work
    finally:
        watching.cancel()
        await asyncio.gather(watching, return_exceptions=True)


async def _wait_for_answer(context: Context, wait_seconds: float) -> None:
    send = _request_front if 'front' in context.ports else _request_own
    limited = context.limited
    async with asyncio.timeout(wait_seconds):
        while not await _is_answered(context, send):
            running = limited.process.poll() is None
            assert running, limited.log.read_text()[-2000:]
            await asyncio.sleep(RETRY_SECONDS)


async def _wait_for_route(port: int) -> None:
    request = caller_request('/all/x')
    async with asyncio.timeout(START_SECONDS):
        while True:
            reply = await fetch(ADDRESS, port, request, TRY_SECONDS)
            if reply.status != NOT_FOUND:
                return
            await asyncio.sleep(RETRY_SECONDS)


async def _is_answered(
    context: Context, send: Callable[[], HttpRequest]
) -> bool:
    listener = 'front' if 'front' in context.ports else 'callers'
    port = context.ports[listener]
    try:
        reply = await fetch(ADDRESS, port, send(), TRY_SECONDS)
    except OSError:
        return False
    return reply.status == OK


def _request_front() -> HttpRequest:
    return caller_request('/one/x')


def _request_own() -> HttpRequest:
    body = msgspec.json.encode({'service': OWN_SERVICE})
    return HttpRequest('POST', '/v1/search', body=body)
