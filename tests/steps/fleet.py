"""Steps on instances that act together, and on targets that leave."""

import asyncio
import contextlib
from types import MappingProxyType
from typing import Any

import cbor2
import msgspec
from behave import then, when
from behave.runner import Context
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed

from celeryturn.decisions.membership import Status
from celeryturn.decisions.views import can_receive_work
from celeryturn.instance import current_versions, offer_document
from celeryturn.peers.messages import PROTOCOL_VERSION
from tests.support.world import ADDRESS, until

MESSAGES = MappingProxyType(
    {
        'another protocol version': {'type': 'hello', 'protocol': 99},
        'an unknown type': {'type': 'gift', 'protocol': PROTOCOL_VERSION},
        'a wrong field': {
            'type': 'ping',
            'protocol': PROTOCOL_VERSION,
            'fields': {'sent_seconds': 'now'},
        },
    }
)


@when('one instance has version {version:d} of "{service}"')
def offer(context: Context, version: int, service: str) -> None:
    """Let one instance know what the others do not."""
    world = context.world
    raw = {**world.documents[service], 'version': version}
    application = list(world.applications.values())[-1]
    body = msgspec.json.encode(raw)

    async def go() -> None:
        offer_document(application.instance, body, 'service')

    context.loop.run_until_complete(go())


@when('"{name}" is killed')
def kill(context: Context, name: str) -> None:
    """End an instance without a word."""
    context.loop.run_until_complete(context.world.kill(name))


@when('"{name}" is killed and starts again')
def restart(context: Context, name: str) -> None:
    """End an instance and start it again, with nothing kept."""

    async def go() -> None:
        settings = await context.world.kill(name)
        await context.world.start(settings)

    context.loop.run_until_complete(go())


@then(
    '"{name}" never serves callers with less than version {version:d} of '
    '"{service}"'
)
def expect_no_revert(
    context: Context, name: str, version: int, service: str
) -> None:
    """Look at every step of the start."""
    instance = context.world.applications[name].instance

    async def go() -> None:
        async with asyncio.timeout(10):
            while not instance.is_ready:
                await asyncio.sleep(0)

    context.loop.run_until_complete(go())
    assert current_versions(instance)[service] == version, current_versions(
        instance
    )


@then('no instance advises "{name}"')
def expect_not_advised(context: Context, name: str) -> None:
    """Wait until it is left out everywhere, then ask."""
    world = context.world
    others = {
        known: application
        for known, application in world.applications.items()
        if known != name
    }
    context.loop.run_until_complete(
        until(
            lambda: all(
                application.instance.membership.members[name].status
                is not Status.ALIVE
                for application in others.values()
            )
        )
    )
    for other in others:
        reply = context.loop.run_until_complete(
            world.ask('GET', '/v1/addresses?caller=c', name=other)
        )
        advised = msgspec.json.decode(reply.body)['addresses']
        assert advised, 'nothing is advised'
        assert name not in {entry['instance'] for entry in advised}


@when('{count:d} searches are under way at "{name}" and it is told to leave')
def leave_under_load(context: Context, count: int, name: str) -> None:
    """Begin a graceful shutdown with requests in flight."""
    world = context.world
    application = world.applications[name]

    async def go() -> None:
        body = {'service': 'reservas', 'deadline_seconds': 10}
        world.tasks = [
            asyncio.create_task(world.ask('POST', '/v1/search', body, name))
            for _ in range(count)
        ]
        await until(
            lambda: (
                sum(
                    connection.task is not None
                    for connection in application.server.connections
                )
                == count
            )
        )
        application.drain()

    context.loop.run_until_complete(go())


@then('all {count:d} searches are answered in full')
def expect_searches(context: Context, count: int) -> None:
    """Expect that none was cut off."""
    tasks = context.world.tasks

    async def go() -> list[Any]:
        return await asyncio.gather(*tasks)

    replies = context.loop.run_until_complete(go())
    assert len(replies) == count
    for reply in replies:
        coverage = msgspec.json.decode(reply.body)['coverage']
        assert coverage['is_complete'], coverage


@then('"{name}" ends by itself')
def expect_end(context: Context, name: str) -> None:
    """Expect that the graceful shutdown comes to its end."""
    running = context.world.running[name]
    context.loop.run_until_complete(until(running.done))
    assert running.exception() is None


@when('"{name}" and the others lose each other and give each other up')
def split(context: Context, name: str) -> None:
    """Cut every link and let both sides give up, as a partition does."""
    applications = context.world.applications

    async def go() -> None:
        for known, application in applications.items():
            lost = set(applications) - {name} if known == name else {name}
            members = application.instance.membership.members
            for gone in lost:
                members[gone] = members[gone]._replace(status=Status.GONE)
            for link in tuple(application.network.links):
                link.socket.transport.abort()

    context.loop.run_until_complete(go())


@when('a peer sends {size:d} bytes')
def send_large(context: Context, size: int) -> None:
    """Send a message of a size."""
    _send(context, b'x' * size)


@when('a peer sends the message "{message}"')
def send_message(context: Context, message: str) -> None:
    """Send a message that is not understood."""
    if message == 'no CBOR':
        _send(context, b'\xff\xff')
    else:
        _send(context, cbor2.dumps(MESSAGES[message]))


@then('the link is closed and the instance logs "{code}"')
def expect_code(context: Context, code: str) -> None:
    """Expect the code in the log."""
    lines = context.log.getvalue().splitlines()
    refused = [line for line in lines if 'CT301' in line]
    assert any(code in line for line in refused), refused


@then('the instance still serves')
def expect_serves(context: Context) -> None:
    """Expect an answer."""
    reply = context.loop.run_until_complete(
        context.world.ask('POST', '/v1/search', {'service': 'reservas'})
    )
    assert reply.status == 200, reply


@when('callers search "{service}" until the sign of "{name}" is seen')
def search_until_sign(context: Context, service: str, name: str) -> None:
    """Search until the instance knows that a target leaves."""
    world = context.world
    instance = next(iter(world.applications.values())).instance

    async def go() -> None:
        async with asyncio.timeout(10):
            while can_receive_work(instance.services[service].views[name]):
                await world.ask('POST', '/v1/search', {'service': service})

    context.loop.run_until_complete(go())
    context.marks = {name: len(_work(world, name))}


@then('"{name}" got nothing since')
def expect_no_work(context: Context, name: str) -> None:
    """Expect no read at the target since the mark."""
    work = _work(context.world, name)
    assert len(work) == context.marks[name], work


@when('"{name}" starts again')
def restart_target(context: Context, name: str) -> None:
    """Let a target come back as another process."""
    context.world.targets[name].restart()


@then('"{name}" gets work again')
def expect_work(context: Context, name: str) -> None:
    """Search until the target is asked again."""
    world = context.world
    before = len(_work(world, name))

    async def go() -> None:
        async with asyncio.timeout(30):
            while len(_work(world, name)) == before:
                await world.ask('POST', '/v1/search', {'service': 'reservas'})

    context.loop.run_until_complete(go())


def _send(context: Context, encoded: bytes) -> None:
    application = next(iter(context.world.applications.values()))
    port = application.instance.settings.peers.port

    async def go() -> None:
        async with connect(
            f'ws://{ADDRESS}:{port}/', proxy=None, max_size=None
        ) as socket:
            await socket.send(encoded)
            with contextlib.suppress(ConnectionClosed):
                await _read_to_end(socket)

    context.loop.run_until_complete(go())


async def _read_to_end(socket: ClientConnection) -> None:
    async with asyncio.timeout(10):
        while True:
            await socket.recv()


def _work(world: Any, name: str) -> list[str]:
    return [
        path
        for path, _ in world.targets[name].log
        if path in {'/v1/read', '/v1/book'}
    ]
