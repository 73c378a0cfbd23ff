"""Run both policies through the fault scripts and compare them."""

import asyncio
import statistics
import sys
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final, NamedTuple

import msgspec

from bench.faults import (
    ADDRESS,
    CALL_SECONDS,
    SCRIPTS,
    Scene,
    Script,
    break_scene,
    heal,
)
from bench.load import (
    SWEEP_TEXT,
    WEIGHTS,
    Callers,
    Figures,
    Outcome,
    summarize,
)
from celeryturn.http.client import fetch
from celeryturn.http.messages import HttpRequest
from celeryturn.schema import encode
from celeryturn.tables import table
from celeryturn.command_line import run_command_line
from examples.fleet import Fleet, start_fleet, stop_fleet, wait_until_ready
from standins.topology import USERS, build_records, repartition

POLICIES: Final = ('plain', 'current')
DAEMONS: Final = MappingProxyType(
    {
        'plain': 'bench.plain',
        'current': 'celeryturn.daemon',
    }
)
WARM_SECONDS: Final = 2.0
RUN_SECONDS: Final = 6.0
SETTLE_SECONDS: Final = 1.0
SEED: Final = 17
WARM_SEED: Final = 1000
RUNS_PER_SCRIPT: Final = 2
PERCENT: Final = 100
SAVED: Final = Path('build/bench.json')


class Run(NamedTuple):
    """One run of one policy.

    :param user: Whose shape.
    :param script: Name of the script.
    :param policy: ``plain`` or ``current``.
    :param figures: What it came to.
    :param double_bookings: Ids that were run more than once.
    :param false_not_run: Ids said not run that were run.
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
    """Run scripts under both policies, print a table and save it.

    :param users: Names of users, with commas.
    :param scripts: Names of scripts, with semicolons; all by default.
    :param rounds: How often each is run.
    """
    names = scripts.split(';') if scripts else list(SCRIPTS)
    runs = []
    chosen = users if isinstance(users, tuple) else str(users).split(',')
    for user in chosen:
        runs.extend(asyncio.run(_compare_user(user, names, rounds)))
    SAVED.parent.mkdir(exist_ok=True)
    SAVED.write_bytes(msgspec.json.encode(encode(runs)))
    sys.stdout.write(f'{_table(runs)}\n\n{_ratios(runs)}\n')


async def _compare_user(user: str, names: list[str], rounds: int) -> list[Run]:
    service = next(iter(USERS[user].services))
    fleets: dict[str, Fleet] = {}
    try:
        # One after the other: ports are taken only once it is ready.
        for started in POLICIES:
            fleets[started] = start_fleet(user, daemon_module=DAEMONS[started])
            wait_until_ready(fleets[started])
        scenes = {
            policy: Scene(ready, _document(ready.documents, service))
            for policy, ready in fleets.items()
        }
        return await _run_scripts(user, scenes, names, rounds)
    finally:
        for ended in fleets.values():
            stop_fleet(ended)


async def _run_scripts(
    user: str, scenes: dict[str, Scene], names: list[str], rounds: int
) -> list[Run]:
    runs = []
    for name in names:
        for number in range(rounds):
            for policy, scene in scenes.items():
                script = SCRIPTS[name]
                seed = SEED + number
                await heal(scene, script.latency_seconds)
                await asyncio.sleep(SETTLE_SECONDS)
                came_to = await _run(user, scene, script, seed)
                runs.append(Run(user, name, policy, *came_to))
                sys.stderr.write(f'{user} {name} {policy} done\n')
    return runs


async def _run(
    user: str, scene: Scene, script: Script, seed: int
) -> tuple[Figures, int, int]:
    callers = _callers(scene)
    rate = script.load * _requests_carried(user, script.latency_seconds)
    await callers.run(rate, WARM_SECONDS, seed + WARM_SEED)
    await break_scene(scene, script)
    outcomes = await callers.run(rate, RUN_SECONDS, seed)
    callers.close()
    ran = await _bookings(scene)
    return (
        summarize(outcomes, RUN_SECONDS),
        len(ran) - len(set(ran)),
        _false_not_run(outcomes, ran),
    )


def _callers(scene: Scene) -> Callers:
    places = []
    for place in scene.fleet.instance_addresses.values():
        address, port = place.split(':')
        places.append((address, int(port)))
    expected = {}
    for document in (scene.document, repartition(scene.document)):
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
    scene.run_count += RUNS_PER_SCRIPT
    return Callers(places, scene.document['service'], expected, scene.run_count)


def _requests_carried(user: str, latency_seconds: float) -> float:
    shape = next(iter(USERS[user].services.values()))
    carried = shape.target_count * shape.slots / latency_seconds
    share = WEIGHTS[0] / sum(WEIGHTS)
    return carried / (share * shape.shard_count + 1 - share)


def _document(documents: list[dict[str, Any]], service: str) -> dict[str, Any]:
    return next(
        document for document in documents if document['service'] == service
    )


async def _bookings(scene: Scene) -> list[str]:
    port = scene.document['targets'][scene.targets[0]]['port']
    request = HttpRequest('GET', '/bookings')
    reply = await fetch(ADDRESS, port, request, CALL_SECONDS)
    ran = msgspec.json.decode(reply.body)
    return [booking['booking_id'] for booking in ran]


def _false_not_run(outcomes: list[Outcome], ran: list[str]) -> int:
    said = {
        known.booking[0]
        for known in outcomes
        if known.booking[1] == 'not_run' and known.booking[0]
    }
    return len(said & set(ran))


def _table(runs: list[Run]) -> str:
    heads = (
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
    return table(heads, (_row(run) for run in runs))


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


def _ratios(runs: list[Run]) -> str:
    rows = []
    for user, script in dict.fromkeys((run.user, run.script) for run in runs):
        pairs = {
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
                    _spread(pairs, percentile, kind)
                    for percentile in ('p50', 'p99')
                    for kind in ('quickcheck', 'sweep')
                ),
            )
        )
    heads = ('USER', 'SCRIPT', 'P50 Q', 'P50 S', 'P99 Q', 'P99 S')
    return table(heads, rows)


def _spread(pairs: dict[str, list[Figures]], percentile: str, kind: str) -> str:
    ratios = [
        getattr(current, percentile).get(kind, 0)
        / getattr(plain, percentile).get(kind, float('inf'))
        for plain, current in zip(pairs['plain'], pairs['current'], strict=True)
    ]
    middle = statistics.median(ratios)
    return f'{middle:.2f} ({min(ratios):.2f} to {max(ratios):.2f})'


if __name__ == '__main__':
    run_command_line(compare, 'compare')
