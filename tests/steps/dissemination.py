"""Steps on what instances tell each other about the members of the fleet."""

import math
from collections import Counter

from behave import given, then, when
from behave.runner import Context

from celeryturn.decisions.fleet import (
    delegates,
    dissemination,
    membership,
    neighbours,
)
from celeryturn.decisions.fleet.membership import Member, Membership, Status

NOW_SECONDS = 1000.0


def _member(name: str, zone: str = 'z-0', incarnation: int = 1) -> Member:
    return Member(name, '10.0.0.1', 1, 2, zone, incarnation, Status.ALIVE)


def _known(own: Member, members: list[Member]) -> Membership:
    known = Membership(own, NOW_SECONDS)
    membership.merge_entries(known, members, NOW_SECONDS)
    return known


@given('two instances that know the same {count:d} members')
def given_equal(context: Context, count: int) -> None:
    """Create two equal tables."""
    members = [_member(f'i-{number}') for number in range(count)]
    context.tables = [_known(members[side], members) for side in (0, 1)]


@given(
    'the first one knows {added:d} members more and {raised:d} in a later'
    ' incarnation'
)
def given_differences(context: Context, added: int, raised: int) -> None:
    """Change the first table."""
    changed = [_member(f'added-{number}') for number in range(added)]
    changed.extend(
        _member(f'i-{number + 50}', incarnation=2) for number in range(raised)
    )
    membership.merge_entries(context.tables[0], changed, NOW_SECONDS)


@given(
    'an instance that knows {count:d} members and one that knows only itself'
)
def given_newcomer(context: Context, count: int) -> None:
    """Create a large table and one with a single entry."""
    members = [_member(f'i-{number}') for number in range(count)]
    newcomer = Membership(_member('new'), NOW_SECONDS)
    context.tables = [newcomer, _known(members[0], members)]


@then('a new link between them exchanges {count:d} entries')
def expect_exchanged(context: Context, count: int) -> None:
    """Exchange digests, hashes and entries in both directions."""
    dialler, acceptor = context.tables
    members = dialler.members.values()
    digest = dissemination.digest_members(members)
    own_digest = dissemination.digest_members(acceptor.members.values())
    summary = dissemination.summarize_differing(
        acceptor.members.values(), digest
    )
    compared = dissemination.compare_summary(members, own_digest, summary)
    requested = dissemination.requested_members(
        acceptor.members.values(), compared.missing_name_hashes
    )
    membership.merge_entries(acceptor, compared.told, NOW_SECONDS)
    membership.merge_entries(dialler, requested, NOW_SECONDS)
    # An entry in two versions crosses in both directions.
    assert len(compared.told) + len(requested) == count, (compared, requested)


@then('both know the same members')
def expect_equal(context: Context) -> None:
    """Compare the tables."""
    first, second = context.tables
    assert first.members == second.members


@given('a peer to which nothing was told for {seconds:d} s')
def given_quiet_peer(context: Context, seconds: int) -> None:
    """Create the news of a link."""
    context.news = dissemination.News()
    context.news.told_seconds = NOW_SECONDS - seconds


@when('member "{name}" changes')
def change_one(context: Context, name: str) -> None:
    """Add one change."""
    dissemination.add_news(context.news, [_member(name)])


@then('it is told at once')
def expect_at_once(context: Context) -> None:
    """Check that it is due, and take it."""
    assert not dissemination.seconds_until_due(context.news, NOW_SECONDS)
    assert len(dissemination.take_news(context.news, NOW_SECONDS)) == 1


@when('the members "{names}" change within {seconds:g} s')
def change_many(context: Context, names: str, seconds: float) -> None:
    """Add changes one after the other."""
    for name in names.split():
        change_one(context, name)
    context.now_seconds = NOW_SECONDS + seconds


@then('they are told together, {seconds:g} s after the first message')
def expect_together(context: Context, seconds: float) -> None:
    """Check that they wait for each other."""
    now_seconds = context.now_seconds
    due_seconds = now_seconds + dissemination.seconds_until_due(
        context.news, now_seconds
    )
    assert round(due_seconds - NOW_SECONDS, 6) == seconds, due_seconds
    assert len(dissemination.take_news(context.news, due_seconds)) == 3


@given('a peer to which "{names}" are to be told')
def given_pending(context: Context, names: str) -> None:
    """Create the news of a link with changes of a second incarnation."""
    context.news = dissemination.News()
    changed = [_member(name, incarnation=2) for name in names.split()]
    dissemination.add_news(context.news, changed)


@when('the peer tells "{same}", and an earlier incarnation of "{other}"')
def receive(context: Context, same: str, other: str) -> None:
    """Discard what the peer has told itself."""
    offered = [_member(same, incarnation=2), _member(other)]
    dissemination.discard_known(context.news, offered)


@then('only "{name}" is told to it')
def expect_only(context: Context, name: str) -> None:
    """Check what is left."""
    taken = dissemination.take_news(context.news, NOW_SECONDS)
    assert [member.instance for member in taken] == [name], taken


@given('{count:d} instances in {zones:d} zones that know each other')
def given_fleet(context: Context, count: int, zones: int) -> None:
    """Create the tables of a fleet, which are equal."""
    context.fleet = [
        _member(f'i-{number}', f'z-{number % zones}') for number in range(count)
    ]


def _tables(context: Context) -> list[Membership]:
    return [_known(member, context.fleet) for member in context.fleet]


@then(
    'one that joins zone "{zone}" is introduced to {count:d} instances, mostly'
    ' of its zone'
)
def expect_introduced(context: Context, zone: str, count: int) -> None:
    """Check the introduced entries."""
    known = _tables(context)[0]
    joining = _member('new', zone)
    assert dissemination.knows_zone_of(known, joining)
    introduced = dissemination.introduce(known, joining)
    assert len(introduced) == count
    assert known.own in introduced
    in_zone = sum(member.availability_zone == zone for member in introduced)
    assert in_zone > count / 2, introduced


@then('an instance that knows few of its zone introduces it later')
def expect_later(context: Context) -> None:
    """Check that a seed that starts as well knows too few."""
    known = _known(context.fleet[0], context.fleet[:8])
    assert not dissemination.knows_zone_of(known, _member('new', 'z-1'))


@then(
    'of the {count:d} neighbours of each at most 1 in {share:d} is in another'
    ' zone'
)
def expect_zone_neighbours(context: Context, count: int, share: int) -> None:
    """Count neighbours in other zones."""
    pairs = [
        (known.own, known.members[name])
        for known in _tables(context)
        for name in neighbours.neighbours_of(known, count)
    ]
    crossing = sum(
        own.availability_zone != other.availability_zone for own, other in pairs
    )
    assert len(pairs) == count * len(context.fleet)
    assert share * crossing <= len(pairs), crossing


@then('each is also watched by one other instance, mostly of another zone')
def expect_watched(context: Context) -> None:
    """Check that the order of names connects all instances."""
    watched = {
        known.own.instance: neighbours.next_by_name(known)
        for known in _tables(context)
    }
    counts = Counter(name for names in watched.values() for name in names)
    assert set(counts.values()) == {1}, counts
    assert len(counts) == len(context.fleet)


@when('the next {count:d} neighbours of an instance are suspect')
def suspect_next(context: Context, count: int) -> None:
    """Mark the next instances on the ring as suspect."""
    context.known = _tables(context)[0]
    names = neighbours.neighbours_of(context.known, count)
    suspects = [
        context.known.members[name]._replace(status=Status.SUSPECT)
        for name in names
    ]
    membership.merge_entries(context.known, suspects, NOW_SECONDS)


@then('it has {count:d} neighbours, of which {alive:d} are alive')
def expect_neighbours(context: Context, count: int, alive: int) -> None:
    """Check the neighbours after the suspicion."""
    names = neighbours.neighbours_of(context.known, alive)
    statuses = Counter(context.known.members[name].status for name in names)
    assert len(names) == count, names
    assert statuses[Status.ALIVE] == alive, statuses


@then('{count:d} instances of each zone are delegates')
def expect_delegates(context: Context, count: int) -> None:
    """Check that all choose the same delegates."""
    live = [member for member in context.fleet if member.status is Status.ALIVE]
    chosen = [
        member.availability_zone
        for member in live
        if delegates.is_delegate(_known(member, context.fleet))
    ]
    assert set(Counter(chosen).values()) == {count}, chosen
    known = _known(live[0], context.fleet)
    assert delegates.count_delegates(known) == len(chosen)


def _dialled_delegates(context: Context) -> list[tuple[Member, Member]]:
    return [
        (known.own, known.members[name])
        for known in _tables(context)
        for name in delegates.linked_delegates(known)
    ]


@then('each pair of zones is linked by {count:d} links of delegates')
def expect_zone_links(context: Context, count: int) -> None:
    """Count the links between zones."""
    pairs = Counter(
        frozenset((own.availability_zone, other.availability_zone))
        for own, other in _dialled_delegates(context)
        if own.availability_zone != other.availability_zone
    )
    zones = {member.availability_zone for member in context.fleet}
    assert len(pairs) == len(zones) * (len(zones) - 1) / 2, pairs
    assert set(pairs.values()) == {count}, pairs


@then('any other instance is linked to one delegate of its zone')
def expect_own_links(context: Context) -> None:
    """Check the links within zones."""
    within = [
        (own, other)
        for own, other in _dialled_delegates(context)
        if own.availability_zone == other.availability_zone
    ]
    others = [
        known.own
        for known in _tables(context)
        if not delegates.is_delegate(known)
    ]
    assert [own for own, _ in within] == others
    zones = {member.availability_zone for member in context.fleet}
    names = {
        name
        for zone in zones
        for name in delegates.delegates_of(context.fleet, zone)
    }
    assert {other.instance for _, other in within} <= names


@then('no instance dials a delegate as such')
def expect_no_links(context: Context) -> None:
    """Check that the ring is enough."""
    assert not _dialled_delegates(context)


@when('a delegate of zone "{zone}" is gone')
def lose_delegate(context: Context, zone: str) -> None:
    """Mark the first delegate of a zone as gone."""
    lost = delegates.delegates_of(context.fleet, zone)[0]
    context.fleet = [
        member._replace(status=Status.GONE)
        if member.instance == lost
        else member
        for member in context.fleet
    ]


@then('a delegate that was chosen just now is dialled after {seconds:g} s')
def expect_settled(context: Context, seconds: float) -> None:
    """Check the time until a chosen name is used."""
    since_seconds: dict[str, float] = {}
    found = [
        delegates.settle(since_seconds, ['i-1'], NOW_SECONDS + passed_seconds)
        for passed_seconds in (0, seconds - 0.1, seconds)
    ]
    assert found == [[], [], ['i-1']], found
    delegates.settle(since_seconds, [], NOW_SECONDS + seconds)
    assert not since_seconds


@then(
    'an instance links to {first:d} neighbour for {seconds:g} s after its first'
    ' contact, then to {full:d}'
)
def expect_count(
    context: Context, first: int, seconds: float, full: int
) -> None:
    """Check the number of neighbours over time."""
    found = [
        neighbours.neighbour_count(full, elapsed_seconds)
        for elapsed_seconds in (0, seconds - 0.1, seconds)
    ]
    assert found == [first, first, full], found


@then('an instance without any contact tries {count:d} neighbours')
def expect_first_count(context: Context, count: int) -> None:
    """Check the number before the first contact."""
    assert neighbours.neighbour_count(3, -math.inf) == count
