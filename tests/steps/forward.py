"""Steps on forwarding by published routes over real connections."""

import asyncio
import math
import socket
from collections.abc import Coroutine
from typing import Any
from unittest import mock

import msgspec
from behave import given, then, when
from behave.runner import Context

from celeryturn.decisions.targets import directory
from celeryturn.decisions.targets.replicas import Replica
from celeryturn.forwarding import shared_state, store_watch
from celeryturn.forwarding.app import ForwardingApplication
from celeryturn.forwarding.shared_state import SharedState, StoreProgress
from celeryturn.http.messages import HttpReply, HttpRequest, header
from celeryturn.settings import Endpoint
from standins.shard_target import Fault
from standins.store import Mode
from tests.support.routed import (
    ADDRESS,
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
    """Start a service with a route to it."""
    _run(context, _start(context, count))


@given('a plain route to {count:d} targets for at-most-once requests')
def given_unsafe_route(context: Context, count: int) -> None:
    """Start a service with a route whose requests run at most once."""
    _run(context, _start(context, count, Kind='unsafe'))


@given('a gather route over {shards:d} shards of {count:d} targets')
def given_gather(context: Context, shards: int, count: int) -> None:
    """Start shards with a route that gathers from all of them."""
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


@given('the targets of {count:d} shards fail every request')
def fail_shards(context: Context, count: int) -> None:
    """Inject a failure into the first target of each of some shards."""
    for number in range(count):
        _world(context).targets[f'shard-{number}-0'].fault = Fault.FAIL


@given('all targets have the fault "{fault}"')
def given_fault(context: Context, fault: str) -> None:
    """Inject a fault into all targets."""
    for target in _world(context).targets.values():
        target.fault = Fault(fault)


@given('one target has the fault "{fault}"')
def given_one_fault(context: Context, fault: str) -> None:
    """Inject a fault into one target."""
    _world(context).targets[f'{SERVICE}-0'].fault = Fault(fault)


@given('its targets take {milliseconds:d} ms')
def given_delay(context: Context, milliseconds: int) -> None:
    """Set the processing time of all targets."""
    for target in _world(context).targets.values():
        target.delay_seconds = milliseconds / 1000


@given('another target has taken over its address')
def reuse_address(context: Context) -> None:
    """Give the target at the listed address another name."""
    world = _world(context)
    target = world.targets[f'{SERVICE}-0']
    target.identifier = 'another'


@given('the store has invalid entries')
def put_unreadable_entries(context: Context) -> None:
    """Write entries that no target would, and check that none is used."""
    world = _world(context)
    before = len(world.applications[0].shared.directory.services)
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
    _run(context, _wait_followed(world))
    assert len(world.applications[0].shared.directory.services) == before


@given('the store has an invalid configuration')
def put_unreadable_routes(context: Context) -> None:
    """Write configurations that cannot be decoded."""
    world = _world(context)
    for body in (b'', b'{"Version": 9}', b'\xff', b'{"Version": "x"}'):
        world.store.put('op/config', body)
    _run(context, _wait_followed(world))


@given('a second instance')
@when('a second instance is started')
def start_second(context: Context) -> None:
    """Start another instance and wait until both know each other."""
    world = _world(context)
    _run(context, world.start_instance())
    first, second = world.applications
    _run(
        context,
        world.wait_for(
            lambda: (
                second.shared.instance.is_ready
                and len(first.shared.instance.membership.members) == 2
            )
        ),
    )


@given('a second instance that has lost its connection to the store')
def start_cut_off(context: Context) -> None:
    """Start another instance and direct it to a port without a store."""
    start_second(context)
    world = _world(context)
    second = world.applications[1]
    unreachable = second.shared.settings.instance.configuration._replace(port=1)
    settings = second.shared.settings.instance._replace(
        configuration=unreachable
    )
    second.shared.settings = second.shared.settings._replace(instance=settings)
    _run(context, _restart_following(second))


@when('a caller requests "{path}"')
def send_request(context: Context, path: str) -> None:
    """Send one request."""
    reply = _run(context, _world(context).send_request(caller_request(path)))
    context.replies = [reply]


@when('a caller requests "{path}" and waits {milliseconds:d} ms')
def send_with_timeout(context: Context, path: str, milliseconds: int) -> None:
    """Send one request with the given timeout."""
    request = caller_request(path, wait_ms=milliseconds)
    context.replies = [_run(context, _world(context).send_request(request))]


@when('a caller with the remaining time "{text}" requests "{path}"')
def send_with_text(context: Context, text: str, path: str) -> None:
    """Send one request whose remaining time is the given text."""
    request = caller_request(path)
    expanded = text.replace('empty', '').replace('400 digits', '9' * 400)
    headers = tuple(
        (name, expanded if name == 'x-deadline-remaining' else field)
        for name, field in request.headers
    )
    request = request._replace(headers=headers)
    context.replies = [_run(context, _world(context).send_request(request))]


@given('the target did not respond before')
def given_unresponsive(context: Context) -> None:
    """Record that the only target did not respond to its last request."""
    _only_replica(context).unanswered_count = 1


@then('the target is not expected to be paused')
def expect_not_paused(context: Context) -> None:
    """Check the state that the instance keeps of the only target."""
    assert not _only_replica(context).unanswered_count


@when(
    'a caller sends a header of every byte from {first:d} to {last:d} with'
    ' "{path}"'
)
def send_bytes(context: Context, first: int, last: int, path: str) -> None:
    """Send one request with a header that holds many bytes."""
    request = caller_request(path)
    context.sent_text = bytes(range(first, last + 1)).decode('latin-1')
    headers = (*request.headers, ('x-note', context.sent_text))
    request = request._replace(headers=headers)
    context.replies = [_run(context, _world(context).send_request(request))]


@then('the target received these bytes')
def expect_bytes(context: Context) -> None:
    """Check the header that the target received."""
    target = next(iter(_world(context).targets.values()))
    assert dict(target.received_headers[0])['x-note'] == context.sent_text


@given('its targets report the load "{text}"')
def given_load(context: Context, text: str) -> None:
    """Set the load header of all targets."""
    for target in _world(context).targets.values():
        target.server_load = text


@then('the target was given at most the {milliseconds:d} ms of the route')
def expect_route_timeout(context: Context, milliseconds: int) -> None:
    """Check the remaining time that the target received."""
    target = next(iter(_world(context).targets.values()))
    headers = dict(target.received_headers[0])
    assert 1 <= int(headers['x-deadline-remaining']) <= milliseconds


@then('{count:d} ignored header is counted, and nothing else went wrong')
def expect_ignored_header(context: Context, count: int) -> None:
    """Check the count in the metrics."""
    application = _world(context).applications[0]
    request = HttpRequest('GET', '/metrics')
    reply = application.collectors.answer(application.shared, request)
    assert f'celeryturn_headers_ignored {count}' in reply.body.decode()
    assert not application.collectors.refusals.values


@when('the store moves to another address and the settings name it')
def move_store(context: Context) -> None:
    """Listen at another port, close the former one, apply settings."""
    world = _world(context)
    application = world.applications[0]

    async def move() -> None:
        await world.store.move(ADDRESS)
        settings = application.shared.settings
        store = Endpoint(ADDRESS, world.store.server.port)
        moved = settings.instance._replace(configuration=store, instances=store)
        application.apply_settings(settings._replace(instance=moved))

    _run(context, move())


@then('the instance follows version {version:d}')
def expect_followed_version(context: Context, version: int) -> None:
    """Wait for a version of the routes."""
    world = _world(context)
    shared = world.applications[0].shared
    _run(
        context,
        world.wait_for(lambda: shared_state.table_version(shared) == version),
    )


@when('a second instance starts whose only seed never responds')
def start_without_peers(context: Context) -> None:
    """Start an instance that only knows a port that accepts and is silent."""
    world = _world(context)
    silent = socket.create_server((ADDRESS, 0))
    context.add_cleanup(silent.close)
    seed = Endpoint(ADDRESS, silent.getsockname()[1])
    _run(context, world.start_instance(seeds=(seed,)))


@then('the second instance is ready without any contact')
def expect_ready_alone(context: Context) -> None:
    """Wait until the instance is ready."""
    world = _world(context)
    second = world.applications[1]
    _run(context, world.wait_for(lambda: second.shared.instance.is_ready))
    assert not second.network.first_contact.is_set()


@then('it advises callers of itself only, for at most {seconds:g} s')
def expect_short_advice(context: Context, seconds: float) -> None:
    """Check the advice of the second instance."""
    world = _world(context)
    settings = world.applications[1].shared.settings
    request = HttpRequest('GET', '/v1/resolve?Name=x&Region=r&Zone=near')

    async def read_advice() -> HttpReply:
        connection = await world.connect(settings.directory)
        return await connection.exchange(request)

    advice = msgspec.json.decode(_run(context, read_advice()).body)
    callers = settings.instance.callers
    assert advice['addrs'] == [f'{callers.address}:{callers.port}'], advice
    assert 0 < advice['ttl_s'] <= seconds, advice


@when('a caller books at "{path}"')
def send_booking(context: Context, path: str) -> None:
    """Send an at-most-once request."""
    request = caller_request(path, method='POST')
    context.replies = [_run(context, _world(context).send_request(request))]


@when('{count:d} callers request "{path}" one after the other')
def send_in_sequence(context: Context, count: int, path: str) -> None:
    """Send several requests, each after the answer to the one before."""
    world = _world(context)
    context.replies = [
        _run(context, world.send_request(caller_request(path, number)))
        for number in range(count)
    ]


@when(
    '{count:d} callers request "{path}" at once and the instance starts a '
    'graceful shutdown'
)
def send_and_drain(context: Context, count: int, path: str) -> None:
    """Begin a graceful shutdown while the requests are in flight."""
    world = _world(context)

    async def send_all() -> list[HttpReply]:
        tasks = [
            asyncio.create_task(
                world.send_request(caller_request(path, number))
            )
            for number in range(count)
        ]
        shared = world.applications[0].shared
        await world.wait_for(lambda: len(shared.in_flight) == count)
        world.applications[0].drain()
        return await asyncio.gather(*tasks)

    context.replies = _run(context, send_all())


@when('a caller requests "{path}" and disconnects')
def send_and_disconnect(context: Context, path: str) -> None:
    """Close the connection while the request is in flight."""
    world = _world(context)

    async def disconnect() -> None:
        settings = world.applications[0].shared.settings
        connection = await world.connect(settings.instance.callers)
        connection.start(caller_request(path), lambda outcome: None)
        await world.wait_for(
            lambda: all(
                target.executed_attempt_ids for target in world.targets.values()
            )
        )
        connection.close()

    _run(context, disconnect())


@when('the store becomes {mode}')
def set_store_mode(context: Context, mode: str) -> None:
    """Set the mode of the store and wait until it has been called again."""
    world = _world(context)
    world.store.mode = Mode(mode)
    # A change ends the waiting watch, so that the instance sends a new one.
    world.store.put('other/key', b'')
    calls = world.store.request_count
    _run(context, world.wait_for(lambda: world.store.request_count > calls))


@when('the store is busy while the route moves, and drops its history')
def move_route_unseen(context: Context) -> None:
    """Publish a version while the store cannot be read."""
    world = _world(context)
    set_store_mode(context, 'busy')
    world.publish(2, plain_route(SERVICE, '/moved/'))
    world.store.compact_history()
    world.store.mode = Mode.SERVING


@given('a caller has requested "{path}"')
def given_answered(context: Context, path: str) -> None:
    """Send a request, so that its latency is observed."""
    send_request(context, path)
    assert _world(context).applications[0].shared.latencies


@when('the route moves to "{prefix}"')
def rename_route(context: Context, prefix: str) -> None:
    """Publish a route with another prefix and name."""
    world = _world(context)
    world.publish(2, plain_route(SERVICE, prefix))
    _run(context, _wait_followed(world))


@then('no observations of the former route are kept')
def expect_no_observations(context: Context) -> None:
    """Check that latencies and timeouts of callers were dropped."""
    shared = _world(context).applications[0].shared
    assert not shared.latencies, shared.latencies
    assert not shared.caller_timeouts, shared.caller_timeouts


@when('the operator publishes version {version:d}')
def publish(context: Context, version: int) -> None:
    """Publish a version of the routes."""
    _world(context).publish(version, plain_route(SERVICE))


@then('a new watch starts within {bound:d} s after the store responds again')
def expect_watch_renewed(context: Context, bound: int) -> None:
    """Check that a watch times out and is retried within the bound.

    A store that stopped responding never answers the watches that it received
    before, also when it responds again.
    """
    progress = StoreProgress()
    for is_lost in (False, True):
        progress.is_lost = is_lost
        watch_seconds = sum(store_watch.watch_timeouts(progress))
        check_seconds = (
            store_watch.CHECK_INTERVAL_SECONDS + store_watch.WATCH_SLACK_SECONDS
        )
        detected_seconds = min(watch_seconds, check_seconds)
        assert detected_seconds + store_watch.MAX_RETRY_DELAY_SECONDS < bound, (
            detected_seconds
        )


@given('the store is checked every {seconds:g} s')
def given_check_interval(context: Context, seconds: float) -> None:
    """Check the store more often than usual."""
    patched = mock.patch.object(store_watch, 'CHECK_INTERVAL_SECONDS', seconds)
    patched.start()
    context.add_cleanup(patched.stop)


@when('the store silently stops to respond')
def silence_store(context: Context) -> None:
    """Let the store ignore all requests while a watch waits."""
    _world(context).store.mode = Mode.SILENT


@then('the instance knows that the store does not respond')
def expect_store_lost(context: Context) -> None:
    """Wait until the loss is recorded."""
    world = _world(context)
    progress = world.applications[0].shared.progress
    _run(context, world.wait_for(lambda: progress.is_lost))


@when('the store loses all watches')
def lose_watches(context: Context) -> None:
    """Let the store ignore watches, also the one that waits."""
    _world(context).store.mode = Mode.LOSING_WATCHES


@when('the store loses no more watches')
def answer_watches(context: Context) -> None:
    """Let the store respond to new watches, after a check or two."""
    world = _world(context)
    calls = world.store.request_count + 1
    _run(context, world.wait_for(lambda: world.store.request_count > calls))
    world.store.mode = Mode.SERVING


@then('in a fleet of {count:d} the pause after a change is {seconds:g} s')
def expect_pause(context: Context, count: int, seconds: float) -> None:
    """Check the pause before the store is called again."""
    shared = _world(context).applications[0].shared
    shared.instance.membership.peak_count = count
    pause_seconds = store_watch.change_pause_seconds(shared)
    assert math.isclose(pause_seconds, seconds), pause_seconds


@then(
    'an instance calls a store without changes at most {rate:g} times a second'
)
def expect_call_rate(context: Context, rate: float) -> None:
    """Check the rate of calls, where a check counts as a tenth of a call."""
    watch_seconds = store_watch.WATCH_WAIT_SECONDS
    check_seconds = store_watch.CHECK_INTERVAL_SECONDS
    assert 1 / watch_seconds + 0.1 / check_seconds <= rate


@then(
    'an unresponsive store is read {count:d} times within {bound:d} s, with'
    ' growing timeouts'
)
def expect_early_retries(context: Context, bound: int, count: int) -> None:
    """Check that the first timeouts are short.

    No caller is served until the store has been read.
    """
    progress = StoreProgress()
    elapsed_seconds = 0.0
    timeouts = []
    for failed_count in range(count):
        progress.failed_count = failed_count
        timeouts.append(store_watch.read_timeout_seconds(progress))
        elapsed_seconds += store_watch.retry_delay_seconds(progress, 0.5)
    assert timeouts == sorted(set(timeouts)), timeouts
    elapsed_seconds += sum(timeouts[:-1])
    assert elapsed_seconds < bound, (elapsed_seconds, timeouts)


@when('one change raises an unexpected exception')
def raise_on_change(context: Context) -> None:
    """Let the code that applies changes raise an exception once."""
    world = _world(context)
    target = f'{SERVICE}-0'
    fault = RuntimeError('injected by the test')
    with mock.patch.object(
        directory, 'apply_entry', side_effect=fault
    ) as apply_entry:
        world.list_target(target, SERVICE, Slots=2)
        _run(context, world.wait_for(lambda: apply_entry.call_count))


@when('a caller requests "{path}" from the second instance')
def send_to_second(context: Context, path: str) -> None:
    """Send one request to the second instance."""
    request = caller_request(path)
    context.replies = [_run(context, _world(context).send_request(request, 1))]


@given('the first instance has no targets and the store is unresponsive')
def drop_targets(context: Context) -> None:
    """Keep the current routes, but leave no instance that knows targets."""
    world = _world(context)
    set_store_mode(context, 'silent')
    shared = world.applications[0].shared
    shared.progress.revision = 0
    shared.directory = directory.Directory()


@when('a second instance receives the routes but no targets')
def start_without_targets(context: Context) -> None:
    """Start an instance that cannot receive targets."""
    world = _world(context)
    _run(context, world.start_instance())
    second = world.applications[1]
    _run(context, world.wait_for(lambda: second.shared.table))
    _run(context, world.wait_for(second.network.first_contact.is_set))


@when('one target is added, one is draining and one is removed')
def change_targets(context: Context) -> None:
    """Change the list of targets in each possible way."""
    world = _world(context)
    _run(context, world.start_targets('more', 1))
    world.list_target(f'{SERVICE}-0', SERVICE, State='draining')
    world.store.delete(f'servers/{SERVICE}-1')


@then('the second instance lists the same targets as the first')
def expect_same_targets(context: Context) -> None:
    """Wait until both instances have the list of targets in the store."""
    world = _world(context)
    expected = {f'{SERVICE}-0': True, 'more-0': False}
    for application in world.applications:
        _run(context, _wait_listed(world, application.shared, expected))


async def _wait_listed(
    world: RoutedWorld, shared: SharedState, expected: dict[str, bool]
) -> None:
    await world.wait_for(lambda: _draining_by_target(shared) == expected)


def _draining_by_target(shared: SharedState) -> dict[str, bool]:
    return {
        target: replica.entry.is_draining
        for of_service in shared.directory.replicas.values()
        for target, replica in of_service.items()
    }


@then('the instance has version {version:d}')
def expect_one_version(context: Context, version: int) -> None:
    """Wait until every instance uses a version."""
    expect_version(context, version)


@when('one target is listed as draining')
def drain_target(context: Context) -> None:
    """Write an entry of a draining target."""
    world = _world(context)
    world.list_target(f'{SERVICE}-0', SERVICE, State='draining')
    _run(context, _wait_followed(world))


@when('the second instance starts a graceful shutdown')
def drain_second(context: Context) -> None:
    """Begin a graceful shutdown of the second instance."""
    _world(context).applications[1].drain()


@then('the answer has the status {status:d}')
def expect_status(context: Context, status: int) -> None:
    """Check the status of the first answer."""
    reply = context.replies[0]
    assert reply.status == status, reply


@then('every answer has the status {status:d}')
def expect_statuses(context: Context, status: int) -> None:
    """Check that all answers have one status."""
    found = [reply.status for reply in context.replies]
    assert set(found) == {status}, found


@then('the answer has the status 200 and the body of a target')
def expect_body(context: Context) -> None:
    """Check that the answer is the complete reply of a target."""
    reply = context.replies[0]
    bodies = {target.body for target in _world(context).targets.values()}
    assert reply.status == 200, reply
    assert reply.body in bodies, reply
    assert header(reply.headers, 'x-response-stamp')


@then('every answer belongs to its own request')
def expect_matching_replies(context: Context) -> None:
    """Check the identifier and the body of every answer."""
    target = next(iter(_world(context).targets.values()))
    for number, reply in enumerate(context.replies):
        assert reply.status == 200, reply
        attempt_id = header(reply.headers, 'x-attempt-id')
        assert attempt_id == f'attempt-{number}', reply
        assert reply.body == target.body, reply


@then("the target received its name, the remaining time and the caller's id")
def expect_headers(context: Context) -> None:
    """Check the headers of the request to the target."""
    targets = _world(context).targets.values()
    target = next(known for known in targets if known.received_headers)
    headers = target.received_headers[0]
    assert header(headers, 'x-target-instance') == target.identifier
    assert header(headers, 'x-attempt-id') == 'attempt-1'
    assert header(headers, 'host') == 'trips.example'
    assert 1000 < int(header(headers, 'x-deadline-remaining') or 0) <= 2000


@then(
    'the answer has {count:d} parts, {missing:d} missing, and the greatest'
    ' records'
)
def expect_parts(context: Context, count: int, missing: int) -> None:
    """Check the reported coverage and the merged records."""
    reply = context.replies[0]
    assert reply.status == 200, reply
    stamps = (header(reply.headers, 'x-part-stamps') or '').split(', ')
    assert len(set(stamps)) == count, stamps
    assert header(reply.headers, 'x-missing-parts') == str(missing)
    included = range(3)[-count:]
    heads = [head for number in included for head in _first_bytes(number)]
    greatest = sorted(heads, reverse=True)[:3]
    expected = b''.join(bytes((head,)) * RECORD_BYTES for head in greatest)
    assert reply.body == expected, reply.body


@then('the answer has a retry time')
def expect_retry_after(context: Context) -> None:
    """Check that the retry time is less than a second."""
    text = header(context.replies[0].headers, 'retry-after')
    assert 0 < float(text or 0) < 1, text


@then('the request ran {count:d} times')
def expect_run_count(context: Context, count: int) -> None:
    """Check how often all targets together ran the request."""
    targets = _world(context).targets.values()
    assert sum(len(target.executed_attempt_ids) for target in targets) == count


@then('the connections to all targets are closed')
def expect_connections_closed(context: Context) -> None:
    """Wait until the connections to all targets are closed."""
    world = _world(context)
    _run(
        context,
        world.wait_for(
            lambda: all(tgt.disconnect_count for tgt in world.targets.values())
        ),
    )


@then('the instance serves the moved route')
def expect_moved_route(context: Context) -> None:
    """Wait for the newer version and send a request to its route."""
    world = _world(context)
    shared = world.applications[0].shared

    def is_moved() -> bool:
        return shared.table is not None and shared.table.version == 2

    _run(context, world.wait_for(is_moved))
    reply = _run(context, world.send_request(caller_request('/moved/x')))
    assert reply.status == 200, reply


@then('both instances have version {version:d}')
def expect_version(context: Context, version: int) -> None:
    """Wait until every instance uses a version."""
    world = _world(context)

    def has_version() -> bool:
        tables = [known.shared.table for known in world.applications]
        return all(tbl and tbl.version == version for tbl in tables)

    _run(context, world.wait_for(has_version))


@then('the draining target ran no requests')
def expect_drained(context: Context) -> None:
    """Check that the draining target ran no request."""
    assert not _world(context).targets[f'{SERVICE}-0'].executed_attempt_ids


@then('the directory advises {count:d} addresses')
def expect_addresses(context: Context, count: int) -> None:
    """Wait until a number of addresses is advised."""
    world = _world(context)
    directory = world.applications[0].shared.settings.directory

    async def wait_for_count() -> None:
        connection = await world.connect(directory)
        found = -1
        while found != count:
            reply = await connection.exchange(
                caller_request('/v1/resolve?Name=x&Region=r&Zone=near')
            )
            found = len(msgspec.json.decode(reply.body)['addrs'])
            await asyncio.sleep(0.01)

    _run(context, asyncio.wait_for(wait_for_count(), 15))


@then('the second instance reports that it is not ready')
def expect_not_ready(context: Context) -> None:
    """Check that the request for readiness is answered with 503."""
    world = _world(context)

    async def read_readiness() -> HttpReply:
        endpoint = world.applications[1].shared.settings.ready
        connection = await world.connect(endpoint)
        return await connection.exchange(caller_request('/v1/readiness'))

    assert _run(context, read_readiness()).status == 503


@then('the instance stops by itself')
def expect_stopped(context: Context) -> None:
    """Wait for the end of the graceful shutdown."""
    application = _world(context).applications[0]
    _run(
        context,
        _world(context).wait_for(
            lambda: application.shared.instance.is_closing
        ),
    )


def _only_replica(context: Context) -> Replica:
    shared = _world(context).applications[0].shared
    return directory.serving_replicas(shared.directory, SERVICE)[0]


async def _restart_following(application: ForwardingApplication) -> None:
    application.restart_watch()


async def _wait_followed(world: RoutedWorld) -> None:
    shared = world.applications[0].shared
    await world.wait_for(
        lambda: shared.progress.revision >= world.store.revision
    )


def _first_bytes(shard_number: int) -> tuple[int, int, int]:
    return (10 + shard_number, 40 + shard_number, 20 + shard_number)


def _records(shard_number: int) -> bytes:
    # The records are unordered; the trailing bytes are too short for one.
    records = (
        bytes((head,)) * RECORD_BYTES for head in _first_bytes(shard_number)
    )
    return b''.join((*records, b'rest'))
