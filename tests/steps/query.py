"""Steps for the events, actions and answer of one query."""

from behave import given, then, when
from behave.runner import Context

from celeryturn.decisions.request import query
from celeryturn.decisions.request.course import Attempt
from celeryturn.decisions.request.planning import SnapshotChoice
from celeryturn.decisions.targets.messages import Reply
from celeryturn.decisions.targets.views import (
    EJECT_AFTER_FAILURES,
    Report,
    observe_failure,
    observe_leaving,
    observe_report,
)
from tests.support.documents import raw_document
from tests.support.simulated_query import SimulatedQuery, record


@given('a service of {shards:d} shards with {replicas:d} replicas each')
def make_service(context: Context, shards: int, replicas: int) -> None:
    """Create a coverage-first service."""
    context.query = SimulatedQuery(raw_document('reservas', shards, replicas))


@given(
    'a latency-first service of {shards:d} shards with {replicas:d} '
    'replicas each'
)
def make_latency_first(context: Context, shards: int, replicas: int) -> None:
    """Create a latency-first service."""
    raw = raw_document('reservas', shards, replicas, priority='latency')
    context.query = SimulatedQuery(raw)


@given('the targets are short of slots')
def set_slot_shortage(context: Context) -> None:
    """Set the context to a shortage of slots."""
    context.query.has_slot_shortage = True


@given('the targets hold snapshots {oldest:d} to {newest:d}')
def hold_snapshots(context: Context, oldest: int, newest: int) -> None:
    """Let every target report what it holds."""
    report = Report(oldest_snapshot=oldest, newest_snapshot=newest)
    for view in context.query.service.views.values():
        observe_report(view, report, context.query.now_seconds)


@given('the pinned snapshot is {snapshot:d}')
def pin_snapshot(context: Context, snapshot: int) -> None:
    """Pin a snapshot that the targets may no longer hold."""
    service = context.query.service
    service.snapshot = SnapshotChoice(snapshot, is_guess=False)
    service.snapshot_due_seconds = context.query.now_seconds + 1


@given('the targets have sent no recent report')
def forget_snapshots(context: Context) -> None:
    """Treat the known snapshots as out of date."""
    context.query.has_no_recent_reports = True


@when('the targets report that they hold snapshots {oldest:d} to {newest:d}')
def report_snapshots(context: Context, oldest: int, newest: int) -> None:
    """Let every target report what it holds."""
    hold_snapshots(context, oldest, newest)


@given('the extra-load budget holds {tokens:d} tokens')
def set_budget(context: Context, tokens: int) -> None:
    """Set the budget, and let needed sub-requests earn no tokens."""
    context.query.service.budget.tokens = tokens
    published = context.query.service.published
    document = published.document._replace(extra_load_share=0)
    context.query.service.published = published._replace(document=document)


@given('the targets "{names}" are leaving')
def mark_leaving(context: Context, names: str) -> None:
    """Mark targets as leaving."""
    for name in names.split():
        observe_leaving(context.query.service.views[name], 0)


@given('the targets "{names}" have failed repeatedly')
def eject_targets(context: Context, names: str) -> None:
    """Record enough failures to eject the targets."""
    for name in names.split() * EJECT_AFTER_FAILURES:
        view = context.query.service.views[name]
        observe_failure(view, context.query.now_seconds)


@when('a query begins with a deadline of {seconds:g} seconds')
def begin(context: Context, seconds: float) -> None:
    """Begin a query."""
    context.query.begin(seconds)


@when('every attempt is replied to')
def reply_all(context: Context) -> None:
    """Reply to all attempts in flight, and to those that follow."""
    while context.query.in_flight:
        for attempt in tuple(context.query.in_flight.values()):
            context.query.reply(attempt)


@when('every attempt but that of {shard:w} is replied to')
def reply_all_but(context: Context, shard: str) -> None:
    """Reply to the attempts of all shards but one."""
    for attempt in tuple(context.query.in_flight.values()):
        if attempt.shard != shard:
            context.query.reply(attempt)


@when('the attempt of {shard:w} is replied to')
def reply_one(context: Context, shard: str) -> None:
    """Reply to the only attempt of a shard."""
    context.query.reply(_only_attempt(context, shard))


@when('the newest attempt of {shard:w} is replied to')
def reply_newest(context: Context, shard: str) -> None:
    """Reply to the last attempt of a shard."""
    context.query.reply(context.query.attempts_of(shard)[-1])


@when('the attempt of {shard:w} is replied to from snapshot {snapshot:d}')
def reply_snapshot(context: Context, shard: str, snapshot: int) -> None:
    """Reply from another snapshot."""
    context.query.reply(_only_attempt(context, shard), snapshot=snapshot)


@when('the attempt of {shard:w} is replied to from index {index:d}')
def reply_index(context: Context, shard: str, index: int) -> None:
    """Reply from another index version."""
    context.query.reply(_only_attempt(context, shard), index=index)


@when(
    'the cancelled attempt of {shard:w} is replied to from '
    'snapshot {snapshot:d}'
)
def reply_cancelled(context: Context, shard: str, snapshot: int) -> None:
    """Reply to an attempt that was already cancelled."""
    cancelled = [
        attempt for attempt in context.query.cancelled if attempt.shard == shard
    ]
    context.query.reply(cancelled[0], snapshot=snapshot)


@when('the attempt of {shard:w} fails as {failure:w}')
def fail_one(context: Context, shard: str, failure: str) -> None:
    """Fail the only attempt of a shard."""
    context.query.fail(_only_attempt(context, shard), failure)


@when('every attempt of {shard:w} fails as {failure:w} until none is left')
def fail_all(context: Context, shard: str, failure: str) -> None:
    """Fail all attempts of a shard, including retries."""
    while context.query.attempts_of(shard):
        context.query.fail(context.query.attempts_of(shard)[0], failure)


@when('{seconds:g} seconds pass')
def advance(context: Context, seconds: float) -> None:
    """Advance the clock."""
    context.query.advance(seconds)


@when(
    '{first:w} and {second:w} both reply with record "{key}" in schema '
    'versions {old:d} and {new:d}'
)
def reply_versions(
    context: Context, first: str, second: str, key: str, old: int, new: int
) -> None:
    """Return the same record from two shards, as during a migration."""
    _reply_record(context, first, key, old)
    _reply_record(context, second, key, new)


@when('{shard:w} replies with record "{key}" in schema version {version:d}')
def reply_version(context: Context, shard: str, key: str, version: int) -> None:
    """Return one record from a shard."""
    _reply_record(context, shard, key, version)


@then('{count:d} attempts are in flight')
def expect_in_flight(context: Context, count: int) -> None:
    """Check the number of attempts in flight."""
    assert len(context.query.in_flight) == count, context.query.in_flight


@then('{count:d} attempt of {shard:w} is in flight')
def expect_shard_in_flight(context: Context, count: int, shard: str) -> None:
    """Check the number of attempts in flight for a shard."""
    assert len(context.query.attempts_of(shard)) == count


@then('{count:d} attempts of {shard:w} are in flight to different targets')
def expect_hedged(context: Context, count: int, shard: str) -> None:
    """Check that the attempts of a shard go to distinct targets."""
    targets = {attempt.target for attempt in context.query.attempts_of(shard)}
    assert len(targets) == count, targets


@then('{count:d} attempts were sent in total')
def expect_sent(context: Context, count: int) -> None:
    """Check the number of attempts sent."""
    assert len(context.query.sent) == count, context.query.sent


@then('{count:d} attempt was cancelled')
def expect_cancelled(context: Context, count: int) -> None:
    """Check the number of cancelled attempts."""
    assert len(context.query.cancelled) == count, context.query.cancelled


@then('no attempt is in flight')
def expect_none_in_flight(context: Context) -> None:
    """Check that every attempt has ended."""
    assert not context.query.in_flight


@then('the query is not finished')
def expect_unfinished(context: Context) -> None:
    """Check that the query still waits."""
    assert not context.query.is_finished


@then('the answer is complete')
def expect_complete(context: Context) -> None:
    """Check that the query has ended and no shard is missing."""
    assert context.query.is_finished
    coverage = context.query.answer().coverage
    assert coverage.is_complete, coverage


@then('the answer lacks {shard:w} because of "{reason}"')
def expect_lacking(context: Context, shard: str, reason: str) -> None:
    """Check that the answer reports a shard as missing."""
    assert context.query.is_finished
    coverage = context.query.answer().coverage
    assert (shard, reason) in coverage.lacking, coverage
    assert not coverage.is_complete
    assert shard not in coverage.included


@then('the answer includes "{shards}"')
def expect_included(context: Context, shards: str) -> None:
    """Check that the answer includes exactly these shards."""
    included = context.query.answer().coverage.included
    assert list(included) == shards.split(), included


@then('every record is of snapshot {snapshot:d}')
def expect_one_snapshot(context: Context, snapshot: int) -> None:
    """Check for at least one record, and for records of one snapshot."""
    answer = context.query.answer()
    texts = {found['text'] for found in answer.records}
    assert texts == {f'snapshot {snapshot}'}, texts
    assert answer.snapshot == snapshot


@then('the answer cost {count:d} sub-requests')
def expect_cost(context: Context, count: int) -> None:
    """Check the number of sub-requests that the answer reports."""
    assert context.query.answer().load.sent_count == count


@then('record "{key}" appears once in schema version {version:d}')
def expect_record(context: Context, key: str, version: int) -> None:
    """Check that a record appears once, in the given schema version."""
    versions = [
        found['schema_version']
        for found in context.query.answer().records
        if found['key'] == key
    ]
    assert versions == [version], versions


@then('record "{key}" does not appear')
def expect_no_record(context: Context, key: str) -> None:
    """Check that a record is not in the answer."""
    keys = [found['key'] for found in context.query.answer().records]
    assert key not in keys, keys


def _only_attempt(context: Context, shard: str) -> Attempt:
    attempts = context.query.attempts_of(shard)
    assert len(attempts) == 1, attempts
    attempt = attempts[0]
    assert isinstance(attempt, Attempt)
    return attempt


def _reply_record(context: Context, shard: str, key: str, version: int) -> None:
    decided = context.query
    attempt = _only_attempt(context, shard)
    decided.in_flight.pop(attempt.number)
    plan = decided.state.plan
    reply = Reply(
        'reservas',
        shard,
        plan.pinned_index.version,
        plan.snapshot,
        [record(key, version)],
        Report(),
    )
    decided.apply(
        query.on_reply(decided.state, attempt.number, reply, decided.context())
    )
