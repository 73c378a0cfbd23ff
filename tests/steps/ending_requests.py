"""Steps on requests that end the targets that run them."""

import asyncio
import itertools

from behave import given, then, when
from behave.runner import Context

from celeryturn import cli
from celeryturn.commands.clear_request import CLEAR_PATH
from celeryturn.decisions.request.fingerprint import (
    Fingerprint,
    compute_fingerprint,
)
from celeryturn.decisions.request.quarantine import (
    Mark,
    Quarantine,
    Standing,
    TargetEnd,
    find_standing,
)
from celeryturn.decisions.request.replies import AttemptOutcome
from celeryturn.decisions.targets.directory import (
    find_replica,
    serving_replicas,
)
from celeryturn.forwarding.request.suspect_requests import (
    merge_ends,
    observe_survival,
)
from celeryturn.forwarding.shared_state import now
from celeryturn.forwarding.targets.exchanges import Exchange
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.queries.routed_dump import dump_routed_state
from standins.shard_target import ShardTarget
from tests.support.ending import EndingTargets
from tests.support.lost_links import refuse
from tests.support.routed import (
    HOST,
    SERVICE,
    RoutedWorld,
    caller_request,
    get_world,
    run,
)

MAX_REQUESTS_BEFORE_BLOCK = 6
POPULAR_COUNT = 12
MINUTE_SECONDS = 60.0
PARTIAL_REPLY = b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart'


@given('each target that ends is back later')
def return_later(context: Context) -> None:
    """Let targets that end be back later."""
    context.ending = EndingTargets(get_world(context))


@given('each target ends when it runs "{url}", and is back later')
def end_when_run(context: Context, url: str) -> None:
    """Let a request end every target that runs it."""
    return_later(context)
    for target in get_world(context).targets.values():
        target.ending_urls = frozenset((url,))


@given(
    'each target ends when it runs "{url}", and is back later under another'
    ' identifier'
)
def end_and_rename(context: Context, url: str) -> None:
    """Let targets be back as others."""
    end_when_run(context, url)
    context.ending.is_renamed = True


@given(
    'each target ends when it runs "{url}", after a part of its reply, and is'
    ' back later'
)
def end_in_reply(context: Context, url: str) -> None:
    """Let targets send the begin of a reply before they end."""
    end_when_run(context, url)
    for target in get_world(context).targets.values():
        target.first_bytes = PARTIAL_REPLY


@given(
    'each target ends when it runs "{url}", after {milliseconds:d} ms, and is'
    ' back later'
)
def end_after(context: Context, url: str, milliseconds: int) -> None:
    """Let targets work for a while before they end."""
    end_when_run(context, url)
    for target in get_world(context).targets.values():
        target.delay_seconds = milliseconds / 1000


@given('each target of the first shard ends when it runs "{url}"')
def end_first_shard(context: Context, url: str) -> None:
    """Let a request end the targets of one shard."""
    return_later(context)
    for identifier, target in get_world(context).targets.items():
        if identifier.startswith('shard-0'):
            target.ending_urls = frozenset((url,))


@when(
    '{count:d} callers request "{url}" while all targets but one are listed as'
    ' leaving, and end'
)
def leave_and_end(context: Context, count: int, url: str) -> None:
    """Let the store list targets as draining before they end."""
    world = get_world(context)
    requests = [caller_request(url, number) for number in range(count)]
    shared = world.applications[0].shared

    async def send_and_end() -> None:
        sending = asyncio.create_task(world.send_all(requests))
        await world.wait_for(lambda: _served_count(world) >= count)
        _, *leaving = world.targets
        for name in leaving:
            world.list_target(name, SERVICE, State='draining')
        await world.wait_for(
            lambda: len(serving_replicas(shared.directory, SERVICE)) == 1
        )
        for name in leaving:
            await context.ending.end(name)
        context.replies = await sending

    run(context, send_and_end())


@when(
    '{count:d} callers request "{url}" while the links of the first instance'
    ' break off'
)
def break_links(context: Context, count: int, url: str) -> None:
    """Break off the connections of requests in flight; refuse new ones."""
    world = get_world(context)
    requests = [caller_request(url, number) for number in range(count)]
    shared = world.applications[0].shared

    async def send_and_break() -> None:
        sending = asyncio.create_task(world.send_all(requests))
        await world.wait_for(lambda: _served_count(world) >= count)
        shared.target_connections.connect = refuse
        for target in world.targets.values():
            target.break_off()
        context.replies = await sending

    run(context, send_and_break())


@when('the targets no longer end')
def stop_ending(context: Context) -> None:
    """Let all targets survive all requests."""
    for target in get_world(context).targets.values():
        target.ending_urls = frozenset()


@when('no trial is due for a minute')
def delay_trials(context: Context) -> None:
    """Move all ends into the future, so that a slow run meets no trial."""
    _move_ends(context, MINUTE_SECONDS)


@when('{seconds:g} s have passed since the last end')
def pass_since_end(context: Context, seconds: float) -> None:
    """Move all ends into the past."""
    _move_ends(context, -seconds)


def _move_ends(context: Context, seconds: float) -> None:
    for known in _quarantines(context):
        for record in known.records.values():
            for end in record.ends.values():
                end.ended_seconds += seconds


@when('{count:d} targets end in turn, each while it runs popular requests')
def end_in_turn(context: Context, count: int) -> None:
    """End targets that run a request, which succeeds elsewhere."""
    world = get_world(context)
    names = itertools.cycle(tuple(world.targets))

    async def end_all() -> None:
        for name in itertools.islice(names, count):
            await _end_while_popular(context, world.targets[name])

    run(context, end_all())


@when('"{url}" is requested until all instances have blocked it')
def request_until_blocked(context: Context, url: str) -> None:
    """Send a request again and again, at most as often as may be needed."""
    world = get_world(context)

    async def send_all() -> None:
        for number in range(MAX_REQUESTS_BEFORE_BLOCK):
            instance = number % len(world.applications)
            await world.send_request(caller_request(url, number), instance)
            await context.ending.wait_for_return()
            if _blocked_count(context):
                break
        await world.wait_for(
            lambda: _blocked_count(context) == len(world.applications)
        )
        context.ended_count = len(context.ending.ended)

    run(context, send_all())


@when('"{url}" is requested {count:d} times, at the first instance')
def request_at_first(context: Context, url: str, count: int) -> None:
    """Send a request again and again, each time when all targets are back."""
    world = get_world(context)

    async def send_all() -> None:
        for number in range(count):
            await world.send_request(caller_request(url, number))
            await context.ending.wait_for_return()

    run(context, send_all())


@when('"{url}" is requested {count:d} times, at the instances in turn')
def request_in_turn(context: Context, url: str, count: int) -> None:
    """Send a request again and again, each time when all targets are back."""
    world = get_world(context)

    async def send_all() -> None:
        context.replies = []
        for number in range(count):
            instance = number % len(world.applications)
            request = caller_request(url, number)
            reply = await world.send_request(request, instance)
            context.replies.append(reply)
            await context.ending.wait_for_return()

    run(context, send_all())


@when('{count:d} callers at each instance request "{url}" together')
def request_together(context: Context, count: int, url: str) -> None:
    """Send requests to all instances at the same time."""
    world = get_world(context)

    async def send_all() -> None:
        context.replies = await asyncio.gather(
            *(
                world.send_request(caller_request(url, number), instance)
                for number in range(count)
                for instance in range(len(world.applications))
            )
        )

    run(context, send_all())


@when('an operator clears "{url}" at the second instance')
def clear(context: Context, url: str) -> None:
    """Use the command line of operators."""
    settings = get_world(context).applications[1].shared.settings
    endpoint = f'{settings.metrics.address}:{settings.metrics.port}'
    digits = _fingerprint(url).hex()
    printed = run(context, asyncio.to_thread(cli.clear, digits, endpoint))
    assert f'{digits}: may be sent again' in printed, printed


@when('an operator clears the fingerprint "{digits}"')
def clear_unknown(context: Context, digits: str) -> None:
    """Send the request of the command line."""
    world = get_world(context)
    metrics = world.applications[0].shared.settings.metrics

    async def send() -> HttpReply:
        connection = await world.connect(metrics)
        url = f'{CLEAR_PATH}?fingerprint={digits}'
        return await connection.exchange(HttpRequest('POST', url))

    context.replies = [run(context, send())]


@then('the state of each instance shows "{url}" as blocked')
def expect_dumped(context: Context, url: str) -> None:
    """Check the dump of each instance."""
    digits = _fingerprint(url).hex()
    for application in get_world(context).applications:
        dump = dump_routed_state(application.shared)
        suspect = dump.suspect_requests[digits]
        assert suspect.standing == 'blocked', suspect
        assert len(suspect.targets) >= 3, suspect
        assert dump.tables['suspect_requests'].held == 1, dump.tables


@then('at most {count:d} targets ended')
def expect_few_ends(context: Context, count: int) -> None:
    """Check how many targets ended, those that are back included."""
    ended = context.ending.ended
    assert len(ended) <= count, ended


@then('no more targets ended')
def expect_no_more_ends(context: Context) -> None:
    """Check that none ended since the request was blocked."""
    ended = context.ending.ended
    assert len(ended) == context.ended_count, ended


@then('each request ran at most once')
def expect_single_runs(context: Context) -> None:
    """Check that no identifier of an attempt ran twice."""
    targets = get_world(context).targets.values()
    ran = [name for tgt in targets for name in tgt.executed_attempt_ids]
    assert len(set(ran)) == len(ran), ran


@when('the first instance is told of an end of the first target')
def tell_end(context: Context) -> None:
    """Let a peer tell of an end a second ago."""
    shared = get_world(context).applications[0].shared
    end = TargetEnd(
        _fingerprint('/one/x'), f'{SERVICE}-0', 0, SERVICE, Mark.SUSPECT, 1.0
    )
    merge_ends(shared, (end,), 'entry-9')


@when('an exchange on an older connection to it is {outcome}')
def end_exchange(context: Context, outcome: str) -> None:
    """End an exchange that was written after the end."""
    shared = get_world(context).applications[0].shared
    replica = find_replica(shared.directory, f'{SERVICE}-0')
    assert replica is not None
    exchange = Exchange(
        0,
        lambda: caller_request('/one/other'),
        lambda _ended, _outcome: None,
        lambda _use, _reply: True,
    )
    exchange.opened_seconds = now() - 5
    exchange.written_seconds = now() - 0.5
    observe_survival(
        shared,
        _fingerprint('/one/other'),
        replica,
        exchange,
        AttemptOutcome(outcome),
    )


@then('the request of that end is {standing}')
def expect_standing_of(context: Context, standing: str) -> None:
    """Check the standing of the request of the end that was told."""
    first = _quarantines(context)[0]
    found = find_standing(first, _fingerprint('/one/x'))
    assert found is Standing(standing), found


@then('no request is suspect at any instance')
def expect_none_suspect(context: Context) -> None:
    """Wait until all lost replies were examined, then check the records."""
    world = get_world(context)
    states = [known.shared.route_states for known in world.applications]
    run(
        context,
        world.wait_for(
            lambda: not any(state.examinations.running for state in states)
        ),
    )
    assert not any(state.quarantine.records for state in states)


@then('no request is blocked at any instance')
def expect_none_blocked(context: Context) -> None:
    """Wait until all instances agree that no request is blocked."""
    world = get_world(context)
    run(context, world.wait_for(lambda: not _blocked_count(context)))


@then('all instances have blocked "{url}"')
def expect_blocked(context: Context, url: str) -> None:
    """Wait until each instance has blocked the request."""
    fingerprint = _fingerprint(url)
    world = get_world(context)
    run(
        context,
        world.wait_for(
            lambda: all(
                find_standing(known, fingerprint) is Standing.BLOCKED
                for known in _quarantines(context)
            )
        ),
    )


@then('the metrics count {count:d} blocked request')
def expect_metric(context: Context, count: int) -> None:
    """Check the gauge of blocked requests."""
    metrics = get_world(context).read_metrics()
    expected = f'celeryturn_suspect_requests{{standing="blocked"}} {count}'
    assert expected in metrics, metrics


def _served_count(world: RoutedWorld) -> int:
    return sum(len(target.served_urls) for target in world.targets.values())


def _fingerprint(url: str) -> Fingerprint:
    return compute_fingerprint('GET', HOST, url, b'')


def _quarantines(context: Context) -> list[Quarantine]:
    return [
        application.shared.route_states.quarantine
        for application in get_world(context).applications
    ]


def _blocked_count(context: Context) -> int:
    return sum(
        any(
            record.standing is Standing.BLOCKED
            for record in known.records.values()
        )
        for known in _quarantines(context)
    )


async def _end_while_popular(context: Context, target: ShardTarget) -> None:
    world = get_world(context)
    ran_count = len(target.served_urls)
    sending = asyncio.create_task(_send_popular(world))
    await world.wait_for(
        lambda: len(target.served_urls) > ran_count or sending.done()
    )
    await context.ending.end(target.identifier)
    await sending
    await context.ending.wait_for_return()


async def _send_popular(world: RoutedWorld) -> list[HttpReply]:
    return await asyncio.gather(
        *(
            world.send_request(
                caller_request('/one/popular', number),
                number % len(world.applications),
            )
            for number in range(POPULAR_COUNT)
        )
    )
