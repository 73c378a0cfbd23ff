"""Steps on single decisions, with an explicit clock."""

import random
from collections import Counter
from typing import Any

from behave import given, then, when
from behave.runner import Context

from celeryturn.decisions import (
    admission,
    booking,
    bookings,
    limits,
    membership,
    views,
)
from celeryturn.decisions.advice import advise
from celeryturn.decisions.document import Home
from celeryturn.decisions.freshness import (
    Freshness,
    Vouching,
    confirm,
    vouch,
)
from celeryturn.decisions.membership import Member, Status
from celeryturn.decisions.routing import rank
from celeryturn.errors import ANSWERS
from tests.support.documents import ZONES, published, raw_document

NOW_SECONDS = 1000.0
SEED = 3


@given(
    'a home "{target}" at epoch {epoch:d}, a dwell of {dwell:d} s and '
    'bookings of {deadline:d} s'
)
def make_home(
    context: Context, target: str, epoch: int, dwell: int, deadline: int
) -> None:
    """Plan a booking and believe what it was planned on."""
    document = published(raw_document(shard_count=1)).document._replace(
        homes={'s00': Home(target, epoch)},
        dwell_seconds=dwell,
        booking_deadline_seconds=deadline,
    )
    context.plan = booking.BookingPlan(
        'b-1',
        'reservas',
        'site-1/0',
        's00',
        target,
        epoch,
        NOW_SECONDS + deadline,
    )
    context.belief = booking.Belief(document, NOW_SECONDS, False)
    context.now_seconds = NOW_SECONDS


@when('a repartition gave the key another home')
def repartition(context: Context) -> None:
    """Serve another index whose shards are called the same."""
    document = published(raw_document(shard_count=64)).document
    context.belief = context.belief._replace(document=document)


@when('the deadline has passed')
def pass_deadline(context: Context) -> None:
    """Let time pass."""
    context.now_seconds = context.plan.deadline_seconds


@when('the configuration was confirmed {seconds:d} seconds ago')
def age(context: Context, seconds: int) -> None:
    """Let the belief be old."""
    confirmed = context.now_seconds - seconds
    context.belief = context.belief._replace(confirmed_seconds=confirmed)


@when('the home is held')
def hold(context: Context) -> None:
    """Hold the home."""
    _set_home(context, Home('t-1', 3, 'held'))


@when('the home moved to "{target}" at epoch {epoch:d}')
def move(context: Context, target: str, epoch: int) -> None:
    """Move the home."""
    _set_home(context, Home(target, epoch))


@when('the home moved away and back by epoch {epoch:d}')
def move_back(context: Context, epoch: int) -> None:
    """Move the home twice."""
    _set_home(context, Home('t-1', epoch))


@when("the home's target is leaving")
def leave_home(context: Context) -> None:
    """Let the home's target leave."""
    context.belief = context.belief._replace(target_leaving=True)


@when('the shard has no home any more')
def lose_home(context: Context) -> None:
    """Publish no home."""
    document = context.belief.document._replace(homes={})
    context.belief = context.belief._replace(document=document)


@then('the booking may be written')
def expect_written(context: Context) -> None:
    """Expect that nothing speaks against the write."""
    assert _refusal(context) is None, _refusal(context)


@then('the booking is refused as {kind:w}')
def expect_kind(context: Context, kind: str) -> None:
    """Expect a reason, one that says not run."""
    refused = _refusal(context)
    assert refused is not None
    assert str(refused) == kind, refused


@when('a booking was {sending}')
def send_booking(context: Context, sending: str) -> None:
    """Let a sending come so far."""
    context.sending = booking.Sending(
        is_written=sending != 'not written',
        said_not_run=sending.endswith('said not run'),
    )


@then('its silence is "{run}"')
def expect_silence(context: Context, run: str) -> None:
    """Expect what may be said."""
    assert ANSWERS[booking.silence_kind(context.sending)].run == run


@when('{count:d} bookings are begun')
def begin_many(context: Context, count: int) -> None:
    """Begin many bookings."""
    context.ids = bookings.BookingTable()
    for number in range(count):
        bookings.begin(context.ids, f'b-{number}')


@then('{count:d} ids are held and the oldest is forgotten')
def expect_ids(context: Context, count: int) -> None:
    """Expect the bound."""
    assert len(context.ids.outcomes) == count
    assert bookings.earlier_outcome(context.ids, 'b-0') is None
    assert bookings.earlier_outcome(context.ids, f'b-{count}')


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


@given('targets "{names}" of which "{name}" answered slowly')
def make_slow(context: Context, names: str, name: str) -> None:
    """Observe replies."""
    _make_targets(context, names)
    for known, view in context.views.items():
        taken = 0.5 if known == name else 0.005
        views.observe_reply(view, taken, views.Report(), NOW_SECONDS)


@given('targets "{names}" of which "{name}" failed {count:d} times')
def make_failing(context: Context, names: str, name: str, count: int) -> None:
    """Observe failures."""
    _make_targets(context, names)
    for failing in name.split() * count:
        views.observe_failure(context.views[failing], NOW_SECONDS)


@given(
    'targets "{names}" of which "{name}" stayed silent for {seconds:d} seconds'
)
def make_silent(context: Context, names: str, name: str, seconds: int) -> None:
    """Observe silence."""
    _make_targets(context, names)
    views.observe_silence(context.views[name], seconds)


@given('"{name}" reports an empty queue, the others {count:d} waiting')
def report(context: Context, name: str, count: int) -> None:
    """Let targets report, truly or not."""
    for known, view in context.views.items():
        waiting = 0 if known == name else count
        view.report = views.Report(queue_count=waiting)


@when('{seconds:d} seconds pass for the targets')
def pass_time(context: Context, seconds: int) -> None:
    """Let time pass."""
    context.now_seconds += seconds


@then('"{name}" is ranked last')
def expect_last(context: Context, name: str) -> None:
    """Expect it last whatever chance says."""
    for _ in range(100):
        assert _rank(context)[-1] == name, _rank(context)


@then('"{name}" may be ranked first again')
def expect_first(context: Context, name: str) -> None:
    """Expect that it is not last for ever."""
    firsts = {_rank(context)[0] for _ in range(200)}
    assert name in firsts, firsts


@given('a gate with a share of {share:d}')
def make_gate(context: Context, share: int) -> None:
    """Make a gate."""
    context.gate = limits.Gate(share)
    context.verdicts = []


@when('{count:d} {urgency:w} requests are offered')
@when('{count:d} {urgency:w} request is offered')
def offer(context: Context, count: int, urgency: str) -> None:
    """Offer requests."""
    for _ in range(count):
        ticket = len(context.verdicts)
        verdict = limits.offer(
            context.gate,
            limits.Urgency[urgency.upper()],
            limits.Waiting(ticket, NOW_SECONDS),
        )
        context.verdicts.append(verdict)


@when('one ends')
def end_one(context: Context) -> None:
    """End a request."""
    context.admitted = limits.release(context.gate, NOW_SECONDS - 1)


@when('one ends after the deadline of all')
def end_late(context: Context) -> None:
    """End a request when the others are of no use."""
    context.admitted = limits.release(context.gate, NOW_SECONDS + 1)


@when('it sheds {count:d} times')
def shed(context: Context, count: int) -> None:
    """Let the target shed."""
    for _ in range(count):
        limits.on_shed(context.gate)


@when('{count:d} replies come')
def succeed(context: Context, count: int) -> None:
    """Let replies come."""
    for _ in range(count):
        limits.on_reply(context.gate, 0.01, NOW_SECONDS)


@when('{count:d} replies come after {seconds:g} seconds each')
def reply_after(context: Context, count: int, seconds: float) -> None:
    """Let replies come at a pace."""
    for _ in range(count):
        limits.on_reply(context.gate, seconds, NOW_SECONDS)


@when('{count:d} end one after the other')
def end_many(context: Context, count: int) -> None:
    """End requests and note whose turn it was."""
    context.turns = []
    for _ in range(count):
        before = len(context.gate.urgent)
        limits.release(context.gate, NOW_SECONDS - 1)
        is_urgent = len(context.gate.urgent) < before
        context.turns.append('urgent' if is_urgent else 'sweep')


@then('the turns were "{turns}"')
def expect_turns(context: Context, turns: str) -> None:
    """Expect whose turns they were."""
    assert context.turns == turns.split(), context.turns


@then('a booking with {seconds:d} seconds left is hopeless')
def expect_hopeless(context: Context, seconds: int) -> None:
    """Expect a refusal."""
    assert _is_hopeless(context, seconds)


@then('a booking with {seconds:d} seconds left is not')
def expect_hope(context: Context, seconds: int) -> None:
    """Expect none."""
    assert not _is_hopeless(context, seconds)


@then('{sent:d} are sent and {waiting:d} wait')
def expect_gate(context: Context, sent: int, waiting: int) -> None:
    """Expect what the gate did."""
    assert context.gate.in_flight == sent, context.gate.in_flight
    assert limits.waiting_count(context.gate) == waiting


@then('{count:d} are refused')
def expect_refused(context: Context, count: int) -> None:
    """Expect refusals."""
    refused = context.verdicts.count(limits.Verdict.REFUSE)
    assert refused == count, refused


@then('the urgent one is sent next')
def expect_urgent(context: Context) -> None:
    """Expect the last one offered."""
    tickets = [waiting.ticket for waiting in context.admitted]
    assert tickets == [len(context.verdicts) - 1], tickets


@then('nothing more is sent')
def expect_none(context: Context) -> None:
    """Expect that the rest was dropped."""
    assert not context.admitted
    assert not limits.waiting_count(context.gate)


@then('its limit is {limit:d}')
def expect_limit(context: Context, limit: int) -> None:
    """Expect a limit."""
    assert int(context.gate.limit) == limit, context.gate.limit


@then(
    '{connections:d} connections among {instances:d} instances make a share '
    'of {share:d}'
)
def expect_share(
    context: Context, connections: int, instances: int, share: int
) -> None:
    """Expect a share."""
    assert limits.share_of(connections, instances) == share


def _set_home(context: Context, home: Home) -> None:
    document = context.belief.document._replace(homes={'s00': home})
    context.belief = context.belief._replace(document=document)


def _refusal(context: Context) -> Any:
    return booking.refuse_write(
        context.plan, context.belief, context.now_seconds
    )


def _member(name: str) -> Member:
    return Member(name, '127.0.0.1', 1, 2, 'zone-a', 1, Status.ALIVE)


def _make_targets(context: Context, names: str) -> None:
    context.now_seconds = NOW_SECONDS
    context.chance = random.Random(SEED).random
    context.views = {
        name: views.TargetView('zone-a', 4, 0) for name in names.split()
    }


def _is_hopeless(context: Context, seconds: int) -> bool:
    view = views.TargetView('zone-a', 1, NOW_SECONDS)
    view.gate = context.gate
    return admission.is_booking_hopeless(view, seconds)


def _rank(context: Context) -> list[str]:
    return rank(
        list(context.views),
        context.views,
        'zone-a',
        context.now_seconds,
        context.chance,
    )
