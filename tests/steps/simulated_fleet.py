"""Steps on a simulated fleet of many instances."""

from behave import given, then, when
from behave.runner import Context

from bench.fleet.simulation import (
    NEIGHBOUR_COUNT,
    Fleet,
    alive_names,
    knows_all,
    open_fleet,
)
from celeryturn.decisions.fleet.membership import Status
from celeryturn.decisions.fleet.neighbours import neighbours_of
from celeryturn.peers.links import LinkPurpose

SEED = 11
SETTLE_SECONDS = 16.0
REST_SECONDS = 20.0
CROSSING_SHARE = 0.2


def _fleet(context: Context) -> Fleet:
    fleet: Fleet = context.fleet
    return fleet


@given('a simulated fleet of {count:d} instances in {zones:d} zones')
def given_fleet(context: Context, count: int, zones: int) -> None:
    """Create a fleet that is closed after the scenario."""
    opened = open_fleet(count, zones, SEED)
    context.fleet = opened.__enter__()
    context.add_cleanup(lambda: opened.__exit__(None, None, None))


@when('all instances start at once')
def start_all(context: Context) -> None:
    """Start the fleet and wait until all have started."""
    _fleet(context).start_all()
    _fleet(context).run(1.0)


@when('{seconds:d} simulated seconds pass')
def pass_simulated(context: Context, seconds: int) -> None:
    """Let simulated time pass."""
    _fleet(context).run(seconds)


@when('{count:d} instance is lost')
def lose_some(context: Context, count: int) -> None:
    """Kill instances."""
    fleet = _fleet(context)
    fleet.kill(tuple(fleet.networks)[:count])


@when('all instances of a zone are lost')
def lose_zone(context: Context) -> None:
    """Kill the instances of one zone."""
    fleet = _fleet(context)
    fleet.kill(
        name for name in fleet.networks if fleet.zone_of(name) == 'zone-1'
    )


@when('every second instance is lost')
def lose_half(context: Context) -> None:
    """Kill every second instance in the order of names."""
    fleet = _fleet(context)
    fleet.kill(sorted(fleet.networks)[::2])


@when('the fleet is cut into halves for {seconds:d} s')
def cut_fleet(context: Context, seconds: int) -> None:
    """Separate every second instance of each zone from the others."""
    fleet = _fleet(context)
    side = set(sorted(fleet.wires.accepting)[::2])
    fleet.wires.can_reach = lambda source, to: (source in side) == (to in side)
    fleet.run(seconds)
    count = len(fleet.networks)
    for known in fleet.networks.values():
        assert len(alive_names(known)) < count, 'the halves must be apart'
    fleet.wires.can_reach = lambda _source, _to: True


@then('all know all within {seconds:d} s')
def expect_known(context: Context, seconds: int) -> None:
    """Check that every view is right in time."""
    assert _fleet(context).seconds_until(knows_all, seconds) <= seconds


@then(
    'each has sent at most {count:d} bytes after {seconds:d} s, a fifth of them'
    ' to other zones'
)
def expect_bytes(context: Context, count: int, seconds: int) -> None:
    """Check the bytes of the start."""
    fleet = _fleet(context)
    fleet.run(seconds)
    all_bytes, crossing_bytes = fleet.sent_bytes()
    assert all_bytes <= count, all_bytes
    assert crossing_bytes <= CROSSING_SHARE * count, crossing_bytes


@then('each sends at most {count:d} bytes a second at rest')
def expect_rest(context: Context, count: int) -> None:
    """Check the bytes of some seconds without changes."""
    fleet = _fleet(context)
    before_bytes, _ = fleet.sent_bytes()
    fleet.run(REST_SECONDS)
    after_bytes, _ = fleet.sent_bytes()
    assert (after_bytes - before_bytes) / REST_SECONDS <= count


@when('all but {count:d} instances are lost')
def lose_all_but(context: Context, count: int) -> None:
    """Kill instances, so that watched ones become neighbours."""
    fleet = _fleet(context)
    fleet.kill(sorted(fleet.networks)[count:])


@then('each is linked as a neighbour with its neighbours')
def expect_neighbour_links(context: Context) -> None:
    """Check the purpose of every dialled link to a neighbour."""
    for known in _fleet(context).networks.values():
        own = known.instance.membership
        purposes = {
            link.instance: link.purpose
            for link in known.links
            if link.purpose is not LinkPurpose.ACCEPTED
        }
        live = [
            name
            for name in neighbours_of(own, NEIGHBOUR_COUNT)
            if own.members[name].status is Status.ALIVE
        ]
        for name in live:
            assert purposes.get(name) is LinkPurpose.NEIGHBOUR, purposes
