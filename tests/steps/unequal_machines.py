"""Steps on a large fleet on unequal machines."""

from typing import Any

from behave import given, then, when
from behave.runner import Context

from celeryturn.decisions.fleet import membership
from celeryturn.decisions.fleet.advice import advise_zone
from celeryturn.decisions.fleet.membership import Member, Status
from celeryturn.decisions.load import busyness, extra_load, fleet_share

START_SECONDS = 1000.0
STEPS_PER_SECOND = 10


def _member(name: str, zone: str, capacity: int) -> Member:
    return Member(
        instance=name,
        address='10.0.0.1',
        callers_port=1,
        peers_port=2,
        availability_zone=zone,
        incarnation=1,
        status=Status.ALIVE,
        capacity_per_second=capacity,
    )


@given(
    '{large:d} instances of capacity {large_capacity:d} and {small:d} of'
    ' capacity {small_capacity:d} in "{zone}"'
)
def given_instances(
    context: Context,
    large: int,
    large_capacity: int,
    small: int,
    small_capacity: int,
    zone: str,
) -> None:
    """Add instances of a zone."""
    capacities = [large_capacity for _ in range(large)]
    capacities.extend(small_capacity for _ in range(small))
    known: dict[str, Member] = getattr(context, 'fleet_members', {})
    for number, capacity in enumerate(capacities):
        name = f'{zone}-{number}'
        known[name] = _member(name, zone, capacity)
    context.fleet_members = known


@when('a large instance is busy')
def make_busy(context: Context) -> None:
    """Mark the first instance as busy."""
    _change_first(context, is_busy=True)


@when('a large instance is gone')
def make_gone(context: Context) -> None:
    """Mark the first instance as gone."""
    _change_first(context, status=Status.GONE)


@when('a large instance announces that it is busy')
def announce(context: Context) -> None:
    """Announce it, and merge the entry at a peer that knew the older one."""
    names = list(context.fleet_members)
    own = _membership(context, names[0])
    context.peer = _membership(context, names[-1])
    entry = membership.announce_busy(own, START_SECONDS, is_busy=True)
    membership.merge_entries(context.peer, [entry], START_SECONDS)


@then('its peers know it as busy')
def expect_known_busy(context: Context) -> None:
    """Check the entry at the peer."""
    assert context.peer.members['a-0'].is_busy


@then('callers of "{zone}" are advised of {count:d} instances')
def expect_advised(context: Context, zone: str, count: int) -> None:
    """Check the number of advised instances."""
    advised = advise_zone(context.fleet_members.values(), zone)
    assert len(advised) == count, advised


@then(
    'callers of "{zone}" are advised of {count:d} instances of capacity'
    ' {capacity:d}'
)
def expect_advised_capacity(
    context: Context, zone: str, count: int, capacity: int
) -> None:
    """Check the number and the capacity of advised instances."""
    advised = advise_zone(context.fleet_members.values(), zone)
    assert len(advised) == count, advised
    found = {
        (entry.availability_zone, entry.capacity_per_second)
        for entry in advised
    }
    assert found == {(zone, capacity)}, found


@then('a large instance shares the limits with {count:d} instances')
def expect_large_sharing(context: Context, count: int) -> None:
    """Check who shares the limits with the first instance."""
    name = next(iter(context.fleet_members))
    _expect_sharing(context, name, count)


@then('a small instance shares the limits with {count:d} instances')
def expect_small_sharing(context: Context, count: int) -> None:
    """Check who shares the limits with the last instance."""
    _expect_sharing(context, list(context.fleet_members)[-1], count)


@then('the initial tokens of all instances are at most {bound:d} of {slack:d}')
def expect_slack(context: Context, bound: int, slack: int) -> None:
    """Add up the tokens that all instances start with."""
    bounds = extra_load.ExtraLoadBounds(0.2, slack, 10)
    tokens = sum(
        extra_load.initial_tokens(
            extra_load.Allowance(bounds, _sharing(context, name).fleet_count)
        )
        for name in context.fleet_members
    )
    assert tokens <= bound, tokens


@given('an instance of capacity {capacity:d}')
def given_capacity(context: Context, capacity: int) -> None:
    """Start to observe the rate of an instance."""
    context.capacity = capacity
    context.now_seconds = START_SECONDS
    context.busyness = busyness.Busyness(START_SECONDS)


@when('it sends {rate:d} sub-requests a second for {seconds:d} s')
def send_at_rate(context: Context, rate: int, seconds: int) -> None:
    """Send at a constant rate."""
    for _ in range(seconds * STEPS_PER_SECOND):
        context.now_seconds += 1 / STEPS_PER_SECOND
        context.busyness.sent_count += rate // STEPS_PER_SECOND
        context.is_busy = busyness.is_busy(
            context.busyness, context.capacity, context.now_seconds
        )


@then('it is busy')
def expect_busy(context: Context) -> None:
    """Check the last decision."""
    assert context.is_busy


@then('it is not busy')
def expect_not_busy(context: Context) -> None:
    """Check the last decision."""
    assert not context.is_busy


def _change_first(context: Context, **fields: Any) -> None:
    name = next(iter(context.fleet_members))
    context.fleet_members[name] = context.fleet_members[name]._replace(**fields)


def _membership(context: Context, name: str) -> membership.Membership:
    known = membership.Membership(context.fleet_members[name], START_SECONDS)
    membership.merge_entries(
        known, context.fleet_members.values(), START_SECONDS
    )
    return known


def _sharing(context: Context, name: str) -> fleet_share.Sharing:
    return fleet_share.compute_sharing(_membership(context, name))


def _expect_sharing(context: Context, name: str, count: int) -> None:
    sharing = _sharing(context, name)
    assert len(sharing.zones) == count, len(sharing.zones)
    assert sharing.fleet_count == count, sharing.fleet_count
