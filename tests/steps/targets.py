"""Steps on ranking targets and on their admission gates."""

import random

from behave import given, then, when
from behave.runner import Context

from celeryturn.decisions.load import admission, limits
from celeryturn.decisions.request.routing import rank_replicas
from celeryturn.decisions.targets import views

NOW_SECONDS = 1000.0
SEED = 3


@given('targets "{names}" of which "{name}" replied slowly')
def make_slow(context: Context, names: str, name: str) -> None:
    """Record one reply of each target, slow for the named one."""
    _make_targets(context, names)
    for target, view in context.views.items():
        latency_seconds = 0.5 if target == name else 0.005
        views.observe_reply(view, latency_seconds, views.Report(), NOW_SECONDS)


@given('targets "{names}" of which "{name}" failed {count:d} times')
def make_failing(context: Context, names: str, name: str, count: int) -> None:
    """Record failures of the named targets."""
    _make_targets(context, names)
    for target in name.split() * count:
        views.observe_failure(context.views[target], NOW_SECONDS)


@given(
    'targets "{names}" of which "{name}" did not respond for {seconds:d}'
    ' seconds'
)
def make_unresponsive(
    context: Context, names: str, name: str, seconds: int
) -> None:
    """Record that a target did not respond."""
    _make_targets(context, names)
    views.observe_no_response(context.views[name], seconds)


@given('"{name}" reports an empty queue, the others {count:d} waiting')
def report(context: Context, name: str, count: int) -> None:
    """Set the queue counts that the targets report, true or not."""
    for target, view in context.views.items():
        reported_count = 0 if target == name else count
        view.report = views.Report(queue_count=reported_count)


@when('{seconds:d} seconds pass for the targets')
def pass_time(context: Context, seconds: int) -> None:
    """Advance the time."""
    context.now_seconds += seconds


@then('"{name}" is ranked last')
def expect_last(context: Context, name: str) -> None:
    """Check that the target is last for every random tie-break."""
    for _ in range(100):
        assert _rank(context)[-1] == name, _rank(context)


@then('"{name}" may be ranked first again')
def expect_first(context: Context, name: str) -> None:
    """Check that the target is first for at least one random tie-break."""
    first_targets = {_rank(context)[0] for _ in range(200)}
    assert name in first_targets, first_targets


@given('a gate with a share of {share:d}')
def make_gate(context: Context, share: int) -> None:
    """Create a gate."""
    context.gate = limits.Gate(share)
    context.results = []


@when('{count:d} {urgency:w} requests are offered')
@when('{count:d} {urgency:w} request is offered')
def offer(context: Context, count: int, urgency: str) -> None:
    """Offer requests to the gate."""
    for _ in range(count):
        ticket = len(context.results)
        admission_result = limits.offer(
            context.gate,
            limits.Urgency[urgency.upper()],
            limits.QueuedRequest(ticket, NOW_SECONDS),
        )
        context.results.append(admission_result)


@when('one request ends')
def end_one(context: Context) -> None:
    """Release one admitted request."""
    context.admitted = limits.release(context.gate, NOW_SECONDS - 1)


@when('one request ends after all deadlines')
def end_late(context: Context) -> None:
    """Release one admitted request after the deadlines of the others."""
    context.admitted = limits.release(context.gate, NOW_SECONDS + 1)


@when('the target sheds load {count:d} times')
def shed(context: Context, count: int) -> None:
    """Record that the target shed load."""
    for _ in range(count):
        limits.on_shed(context.gate)


@when('{count:d} replies arrive')
def reply(context: Context, count: int) -> None:
    """Record replies."""
    for _ in range(count):
        limits.on_reply(context.gate, 0.01, NOW_SECONDS)


@when('{count:d} replies arrive after {seconds:g} seconds each')
def reply_after(context: Context, count: int, seconds: float) -> None:
    """Record replies with the given latency."""
    for _ in range(count):
        limits.on_reply(context.gate, seconds, NOW_SECONDS)


@when('{count:d} requests end one after the other')
def end_many(context: Context, count: int) -> None:
    """Release requests and record the urgency of each one sent."""
    context.order = []
    for _ in range(count):
        count_before = len(context.gate.urgent_queue)
        limits.release(context.gate, NOW_SECONDS - 1)
        is_urgent = len(context.gate.urgent_queue) < count_before
        context.order.append('urgent' if is_urgent else 'sweep')


@then('requests were sent in the order "{order}"')
def expect_order(context: Context, order: str) -> None:
    """Check the order of urgency classes."""
    assert context.order == order.split(), context.order


@then('a booking with {seconds:d} seconds left is refused as late')
def expect_late(context: Context, seconds: int) -> None:
    """Check that the booking is refused."""
    assert _is_expected_late(context, seconds)


@then('a booking with {seconds:d} seconds left is not refused')
def expect_in_time(context: Context, seconds: int) -> None:
    """Check that the booking is not refused."""
    assert not _is_expected_late(context, seconds)


@then('{sent:d} are sent and {waiting:d} wait')
def expect_gate(context: Context, sent: int, waiting: int) -> None:
    """Check the numbers of admitted and waiting requests."""
    assert context.gate.in_flight == sent, context.gate.in_flight
    assert limits.waiting_count(context.gate) == waiting


@then('{count:d} are refused')
def expect_refused(context: Context, count: int) -> None:
    """Check the number of refusals."""
    refused = context.results.count(limits.AdmissionResult.REFUSE)
    assert refused == count, refused


@then('the urgent one is sent next')
def expect_urgent(context: Context) -> None:
    """Check that only the request that was offered last is sent."""
    tickets = [waiting.ticket for waiting in context.admitted]
    assert tickets == [len(context.results) - 1], tickets


@then('nothing more is sent')
def expect_none(context: Context) -> None:
    """Check that the waiting requests were dropped."""
    assert not context.admitted
    assert not limits.waiting_count(context.gate)


@then('the limit of the gate is {limit:d}')
def expect_limit(context: Context, limit: int) -> None:
    """Check the concurrency limit."""
    assert int(context.gate.limit) == limit, context.gate.limit


@then(
    '{connections:d} connections among {instances:d} instances give a share '
    'of {share:d}'
)
def expect_share(
    context: Context, connections: int, instances: int, share: int
) -> None:
    """Check the share of the connections."""
    assert limits.equal_share(connections, instances) == share


def _make_targets(context: Context, names: str) -> None:
    context.now_seconds = NOW_SECONDS
    context.random_source = random.Random(SEED).random
    context.views = {
        name: views.TargetView('zone-a', 4, 0) for name in names.split()
    }


def _is_expected_late(context: Context, seconds: int) -> bool:
    view = views.TargetView('zone-a', 1, NOW_SECONDS)
    view.gate = context.gate
    return admission.is_booking_expected_late(view, seconds)


def _rank(context: Context) -> list[str]:
    return rank_replicas(
        list(context.views),
        context.views,
        'zone-a',
        context.now_seconds,
        context.random_source,
    )
