"""Steps on the retry times of callers whose request was refused."""

import random

from behave import given, then, when
from behave.runner import Context

from celeryturn.decisions.request import retry_after
from celeryturn.decisions.targets.replicas import (
    ExpectedLatency,
    Load,
    Replica,
    observe_load,
)
from tests.support.entries import make_entry

NOW_SECONDS = 1000.0
EXPECTED_LATENCY = ExpectedLatency(0.02, 0.04, 0.08, 0.2)
SEED = 5


@given(
    'shards that have capacity after {first:g}, {second:g}, {third:g} and'
    ' {fourth:g} s'
)
def given_shards(
    context: Context, first: float, second: float, third: float, fourth: float
) -> None:
    """Set the times until capacity, unsorted."""
    context.capacity_seconds = (fourth, first, third, second)


@given('a target that is blocked for {seconds:g} s and one that is not')
def given_blocked(context: Context, seconds: float) -> None:
    """Create two targets, the first of them blocked."""
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
    """Create a target that reports its load."""
    replica = Replica(make_entry('a', slot_count=slots), NOW_SECONDS)
    observe_load(replica, Load(running, waiting, slots), NOW_SECONDS)
    context.replicas = [replica]


@when('both are blocked for {seconds:g} s')
def block_both(context: Context, seconds: float) -> None:
    """Block both targets."""
    for replica in context.replicas:
        replica.blocked_until_seconds = NOW_SECONDS + seconds


@then(
    'after {elapsed:g} s of an outage the retry time is between'
    ' {minimum:g} and {maximum:g} s'
)
def expect_outage(
    context: Context, elapsed: float, minimum: float, maximum: float
) -> None:
    """Check the bounds at the ends of the random range."""
    assert _retry_bounds(elapsed, is_failing=True) == [minimum, maximum]


@then(
    '{elapsed:g} s after a start the retry time is between {minimum:g} and'
    ' {maximum:g} s'
)
def expect_start(
    context: Context, elapsed: float, minimum: float, maximum: float
) -> None:
    """Check that the retry time is short while nothing has failed."""
    assert _retry_bounds(elapsed, is_failing=False) == [minimum, maximum]


@then(
    '{callers:d} callers of an outage of {elapsed:g} s get at least'
    ' {count:d} different retry times'
)
def expect_spread(
    context: Context, callers: int, elapsed: float, count: int
) -> None:
    """Check that random fractions spread the retry times."""
    generator = random.Random(SEED)
    retry_times = {
        round(
            retry_after.outage_retry_seconds(
                elapsed, generator.random(), is_failing=True
            ),
            3,
        )
        for _ in range(callers)
    }
    assert len(retry_times) >= count, len(retry_times)


@then(
    'for a caller that needs {count:d} of them the retry time is between'
    ' {minimum:g} and {maximum:g} s'
)
def expect_enough(
    context: Context, count: int, minimum: float, maximum: float
) -> None:
    """Check the bounds around the time of the slowest shard needed."""
    retry_times = [
        retry_after.capacity_retry_seconds(
            context.capacity_seconds, count, fraction
        )
        for fraction in (0, 1)
    ]
    assert [round(seconds or 0, 3) for seconds in retry_times] == [
        minimum,
        maximum,
    ], retry_times


@then('for a caller that needs {count:d} of them no retry time is estimated')
def expect_unknown(context: Context, count: int) -> None:
    """Check that the default of the error kind applies, without an estimate."""
    assert (
        retry_after.capacity_retry_seconds(context.capacity_seconds, count, 0)
        is None
    )


@then('the service has capacity at once')
def expect_capacity(context: Context) -> None:
    """Check that the time is no longer than a typical reply takes."""
    capacity_seconds = retry_after.seconds_until_capacity(
        context.replicas, EXPECTED_LATENCY, NOW_SECONDS
    )
    assert capacity_seconds <= EXPECTED_LATENCY.typical_seconds, (
        capacity_seconds
    )


@then('the service has capacity after {seconds:g} s')
def expect_capacity_after(context: Context, seconds: float) -> None:
    """Check the time until capacity."""
    capacity_seconds = retry_after.seconds_until_capacity(
        context.replicas, EXPECTED_LATENCY, NOW_SECONDS
    )
    assert round(capacity_seconds, 3) == seconds, capacity_seconds


def _retry_bounds(elapsed_seconds: float, *, is_failing: bool) -> list[float]:
    retry_times = [
        retry_after.outage_retry_seconds(
            elapsed_seconds, fraction, is_failing=is_failing
        )
        for fraction in (0, 1)
    ]
    return [round(seconds, 3) for seconds in retry_times]
