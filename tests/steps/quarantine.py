"""Steps on requests under which targets ended."""

import itertools
import math
from collections import Counter
from types import MappingProxyType

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as with_examples
from hypothesis import settings
from hypothesis import strategies as st

from celeryturn.decisions.fleet.membership import Status
from celeryturn.decisions.request import quarantine, trials
from celeryturn.decisions.request.lost_replies import keep_unresolved
from celeryturn.decisions.request.quarantine import (
    Mark,
    Quarantine,
    Standing,
    TargetEnd,
)
from celeryturn.decisions.targets.departures import TargetIncarnation
from celeryturn.peers import encoding, messages
from tests.support.members import make_member

START_SECONDS = 1000.0
FINGERPRINT = b'f' * 16
OTHER_FINGERPRINT = b'g' * 16
# Times after the end of a target.
OPENED_SECONDS = MappingProxyType({'older': -5.0, 'newer': 0.5})
WRITTEN_SECONDS = MappingProxyType({'earlier': -1.0, 'later': 1.0})
REPLY_SECONDS = 2.0
ZONE_COUNT = 3
LONG_NAME = 'i-67b5d4196d-of-a-long-identifier'


@given('no target has ended')
def start_empty(context: Context) -> None:
    """Know nothing."""
    context.now_seconds = START_SECONDS
    context.quarantine = Quarantine(START_SECONDS)
    context.noted = ()


@when('target {target} of service {service} ends under the request')
def end_target(context: Context, target: str, service: str) -> None:
    """Report the end of a target."""
    _report(context, _end(target, service))


@when('targets {targets} of service {service} end under the request')
def end_targets(context: Context, targets: str, service: str) -> None:
    """Report ends at the same time."""
    for target in targets.split():
        _report(context, _end(target, service))


@when(
    'the starts {starts} of target {target} of service {service} end under the'
    ' request'
)
def end_starts(
    context: Context, starts: str, target: str, service: str
) -> None:
    """Report the ends of several processes of one target."""
    for born in starts.split():
        _report(context, _end(target, service)._replace(born_ms=int(born)))


@when('a target of service {service} survives the request')
def survive(context: Context, service: str) -> None:
    """Record a reply."""
    quarantine.record_survival(
        context.quarantine, FINGERPRINT, service, context.now_seconds
    )


@when('all of this is told again {count:d} times')
def tell_again(context: Context, count: int) -> None:
    """Tell what is known to the one that knows it."""
    for _ in range(count):
        note(context)
        tell_noted(context)


@when('all of this is noted by a peer')
def note(context: Context) -> None:
    """Note what would be told on a new link."""
    context.noted = quarantine.list_ends(
        context.quarantine, context.now_seconds
    )


@when('the peer tells what it has noted')
def tell_noted(context: Context) -> None:
    """Tell what was noted."""
    quarantine.merge_ends(
        context.quarantine, context.noted, context.now_seconds
    )


@when('target {target} replies on an {age} connection to an {order} request')
@when('target {target} replies on an {age} connection to a {order} request')
@when('target {target} replies on a {age} connection to a {order} request')
def reply(context: Context, target: str, age: str, order: str) -> None:
    """Let a target reply after its end was reported."""
    ended_seconds = context.now_seconds
    quarantine.refute(
        context.quarantine,
        TargetIncarnation(target, 0),
        ended_seconds + OPENED_SECONDS[age],
        ended_seconds + WRITTEN_SECONDS[order],
        ended_seconds + REPLY_SECONDS,
    )


@when('{seconds:g} s go by')
def pass_time(context: Context, seconds: float) -> None:
    """Let time pass, and forget what is old."""
    context.now_seconds += seconds
    quarantine.prune(context.quarantine, context.now_seconds)


@when('{request_count:d} requests each end {end_count:d} targets')
def end_many(context: Context, request_count: int, end_count: int) -> None:
    """Report many ends."""
    for request, target in itertools.product(
        range(request_count), range(end_count)
    ):
        fingerprint = request.to_bytes(16, 'big')
        end = _end(f't-{target}', 'a')._replace(fingerprint=fingerprint)
        _report(context, end)


@when(
    '{count:d} replies of one target are lost, and nothing shows whether it'
    ' ended'
)
def lose_replies(context: Context, count: int) -> None:
    """Keep ends that are not resolved, one after the other."""
    context.unresolved = {}
    for _ in range(count):
        ends = (_end('a-1', 'a'),)
        keep_unresolved(context.unresolved, ends, START_SECONDS)


@then('at most {count:d} of its ends are kept')
def expect_kept(context: Context, count: int) -> None:
    """Check the size of the only entry."""
    kept = context.unresolved[TargetIncarnation('a-1', 0)].ends
    assert len(kept) <= count, len(kept)


@then('its standing is {standing}')
def expect_standing(context: Context, standing: str) -> None:
    """Check how the request may be sent."""
    found = quarantine.find_standing(context.quarantine, FINGERPRINT)
    assert found is Standing(standing), found


@then('it is suspect for {services}')
def expect_suspect(context: Context, services: str) -> None:
    """Check which services it is suspect for."""
    expect_standing(context, 'suspect')
    found = quarantine.suspect_services(context.quarantine, FINGERPRINT)
    assert found == set(services.split()), found


@then('any other request is clear')
def expect_other_clear(context: Context) -> None:
    """Check a request that was not reported."""
    other = quarantine.find_standing(context.quarantine, OTHER_FINGERPRINT)
    assert other is Standing.CLEAR


@then('nothing is known of any request')
def expect_nothing(context: Context) -> None:
    """Check that all is forgotten."""
    assert not context.quarantine.records


@then('at most {requests:d} requests with at most {ends:d} ends are known')
def expect_bounds(context: Context, requests: int, ends: int) -> None:
    """Check the sizes of the tables."""
    records = context.quarantine.records
    assert len(records) == requests, len(records)
    assert max(len(record.ends) for record in records.values()) == ends
    assert len(context.quarantine.ended_seconds) <= requests * ends


@then('what is told on a new link fits a message')
def expect_fit(context: Context) -> None:
    """Encode what is told, with names as long as they are on the platform."""
    told = quarantine.list_ends(context.quarantine, context.now_seconds)
    named = tuple(
        end._replace(target=LONG_NAME, service=LONG_NAME) for end in told
    )
    encoded = encoding.pack(messages.TargetEnds(named))
    assert len(encoded) < encoding.MAX_MESSAGE_BYTES, len(encoded)


@then('a trial is due in {seconds:g} s')
def expect_trial(context: Context, seconds: float) -> None:
    """Check when the request may be tried, and what a caller is told."""
    record = context.quarantine.records[FINGERPRINT]
    now_seconds = context.now_seconds
    found = trials.trial_at_seconds(record) - now_seconds
    assert math.isclose(found, seconds), found
    assert not trials.is_trial_due(record, now_seconds + seconds - 0.1)
    assert trials.is_trial_due(record, now_seconds + seconds + 0.1)
    told = trials.retry_after_seconds(record, now_seconds)
    assert math.isclose(told, seconds), told


@then(
    'ends and survivals in any order, told any number of times, lead to one'
    ' standing'
)
def expect_same_standing(context: Context) -> None:
    """Merge generated ends in two generated orders."""
    told_ends = st.lists(
        st.builds(
            TargetEnd,
            st.just(FINGERPRINT),
            st.sampled_from(('t-1', 't-2', 't-3', 't-4')),
            st.integers(0, 1),
            st.sampled_from(('a', 'b')),
            st.sampled_from(Mark),
            st.floats(0, 10),
        ),
        max_size=12,
    )

    @settings(derandomize=True, database=None)
    @with_examples(told_ends, st.data())
    def check(ends: list[TargetEnd], drawn: st.DataObject) -> None:
        # A target belongs to one service.
        ends = [end._replace(service=end.target) for end in ends]
        shuffled = drawn.draw(st.permutations([*ends, *ends]))
        assert _standing_after(ends) == _standing_after(shuffled)

    check()


@then(
    'exactly one of {count:d} instances makes the trial of each of'
    ' {requests:d} requests'
)
def expect_one(context: Context, count: int, requests: int) -> None:
    """Check that all instances agree on the one that makes the trial."""
    context.members = [
        make_member(number, ZONE_COUNT) for number in range(count)
    ]
    context.makers = [
        _makers(context, fingerprint.to_bytes(16, 'big'))
        for fingerprint in range(requests)
    ]
    assert all(len(makers) == 1 for makers in context.makers)
    shares = Counter(maker for makers in context.makers for maker in makers)
    assert len(shares) == count, shares


@then('the trials of an instance that is gone are made by others')
def expect_others(context: Context) -> None:
    """Let the maker of the first trial go."""
    gone = context.makers[0][0]
    context.members = [
        member._replace(status=Status.GONE)
        if member.instance == gone
        else member
        for member in context.members
    ]
    live = [member for member in context.members if member.instance != gone]
    fingerprint = bytes(16)
    makers = [
        member.instance
        for member in live
        if trials.makes_trial(member, context.members, fingerprint)
    ]
    assert len(makers) == 1, makers
    assert makers != [gone]


def _makers(context: Context, fingerprint: bytes) -> list[str]:
    return [
        member.instance
        for member in context.members
        if trials.makes_trial(member, context.members, fingerprint)
    ]


def _standing_after(ends: list[TargetEnd]) -> tuple[Standing, frozenset[str]]:
    known = Quarantine(START_SECONDS)
    for end in ends:
        quarantine.merge_ends(known, (end,), START_SECONDS)
    return (
        quarantine.find_standing(known, FINGERPRINT),
        quarantine.suspect_services(known, FINGERPRINT),
    )


def _end(target: str, service: str) -> TargetEnd:
    return TargetEnd(FINGERPRINT, target, 0, service, Mark.SUSPECT, 0.0)


def _report(context: Context, end: TargetEnd) -> None:
    quarantine.merge_ends(context.quarantine, (end,), context.now_seconds)
