"""Steps on replies with a status that HTTP does not allow."""

import itertools
from typing import Final

from behave import given, then, when
from behave.runner import Context

from celeryturn.http.client import connect
from celeryturn.http.exchange_errors import ExchangeError
from celeryturn.http.messages import HttpReply, HttpRequest, header
from tests.support.raw_target import RawTarget, add_raw_target
from tests.support.routed import ADDRESS, get_world, run

WAIT_SECONDS: Final = 5.0
BODY: Final = b'0123456789abcdef'


@when(
    'a server replies with each status from {first:d} to {below:d} and from'
    ' {above:d} to {last:d}'
)
def reply_with_each(
    context: Context, first: int, below: int, above: int, last: int
) -> None:
    """Make an exchange for each status."""
    server = RawTarget(b'')
    context.servers.append(server)

    async def exchange_all() -> list[HttpReply | None]:
        port = await server.start()
        replies = []
        statuses = (range(first, below + 1), range(above, last + 1))
        for status in itertools.chain(*statuses):
            server.reply = _encode(f'{status:03}')
            replies.append(await _exchange(port))
        return replies

    context.replies = run(context, exchange_all())


@then('no exchange has a reply')
def expect_no_reply(context: Context) -> None:
    """Check that each exchange failed."""
    assert context.replies
    found = [reply for reply in context.replies if reply is not None]
    assert not found, found


@given(
    'a target of the route "{prefix}" that replies with the status "{status}"'
)
def add_target(context: Context, prefix: str, status: str) -> None:
    """List a target and publish its route."""
    adding = add_raw_target(get_world(context), prefix, _encode(status))
    context.servers.append(run(context, adding))


@given(
    'a target of the at-most-once route "{prefix}" that replies with the status'
    ' "{status}"'
)
def add_unsafe_target(context: Context, prefix: str, status: str) -> None:
    """List a target and publish its route for requests that run once."""
    adding = add_raw_target(
        get_world(context), prefix, _encode(status), Kind='unsafe'
    )
    context.servers.append(run(context, adding))


@given('the targets of {count:d} shards reply with the status "{status}"')
def replace_shards(context: Context, count: int, status: str) -> None:
    """List raw targets in the place of those of some shards."""
    world = get_world(context)
    for name in list(world.targets)[:count]:
        port = _start(context, status)
        world.list_port(name, name.rpartition('-')[0], port)
    run(context, world.wait_followed())


@given('its targets reply with the status "{status}"')
def replace_own(context: Context, status: str) -> None:
    """Publish the ports of raw targets in place of those of the targets."""
    world = context.world
    document = next(iter(world.documents.values()))
    for target in document['targets'].values():
        target['port'] = _start(context, status)
    world.publish({**document, 'version': document['version'] + 1})


@then('the answer has no stamp of a target')
def expect_no_stamp(context: Context) -> None:
    """Check that the answer is not the one of the target."""
    reply = context.replies[-1]
    assert header(reply.headers, 'x-response-stamp') is None, reply


@then('the answer names {count:d} parts')
def expect_parts(context: Context, count: int) -> None:
    """Check how many parts a success names."""
    reply = context.replies[-1]
    stamps = header(reply.headers, 'x-part-stamps') or ''
    assert len([stamp for stamp in stamps.split(',') if stamp]) == count, reply


def _start(context: Context, status: str) -> int:
    target = RawTarget(_encode(status))
    context.servers.append(target)
    port: int = run(context, target.start())
    return port


def _encode(status: str) -> bytes:
    lines = (
        f'HTTP/1.1 {status} Odd',
        'x-response-stamp: stamp',
        f'content-length: {len(BODY)}',
    )
    return '\r\n'.join((*lines, '', '')).encode() + BODY


async def _exchange(port: int) -> HttpReply | None:
    connection = await connect(ADDRESS, port, WAIT_SECONDS)
    try:
        return await connection.exchange_within(
            HttpRequest('GET', '/'), WAIT_SECONDS
        )
    except ExchangeError:
        return None
    finally:
        connection.close()
