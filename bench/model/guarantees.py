"""Checks of the product's guarantees on a simulated day."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import Final

from bench.model.days import Day
from bench.model.instances import EXTRA_LOAD_BOUNDS, LIST_DELAY_SECONDS
from bench.model.targets import OTHER_ZONE_SECONDS

EXTRA_LOAD_WINDOW_SECONDS: Final = 10
# A request that waits for a connection may be sent a little later.
DRAIN_GRACE_SECONDS: Final = 3.0


def find_violations(day: Day) -> Iterator[str]:
    """Find the guarantees that were violated on a day.

    :param day: The simulated day.
    :returns: One line of text for each violation.
    """
    runs = _runs_by_request(day)
    yield from _check_extra_load(day)
    yield from _check_attempts(day, runs)
    yield from _check_reported_runs(day, runs)
    yield from _check_draining(day)
    yield from _check_deadlines(day)


def _runs_by_request(day: Day) -> dict[int, list[str]]:
    runs: dict[int, list[str]] = defaultdict(list)
    for target in day.targets:
        for request_number, _ in target.runs:
            runs[request_number].append(target.name)
    return runs


def _check_extra_load(day: Day) -> Iterator[str]:
    services = {name for name, _ in day.needed_counts}
    for service in sorted(services):
        end = max(
            second for name, second in day.needed_counts if name == service
        )
        for start in range(end + 1):
            window = range(start, start + EXTRA_LOAD_WINDOW_SECONDS)
            extra_count = sum(
                day.extra_counts[service, second] for second in window
            )
            needed_count = sum(
                day.needed_counts[service, second] for second in window
            )
            max_count = (
                EXTRA_LOAD_BOUNDS.ratio * needed_count
                + EXTRA_LOAD_BOUNDS.slack_count
            )
            if extra_count > max_count:
                yield (
                    f'{service}: {extra_count} extra requests, more than '
                    f'{max_count:.0f}'
                )


def _check_attempts(day: Day, runs: dict[int, list[str]]) -> Iterator[str]:
    for outcome in day.outcomes:
        run_counts = Counter(
            name.rpartition('-')[0]
            for name in runs.get(outcome.request_number, ())
        )
        limit = outcome.kind.attempt_limit if outcome.kind.is_idempotent else 1
        max_count = max(run_counts.values(), default=0)
        if max_count > limit:
            yield (
                f'request {outcome.request_number}: a leg ran {max_count} times'
            )


def _check_reported_runs(day: Day, runs: dict[int, list[str]]) -> Iterator[str]:
    for outcome in day.outcomes:
        if not outcome.may_have_run and runs.get(outcome.request_number):
            yield (
                f'request {outcome.request_number}: ran, but was reported '
                'as not run'
            )


def _check_draining(day: Day) -> Iterator[str]:
    for target in day.targets:
        latest_start_seconds = (
            target.drain_start_seconds
            + LIST_DELAY_SECONDS
            + DRAIN_GRACE_SECONDS
            + OTHER_ZONE_SECONDS
        )
        late_count = sum(
            started > latest_start_seconds for _, started in target.runs
        )
        if late_count:
            yield (
                f'{target.name}: {late_count} requests started after its drain'
            )


def _check_deadlines(day: Day) -> Iterator[str]:
    for outcome in day.outcomes:
        if outcome.elapsed_seconds > outcome.kind.deadline_seconds + 1e-6:
            yield (
                f'request {outcome.request_number}: answered after its deadline'
            )
