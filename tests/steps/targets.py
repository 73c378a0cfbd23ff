"""Steps on ranking targets and on their gates."""

import random

from behave import given, then, when
from behave.runner import Context

from celeryturn.decisions import admission, limits, views
from celeryturn.decisions.routing import rank

NOW_SECONDS = 1000.0
SEED = 3


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
            limits.QueuedRequest(ticket, NOW_SECONDS),
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
        before = len(context.gate.urgent_queue)
        limits.release(context.gate, NOW_SECONDS - 1)
        is_urgent = len(context.gate.urgent_queue) < before
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
    refused = context.verdicts.count(limits.AdmissionResult.REFUSE)
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
    assert limits.equal_share(connections, instances) == share


def _make_targets(context: Context, names: str) -> None:
    context.now_seconds = NOW_SECONDS
    context.chance = random.Random(SEED).random
    context.views = {
        name: views.TargetView('zone-a', 4, 0) for name in names.split()
    }


def _is_hopeless(context: Context, seconds: int) -> bool:
    view = views.TargetView('zone-a', 1, NOW_SECONDS)
    view.gate = context.gate
    return admission.is_booking_expected_late(view, seconds)


def _rank(context: Context) -> list[str]:
    return rank(
        list(context.views),
        context.views,
        'zone-a',
        context.now_seconds,
        context.chance,
    )
