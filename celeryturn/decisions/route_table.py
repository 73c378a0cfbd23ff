"""Which services may answer a request: routes by host and longest prefix."""

from collections.abc import Mapping
from typing import NamedTuple


class WeightedService(NamedTuple):
    """One service of a route.

    :param name: Name of the service.
    :param weight: Its part of the route's requests, relative to the others.
    """

    name: str
    weight: float


class GatherPlan(NamedTuple):
    """How a route's answer is put together from many shards.

    :param shards: Services that each hold one shard.
    :param record_count: How many of the greatest records are returned.
    :param min_share: Share of the shards below which an answer fails.
    """

    shards: tuple[str, ...]
    record_count: int
    min_share: float


class Route(NamedTuple):
    """How requests of one host and path prefix are handled.

    :param name: Name of the route.
    :param host: Host name in lower case.
    :param prefix: Path prefix, with a slash at both ends.
    :param is_idempotent: Whether a request may run more than once.
    :param timeout_seconds: Longest time a caller is kept waiting.
    :param objective_seconds: Latency within which an answer is on time.
    :param attempt_limit: Most targets a request may run on, a shard.
    :param priority: Zero is served first.
    :param services: Services the route is split over; empty for a gather.
    :param gather: Shards to be asked, if the answer is gathered.
    """

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    timeout_seconds: float
    objective_seconds: float
    attempt_limit: int
    priority: int
    services: tuple[WeightedService, ...]
    gather: GatherPlan | None


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take.

    :param head_bytes: Largest request line with headers.
    :param body_bytes: Largest body.
    :param head_seconds: Longest time until a request is whole.
    :param idle_seconds: Longest time between requests on a connection.
    """

    head_bytes: int = 16_384
    body_bytes: int = 262_144
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


class RouteTable(NamedTuple):
    """One version of the configuration; never changed, only replaced.

    :param version: Rises from one to the next.
    :param routes: By host, the longest prefix first.
    :param connection_limits: Connections a target accepts, by service.
    :param limits: Bounds on callers.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    connection_limits: Mapping[str, int]
    limits: CallerLimits


def make_table(
    version: int,
    routes: list[Route],
    connection_limits: Mapping[str, int],
    limits: CallerLimits,
) -> RouteTable:
    """Sort routes for look-up.

    :param version: Version of the configuration.
    :param routes: Routes in any order.
    :param connection_limits: Connections a target accepts, by service.
    :param limits: Bounds on callers.
    :returns: The table.
    """
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    sorted_routes = {
        host: tuple(sorted(host_routes, key=_prefix_sort_key))
        for host, host_routes in by_host.items()
    }
    return RouteTable(version, sorted_routes, connection_limits, limits)


def match_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Find the route of a request.

    :param table: The table in force.
    :param host: Host named by the caller, possibly with a port.
    :param path: Path without its query string.
    :returns: The route with the longest prefix of the path, if any.
    """
    name = host.partition(':')[0].lower()
    for route in table.routes.get(name, ()):
        if path.startswith(route.prefix):
            return route
    return None


def is_newer(candidate: RouteTable, current: RouteTable | None) -> bool:
    """Tell whether a table replaces the one in force.

    :param candidate: A table that was read or heard of.
    :param current: The table in force, if any.
    :returns: Whether its version is higher.
    """
    return current is None or candidate.version > current.version


def _prefix_sort_key(route: Route) -> int:
    return -len(route.prefix)
