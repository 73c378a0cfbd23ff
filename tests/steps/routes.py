"""Steps for routes, splits and the elapsed waits of callers."""

from collections import Counter

from behave import given, then, when
from behave.runner import Context

from celeryturn.decisions.request import caller_timeouts, route_table, splitting

HOST = 'trips.example'
OBJECTIVE_SECONDS = 0.25


def make_route(prefix: str, services: str = 'x:1') -> route_table.Route:
    """Build a route that is split over services."""
    parts = (part.split(':') for part in services.split())
    return route_table.Route(
        name=prefix,
        host=HOST,
        prefix=prefix,
        is_idempotent=True,
        timeout_seconds=1,
        objective_seconds=OBJECTIVE_SECONDS,
        attempt_limit=2,
        priority=1,
        services=tuple(
            route_table.WeightedService(name, float(weight))
            for name, weight in parts
        ),
        gather=None,
    )


def make_table(version: int, prefixes: str) -> route_table.RouteTable:
    """Build a table with one route for each prefix."""
    routes = [make_route(prefix) for prefix in prefixes.split()]
    limits = route_table.CallerLimits()
    return route_table.make_table(version, routes, {'x': 10}, limits)


@given('routes with the prefixes "{prefixes}"')
def given_routes(context: Context, prefixes: str) -> None:
    """Build a table with the given prefixes."""
    context.route_table = make_table(1, prefixes)


@given('the current table has version {version:d}')
def given_version(context: Context, version: int) -> None:
    """Build a table of the given version."""
    context.route_table = make_table(version, '/a/')


@then('"{path}" has the route "{prefix}"')
def expect_route(context: Context, path: str, prefix: str) -> None:
    """Check the route for the host in either case and with a port."""
    for host in (HOST, HOST.upper(), f'{HOST}:8080'):
        route = route_table.match_route(context.route_table, host, path)
        assert route is not None
        assert route.prefix == prefix, route


@then('"{path}" has no route')
def expect_no_route(context: Context, path: str) -> None:
    """Check that no route of the host matches."""
    assert route_table.match_route(context.route_table, HOST, path) is None


@then('another host has no route for "{path}"')
def expect_other_host(context: Context, path: str) -> None:
    """Check that no route of another host matches."""
    assert route_table.match_route(context.route_table, 'other', path) is None


@then('version {version:d} is newer')
def expect_newer(context: Context, version: int) -> None:
    """Check that the version replaces the current one, or none."""
    candidate = make_table(version, '/a/')
    assert route_table.is_newer(candidate, context.route_table)
    assert route_table.is_newer(candidate, None)


@then('version {version:d} is not newer')
def expect_not_newer(context: Context, version: int) -> None:
    """Check that the current version is kept."""
    assert not route_table.is_newer(
        make_table(version, '/a/'), context.route_table
    )


@given('a route split over "{services}"')
def given_split(context: Context, services: str) -> None:
    """Start a split over the given services."""
    context.splitter = splitting.Splitter()
    change_split(context, services)


@when('the route is split over "{services}"')
def change_split(context: Context, services: str) -> None:
    """Replace the services of the route."""
    context.route = make_route('/a/', services)


@when('{count:d} requests are split')
def split(context: Context, count: int) -> None:
    """Choose a service for each request."""
    context.chosen = Counter(
        splitting.choose_service(context.splitter, context.route, 0.5)
        for _ in range(count)
    )


@then('"{one}" gets {count:d} and "{other}" gets {rest:d}')
def expect_split(
    context: Context, one: str, count: int, other: str, rest: int
) -> None:
    """Check the number of requests of each service."""
    assert context.chosen == {one: count, other: rest}, context.chosen


@given('callers of a route with {reported} ms remaining, mostly 1200')
def given_waits(context: Context, reported: str) -> None:
    """Record the remaining times that callers reported."""
    context.waits = caller_timeouts.CallerTimeouts()
    for milliseconds in reported.split():
        caller_timeouts.observe_timeout(context.waits, int(milliseconds) / 1000)


@then('a caller with {left:d} ms remaining has waited {waited:d} ms')
def expect_waited(context: Context, left: int, waited: int) -> None:
    """Check the estimate of the elapsed wait."""
    estimated_seconds = caller_timeouts.elapsed_seconds(
        context.waits, left / 1000, 0.25
    )
    assert round(estimated_seconds * 1000) == waited, estimated_seconds
