"""Steps on published routes on real connections."""

import asyncio
from collections.abc import Coroutine
from typing import Any
from unittest import mock

import msgspec
from behave import given, then, when
from behave.runner import Context

from celeryturn.decisions import directory
from celeryturn.forwarding import follow
from celeryturn.forwarding.app import ForwardingApplication
from celeryturn.forwarding.tier import StoreProgress, Tier
from celeryturn.http.messages import HttpReply, header
from standins.shard_target import Fault
from standins.store import Mode
from tests.support.routed import (
    RoutedWorld,
    caller_request,
    gather_route,
    plain_route,
)

RECORD_BYTES = 16
SERVICE = 'bookings'


def _run(context: Context, coroutine: Coroutine[Any, Any, Any]) -> Any:
    return context.loop.run_until_complete(coroutine)


def _world(context: Context) -> RoutedWorld:
    world: RoutedWorld = context.routed
    return world


async def _start(context: Context, count: int, **fields: Any) -> None:
    world = RoutedWorld()
    context.routed = world
    await world.start_store()
    await world.start_targets(SERVICE, count)
    for name, target in world.targets.items():
        target.body = f'the body of {name}'.encode()
    world.publish(1, plain_route(SERVICE, **fields))
    await world.start_instance()
    await world.wait_ready()


@given('a plain route to {count:d} targets')
def given_plain(context: Context, count: int) -> None:
    """Start a service."""
    _run(context, _start(context, count))


@given('a plain route to {count:d} targets for requests that run once')
def given_once_route(context: Context, count: int) -> None:
    """Start a service that takes bookings."""
    _run(context, _start(context, count, Kind='unsafe'))


@given('a gather route over {shards:d} shards of {count:d} targets')
def given_gather(context: Context, shards: int, count: int) -> None:
    """Start shards."""
    world = RoutedWorld()
    context.routed = world
    names = [f'shard-{number}' for number in range(shards)]
    _run(context, world.start_store())
    for number, name in enumerate(names):
        _run(context, world.start_targets(name, count))
        for position in range(count):
            target = world.targets[f'{name}-{position}']
            target.body = _records(number)
    world.publish(1, gather_route(names))
    _run(context, world.start_instance())
    _run(context, world.wait_ready())


@given('all targets of one shard crash')
def crash_shard(context: Context) -> None:
    """Crash every replica of the first shard."""
    for name, target in _world(context).targets.items():
        if name.startswith('shard-0'):
            _run(context, target.stop())


@given('{count:d} shards fail what they run')
def fail_shards(context: Context, count: int) -> None:
    """Let shards fail."""
    for number in range(count):
        _world(context).targets[f'shard-{number}-0'].fault = Fault.FAIL


@given('all targets have the fault "{fault}"')
def given_fault(context: Context, fault: str) -> None:
    """Let all targets do something wrong."""
    for target in _world(context).targets.values():
        target.fault = Fault(fault)


@given('one target has the fault "{fault}"')
def given_one_fault(context: Context, fault: str) -> None:
    """Let one target do something wrong."""
    _world(context).targets[f'{SERVICE}-0'].fault = Fault(fault)


@given('its targets take {milliseconds:d} ms')
def given_delay(context: Context, milliseconds: int) -> None:
    """Let targets take time."""
    for target in _world(context).targets.values():
        target.delay_seconds = milliseconds / 1000


@given('its address is listed under another name')
def list_reused(context: Context) -> None:
    """Let another target have the address."""
    world = _world(context)
    target = world.targets[f'{SERVICE}-0']
    target.target = 'another'


@given('the store has entries that cannot be read')
def put_junk(context: Context) -> None:
    """Write what no target would."""
    world = _world(context)
    before = len(world.applications[0].tier.directory.services)
    entries = (
        b'\xff\xfe',
        b'{}',
        b'[]',
        msgspec.json.encode({'Service': SERVICE, 'Address': 5}),
        msgspec.json.encode(
            {
                'Service': SERVICE,
                'Address': '127.0.0.1:1',
                'Zone': 'near',
                'Slots': 4,
                'State': 'resting',
                'Sequence': 1,
            }
        ),
    )
    for number, entry in enumerate(entries):
        world.store.put(f'servers/junk-{number}', entry)
    _run(context, _settled(world))
    assert len(world.applications[0].tier.directory.services) == before


@given("the operator's key holds something else")
def put_bad_config(context: Context) -> None:
    """Write what the operator would not."""
    world = _world(context)
    for body in (b'', b'{"Version": 9}', b'\xff', b'{"Version": "x"}'):
        world.store.put('op/config', body)
    _run(context, _settled(world))


@given('a second instance')
@when('a second instance is started')
def start_second(context: Context) -> None:
    """Start another instance."""
    world = _world(context)
    _run(context, world.start_instance())
    first, second = world.applications
    _run(
        context,
        world.wait_for(
            lambda: (
                second.tier.instance.is_ready
                and len(first.tier.instance.membership.members) == 2
            )
        ),
    )


@given('a second instance, which the store turns away from then on')
def start_turned_away(context: Context) -> None:
    """Start another instance and cut it off from the store."""
    start_second(context)
    world = _world(context)
    second = world.applications[1]
    away = second.tier.settings.instance.configuration._replace(port=1)
    settings = second.tier.settings.instance._replace(configuration=away)
    second.tier.settings = second.tier.settings._replace(instance=settings)
    _run(context, _follow_anew(second))


@when('a caller asks for "{path}"')
def ask(context: Context, path: str) -> None:
    """Ask once."""
    reply = _run(context, _world(context).ask(caller_request(path)))
    context.replies = [reply]


@when('a caller asks for "{path}" and waits {milliseconds:d} ms')
def ask_within(context: Context, path: str, milliseconds: int) -> None:
    """Ask once, with little time."""
    request = caller_request(path, wait_ms=milliseconds)
    context.replies = [_run(context, _world(context).ask(request))]


@when('a caller books at "{path}"')
def book(context: Context, path: str) -> None:
    """Send a request that must run once."""
    request = caller_request(path, method='POST')
    context.replies = [_run(context, _world(context).ask(request))]


@when('{count:d} callers ask for "{path}" one after the other')
def ask_in_turn(context: Context, count: int, path: str) -> None:
    """Ask several times."""
    world = _world(context)
    context.replies = [
        _run(context, world.ask(caller_request(path, number)))
        for number in range(count)
    ]


@when(
    '{count:d} callers ask for "{path}" at once and the instance is told to end'
)
def ask_and_end(context: Context, count: int, path: str) -> None:
    """End the instance while requests are under way."""
    world = _world(context)

    async def ask_all() -> list[HttpReply]:
        asked = [
            asyncio.create_task(world.ask(caller_request(path, number)))
            for number in range(count)
        ]
        tier = world.applications[0].tier
        await world.wait_for(lambda: len(tier.under_way) == count)
        world.applications[0].drain()
        return await asyncio.gather(*asked)

    context.replies = _run(context, ask_all())


@when('a caller asks for "{path}" and leaves')
def ask_and_leave(context: Context, path: str) -> None:
    """Close the connection while the request is under way."""
    world = _world(context)

    async def leave() -> None:
        settings = world.applications[0].tier.settings
        connection = await world.connect(settings.instance.callers)
        connection.start(caller_request(path), lambda outcome: None)
        await world.wait_for(
            lambda: all(target.run for target in world.targets.values())
        )
        connection.close()

    _run(context, leave())


@when('the store turns {mode}')
def turn_store(context: Context, mode: str) -> None:
    """Change how the store behaves."""
    world = _world(context)
    world.store.mode = Mode(mode)
    # A change wakes the watch that waits, so that it asks again.
    world.store.put('other/key', b'')
    calls = world.store.call_count
    _run(context, world.wait_for(lambda: world.store.call_count > calls))


@when('the store is busy while the route moves, and forgets its history')
def move_route(context: Context) -> None:
    """Publish while nobody can read."""
    world = _world(context)
    turn_store(context, 'busy')
    world.publish(2, plain_route(SERVICE, '/moved/'))
    world.store.forget_history()
    world.store.mode = Mode.SERVING


@given('a caller has asked for "{path}"')
def has_asked(context: Context, path: str) -> None:
    """Ask, so that something is observed."""
    ask(context, path)
    assert _world(context).applications[0].tier.latencies


@when('the route moves to "{prefix}"')
def move_prefix(context: Context, prefix: str) -> None:
    """Publish a route of another name."""
    world = _world(context)
    world.publish(2, plain_route(SERVICE, prefix))
    _run(context, _settled(world))


@then('nothing is held of the former route')
def expect_forgotten(context: Context) -> None:
    """Expect tables without it."""
    tier = _world(context).applications[0].tier
    assert not tier.latencies, tier.latencies
    assert not tier.waits, tier.waits


@when('the operator publishes version {version:d}')
def publish(context: Context, version: int) -> None:
    """Publish a version."""
    _world(context).publish(version, plain_route(SERVICE))


@then(
    "within {bound:d} s of a silent store's return a watch has been asked for"
    ' anew'
)
def expect_asked_anew(context: Context, bound: int) -> None:
    """Expect that no watch of before holds an instance up for longer."""
    progress = StoreProgress()
    for is_lost in (False, True):
        progress.is_lost = is_lost
        given_up = sum(follow.watch_times(progress))
        assert given_up + follow.MOST_RETRY_SECONDS < bound, given_up


@then(
    'within {bound:d} s it has asked a silent store {count:d} times, the last'
    ' time for longest'
)
def expect_asked_soon(context: Context, bound: int, count: int) -> None:
    """Expect short reads first, since nobody is served meanwhile."""
    progress = StoreProgress()
    passed_seconds = 0.0
    waits = []
    for failed_count in range(count):
        progress.failed_count = failed_count
        waits.append(follow.read_seconds(progress))
        passed_seconds += follow.retry_seconds(progress, 0.5)
    assert waits == sorted(set(waits)), waits
    passed_seconds += sum(waits[:-1])
    assert passed_seconds < bound, (passed_seconds, waits)


@when('one change makes the program fail')
def fail_once(context: Context) -> None:
    """Let the code that takes in changes fail once."""
    world = _world(context)
    target = f'{SERVICE}-0'
    fault = RuntimeError('a fault of this program')
    with mock.patch.object(directory, 'apply_entry', side_effect=fault) as put:
        world.list_target(target, SERVICE, Slots=2)
        _run(context, world.wait_for(lambda: put.call_count))


@when('a caller asks the second instance for "{path}"')
def ask_second(context: Context, path: str) -> None:
    """Ask an instance that has started later."""
    request = caller_request(path)
    context.replies = [_run(context, _world(context).ask(request, 1))]


@given('the first instance has forgotten its targets while the store is away')
def forget_targets(context: Context) -> None:
    """Leave the routes in force, and nobody who knows targets."""
    world = _world(context)
    turn_store(context, 'silent')
    tier = world.applications[0].tier
    tier.progress.revision = 0
    tier.directory = directory.Directory()


@when('a second instance learns the routes alone')
def start_without_targets(context: Context) -> None:
    """Start an instance that cannot learn of targets."""
    world = _world(context)
    _run(context, world.start_instance())
    second = world.applications[1]
    _run(context, world.wait_for(lambda: second.tier.table))
    _run(context, world.wait_for(second.network.first_contact.is_set))


@when('one more target is listed, one drains and one is gone')
def change_targets(context: Context) -> None:
    """Change the list in each way."""
    world = _world(context)
    _run(context, world.start_targets('more', 1))
    world.list_target(f'{SERVICE}-0', SERVICE, State='draining')
    world.store.delete(f'servers/{SERVICE}-1')


@then('the second instance lists the same targets as the first')
def expect_same_targets(context: Context) -> None:
    """Expect what the store says now at both."""
    world = _world(context)
    expected = {f'{SERVICE}-0': True, 'more-0': False}
    for application in world.applications:
        _run(context, _until_listed(world, application.tier, expected))


async def _until_listed(
    world: RoutedWorld, tier: Tier, expected: dict[str, bool]
) -> None:
    await world.wait_for(lambda: _listed(tier) == expected)


def _listed(tier: Tier) -> dict[str, bool]:
    return {
        target: replica.entry.is_draining
        for of_service in tier.directory.replicas.values()
        for target, replica in of_service.items()
    }


@then('the instance has version {version:d}')
def expect_one_version(context: Context, version: int) -> None:
    """Expect a version in force."""
    expect_version(context, version)


@when('one target is listed as draining')
def drain_target(context: Context) -> None:
    """Let a target say that it leaves."""
    world = _world(context)
    world.list_target(f'{SERVICE}-0', SERVICE, State='draining')
    _run(context, _settled(world))


@when('the second instance is told to end')
def end_second(context: Context) -> None:
    """Begin a graceful shutdown."""
    _world(context).applications[1].drain()


@then('the answer has the status {status:d}')
def expect_status(context: Context, status: int) -> None:
    """Expect a status."""
    reply = context.replies[0]
    assert reply.status == status, reply


@then('every answer has the status {status:d}')
def expect_statuses(context: Context, status: int) -> None:
    """Expect one status."""
    found = [reply.status for reply in context.replies]
    assert set(found) == {status}, found


@then('the answer has the status 200 and the body of a target')
def expect_body(context: Context) -> None:
    """Expect a target's whole answer."""
    reply = context.replies[0]
    bodies = {target.body for target in _world(context).targets.values()}
    assert reply.status == 200, reply
    assert reply.body in bodies, reply
    assert header(reply.headers, 'x-response-stamp')


@then('every answer is that of its own request')
def expect_own(context: Context) -> None:
    """Expect that ids match, and bodies too."""
    target = next(iter(_world(context).targets.values()))
    for number, reply in enumerate(context.replies):
        assert reply.status == 200, reply
        named = header(reply.headers, 'x-attempt-id')
        assert named == f'attempt-{number}', reply
        assert reply.body == target.body, reply


@then(
    "the target was told its name, what is left of the time, and the caller's"
    ' id'
)
def expect_headers(context: Context) -> None:
    """Expect the headers that the system sets."""
    targets = _world(context).targets.values()
    target = next(known for known in targets if known.seen)
    headers = target.seen[0]
    assert header(headers, 'x-target-instance') == target.target
    assert header(headers, 'x-attempt-id') == 'attempt-1'
    assert header(headers, 'host') == 'trips.example'
    assert 1000 < int(header(headers, 'x-deadline-remaining') or 0) <= 2000


@then(
    'the answer has {count:d} parts, lacks {missing:d}, and the greatest'
    ' records'
)
def expect_parts(context: Context, count: int, missing: int) -> None:
    """Expect a true statement of coverage, and the merge."""
    reply = context.replies[0]
    assert reply.status == 200, reply
    stamps = (header(reply.headers, 'x-part-stamps') or '').split(', ')
    assert len(set(stamps)) == count, stamps
    assert header(reply.headers, 'x-missing-parts') == str(missing)
    included = range(3)[-count:]
    heads = [head for number in included for head in _heads(number)]
    greatest = sorted(heads, reverse=True)[:3]
    expected = b''.join(bytes((head,)) * RECORD_BYTES for head in greatest)
    assert reply.body == expected, reply.body


@then('it says when to come back')
def expect_retry_after(context: Context) -> None:
    """Expect a time within reason."""
    text = header(context.replies[0].headers, 'retry-after')
    assert 0 < float(text or 0) < 1, text


@then('it ran {count:d} times')
def expect_run_count(context: Context, count: int) -> None:
    """Expect how often the request was run, over all targets."""
    targets = _world(context).targets.values()
    assert sum(len(target.run) for target in targets) == count


@then('every target notices')
def expect_noticed(context: Context) -> None:
    """Expect that the connections to targets were closed."""
    world = _world(context)
    _run(
        context,
        world.wait_for(
            lambda: all(tgt.gone_count for tgt in world.targets.values())
        ),
    )


@then('the instance serves the moved route')
def expect_moved(context: Context) -> None:
    """Expect the newer version in force."""
    world = _world(context)
    tier = world.applications[0].tier

    def is_moved() -> bool:
        return tier.table is not None and tier.table.version == 2

    _run(context, world.wait_for(is_moved))
    reply = _run(context, world.ask(caller_request('/moved/x')))
    assert reply.status == 200, reply


@then('both instances have version {version:d}')
def expect_version(context: Context, version: int) -> None:
    """Expect a version in force everywhere."""
    world = _world(context)

    def has_version() -> bool:
        tables = [known.tier.table for known in world.applications]
        return all(tbl and tbl.version == version for tbl in tables)

    _run(context, world.wait_for(has_version))


@then('the draining target ran nothing')
def expect_drained(context: Context) -> None:
    """Expect that the other one did all."""
    assert not _world(context).targets[f'{SERVICE}-0'].run


@then('the directory names {count:d} addresses')
def expect_addresses(context: Context, count: int) -> None:
    """Expect advice."""
    world = _world(context)
    directory = world.applications[0].tier.settings.directory

    async def advised() -> None:
        connection = await world.connect(directory)
        found = -1
        while found != count:
            reply = await connection.exchange(
                caller_request('/v1/resolve?Name=x&Region=r&Zone=near')
            )
            found = len(msgspec.json.decode(reply.body)['addrs'])
            await asyncio.sleep(0.01)

    _run(context, asyncio.wait_for(advised(), 15))


@then('the second instance says that it is not ready')
def expect_not_ready(context: Context) -> None:
    """Expect the platform's question to be answered with no."""
    world = _world(context)

    async def ask_ready() -> HttpReply:
        endpoint = world.applications[1].tier.settings.ready
        connection = await world.connect(endpoint)
        return await connection.exchange(caller_request('/v1/readiness'))

    assert _run(context, ask_ready()).status == 503


@then('the instance ends by itself')
def expect_ended(context: Context) -> None:
    """Expect the end of the graceful shutdown."""
    application = _world(context).applications[0]
    _run(
        context,
        _world(context).wait_for(lambda: application.tier.instance.is_closing),
    )


async def _follow_anew(application: ForwardingApplication) -> None:
    application.restart_following()


async def _settled(world: RoutedWorld) -> None:
    tier = world.applications[0].tier
    await world.wait_for(lambda: tier.progress.revision >= world.store.revision)


def _heads(number: int) -> tuple[int, int, int]:
    return (10 + number, 40 + number, 20 + number)


def _records(number: int) -> bytes:
    # Unordered, with a remainder that is no record.
    records = (bytes((head,)) * RECORD_BYTES for head in _heads(number))
    return b''.join((*records, b'rest'))
