"""Steps on the daemon of the users' platform as a real process."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from behave import given, then, when
from behave.runner import Context
from prometheus_client.parser import text_string_to_metric_families

from celeryturn import cli
from celeryturn.errors import CeleryturnError
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.settings import Endpoint
from examples.fleet import free_ports
from standins.shard_target import Fault
from tests.support.routed import (
    ADDRESS,
    PORT_COUNT,
    WAIT_SECONDS,
    RoutedWorld,
    caller_request,
    gather_route,
    plain_route,
)

SERVICE = 'bookings'
UNSAFE_SERVICE = 'once'
SHARDS = ('shard-0', 'shard-1', 'shard-2')
SETTINGS = """\
NodeName=front-near-1
Role=entry
Zone=near
Region=r
Zones.near=r
Listen.Front={address}:{front}
Listen.Ready={address}:{ready}
Listen.Control={address}:{control}
Listen.directory={address}:{directory}
Ip={address}
InternalPorts={metrics},{metrics}
Seeds={address}:{control}
Bounds.GraceS=1
Bounds.RetryBudgetRatio=0.2
Bounds.ttl_max_s=5
Unknown.Field=is ignored
platform.Address={address}:{store}
"""


@given("the platform's store, with a route to a target")
def given_store(context: Context) -> None:
    """Start the stand-ins."""
    world = RoutedWorld()
    context.routed = world

    async def start() -> None:
        await world.start_store()
        await world.start_targets(SERVICE, 1)
        world.publish(1, plain_route(SERVICE))

    _run(context, start())


@when('the daemon is started with the settings that the platform writes')
def start_daemon(context: Context) -> None:
    """Start a process."""
    context.ports = dict(
        zip(
            ('front', 'ready', 'control', 'directory', 'metrics'),
            free_ports(PORT_COUNT),
            strict=True,
        )
    )
    store = context.routed.store.server.port
    _start(
        context,
        SETTINGS.format(address=ADDRESS, store=store, **context.ports),
    )


@when('the daemon is started with settings that have 3 faults')
def start_faulty(context: Context) -> None:
    """Start a process that cannot run."""
    _start(context, _faulty_settings())


@then('it answers a caller')
def check_answer(context: Context) -> None:
    """Ask until it is ready."""
    reply = _run(context, _wait_for_success(context, 'front', '/one/x'))
    assert reply.status == 200, reply


@then("the platform's question and the directory are answered")
def check_auxiliary_servers(context: Context) -> None:
    """Ask what the platform and callers ask."""
    ready = _run(context, _wait_for_success(context, 'ready', '/v1/readiness'))
    assert ready.status == 200, ready
    path = '/v1/resolve?Name=x&Region=r&Zone=near'
    advice = _run(context, _wait_for_success(context, 'directory', path))
    addresses = json.loads(advice.body)['addrs']
    assert addresses == [f'{ADDRESS}:{context.ports["front"]}'], addresses
    metrics = _run(context, _wait_for_success(context, 'metrics', '/metrics'))
    families = {
        family.name: family
        for family in text_string_to_metric_families(metrics.body.decode())
    }
    assert 'celeryturn_forwarded_seconds' in families, families
    assert 'celeryturn_table_version' in families, families


@then('it dumps its state on request')
def check_state_dump(context: Context) -> None:
    """Ask for the state as an operator does."""
    at = f'{ADDRESS}:{context.ports["metrics"]}'
    loop = context.loop
    asked = loop.run_in_executor(None, lambda: cli.state(at, json=True))
    state = json.loads(_run(context, asked))[0]
    assert state['table_version'] == 1, state
    assert state['services'][SERVICE]['targets'][f'{SERVICE}-0'], state
    held, most = state['tables']['targets'].values()
    assert held < most, state


@given('one more route over 3 shards, of which 2 must reply')
def add_gather(context: Context) -> None:
    """Publish a gather route and one that runs once beside the plain one."""
    world = context.routed
    for service in (*SHARDS, UNSAFE_SERVICE):
        _run(context, world.start_targets(service, 1))
    world.publish(2, *_routes(objective_ms=1000))


@when('2 shards fail, and a caller asks for all of them as "{request}"')
def send_with_failing_shards(context: Context, request: str) -> None:
    """Fail under the least share."""
    for service in SHARDS[:2]:
        context.routed.targets[f'{service}-0'].fault = Fault.FAIL
    reply = _send_named_request(context, '/all/x', request)
    assert reply.status == 502, reply


@when('the target sheds, and a caller books as "{request}"')
def send_shed_booking(context: Context, request: str) -> None:
    """Turn a booking away."""
    context.routed.targets[f'{UNSAFE_SERVICE}-0'].fault = Fault.SHED
    reply = _send_named_request(context, '/once/x', request)
    assert reply.status == 503, reply


@when(
    'the target is slow, the objective shortened, and a caller asks as'
    ' "{request}"'
)
def send_to_slow_target(context: Context, request: str) -> None:
    """Be late by a changed objective."""
    context.routed.publish(3, *_routes(objective_ms=20))
    context.routed.targets[f'{SERVICE}-0'].delay_seconds = 0.1

    async def adopted() -> None:
        at = Endpoint(ADDRESS, context.ports['metrics'])
        version = b''
        async with asyncio.timeout(WAIT_SECONDS):
            while b'celeryturn_table_version 3' not in version:
                reply = await _try_request(
                    context, at, caller_request('/metrics')
                )
                version = reply.body if reply else b''

    _run(context, adopted())
    reply = _send_named_request(context, '/one/x', request)
    assert reply.status == 200, reply


@then('the story of "{request}" from its output has "{first}" and "{second}"')
def check_story(
    context: Context, request: str, first: str, second: str
) -> None:
    """Expect the cause in what the command tells."""
    path = _write(context.output)
    told = cli.story(request, str(path))
    assert first in told, told
    assert second in told, told


@when('the settings file changes and it gets SIGHUP')
def change_settings(context: Context) -> None:
    """Change the file and say so."""
    context.path.write_text(f'{context.path.read_text()}\nMore=1\n')
    context.process.send_signal(signal.SIGHUP)


@when('it gets SIGTERM')
def terminate(context: Context) -> None:
    """Tell it to end."""
    context.process.send_signal(signal.SIGTERM)


@then('it ends with exit code {code:d}')
def check_exit_code(context: Context, code: int) -> None:
    """Wait for its end."""

    async def ended() -> str:
        loop = asyncio.get_running_loop()
        communicate = context.process.communicate
        output, _ = await loop.run_in_executor(None, communicate)
        text: str = output
        return text

    context.output = _run(context, asyncio.wait_for(ended(), WAIT_SECONDS))
    assert context.process.returncode == code, context.output


@then('its log says "{events}", every line an object')
def check_log_events(context: Context, events: str) -> None:
    """Expect events in order, and nothing else than log lines."""
    told = [json.loads(line)['event'] for line in context.output.splitlines()]
    wanted = events.split()
    assert [name for name in told if name in wanted] == wanted, told


@then('its log names "{names}"')
def check_log_names(context: Context, names: str) -> None:
    """Expect that every fault is named."""
    for name in names.split():
        assert name in context.output, context.output


@then('"celeryturn check --platform" finds the settings valid')
def check_valid_settings(context: Context) -> None:
    """Check a good file."""
    names = ('front', 'ready', 'control', 'directory', 'store', 'metrics')
    ports = {name: number for number, name in enumerate(names, start=1)}
    path = _write(SETTINGS.format(address=ADDRESS, **ports))
    assert 'valid settings' in cli.check(str(path), platform=True)


@then('it names all of "{names}" in faulty ones')
def check_faulty_settings(context: Context, names: str) -> None:
    """Check a bad file."""
    try:
        cli.check(str(_write(_faulty_settings())), platform=True)
    except CeleryturnError as error:
        assert {fault.path for fault in error.faults} == set(names.split())
    else:
        raise AssertionError('no fault was found')


def _routes(objective_ms: int) -> tuple[Any, ...]:
    return (
        plain_route(SERVICE, TargetLatencyMs=objective_ms),
        plain_route(UNSAFE_SERVICE, '/once/', Kind='unsafe'),
        gather_route(list(SHARDS)),
    )


def _send_named_request(context: Context, path: str, request: str) -> HttpReply:
    asked = caller_request(path)
    headers = (
        (name, request if name == 'x-attempt-id' else text)
        for name, text in asked.headers
    )
    asked = asked._replace(headers=tuple(headers))

    async def ask() -> HttpReply:
        front = Endpoint(ADDRESS, context.ports['front'])
        connection = await context.routed.connect(front)
        reply: HttpReply = await connection.exchange_within(asked, WAIT_SECONDS)
        return reply

    reply: HttpReply = _run(context, ask())
    return reply


def _faulty_settings() -> str:
    lines = SETTINGS.format(
        address=ADDRESS,
        front=1,
        ready='x',
        control=3,
        directory=4,
        metrics=6,
        store=5,
    ).splitlines()
    kept = [
        line
        for line in lines
        if not line.startswith(('platform.Address', 'Zone='))
    ]
    return '\n'.join(kept)


def _write(text: str) -> Path:
    path = Path(tempfile.mkdtemp()) / 'node.conf'
    path.write_text(text)
    return path


def _start(context: Context, text: str) -> None:
    context.path = _write(text)
    context.process = subprocess.Popen(
        [sys.executable, '-m', 'celeryturn.node'],
        env={**os.environ, 'CELERYTURN_BOOT': str(context.path)},
        stdout=subprocess.PIPE,
        text=True,
    )


async def _wait_for_success(
    context: Context, listener: str, path: str
) -> HttpReply:
    endpoint = Endpoint(ADDRESS, context.ports[listener])
    request: HttpRequest = caller_request(path)
    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            reply = await _try_request(context, endpoint, request)
            if reply is not None and reply.status == 200:
                return reply
            await asyncio.sleep(0.02)


async def _try_request(
    context: Context, endpoint: Endpoint, request: HttpRequest
) -> HttpReply | None:
    try:
        connection = await context.routed.connect(endpoint)
        reply: HttpReply = await connection.exchange_within(request, 1)
    except OSError:
        return None
    return reply


def _run(context: Context, coroutine: Coroutine[Any, Any, Any]) -> Any:
    return context.loop.run_until_complete(coroutine)
