"""Steps on membership, advice and freshness."""

from collections import Counter

from behave import given, then, when
from behave.runner import Context

from celeryturn.decisions.configuration.freshness import (
    Freshness,
    PeerConfirmation,
    record_confirmation,
    record_peer_confirmation,
)
from celeryturn.decisions.fleet import membership, neighbours
from celeryturn.decisions.fleet.advice import advise
from celeryturn.decisions.fleet.membership import Member, Status
from tests.support.documents import ZONES

NOW_SECONDS = 1000.0


@given('an instance "{name}" that knows "{first}" and "{second}" to be alive')
def make_members(context: Context, name: str, first: str, second: str) -> None:
    """Make a small membership table."""
    context.members = membership.Membership(_member(name), NOW_SECONDS)
    context.now_seconds = NOW_SECONDS
    others = [_member(first), _member(second)]
    membership.merge_entries(context.members, others, NOW_SECONDS)


@when('{seconds:g} seconds pass in which only "{name}" responds')
def pass_time_with_contact(context: Context, seconds: float, name: str) -> None:
    """Advance time in small ticks, with contact from one instance only."""
    end = context.now_seconds + seconds
    while context.now_seconds < end:
        context.now_seconds += 0.5
        membership.record_contact(context.members, name, context.now_seconds)
        watched = set(context.members.members) - {'me'}
        membership.tick(context.members, watched, context.now_seconds)


@when('"{name}" is reported {status:w}')
def receive_status(context: Context, name: str, status: str) -> None:
    """Merge an entry of the given status."""
    member = _member(name)._replace(status=Status(status))
    context.changed = membership.merge_entries(
        context.members, [member], context.now_seconds
    )


@when('"{name}" is reported alive with a higher incarnation')
def receive_return(context: Context, name: str) -> None:
    """Merge an entry of a higher incarnation."""
    member = _member(name)._replace(incarnation=2)
    membership.merge_entries(context.members, [member], context.now_seconds)


@when('the list names "{name}"')
def read_listed(context: Context, name: str) -> None:
    """Merge an entry of the list."""
    member = _member(name)._replace(incarnation=0, status=Status.LISTED)
    membership.merge_entries(context.members, [member], context.now_seconds)


@when('the list reports "{name}" as leaving')
def read_leaving(context: Context, name: str) -> None:
    """Apply a list that reports an instance as leaving."""
    membership.mark_leaving(context.members, [name], context.now_seconds)


@when('{count:d} instances are reported gone')
def receive_many_gone(context: Context, count: int) -> None:
    """Merge the entries of many instances that are gone."""
    gone = [
        _member(f'x-{number}')._replace(status=Status.GONE)
        for number in range(count)
    ]
    membership.merge_entries(context.members, gone, context.now_seconds)


@then('"{name}" is {status:w}')
def expect_status(context: Context, name: str, status: str) -> None:
    """Check that an entry has a status, or is removed."""
    member = context.members.members.get(name)
    if status == 'removed':
        assert member is None, member
    else:
        assert member.status == status, member


@then('"{name}" is alive with a higher incarnation, which is gossiped')
def expect_refuted(context: Context, name: str) -> None:
    """Check that a refutation is among the entries to gossip."""
    own = context.members.own
    assert own.status is Status.ALIVE
    assert own.incarnation > _member(name).incarnation
    assert context.changed == [own]


@then('limits are shared by {count:d} instances')
def expect_count(context: Context, count: int) -> None:
    """Check the number of instances that share limits."""
    assert membership.live_count(context.members) == count


@then('the list is read every {seconds:d} seconds by {count:d} instances')
def expect_list_wait(context: Context, seconds: int, count: int) -> None:
    """Check the wait for a given size of the fleet."""
    assert membership.list_wait_seconds(5, count) == seconds


@then('at most {max_count:d} entries are held, including "{name}"')
def expect_bound(context: Context, max_count: int, name: str) -> None:
    """Check that the table is bounded, with its own and its first entries."""
    held = context.members.members
    assert len(held) <= max_count, len(held)
    assert {name, 'a', 'b'} <= set(held)


@when('{count:d} unknown names make contact')
def contact_many(context: Context, count: int) -> None:
    """Record contacts with names that have no entry."""
    for number in range(count):
        membership.record_contact(
            context.members, f'x-{number}', context.now_seconds
        )
    membership.record_contact(context.members, 'a', context.now_seconds)


@then('times of contact are held for at most {max_count:d} names')
def expect_contact_bound(context: Context, max_count: int) -> None:
    """Check that only members have a time of contact."""
    held = context.members.last_contact_seconds
    assert 'a' in held
    assert len(held) <= max_count, len(held)


@given('"{name}" started at the time {time_ms:d} by its clock')
def start_at(context: Context, name: str, time_ms: int) -> None:
    """Let the entry of an instance be known with its first incarnation."""
    entry = _member(name)._replace(incarnation=time_ms)
    membership.merge_entries(context.members, [entry], context.now_seconds)


@given('"{name}" is reported gone by "me"')
def report_gone(context: Context, name: str) -> None:
    """Let the instance be known as gone."""
    known = context.members.members[name]
    gone = known._replace(status=Status.GONE)
    membership.merge_entries(context.members, [gone], context.now_seconds)


@when('"{name}" starts again {back_ms:d} earlier by its clock')
def start_earlier(context: Context, name: str, back_ms: int) -> None:
    """Start an instance with a lower incarnation than before."""
    first = context.members.members[name].incarnation
    entry = _member(name)._replace(incarnation=first - back_ms)
    context.restarted = membership.Membership(entry, context.now_seconds)


@when('"{name}" and "me" exchange their entries')
def exchange_entries(context: Context, name: str) -> None:
    """Exchange all entries on a new link, then the changes."""
    now_seconds = context.now_seconds
    sent = tuple(context.restarted.members.values())
    received = tuple(context.members.members.values())
    membership.merge_entries(context.members, sent, now_seconds)
    changed = membership.merge_entries(context.restarted, received, now_seconds)
    membership.merge_entries(context.members, changed, now_seconds)


@then('"me" knows "{name}" to be alive with an incarnation above {time_ms:d}')
def expect_believed(context: Context, name: str, time_ms: int) -> None:
    """Check that the restarted instance is known as alive."""
    member = context.members.members[name]
    assert member.status is Status.ALIVE, member
    assert member.incarnation > time_ms, member


@given('{count:d} instances that know each other')
def make_known_instances(context: Context, count: int) -> None:
    """Make membership tables of the same content, one per instance."""
    members = [_member(f'i-{number}') for number in range(count)]
    context.all = []
    for member in members:
        known = membership.Membership(member, NOW_SECONDS)
        membership.merge_entries(known, members, NOW_SECONDS)
        context.all.append(known)


@then('each is watched by {count:d} others')
def expect_watched(context: Context, count: int) -> None:
    """Check that all instances have the same number of watchers."""
    watched = Counter(
        name
        for known in context.all
        for name in neighbours.neighbours_of(known, count)
    )
    assert set(watched.values()) == {count}, watched
    assert len(watched) == len(context.all)


@given('9 instances in 3 zones, of which one is leaving and one is suspect')
def make_candidates(context: Context) -> None:
    """Make members in several availability zones."""
    members = [
        _member(f'i-{number}')._replace(availability_zone=ZONES[number % 3])
        for number in range(9)
    ]
    members[0] = members[0]._replace(status=Status.LEAVING)
    members[1] = members[1]._replace(status=Status.SUSPECT)
    context.candidates = members


@then('advice for "{zone}" names {count:d} live instances, its zone first')
def expect_advice(context: Context, zone: str, count: int) -> None:
    """Check that only live instances are named, one of the zone first."""
    advised = advise(context.candidates, 'c', zone, 20, 0.5).members
    assert len(advised) == count
    assert {member.status for member in advised} == {Status.ALIVE}
    assert advised[0].availability_zone == zone


@then('{count:d} callers are spread over all {alive:d} live instances')
def expect_spread(context: Context, count: int, alive: int) -> None:
    """Check that every instance has callers and none has too many."""
    firsts = Counter(
        advise(context.candidates, f'c-{number}', '', 20, 0).members[0]
        for number in range(count)
    )
    assert len(firsts) == alive, firsts
    assert max(firsts.values()) < 2 * count / alive, firsts


@then('the advice may be kept for {min_seconds:d} to {max_seconds:d} seconds')
def expect_keep(context: Context, min_seconds: int, max_seconds: int) -> None:
    """Check that keep times vary within the bounds."""
    kept = [
        advise(context.candidates, 'c', '', max_seconds, fraction).keep_seconds
        for fraction in (0, 0.5, 1)
    ]
    assert kept[0] == min_seconds
    assert kept[2] == max_seconds
    assert min_seconds < kept[1] < max_seconds


@given('a configuration confirmed at {seconds:d} seconds, revision {number:d}')
def make_freshness(context: Context, seconds: int, number: int) -> None:
    """Confirm a configuration."""
    context.freshness = record_confirmation(Freshness(), seconds, number)


@when(
    'a peer replies to a request sent at {sent_seconds:d} seconds '
    'with age {age_seconds:d} seconds and {versions}'
)
def receive_peer_confirmation(
    context: Context, sent_seconds: int, age_seconds: int, versions: str
) -> None:
    """Record a confirmation by a peer."""
    confirmation = PeerConfirmation(
        sent_seconds, age_seconds, versions == 'the same versions', 7
    )
    context.freshness = record_peer_confirmation(
        context.freshness, confirmation
    )


@when(
    'the service replies with revision {number:d} '
    'to a request sent at {sent_seconds:d} seconds'
)
def receive_revision(context: Context, sent_seconds: int, number: int) -> None:
    """Record a reply of the configuration service."""
    context.freshness = record_confirmation(
        context.freshness, sent_seconds, number
    )


@then('the configuration counts as confirmed at {seconds:d} seconds')
def expect_confirmed(context: Context, seconds: int) -> None:
    """Check the time of the newest confirmation."""
    assert context.freshness.confirmed_seconds == seconds, context.freshness


def _member(name: str) -> Member:
    return Member(name, '127.0.0.1', 1, 2, 'zone-a', 1, Status.ALIVE)
