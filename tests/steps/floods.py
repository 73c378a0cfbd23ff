"""Steps on targets whose replies do not end, at separate processes."""

import asyncio
import contextlib
from typing import Any, Final

import msgspec
from behave import given, when
from behave.runner import Context

from celeryturn.http.client import fetch
from celeryturn.http.messages import HttpRequest
from tests.steps.crowds import (
    start_node_over,
    start_own,
    watch_while,
)
from tests.support.floods import FLOODS
from tests.support.limited_process import ProcessLimits
from tests.support.raw_target import RawTarget
from tests.support.routed import ADDRESS, caller_request, run

FLOODED_SERVICE: Final = 'flooded'
WAIT_SECONDS: Final = 10.0
ROUNDS: Final = 3


@given(
    'a node with {memory_mb:d} MB and {descriptor_count:d} descriptors, and'
    ' {count:d} shards that send {what} without end'
)
def start_flooded_node(
    context: Context,
    memory_mb: int,
    descriptor_count: int,
    count: int,
    what: str,
) -> None:
    """Start ``celeryturn.node``, with a route to faulty targets."""
    limits = ProcessLimits(memory_mb, descriptor_count)
    start_node_over(context, limits, _start_targets(context, what, count))


@given(
    'a celeryturnd with {memory_mb:d} MB and {descriptor_count:d} descriptors,'
    ' and {count:d} shards that send {what} without end'
)
def start_flooded_own(
    context: Context,
    memory_mb: int,
    descriptor_count: int,
    count: int,
    what: str,
) -> None:
    """Start ``celeryturnd``, with a service of faulty targets."""
    ports = _start_targets(context, what, count)
    context.target_ports = frozenset(ports)
    start_own(context, memory_mb, descriptor_count)
    run(context, _publish(context, ports))


@when('{count:d} callers search over these shards')
def search(context: Context, count: int) -> None:
    """Let callers search, and search again after any answer."""
    run(context, watch_while(context, _search_all(context, count)))


def _start_targets(context: Context, what: str, count: int) -> list[int]:
    first, repeated = FLOODS[what]
    targets = [
        RawTarget(first, repeated, stalls=not repeated) for _ in range(count)
    ]
    context.servers.extend(targets)
    return [run(context, target.start()) for target in targets]


async def _publish(context: Context, ports: list[int]) -> None:
    world = context.world
    await world.start_service(FLOODED_SERVICE, len(ports), 1)
    document: dict[str, Any] = world.documents[FLOODED_SERVICE]
    listed = document['targets'].values()
    for target, port in zip(listed, ports, strict=True):
        target['port'] = port
    world.publish({**document, 'version': document['version'] + 1})


async def _search_all(context: Context, count: int) -> None:
    searching = (_search(context, number) for number in range(count))
    await asyncio.gather(*searching)


async def _search(context: Context, number: int) -> None:
    port, request = _make_search(context.ports, number)
    for _ in range(ROUNDS):
        # A caller may be refused, or get no answer.
        with contextlib.suppress(OSError):
            await fetch(ADDRESS, port, request, WAIT_SECONDS)


def _make_search(ports: dict[str, int], number: int) -> tuple[int, HttpRequest]:
    front_port = ports.get('front')
    if front_port is not None:
        return front_port, caller_request('/all/x', number)
    body = msgspec.json.encode({'service': FLOODED_SERVICE})
    request = HttpRequest('POST', '/v1/search', body=body)
    return ports['callers'], request
