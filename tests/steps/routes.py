"""Steps on routes, splits and how long callers wait."""

from collections import Counter

from behave import given, then, when
from behave.runner import Context

from celeryturn.decisions import caller_timeouts, route_table, splitting

HOST = 'trips.example'
OBJECTIVE_SECONDS = 0.25


def make_route(prefix: str, services: str = 'x:1') -> route_table.Route:
    """Make a plain route."""
    parts = (part.split(':') for part in services.split())
    return route_table.Route(
        name=prefix,
        host=HOST,
        prefix=prefix,
        is_idempotent=True,
        timeout_seconds=1,
        objective_seconds=OBJECTIVE_SECONDS,
        attempt_limit=2,
        rank=1,
        services=tuple(
            route_table.WeightedService(name, float(weight))
            for name, weight in parts
        ),
        gather=None,
    )


def make_table(version: int, prefixes: str) -> route_table.RouteTable:
    """Make a table of plain routes."""
    routes = [make_route(prefix) for prefix in prefixes.split()]
    limits = route_table.CallerLimits()
    return route_table.make_table(version, routes, {'x': 10}, limits)


@given('routes with the prefixes "{prefixes}"')
def given_routes(context: Context, prefixes: str) -> None:
    """Make a table."""
    context.route_table = make_table(1, prefixes)


@given('a table of version {version:d} is in force')
def given_version(context: Context, version: int) -> None:
    """Make a table."""
    context.route_table = make_table(version, '/a/')


@then('"{path}" has the route "{prefix}"')
def expect_route(context: Context, path: str, prefix: str) -> None:
    """Expect a route, with a port in the host too."""
    for host in (HOST, HOST.upper(), f'{HOST}:8080'):
        route = route_table.match_route(context.route_table, host, path)
        assert route is not None
        assert route.prefix == prefix, route


@then('"{path}" has no route')
def expect_no_route(context: Context, path: str) -> None:
    """Expect no route."""
    assert route_table.match_route(context.route_table, HOST, path) is None


@then('another host has no route for "{path}"')
def expect_other_host(context: Context, path: str) -> None:
    """Expect no route."""
    assert route_table.match_route(context.route_table, 'other', path) is None


@then('version {version:d} is newer')
def expect_newer(context: Context, version: int) -> None:
    """Expect that it replaces the one in force."""
    offered = make_table(version, '/a/')
    assert route_table.is_newer(offered, context.route_table)
    assert route_table.is_newer(offered, None)


@then('version {version:d} is not newer')
def expect_not_newer(context: Context, version: int) -> None:
    """Expect that the one in force stays."""
    assert not route_table.is_newer(
        make_table(version, '/a/'), context.route_table
    )


@given('a route split over "{services}"')
def given_split(context: Context, services: str) -> None:
    """Make a split route."""
    context.splitter = splitting.Splitter()
    split_anew(context, services)


@when('the route is split over "{services}"')
def split_anew(context: Context, services: str) -> None:
    """Change the split."""
    context.route = make_route('/a/', services)


@when('{count:d} requests are split')
def split(context: Context, count: int) -> None:
    """Choose services."""
    context.chosen = Counter(
        splitting.choose_service(context.splitter, context.route, 0.5)
        for _ in range(count)
    )


@then('"{one}" gets {count:d} and "{other}" gets {rest:d}')
def expect_split(
    context: Context, one: str, count: int, other: str, rest: int
) -> None:
    """Expect shares."""
    assert context.chosen == {one: count, other: rest}, context.chosen


@given('callers of a route that told {told} ms, most of them 1200')
def given_waits(context: Context, told: str) -> None:
    """Count what callers told."""
    context.waits = caller_timeouts.CallerTimeouts()
    for milliseconds in told.split():
        caller_timeouts.observe_timeout(context.waits, int(milliseconds) / 1000)


@then('one that tells {left:d} ms has waited {waited:d} ms')
def expect_waited(context: Context, left: int, waited: int) -> None:
    """Expect an estimate."""
    found = caller_timeouts.elapsed_seconds(context.waits, left / 1000, 0.25)
    assert round(found * 1000) == waited, found
