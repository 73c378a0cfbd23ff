"""Run the fault scripts under both policies and compare the results."""

import asyncio
import statistics
import sys
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final, NamedTuple

import msgspec

from bench.faults import (
    ADDRESS,
    REQUEST_TIMEOUT_SECONDS,
    SCRIPTS,
    Script,
    Testbed,
    clear_faults,
    inject_faults,
)
from bench.load import (
    KIND_WEIGHTS,
    SWEEP_TEXT,
    Callers,
    Figures,
    Outcome,
    summarize,
)
from celeryturn.command_line import run_command_line
from celeryturn.http.client import fetch
from celeryturn.http.messages import HttpRequest
from celeryturn.schema import encode
from celeryturn.tables import format_table
from examples.fleet import Fleet, start_fleet, stop_fleet, wait_until_ready
from standins.topology import USERS, build_records, repartition

POLICIES: Final = ('plain', 'current')
DAEMONS: Final = MappingProxyType(
    {
        'plain': 'bench.plain',
        'current': 'celeryturn.daemon',
    }
)
WARM_UP_SECONDS: Final = 2.0
RUN_SECONDS: Final = 6.0
SETTLE_SECONDS: Final = 1.0
SEED: Final = 17
WARM_UP_SEED_OFFSET: Final = 1000
RUNS_PER_SCRIPT: Final = 2
PERCENT: Final = 100
RESULTS_PATH: Final = Path('build/bench.json')


class Run(NamedTuple):
    """Result of one run of a fault script under one policy.

    :param user: Name of the user whose fleet was started.
    :param script: Name of the fault script.
    :param policy: ``plain`` or ``current``.
    :param figures: Latencies, coverage and faults of the run.
    :param double_bookings: Number of executions of bookings beyond the first
        one of each id.
    :param false_not_run: Number of bookings that were reported as not run
        although a target ran them.
    """

    user: str
    script: str
    policy: str
    figures: Figures
    double_bookings: int
    false_not_run: int


def compare(
    users: str = 'consorcio,redda', scripts: str = '', rounds: int = 1
) -> None:
    """Run fault scripts under both policies, print and save the results.

    :param users: Names of users, separated by commas.
    :param scripts: Names of fault scripts, separated by semicolons; all
        scripts by default.
    :param rounds: Number of runs of each script under each policy.
    """
    names = scripts.split(';') if scripts else list(SCRIPTS)
    runs = []
    user_names = users if isinstance(users, tuple) else str(users).split(',')
    for user in user_names:
        runs.extend(asyncio.run(_compare_user(user, names, rounds)))
    RESULTS_PATH.parent.mkdir(exist_ok=True)
    RESULTS_PATH.write_bytes(msgspec.json.encode(encode(runs)))
    sys.stdout.write(f'{_results_table(runs)}\n\n{_ratios_table(runs)}\n')


async def _compare_user(user: str, names: list[str], rounds: int) -> list[Run]:
    service = next(iter(USERS[user].services))
    fleets: dict[str, Fleet] = {}
    try:
        # The fleets start one after the other, because a fleet occupies its
        # ports only once it is ready.
        for policy_name in POLICIES:
            fleets[policy_name] = start_fleet(
                user, daemon_module=DAEMONS[policy_name]
            )
            wait_until_ready(fleets[policy_name])
        testbeds = {
            policy: Testbed(fleet, _find_document(fleet.documents, service))
            for policy, fleet in fleets.items()
        }
        return await _run_scripts(user, testbeds, names, rounds)
    finally:
        for started_fleet in fleets.values():
            stop_fleet(started_fleet)


async def _run_scripts(
    user: str, testbeds: dict[str, Testbed], names: list[str], rounds: int
) -> list[Run]:
    runs = []
    for name in names:
        for number in range(rounds):
            for policy, testbed in testbeds.items():
                script = SCRIPTS[name]
                seed = SEED + number
                await clear_faults(testbed, script.latency_seconds)
                await asyncio.sleep(SETTLE_SECONDS)
                measured = await _measure(user, testbed, script, seed)
                runs.append(Run(user, name, policy, *measured))
                sys.stderr.write(f'{user} {name} {policy} done\n')
    return runs


async def _measure(
    user: str, testbed: Testbed, script: Script, seed: int
) -> tuple[Figures, int, int]:
    callers = _make_callers(testbed)
    rate = script.load * _capacity_requests_per_second(
        user, script.latency_seconds
    )
    await callers.run(rate, WARM_UP_SECONDS, seed + WARM_UP_SEED_OFFSET)
    await inject_faults(testbed, script)
    outcomes = await callers.run(rate, RUN_SECONDS, seed)
    callers.close()
    booking_ids = await _fetch_booking_ids(testbed)
    return (
        summarize(outcomes, RUN_SECONDS),
        len(booking_ids) - len(set(booking_ids)),
        _count_false_not_run(outcomes, booking_ids),
    )


def _make_callers(testbed: Testbed) -> Callers:
    addresses = []
    for instance_address in testbed.fleet.instance_addresses.values():
        address, port = instance_address.split(':')
        addresses.append((address, int(port)))
    expected = {}
    for document in (testbed.document, repartition(testbed.document)):
        for index in document['indexes']:
            version = index['version']
            expected[version] = {
                shard: {
                    record['key']
                    for record in records
                    if SWEEP_TEXT in record['text']
                }
                for shard, records in build_records(document, version).items()
            }
    testbed.run_count += RUNS_PER_SCRIPT
    return Callers(
        addresses, testbed.document['service'], expected, testbed.run_count
    )


def _capacity_requests_per_second(user: str, latency_seconds: float) -> float:
    shape = next(iter(USERS[user].services.values()))
    sub_requests_per_second = shape.target_count * shape.slots / latency_seconds
    sweep_fraction = KIND_WEIGHTS[0] / sum(KIND_WEIGHTS)
    return sub_requests_per_second / (
        sweep_fraction * shape.shard_count + 1 - sweep_fraction
    )


def _find_document(
    documents: list[dict[str, Any]], service: str
) -> dict[str, Any]:
    return next(
        document for document in documents if document['service'] == service
    )


async def _fetch_booking_ids(testbed: Testbed) -> list[str]:
    port = testbed.document['targets'][testbed.targets[0]]['port']
    request = HttpRequest('GET', '/bookings')
    reply = await fetch(ADDRESS, port, request, REQUEST_TIMEOUT_SECONDS)
    bookings = msgspec.json.decode(reply.body)
    return [booking['booking_id'] for booking in bookings]


def _count_false_not_run(
    outcomes: list[Outcome], booking_ids: list[str]
) -> int:
    not_run_ids = {
        outcome.booking[0]
        for outcome in outcomes
        if outcome.booking[1] == 'not_run' and outcome.booking[0]
    }
    return len(not_run_ids & set(booking_ids))


def _results_table(runs: list[Run]) -> str:
    headers = (
        'USER',
        'SCRIPT',
        'POLICY',
        'P50 Q',
        'P99 Q',
        'P999 Q',
        'P50 S',
        'P99 S',
        'P999 S',
        'COV',
        'LEAST',
        'WHOLE',
        'EXTRA',
        'GOOD/S',
        'WRONG',
        'REFUSED',
    )
    return format_table(headers, (_row(run) for run in runs))


def _row(run: Run) -> tuple[str, ...]:
    figures = run.figures
    latencies = [
        f'{by_kind.get(kind, 0):.0f}'
        for kind in ('quickcheck', 'sweep')
        for by_kind in (figures.p50, figures.p99, figures.p999)
    ]
    wrong = (
        sum(figures.faults.values()) + run.double_bookings + run.false_not_run
    )
    refused = ' '.join(
        f'{kind}:{count}' for kind, count in sorted(figures.refusals.items())
    )
    row = [run.user, run.script, run.policy, *latencies]
    row.append(f'{figures.coverage_mean:.4f}')
    row.append(f'{figures.coverage_least:.2f}')
    row.append(f'{figures.complete_share:.3f}')
    row.append(f'{figures.extra_load * PERCENT:.1f}%')
    row.append(f'{figures.goodput:.0f}')
    row.append(str(wrong))
    row.append(refused or '-')
    return tuple(row)


def _ratios_table(runs: list[Run]) -> str:
    rows = []
    for user, script in dict.fromkeys((run.user, run.script) for run in runs):
        figures_by_policy = {
            policy: [
                run.figures
                for run in runs
                if (run.user, run.script, run.policy) == (user, script, policy)
            ]
            for policy in POLICIES
        }
        rows.append(
            (
                user,
                script,
                *(
                    _format_ratios(figures_by_policy, percentile, kind)
                    for percentile in ('p50', 'p99')
                    for kind in ('quickcheck', 'sweep')
                ),
            )
        )
    headers = ('USER', 'SCRIPT', 'P50 Q', 'P50 S', 'P99 Q', 'P99 S')
    return format_table(headers, rows)


def _format_ratios(
    figures_by_policy: dict[str, list[Figures]], percentile: str, kind: str
) -> str:
    ratios = [
        getattr(current, percentile).get(kind, 0)
        / getattr(plain, percentile).get(kind, float('inf'))
        for plain, current in zip(
            figures_by_policy['plain'],
            figures_by_policy['current'],
            strict=True,
        )
    ]
    median_ratio = statistics.median(ratios)
    return f'{median_ratio:.2f} ({min(ratios):.2f} to {max(ratios):.2f})'


if __name__ == '__main__':
    run_command_line(compare, 'compare')
