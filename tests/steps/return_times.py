"""Steps on when callers whose request was refused may come back."""

import random

from behave import given, then, when
from behave.runner import Context

from celeryturn.decisions import return_times
from celeryturn.decisions.replicas import (
    ExpectedLatency,
    Load,
    Replica,
    observe_load,
)
from tests.support.entries import make_entry

NOW_SECONDS = 1000.0
USUAL = ExpectedLatency(0.02, 0.04, 0.08, 0.2)
SEED = 5


@given(
    'shards that take a request after {first:g}, {second:g}, {third:g} and'
    ' {fourth:g} s'
)
def given_shards(
    context: Context, first: float, second: float, third: float, fourth: float
) -> None:
    """Take the times as given."""
    context.rooms = (fourth, first, third, second)


@given('a target that is avoided for {seconds:g} s and one that is not')
def given_avoided(context: Context, seconds: float) -> None:
    """Make two targets."""
    context.replicas = [
        Replica(make_entry(name), NOW_SECONDS) for name in ('a', 'b')
    ]
    context.replicas[0].blocked_until_seconds = NOW_SECONDS + seconds


@given(
    'a target with {slots:d} slots that runs {running:d} requests, with'
    ' {waiting:d} waiting'
)
def given_full(
    context: Context, slots: int, running: int, waiting: int
) -> None:
    """Make a target that reports its load."""
    replica = Replica(make_entry('a', slot_count=slots), NOW_SECONDS)
    observe_load(replica, Load(running, waiting, slots), NOW_SECONDS)
    context.replicas = [replica]


@when('both are avoided for {seconds:g} s')
def avoid_both(context: Context, seconds: float) -> None:
    """Avoid both."""
    for replica in context.replicas:
        replica.blocked_until_seconds = NOW_SECONDS + seconds


@then(
    'after {passed:g} s of an outage a caller is told between {least:g} and'
    ' {most:g} s'
)
def expect_outage(
    context: Context, passed: float, least: float, most: float
) -> None:
    """Expect bounds that both ends of chance reach."""
    assert _told(passed, is_failing=True) == [least, most]


@then(
    '{passed:g} s after a start a caller is told between {least:g} and'
    ' {most:g} s'
)
def expect_start(
    context: Context, passed: float, least: float, most: float
) -> None:
    """Expect a short time while nothing has failed."""
    assert _told(passed, is_failing=False) == [least, most]


@then(
    '{callers:d} callers of an outage of {passed:g} s are told at least'
    ' {count:d} different times'
)
def expect_spread(
    context: Context, callers: int, passed: float, count: int
) -> None:
    """Expect that chance spreads them."""
    chance = random.Random(SEED)
    told = {
        round(
            return_times.after_outage(passed, chance.random(), is_failing=True),
            3,
        )
        for _ in range(callers)
    }
    assert len(told) >= count, len(told)


@then(
    'a caller that needs {count:d} of them is told between {least:g} and'
    ' {most:g} s'
)
def expect_enough(
    context: Context, count: int, least: float, most: float
) -> None:
    """Expect the time of the slowest that is needed."""
    told = [
        return_times.when_enough(context.rooms, count, chance)
        for chance in (0, 1)
    ]
    assert [round(seconds or 0, 3) for seconds in told] == [least, most], told


@then('a caller that needs {count:d} of them is told what the table says')
def expect_unknown(context: Context, count: int) -> None:
    """Expect no estimate."""
    assert return_times.when_enough(context.rooms, count, 0) is None


@then('the service has room at once')
def expect_room(context: Context) -> None:
    """Expect a time below a usual reply's."""
    room = return_times.until_room(context.replicas, USUAL, NOW_SECONDS)
    assert room <= USUAL.typical_seconds, room


@then('the service has room after {seconds:g} s')
def expect_room_after(context: Context, seconds: float) -> None:
    """Expect a time."""
    room = return_times.until_room(context.replicas, USUAL, NOW_SECONDS)
    assert round(room, 3) == seconds, room


def _told(passed_seconds: float, *, is_failing: bool) -> list[float]:
    told = [
        return_times.after_outage(passed_seconds, chance, is_failing=is_failing)
        for chance in (0, 1)
    ]
    return [round(seconds, 3) for seconds in told]
