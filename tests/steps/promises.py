"""Steps on modelled days."""

import math
from typing import Any
from unittest import mock

from behave import then, when
from behave.runner import Context

from bench.experiment import figures
from bench.model.days import Day, DayShape, play
from bench.model.policies import CURRENT, POLICIES
from bench.model.promises import broken
from celeryturn.decisions import sharded

SHAPE = DayShape(
    instance_count=5,
    shard_count=4,
    requests_per_second=60,
    length_seconds=9,
)
GUARDS = ('extra load', 'repeats', 'doubt', 'draining')


@when('{count:d} days of "{pattern}" are played')
def play_days(context: Context, count: int, pattern: str) -> None:
    """Play days."""
    context.days = [
        play(SHAPE, pattern, CURRENT, seed) for seed in range(count)
    ]


@when('{count:d} days of "{pattern}" are played with requests that run once')
def play_once(context: Context, count: int, pattern: str) -> None:
    """Play days with requests that are not idempotent."""
    context.days = [_play_once(pattern, seed) for seed in range(count)]


@when(
    '{count:d} days of "{pattern}" are played with requests that run {often}'
    ' without the guard on {guard}'
)
def play_mutants(
    context: Context, count: int, pattern: str, often: str, guard: str
) -> None:
    """Play days with one guard taken out."""
    assert guard in GUARDS, guard
    policy = CURRENT
    if guard == 'extra load':
        policy = CURRENT._replace(spend=lambda budget, reserve: True)
    with _without(guard):
        context.days = [
            play(SHAPE, pattern, policy, seed, is_idempotent=often == 'often')
            for seed in range(count)
        ]


@then('no promise is broken')
def expect_kept(context: Context) -> None:
    """Expect that every day kept all."""
    found = [line for day in context.days for line in broken(day)]
    assert not found, found[:5]
    assert all(day.outcomes for day in context.days)


@then('the promise "{promise}" is broken')
def expect_broken(context: Context, promise: str) -> None:
    """Expect that the mutant is found out."""
    found = [line for day in context.days for line in broken(day)]
    assert any(promise in line for line in found), found[:5]


@then('a day that is played again is the same')
def expect_same(context: Context) -> None:
    """Play a day twice."""
    first = play(SHAPE, 'everything', CURRENT, 3)
    second = play(SHAPE, 'everything', CURRENT, 3)
    assert _told(first) == _told(second)


@then(
    "with some slow targets the credit is above the plain policy's by {least:g}"
)
def expect_slow_gain(context: Context, least: float) -> None:
    """Compare the mean credit."""
    assert _gain('some-slow') > least, _gain('some-slow')


@then('with a lost shard {count:d} of 100 answers still are on time')
def expect_on_time(context: Context, count: int) -> None:
    """Expect that nobody waits for a shard that is gone."""
    shape = SHAPE._replace(shard_count=10)
    found = figures(play(shape, 'shard-lost', CURRENT, 1))
    assert found.on_time_share >= count / 100, found


def _play_once(pattern: str, seed: int) -> Day:
    return play(SHAPE, pattern, CURRENT, seed, is_idempotent=False)


def _gain(pattern: str) -> float:
    shape = SHAPE._replace(shard_count=10)
    current = figures(play(shape, pattern, CURRENT, 1))
    plain = figures(play(shape, pattern, POLICIES['plain'], 1))
    return current.credit - plain.credit


def _told(day: Day) -> list[tuple[int, float, float]]:
    return [
        (outcome.request, outcome.elapsed_seconds, outcome.parts_share)
        for outcome in day.outcomes
    ]


def _without(guard: str) -> Any:
    changes = {
        'extra load': ('celeryturn.decisions.sharded.MAX_SENDS_PER_LEG', 4),
        'repeats': (
            'celeryturn.decisions.sharded._may_retry',
            lambda request, leg: (
                len(leg.tried_targets) < sharded.MAX_SENDS_PER_LEG
            ),
        ),
        'doubt': (
            'celeryturn.decisions.sharded.may_have_run',
            lambda request: False,
        ),
        'draining': ('bench.model.fleet.LISTED_AFTER_SECONDS', math.inf),
    }
    name, changed = changes[guard]
    return mock.patch(name, changed)
