"""Steps on instances that lost their links to targets."""

import asyncio
from collections.abc import Callable

from behave import given, then, when
from behave.runner import Context

from celeryturn.decisions.targets.directory import find_replica
from celeryturn.forwarding.app import ForwardingApplication
from celeryturn.forwarding.peers.helping import may_serve_relayed
from celeryturn.forwarding.targets.links import list_judged
from celeryturn.forwarding.targets.connections import Connector
from celeryturn.forwarding.targets.pools import Pool
from celeryturn.http.client import connect
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.peers.handover_messages import HandoverTerms
from tests.support.lost_links import hang, refuse
from tests.support.routed import (
    ADDRESS,
    POLL_SECONDS,
    SERVICE,
    RoutedWorld,
    caller_request,
    get_world,
    run,
)

OK = 200
MAX_WAIT_SECONDS = 10


@when('the first instance loses its links to targets, which hang')
def lose_silently(context: Context) -> None:
    """Let open connections stay silent, and new ones hang."""
    world = get_world(context)
    run(context, world.wait_for(lambda: not _is_opening(world)))
    for pool in _lose(world, hang):
        for idle in pool.idle:
            transport = idle.connection._transport
            assert transport is not None
            transport.pause_reading()


@when('the first instance loses its links to targets, which are refused')
def lose_with_reset(context: Context) -> None:
    """Close open connections, and refuse new ones."""
    world = get_world(context)
    run(context, world.wait_for(lambda: not _is_opening(world)))
    for pool in _lose(world, refuse):
        for idle in pool.idle:
            idle.connection.close()


@when(
    'the first instance loses its links to targets, which are refused while'
    ' open connections live on'
)
def refuse_new(context: Context) -> None:
    """Refuse new connections only."""
    _lose(get_world(context), refuse)


@when('callers of the first instance request "{path}" until one is served')
def send_until_served(context: Context, path: str) -> None:
    """Send requests until one succeeds."""
    world = get_world(context)

    async def send_all() -> None:
        callers = world.applications[0].shared.settings.instance.callers
        connection = await world.connect(callers)
        async with asyncio.timeout(MAX_WAIT_SECONDS):
            status = 0
            number = 0
            while status != OK:
                number += 1
                request = caller_request(path, number, wait_ms=1000)
                status = (await connection.exchange(request)).status
                await asyncio.sleep(POLL_SECONDS)

    run(context, send_all())


@when('{count:d} more callers of the first instance request "{path}"')
def send_more(context: Context, count: int, path: str) -> None:
    """Send several requests to the first instance at the same time."""
    _send_all(
        context, [caller_request(path, number) for number in range(count)]
    )


@when(
    '{count:d} callers of the first instance request "{path}" at once with'
    ' {seconds:g} s left'
)
def send_with_time(
    context: Context, count: int, path: str, seconds: float
) -> None:
    """Send several requests with a deadline to the first instance."""
    wait_ms = int(seconds * 1000)
    _send_all(
        context,
        [
            caller_request(path, number, wait_ms=wait_ms)
            for number in range(count)
        ],
    )


@when('{count:d} callers of the first instance book at "{path}" at once')
def book_at_first(context: Context, count: int, path: str) -> None:
    """Send several at-most-once requests to the first instance."""
    _send_all(
        context,
        [
            caller_request(path, number, method='POST')
            for number in range(count)
        ],
    )


@given('the first instance has lost its links to targets')
def given_lost(context: Context) -> None:
    """Let the first instance lose its links, and all notice it."""
    world = get_world(context)
    run(context, _lose_and_notice(world, world.applications[:1]))


@given('all instances have lost their links to targets')
def given_all_lost(context: Context) -> None:
    """Let all instances lose their links, and all notice it."""
    world = get_world(context)
    run(context, _lose_and_notice(world, world.applications))


@when('the first instance has its links back')
def restore(context: Context) -> None:
    """Let connections succeed again, and wait until that is noticed."""
    world = get_world(context)
    shared = world.applications[0].shared
    shared.target_connections.connect = connect
    run(context, world.wait_for(lambda: not shared.links.is_lost))


@given(
    'another writer has listed {count:d} targets of {service} where nothing'
    ' listens'
)
def list_dead(context: Context, count: int, service: str) -> None:
    """Write entries of targets that do not exist."""
    world = get_world(context)
    name = SERVICE if service == 'the service itself' else 'unrouted'
    for number in range(count):
        world.list_port(f'dead-{number}', name, 1)
    run(context, world.wait_followed())


@when('all targets go away and the instances notice it')
def take_targets_away(context: Context) -> None:
    """Stop all targets, and send requests until the links count as lost."""
    world = get_world(context)
    context.ports = {name: each.port for name, each in world.targets.items()}

    async def stop_and_notice() -> None:
        for target in world.targets.values():
            await target.stop()
        for application in world.applications:
            await _request_until_lost(world, application)

    run(context, stop_and_notice())


@when('all targets are back')
def bring_targets_back(context: Context) -> None:
    """Start all targets again at their ports."""
    for name, target in get_world(context).targets.items():
        run(context, target.start(ADDRESS, context.ports[name]))


@then('links are judged by {count:d} targets')
def expect_judged(context: Context, count: int) -> None:
    """Check how many targets count."""
    judged = list(list_judged(get_world(context).applications[0].shared))
    assert len(judged) == count, judged


@then('most answers have the status {status:d}')
def expect_most(context: Context, status: int) -> None:
    """Check that more than half of the requests were served."""
    statuses = [reply.status for reply in context.replies]
    assert statuses.count(status) * 2 > len(statuses), statuses


@when('the second instance declines all requests of peers')
def decline_second(context: Context) -> None:
    """Let one instance take no requests of peers."""
    application = get_world(context).applications[1]
    application.network.handovers.serve_relayed = _decline


@when('all other instances decline all requests of peers')
def decline_all(context: Context) -> None:
    """Let no instance take requests of peers."""
    for application in get_world(context).applications[1:]:
        application.network.handovers.serve_relayed = _decline


@when(
    'a caller of the first instance books at "{path}" and the link to the peer'
    ' breaks'
)
def book_and_break(context: Context, path: str) -> None:
    """Break all links between the instances while a request is in flight."""
    world = get_world(context)

    async def send_and_break() -> HttpReply:
        request = caller_request(path, method='POST', wait_ms=9000)
        sending = asyncio.create_task(world.send_request(request))
        await world.wait_for(lambda: _run_count(world))
        for link in tuple(world.applications[0].network.links):
            link.socket.transport.abort()
        return await sending

    context.replies = [run(context, send_and_break())]


@when('a caller of the first instance requests "{path}" and disconnects')
def request_and_leave(context: Context, path: str) -> None:
    """Close the connection of the caller while a peer serves its request."""
    world = get_world(context)

    async def disconnect() -> None:
        callers = world.applications[0].shared.settings.instance.callers
        connection = await world.connect(callers)
        connection.start(caller_request(path), lambda outcome: None)
        await world.wait_for(lambda: _run_count(world))
        connection.close()

    run(context, disconnect())


@when(
    '{count:d} callers of the first instance request "{path}" and the other'
    ' one shuts down'
)
def request_and_drain(context: Context, count: int, path: str) -> None:
    """Begin a graceful shutdown of the peer that serves the requests."""
    world = get_world(context)
    requests = [caller_request(path, number) for number in range(count)]
    context.replies = run(
        context,
        world.drain_during(requests, 1, lambda: _run_count(world) >= count),
    )


@when('an instance {state}')
def set_state(context: Context, state: str) -> None:
    """Put the instance into a state in which it serves no peers."""
    shared = get_world(context).applications[0].shared
    context.table_version = 1
    match state:
        case 'reaches no target':
            shared.links.is_lost = True
        case 'shuts down':
            shared.instance.is_leaving = True
        case 'has older routes':
            context.table_version = 2
        case 'is not ready':
            shared.instance.is_ready = False


@then('it declines a request of a peer')
def expect_declined(context: Context) -> None:
    """Check that a request of a peer is not taken."""
    shared = get_world(context).applications[0].shared
    terms = HandoverTerms(context.table_version, 0.0)
    assert not may_serve_relayed(shared, terms)


@then('the first instance holds nothing against any target')
def expect_unblamed(context: Context) -> None:
    """Check what is observed of the targets."""
    world = get_world(context)
    known = world.applications[0].shared.directory
    for target in world.targets:
        replica = find_replica(known, target)
        assert replica is not None
        assert not replica.failure_share
        assert not replica.blocked_until_seconds
        assert not replica.unanswered_count


@then('{count:d} more callers of the first instance request "{path}"')
def send_again(context: Context, count: int, path: str) -> None:
    """Send several requests to the first instance at the same time."""
    send_more(context, count, path)


@then('a target sees that its caller has disconnected')
def expect_disconnect(context: Context) -> None:
    """Wait until the connection to a target was closed."""
    world = get_world(context)
    targets = world.targets.values()
    run(
        context,
        world.wait_for(lambda: any(tgt.disconnect_count for tgt in targets)),
    )


@then('no requests are under way between the instances')
def expect_none_under_way(context: Context) -> None:
    """Wait until nothing is left of requests that were handed over."""
    world = get_world(context)
    handovers = [known.network.handovers for known in world.applications]
    run(
        context,
        world.wait_for(
            lambda: (
                not any(known.pending or known.relayed for known in handovers)
            )
        ),
    )


def _send_all(context: Context, requests: list[HttpRequest]) -> None:
    context.replies = run(context, get_world(context).send_all(requests))


async def _decline(_request: HttpRequest, _terms: HandoverTerms) -> None:
    """Decline every request."""


async def _lose_and_notice(
    world: RoutedWorld, applications: list[ForwardingApplication]
) -> None:
    for application in applications:
        for pool in _lose(world, refuse, application):
            for idle in pool.idle:
                idle.connection.close()
        await _request_until_lost(world, application)
    names = {known.shared.settings.instance.instance for known in applications}
    await world.wait_for(lambda: all(map(_knows(names), world.applications)))
    for target in world.targets.values():
        target.executed_attempt_ids.clear()


async def _request_until_lost(
    world: RoutedWorld, application: ForwardingApplication
) -> None:
    shared = application.shared
    connection = await world.connect(shared.settings.instance.callers)
    async with asyncio.timeout(MAX_WAIT_SECONDS):
        number = 0
        while not shared.links.is_lost:
            number += 1
            await connection.exchange(caller_request('/one/x', number))
            await asyncio.sleep(POLL_SECONDS)


def _knows(names: set[str]) -> Callable[[ForwardingApplication], bool]:
    def knows(application: ForwardingApplication) -> bool:
        members = application.shared.instance.membership.members
        return all(not members[name].reaches_targets for name in names)

    return knows


def _run_count(world: RoutedWorld) -> int:
    return sum(
        len(target.executed_attempt_ids) for target in world.targets.values()
    )


def _is_opening(world: RoutedWorld) -> bool:
    # A connection that opens later would not be among the lost ones.
    pools = world.applications[0].shared.pools.values()
    return any(pool.opening for pool in pools)


def _lose(
    world: RoutedWorld,
    connector: Connector,
    application: ForwardingApplication | None = None,
) -> list[Pool]:
    shared = (application or world.applications[0]).shared
    shared.target_connections.connect = connector
    return list(shared.pools.values())
