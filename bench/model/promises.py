"""The promises of the product, checked on a day that was played."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import Final

from bench.model.days import Day
from bench.model.fleet import BOUNDS, LISTED_AFTER_SECONDS
from bench.model.targets import OTHER_ZONE_SECONDS

WINDOW_SECONDS: Final = 10
# A request that waits for a connection may be written a little later.
DRAIN_SECONDS: Final = 3.0


def broken(day: Day) -> Iterator[str]:
    """Find promises that a day broke.

    :param day: The day.
    :returns: A line for each.
    """
    runs = _runs_by_request(day)
    yield from _extra_load(day)
    yield from _runs(day, runs)
    yield from _not_run(day, runs)
    yield from _drained(day)
    yield from _deadlines(day)


def _runs_by_request(day: Day) -> dict[int, list[str]]:
    runs: dict[int, list[str]] = defaultdict(list)
    for target in day.targets:
        for request, _ in target.runs:
            runs[request].append(target.name)
    return runs


def _extra_load(day: Day) -> Iterator[str]:
    services = {name for name, _ in day.needed}
    for service in sorted(services):
        last = max(second for name, second in day.needed if name == service)
        for first in range(last + 1):
            window = range(first, first + WINDOW_SECONDS)
            extra = sum(day.extra[service, second] for second in window)
            needed = sum(day.needed[service, second] for second in window)
            bound = BOUNDS.ratio * needed + BOUNDS.slack_count
            if extra > bound:
                yield f'{service}: {extra} extra requests of {bound:.0f}'


def _runs(day: Day, runs: dict[int, list[str]]) -> Iterator[str]:
    for outcome in day.outcomes:
        counted = Counter(
            name.rpartition('-')[0] for name in runs.get(outcome.request, ())
        )
        limit = outcome.kind.attempt_limit if outcome.kind.is_idempotent else 1
        most = max(counted.values(), default=0)
        if most > limit:
            yield f'request {outcome.request}: a leg ran {most} times'


def _not_run(day: Day, runs: dict[int, list[str]]) -> Iterator[str]:
    for outcome in day.outcomes:
        if not outcome.may_have_run and runs.get(outcome.request):
            yield f'request {outcome.request}: ran, and was told as not run'


def _drained(day: Day) -> Iterator[str]:
    for target in day.targets:
        latest = (
            target.draining_seconds
            + LISTED_AFTER_SECONDS
            + DRAIN_SECONDS
            + OTHER_ZONE_SECONDS
        )
        late = sum(started > latest for _, started in target.runs)
        if late:
            yield f'{target.name}: {late} requests after it had left'


def _deadlines(day: Day) -> Iterator[str]:
    for outcome in day.outcomes:
        if outcome.elapsed_seconds > outcome.kind.deadline_seconds + 1e-6:
            yield f'request {outcome.request}: held past its deadline'
