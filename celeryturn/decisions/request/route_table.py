"""Selection of the route of a request by host and longest path prefix."""

import itertools
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, NamedTuple

from celeryturn.decisions.load.cold_share import ColdStart

NO_COLD_STARTS: Final[Mapping[str, ColdStart]] = MappingProxyType({})


class WeightedService(NamedTuple):
    """One service of a route.

    :param name: Name of the service.
    :param weight: Weight of the service in the split of the route's requests,
        relative to the other services.
    """

    name: str
    weight: float


class GatherPlan(NamedTuple):
    """How a route assembles its answer from several shards (scatter-gather).

    :param shards: Names of the services; each holds one shard.
    :param record_count: Number of records to return; the greatest are kept.
    :param min_share: Fraction of the shards that must reply; with fewer, the
        request fails.
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
    :param timeout_seconds: Maximum time before the caller gets an answer.
    :param objective_seconds: Latency objective.
    :param attempt_limit: Maximum number of targets a request may be sent to,
        per shard.
    :param priority: Requests with lower values are served first; zero is the
        highest priority.
    :param services: Services that the requests are split over; empty if the
        answer is gathered.
    :param gather: How the answer is gathered, or ``None`` if the requests
        are split over services.
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
    """Limits on the size and duration of requests from callers.

    :param head_bytes: Maximum size of the request line and headers.
    :param body_bytes: Maximum size of the body.
    :param head_seconds: Maximum time to receive a complete request.
    :param idle_seconds: Maximum time between requests on a connection.
    """

    head_bytes: int = 16_384
    body_bytes: int = 262_144
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


class RouteTable(NamedTuple):
    """One version of the routing configuration; immutable.

    :param version: Version number; a later version has a higher number.
    :param routes: Routes by host, those with the longest prefix first.
    :param connection_limits: Maximum number of connections that a target
        accepts, by service.
    :param limits: Limits on callers.
    :param cold_starts: How targets behave after they start, by service; only
        services that limit the requests to cold targets.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    connection_limits: Mapping[str, int]
    limits: CallerLimits
    cold_starts: Mapping[str, ColdStart] = NO_COLD_STARTS


def named_services(table: RouteTable) -> frozenset[str]:
    """Return the services to which any route sends requests.

    :param table: The table.
    :returns: Their names.
    """
    routes = itertools.chain.from_iterable(table.routes.values())
    return frozenset(
        service for route in routes for service in _services_of(route)
    )


def _services_of(route: Route) -> tuple[str, ...]:
    if route.gather is not None:
        return route.gather.shards
    return tuple(weighted.name for weighted in route.services)


def make_table(
    version: int,
    routes: list[Route],
    connection_limits: Mapping[str, int],
    limits: CallerLimits,
    cold_starts: Mapping[str, ColdStart] = NO_COLD_STARTS,
) -> RouteTable:
    """Build a table with the routes sorted for look-up.

    :param version: Version of the configuration.
    :param routes: Routes in any order.
    :param connection_limits: Maximum number of connections that a target
        accepts, by service.
    :param limits: Limits on callers.
    :param cold_starts: How targets behave after they start, by service.
    :returns: The table.
    """
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    sorted_routes = {
        host: tuple(sorted(host_routes, key=_prefix_sort_key))
        for host, host_routes in by_host.items()
    }
    return RouteTable(
        version, sorted_routes, connection_limits, limits, cold_starts
    )


def match_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Find the route of a request.

    :param table: The current table.
    :param host: Host given by the caller, optionally with a port.
    :param path: Path without its query string.
    :returns: The route with the longest matching prefix, or ``None`` if no
        route matches.
    """
    name = host.partition(':')[0].lower()
    for route in table.routes.get(name, ()):
        if path.startswith(route.prefix):
            return route
    return None


def service_names_of(route: Route) -> tuple[str, ...]:
    """List the services that requests of a route are sent to.

    :param route: The route.
    :returns: Names of its services, or of its shards.
    """
    if route.gather is not None:
        return route.gather.shards
    return tuple(service.name for service in route.services)


def is_newer(candidate: RouteTable, current: RouteTable | None) -> bool:
    """Return whether a table should replace the current one.

    :param candidate: A table that was read or received.
    :param current: The current table, if any.
    :returns: Whether there is no current table or the candidate has a higher
        version.
    """
    return current is None or candidate.version > current.version


def _prefix_sort_key(route: Route) -> int:
    return -len(route.prefix)
