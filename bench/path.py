"""The whole path of a sub-request over real connections, one process a side."""

import asyncio
import subprocess  # noqa: S404
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, Final

import msgspec
import yaml

from bench.fit import Slope, fit_lines
from celeryturn.decisions import service_state
from celeryturn.decisions.document import parse_document
from celeryturn.decisions.planning import QueryKind, QueryRequest
from celeryturn.instance import Instance
from celeryturn.queries.read import read as read_query
from celeryturn.settings import Endpoint, Settings
from celeryturn.targets.links import Links, close_links
from examples.fleet import find_free_ports
from standins.topology import USERS, build_document, target_names

SERVICE: Final = 'liquidacion'
QUERIES: Final = 60
WARM_QUERIES: Final = 20
REPEATS: Final = 5
SIZES: Final = (5, 10, 15)
START_SECONDS: Final = 1.5
DEADLINE_SECONDS: Final = 5.0


def measure_path() -> Slope:
    """Measure an instance's processor time for a sub-request.

    The targets run in a process of their own, so that only this side's
    time is counted: planning, ranking, sending, receiving, merging.

    :returns: Processor seconds a sub-request.
    """
    user = USERS['consorcio']
    names = target_names(SERVICE, user.services[SERVICE])
    ports = dict(zip(names, find_free_ports(len(names)), strict=True))
    document = build_document(SERVICE, user, ports)
    folder = Path(tempfile.mkdtemp(prefix='celeryturn-bench-'))
    path = folder / 'documents.yaml'
    path.write_text(yaml.safe_dump([document]), encoding='utf-8')
    words = ('standins.serve', 'targets', 'consorcio', SERVICE, str(path))
    command = (sys.executable, '-m', *words)
    with subprocess.Popen(command) as targets:  # noqa: S603
        time.sleep(START_SECONDS)
        try:
            return asyncio.run(_measure(document))
        finally:
            targets.terminate()


async def _measure(document: dict[str, Any]) -> Slope:
    loop = asyncio.get_running_loop()
    instance = Instance(_settings(), loop.time, 1)
    published = parse_document(msgspec.json.encode(document))
    service = service_state.ServiceState(published, loop.time())
    service_state.apply_document(service, published, 9, loop.time())
    instance.services[SERVICE] = service
    instance.is_ready = True
    links = Links(loop.time, 1)
    await _seconds(instance, links, SIZES[-1], WARM_QUERIES)
    rounds = [
        [
            (size, await _seconds(instance, links, size, QUERIES))
            for size in SIZES
        ]
        for _ in range(REPEATS)
    ]
    await close_links(links)
    return fit_lines(rounds)


async def _seconds(
    instance: Instance, links: Links, size: int, query_count: int
) -> float:
    shards = tuple(f's{number:02}' for number in range(size))
    ask = QueryRequest(
        QueryKind.SEARCH, SERVICE, '', 'round 0', shards, 2, DEADLINE_SECONDS
    )
    started = time.process_time()
    for _ in range(query_count):
        answer = await read_query(instance, links, ask)
        if not answer.coverage.is_complete:
            raise RuntimeError(f'not complete: {answer.coverage}')
    return (time.process_time() - started) / query_count


def _settings() -> Settings:
    nowhere = Endpoint('127.0.0.1', 1)
    return Settings(
        instance='bench',
        availability_zone='oviedo-a',
        regions={'cantabrico': ['oviedo-a']},
        callers=nowhere,
        peers=nowhere,
        configuration=nowhere,
        instances=nowhere,
    )
