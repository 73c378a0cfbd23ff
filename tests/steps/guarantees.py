"""Steps on modelled days."""

import math
from typing import Any
from unittest import mock

from behave import then, when
from behave.runner import Context

from bench.experiment import compute_figures
from bench.model.days import Day, DayParameters, simulate
from bench.model.guarantees import find_violations
from bench.model.policies import CURRENT, POLICIES
from celeryturn.decisions import sharded

DAY_PARAMETERS = DayParameters(
    instance_count=5,
    shard_count=4,
    requests_per_second=60,
    duration_seconds=9,
)
GUARDS = ('extra load', 'repeats', 'doubt', 'draining')


@when('{count:d} days of "{pattern}" are played')
def simulate_days(context: Context, count: int, pattern: str) -> None:
    """Play days."""
    context.days = [
        simulate(DAY_PARAMETERS, pattern, CURRENT, seed)
        for seed in range(count)
    ]


@when('{count:d} days of "{pattern}" are played with requests that run once')
def simulate_non_idempotent_days(
    context: Context, count: int, pattern: str
) -> None:
    """Play days with requests that are not idempotent."""
    context.days = [
        _simulate_non_idempotent(pattern, seed) for seed in range(count)
    ]


@when(
    '{count:d} days of "{pattern}" are played with requests that run {often}'
    ' without the guard on {guard}'
)
def simulate_mutants(
    context: Context, count: int, pattern: str, often: str, guard: str
) -> None:
    """Play days with one guard taken out."""
    assert guard in GUARDS, guard
    policy = CURRENT
    if guard == 'extra load':
        policy = CURRENT._replace(spend=lambda budget, reserve: True)
    with _remove_guard(guard):
        context.days = [
            simulate(
                DAY_PARAMETERS,
                pattern,
                policy,
                seed,
                is_idempotent=often == 'often',
            )
            for seed in range(count)
        ]


@then('no promise is broken')
def check_no_violation(context: Context) -> None:
    """Expect that every day kept all."""
    violations = [line for day in context.days for line in find_violations(day)]
    assert not violations, violations[:5]
    assert all(day.outcomes for day in context.days)


@then('the promise "{promise}" is broken')
def check_violation(context: Context, promise: str) -> None:
    """Expect that the mutant is violations out."""
    violations = [line for day in context.days for line in find_violations(day)]
    assert any(promise in line for line in violations), violations[:5]


@then('a day that is played again is the same')
def check_same(context: Context) -> None:
    """Play a day twice."""
    first = simulate(DAY_PARAMETERS, 'everything', CURRENT, 3)
    second = simulate(DAY_PARAMETERS, 'everything', CURRENT, 3)
    assert _summarize(first) == _summarize(second)


@then(
    "with some slow targets the credit is above the plain policy's by "
    '{min_gain:g}'
)
def check_slow_gain(context: Context, min_gain: float) -> None:
    """Compare the mean credit."""
    assert _compute_credit_gain('some-slow') > min_gain, _compute_credit_gain(
        'some-slow'
    )


@then('with a lost shard {count:d} of 100 answers still are on time')
def check_on_time(context: Context, count: int) -> None:
    """Expect that nobody waits for a shard that is gone."""
    day_parameters = DAY_PARAMETERS._replace(shard_count=10)
    day_figures = compute_figures(
        simulate(day_parameters, 'shard-lost', CURRENT, 1)
    )
    assert day_figures.on_time_share >= count / 100, day_figures


def _simulate_non_idempotent(pattern: str, seed: int) -> Day:
    return simulate(DAY_PARAMETERS, pattern, CURRENT, seed, is_idempotent=False)


def _compute_credit_gain(pattern: str) -> float:
    day_parameters = DAY_PARAMETERS._replace(shard_count=10)
    current = compute_figures(simulate(day_parameters, pattern, CURRENT, 1))
    plain = compute_figures(
        simulate(day_parameters, pattern, POLICIES['plain'], 1)
    )
    return current.credit - plain.credit


def _summarize(day: Day) -> list[tuple[int, float, float]]:
    return [
        (outcome.request_number, outcome.elapsed_seconds, outcome.success_share)
        for outcome in day.outcomes
    ]


def _remove_guard(guard: str) -> Any:
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
        'draining': ('bench.model.instances.LIST_DELAY_SECONDS', math.inf),
    }
    name, changed = changes[guard]
    return mock.patch(name, changed)
