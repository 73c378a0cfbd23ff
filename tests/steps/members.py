"""Steps on membership, advice and freshness."""

from collections import Counter

from behave import given, then, when
from behave.runner import Context

from celeryturn.decisions import membership
from celeryturn.decisions.advice import advise
from celeryturn.decisions.freshness import (
    Freshness,
    Vouching,
    confirm,
    vouch,
)
from celeryturn.decisions.membership import Member, Status
from tests.support.documents import ZONES

NOW_SECONDS = 1000.0


@given('an instance "{name}" that has heard of "{first}" and "{second}" alive')
def make_members(context: Context, name: str, first: str, second: str) -> None:
    """Make a small membership."""
    context.members = membership.Membership(_member(name), NOW_SECONDS)
    context.now_seconds = NOW_SECONDS
    others = [_member(first), _member(second)]
    membership.take_in(context.members, others, NOW_SECONDS)


@when('{seconds:g} seconds pass in which only "{name}" is heard')
def pass_hearing(context: Context, seconds: float, name: str) -> None:
    """Let time pass in small ticks."""
    end = context.now_seconds + seconds
    while context.now_seconds < end:
        context.now_seconds += 0.5
        membership.heard(context.members, name, context.now_seconds)
        watched = set(context.members.members) - {'me'}
        membership.tick(context.members, watched, context.now_seconds)


@when('"{name}" is told to be {status:w}')
def tell(context: Context, name: str, status: str) -> None:
    """Hear of a status."""
    member = _member(name)._replace(status=Status(status))
    context.changed = membership.take_in(
        context.members, [member], context.now_seconds
    )


@when('"{name}" is told to be alive with a higher incarnation')
def tell_newer(context: Context, name: str) -> None:
    """Hear of a return."""
    member = _member(name)._replace(incarnation=2)
    membership.take_in(context.members, [member], context.now_seconds)


@when('the list names "{name}"')
def list_names(context: Context, name: str) -> None:
    """Read the list."""
    member = _member(name)._replace(incarnation=0, status=Status.LISTED)
    membership.take_in(context.members, [member], context.now_seconds)


@when('the list calls "{name}" leaving')
def list_leaving(context: Context, name: str) -> None:
    """Read the list."""
    membership.take_leaving(context.members, [name], context.now_seconds)


@when('{count:d} instances are told to be gone')
def tell_many(context: Context, count: int) -> None:
    """Hear of very many."""
    gone = [
        _member(f'x-{number}')._replace(status=Status.GONE)
        for number in range(count)
    ]
    membership.take_in(context.members, gone, context.now_seconds)


@then('"{name}" is {status:w}')
def expect_status(context: Context, name: str, status: str) -> None:
    """Expect a belief, or none."""
    member = context.members.members.get(name)
    if status == 'forgotten':
        assert member is None, member
    else:
        assert member.status == status, member


@then('"{name}" is alive with a higher incarnation, and says so')
def expect_refuted(context: Context, name: str) -> None:
    """Expect a refutation that is spread."""
    own = context.members.own
    assert own.status is Status.ALIVE
    assert own.incarnation > _member(name).incarnation
    assert context.changed == [own]


@then('limits are shared by {count:d} instances')
def expect_count(context: Context, count: int) -> None:
    """Expect a cautious count."""
    assert membership.live_count(context.members) == count


@then('the list is read every {seconds:d} seconds by {count:d} instances')
def expect_list_wait(context: Context, seconds: int, count: int) -> None:
    """Expect a wait for a size of fleet."""
    assert membership.list_wait_seconds(5, count) == seconds


@then('at most {most:d} entries are held, "{name}" among them')
def expect_bound(context: Context, most: int, name: str) -> None:
    """Expect the bound of the table."""
    held = context.members.members
    assert len(held) <= most, len(held)
    assert {name, 'a', 'b'} <= set(held)


@given('{count:d} instances that know each other')
def make_many(context: Context, count: int) -> None:
    """Make memberships that agree."""
    members = [_member(f'i-{number}') for number in range(count)]
    context.all = []
    for member in members:
        known = membership.Membership(member, NOW_SECONDS)
        membership.take_in(known, members, NOW_SECONDS)
        context.all.append(known)


@then('each is watched by {count:d} others')
def expect_watched(context: Context, count: int) -> None:
    """Expect a ring."""
    watched = Counter(
        name
        for known in context.all
        for name in membership.neighbours_of(known, count)
    )
    assert set(watched.values()) == {count}, watched
    assert len(watched) == len(context.all)


@given('9 instances in 3 zones, of which one leaves and one is suspect')
def make_zones(context: Context) -> None:
    """Make members in zones."""
    members = [
        _member(f'i-{number}')._replace(availability_zone=ZONES[number % 3])
        for number in range(9)
    ]
    members[0] = members[0]._replace(status=Status.LEAVING)
    members[1] = members[1]._replace(status=Status.SUSPECT)
    context.candidates = members


@then('advice for "{zone}" names {count:d} that are alive, its zone first')
def expect_advice(context: Context, zone: str, count: int) -> None:
    """Expect addresses."""
    advised = advise(context.candidates, 'c', zone, 20, 0.5).members
    assert len(advised) == count
    assert {member.status for member in advised} == {Status.ALIVE}
    assert advised[0].availability_zone == zone


@then('{count:d} callers are spread over all {alive:d} that are alive')
def expect_spread(context: Context, count: int, alive: int) -> None:
    """Expect no instance without callers, and none with most."""
    firsts = Counter(
        advise(context.candidates, f'c-{number}', '', 20, 0).members[0]
        for number in range(count)
    )
    assert len(firsts) == alive, firsts
    assert max(firsts.values()) < 2 * count / alive, firsts


@then('it may be kept for {least:d} to {most:d} seconds')
def expect_keep(context: Context, least: int, most: int) -> None:
    """Expect a spread of keep times."""
    kept = [
        advise(context.candidates, 'c', '', most, share).keep_seconds
        for share in (0, 0.5, 1)
    ]
    assert kept[0] == least
    assert kept[2] == most
    assert least < kept[1] < most


@given('a configuration confirmed at {seconds:d} seconds, revision {number:d}')
def make_freshness(context: Context, seconds: int, number: int) -> None:
    """Confirm a configuration."""
    context.freshness = confirm(Freshness(), seconds, number)


@when(
    'a peer asked at {asked:d} seconds vouches for {age_of:d} seconds ago '
    'with {versions}'
)
def hear_vouching(
    context: Context, asked: int, age_of: int, versions: str
) -> None:
    """Hear a peer's word."""
    said = Vouching(asked, age_of, versions == 'the same versions', 7)
    context.freshness = vouch(context.freshness, said)


@when('the service, asked at {asked:d} seconds, shows revision {number:d}')
def show_revision(context: Context, asked: int, number: int) -> None:
    """Hear the service."""
    context.freshness = confirm(context.freshness, asked, number)


@then('it counts as confirmed at {seconds:d} seconds')
def expect_confirmed(context: Context, seconds: int) -> None:
    """Expect a confirmation."""
    assert context.freshness.confirmed_seconds == seconds, context.freshness


def _member(name: str) -> Member:
    return Member(name, '127.0.0.1', 1, 2, 'zone-a', 1, Status.ALIVE)
