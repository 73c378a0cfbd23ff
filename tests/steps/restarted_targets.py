"""Steps on connections to targets that start again at the same address."""

import asyncio
from typing import Any
from unittest import mock

from behave import given, then, when
from behave.runner import Context

from celeryturn.decisions.request.lost_replies import LostReply
from celeryturn.decisions.request.reply_identity import IdentifierUse
from celeryturn.decisions.targets import replicas
from celeryturn.decisions.targets.departures import TargetIncarnation
from celeryturn.decisions.targets.directory import apply_entry, find_replica
from celeryturn.decisions.targets.replicas import Replica
from celeryturn.forwarding.shared_state import SharedState, now
from celeryturn.forwarding.targets.ends import examine
from celeryturn.forwarding.targets.pool_access import get_pool
from celeryturn.forwarding.targets.pools import Pool
from celeryturn.http.client import Connection, connect
from tests.support.routed import SERVICE, caller_request, get_world, run

FIRST = f'{SERVICE}-0'
FINGERPRINT = b'a request'
OBSERVED_SHARE = 77
BORN_MS = 2_000
LATER_SECONDS = 1e9


@given('only the second target is full')
def fill_second(context: Context) -> None:
    """Let the choice fall on the first target, and leave the other usable."""
    shared = _shared(context)
    second = find_replica(shared.directory, f'{SERVICE}-1')
    assert second is not None
    replicas.observe_load(second, replicas.Load(4, 9, 4), now())


@given('no connection to a target can be opened for now')
def hold_connecting(context: Context) -> None:
    """Let attempts to connect wait until the target has started again."""
    shared = _shared(context)
    context.may_connect = asyncio.Event()

    async def connect_later(*arguments: Any) -> Connection:
        await context.may_connect.wait()
        return await connect(*arguments)

    shared.target_connections.connect = connect_later


@when('the first target is listed with a new start')
def list_new_start(context: Context) -> None:
    """Write an entry with a later start and a lower sequence."""
    shared = _shared(context)
    context.earlier_pool = shared.pools[FIRST]
    context.earlier_connection = context.earlier_pool.idle[-1].connection
    observe_every_field(context.earlier_pool)
    run(context, _list_new_start(context))


@when(
    'a caller requests "{path}" while the first target is listed with a new'
    ' start'
)
def request_during_restart(context: Context, path: str) -> None:
    """Let the target start again while a request is in flight or waits."""

    async def send_and_restart() -> None:
        await _send_until_restarted(context, path)
        context.replies = [await context.sending]

    run(context, send_and_restart())


@when(
    'a caller requests "{path}" until the first target is listed with a new'
    ' start, and disconnects'
)
def disconnect_after_restart(context: Context, path: str) -> None:
    """Cancel a request that is in flight at the earlier start."""
    world = get_world(context)

    async def send_and_disconnect() -> None:
        await _send_until_restarted(context, path)
        context.sending.cancel()
        for connection in world._connections:
            connection.close()
        await world.wait_for(lambda: not _shared(context).in_flight)

    run(context, send_and_disconnect())


@when('a reply is lost and the first target is listed with a new start')
def lose_reply(context: Context) -> None:
    """Examine the target of a lost reply, which has started again."""
    shared = _shared(context)
    replica = _first(shared)
    context.earlier = TargetIncarnation(FIRST, replica.entry.born_ms)
    leg = mock.Mock(reply=None)
    lost = LostReply(
        FINGERPRINT, SERVICE, mock.Mock(legs=[leg], has_survived=False), 0
    )
    known = asyncio.Event()

    async def examine_restarted() -> None:
        restart(shared)
        examine(shared, replica, lost, known.set)
        await known.wait()

    run(context, examine_restarted())


@then('each field of its connections is treated as follows')
def expect_treatments(context: Context) -> None:
    """Compare the connections with those of a target at first."""
    shared = _shared(context)
    later = get_pool(shared, _first(shared))
    treatments = {row['field']: row['at a new start'] for row in context.table}
    assert set(treatments) == set(Pool.__slots__), (
        'say what must happen to each field of the connections'
    )
    entry = _first(shared).entry
    first = Pool(entry.address, entry.port, 0, shared.target_connections)
    for field, treatment in treatments.items():
        found = getattr(later, field)
        if treatment == 'computed at each use':
            assert found != getattr(context.earlier_pool, field), field
            continue
        expected = getattr(first, field)
        assert _comparable(found) == _comparable(expected), (field, found)
        if treatment == 'as at first':
            earlier = getattr(context.earlier_pool, field)
            assert found is not earlier or found in {0, True}, field


@then('the new start is logged')
def expect_logged(context: Context) -> None:
    """Check the log line, which names both starts."""
    lines = context.log.getvalue().splitlines()
    found = [line for line in lines if 'CT511' in line]
    assert len(found) == 1, found
    assert f'"born_ms":{BORN_MS}' in found[0].replace(' ', ''), found


@then('the connection to its earlier start is closed')
def expect_closed(context: Context) -> None:
    """Check that the connection cannot be used again."""
    assert not context.earlier_connection.is_open
    assert not context.earlier_pool.idle


@then('one connection to the new start is counted')
def expect_one_connection(context: Context) -> None:
    """Check the connections that the new start counts."""
    assert _counted(context) == 1, _counted(context)


@then('no connection to the new start is counted')
def expect_no_connection(context: Context) -> None:
    """Check that the earlier start did not change the counts of the later."""
    assert not _counted(context), _counted(context)


@then('the earlier start of the first target notices the end of its connection')
def expect_disconnect(context: Context) -> None:
    """Wait until the target sees that its connection was closed."""
    world = get_world(context)
    target = world.targets[FIRST]
    run(context, world.wait_for(lambda: target.disconnect_count))


@then('the request waited for the earlier start')
def expect_waited(context: Context) -> None:
    """Check that it was turned away and sent to the later start."""
    assert context.waiting_count == 1, context.waiting_count
    assert not context.earlier_pool.waiting
    assert not context.earlier_pool.connection_count


@then('the end of the earlier start is known')
def expect_end(context: Context) -> None:
    """Check the ends of the request whose reply was lost."""
    records = _shared(context).route_states.quarantine.records
    assert list(records[FINGERPRINT].ends) == [context.earlier], records


def observe_every_field(pool: Pool) -> None:
    """Give the fields of the connections values that they have only in use."""
    pool.connection_share = OBSERVED_SHARE
    pool.reset_backoff_until_seconds = LATER_SECONDS


async def _send_until_restarted(context: Context, path: str) -> None:
    world = get_world(context)
    shared = _shared(context)
    context.sending = asyncio.create_task(
        world.send_request(caller_request(path))
    )
    await world.wait_for(lambda: _is_sent_or_waits(context))
    context.earlier_pool = shared.pools[FIRST]
    context.waiting_count = len(context.earlier_pool.waiting)
    restart(shared)
    if hasattr(context, 'may_connect'):
        context.may_connect.set()


def _is_sent_or_waits(context: Context) -> bool:
    pool = _shared(context).pools.get(FIRST)
    target = get_world(context).targets[FIRST]
    is_waiting = hasattr(context, 'may_connect') and pool and pool.waiting
    return bool(target.executed_attempt_ids or is_waiting)


def restart(shared: SharedState) -> None:
    """Apply the entry of a new start, at once, with a lower sequence."""
    entry = _first(shared).entry._replace(born_ms=BORN_MS, sequence=0)
    apply_entry(shared.directory, entry, now())


async def _list_new_start(context: Context) -> None:
    world = get_world(context)
    shared = _shared(context)
    world.list_target(FIRST, SERVICE, born=BORN_MS, Sequence=0)
    await world.wait_for(lambda: _first(shared).entry.born_ms == BORN_MS)


def _counted(context: Context) -> int:
    shared = _shared(context)
    return get_pool(shared, _first(shared)).connection_count


def _first(shared: SharedState) -> Replica:
    replica = find_replica(shared.directory, FIRST)
    assert replica is not None
    return replica


def _shared(context: Context) -> SharedState:
    return get_world(context).applications[0].shared


def _comparable(found: Any) -> Any:
    # An object without equality is compared by its fields.
    if isinstance(found, IdentifierUse):
        return [getattr(found, field) for field in found.__slots__]
    return found
