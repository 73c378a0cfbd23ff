"""Measure the whole path of a sub-request over real connections.

The instance and the targets run in separate processes.
"""

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
from celeryturn.decisions.configuration import service_state
from celeryturn.decisions.configuration.document import parse_document
from celeryturn.decisions.request.planning import QueryKind, QueryRequest
from celeryturn.instance import Instance
from celeryturn.queries.read import read as read_query
from celeryturn.settings import Endpoint, Settings
from celeryturn.targets.links import Links, close_links
from examples.fleet import find_free_ports
from standins.topology import USERS, build_document, target_names

SERVICE: Final = 'liquidacion'
QUERY_COUNT: Final = 60
WARM_UP_QUERY_COUNT: Final = 20
REPEAT_COUNT: Final = 5
SHARD_COUNTS: Final = (5, 10, 15)
TARGETS_START_SECONDS: Final = 1.5
DEADLINE_SECONDS: Final = 5.0


def measure_path() -> Slope:
    """Measure an instance's processor time for a sub-request.

    The targets run in a separate process, so that only the instance's time
    is counted: planning, ranking, sending, receiving and merging.

    :returns: Processor seconds per sub-request.
    :raises RuntimeError: If an answer does not include every shard.
    """
    user = USERS['consorcio']
    names = target_names(SERVICE, user.services[SERVICE])
    ports = dict(zip(names, find_free_ports(len(names)), strict=True))
    document = build_document(SERVICE, user, ports)
    folder = Path(tempfile.mkdtemp(prefix='celeryturn-bench-'))
    documents_path = folder / 'documents.yaml'
    documents_path.write_text(yaml.safe_dump([document]), encoding='utf-8')
    arguments = (
        'standins.serve',
        'targets',
        'consorcio',
        SERVICE,
        str(documents_path),
    )
    command = (sys.executable, '-m', *arguments)
    with subprocess.Popen(command) as targets:  # noqa: S603
        time.sleep(TARGETS_START_SECONDS)
        try:
            return asyncio.run(_measure(document))
        finally:
            targets.terminate()


async def _measure(document: dict[str, Any]) -> Slope:
    loop = asyncio.get_running_loop()
    instance = Instance(_make_settings(), loop.time, 1)
    published = parse_document(msgspec.json.encode(document))
    service = service_state.ServiceState(published, loop.time())
    service_state.apply_document(service, published, 9, loop.time())
    instance.services[SERVICE] = service
    instance.is_ready = True
    links = Links(loop.time, 1)
    await _measure_query_seconds(
        instance, links, SHARD_COUNTS[-1], WARM_UP_QUERY_COUNT
    )
    rounds = [
        [
            (
                size,
                await _measure_query_seconds(
                    instance, links, size, QUERY_COUNT
                ),
            )
            for size in SHARD_COUNTS
        ]
        for _ in range(REPEAT_COUNT)
    ]
    await close_links(links)
    return fit_lines(rounds)


async def _measure_query_seconds(
    instance: Instance, links: Links, size: int, query_count: int
) -> float:
    shards = tuple(f's{number:02}' for number in range(size))
    request = QueryRequest(
        QueryKind.SEARCH, SERVICE, '', 'round 0', shards, 2, DEADLINE_SECONDS
    )
    started = time.process_time()
    for _ in range(query_count):
        answer = await read_query(instance, links, request)
        if not answer.coverage.is_complete:
            raise RuntimeError(f'incomplete answer: {answer.coverage}')
    return (time.process_time() - started) / query_count


def _make_settings() -> Settings:
    unused_endpoint = Endpoint('127.0.0.1', 1)
    return Settings(
        instance='bench',
        availability_zone='oviedo-a',
        regions={'cantabrico': ['oviedo-a']},
        callers=unused_endpoint,
        peers=unused_endpoint,
        configuration=unused_endpoint,
        instances=unused_endpoint,
    )
