"""Steps of the features on the course of a query."""

from behave import given, then, when
from behave.runner import Context

from celeryturn.decisions import query
from celeryturn.decisions.course import Attempt
from celeryturn.decisions.messages import Reply
from celeryturn.decisions.planning import SnapshotChoice
from celeryturn.decisions.views import (
    EJECT_AFTER_FAILURES,
    Report,
    observe_failure,
    observe_leaving,
    observe_report,
)
from tests.support.decided import DecidedQuery, record
from tests.support.documents import raw_document


@given('a service of {shards:d} shards with {replicas:d} replicas each')
def make_service(context: Context, shards: int, replicas: int) -> None:
    """Make a coverage-first service."""
    context.query = DecidedQuery(raw_document('reservas', shards, replicas))


@given(
    'a latency-first service of {shards:d} shards with {replicas:d} '
    'replicas each'
)
def make_latency_first(context: Context, shards: int, replicas: int) -> None:
    """Make a latency-first service."""
    raw = raw_document('reservas', shards, replicas, priority='latency')
    context.query = DecidedQuery(raw)


@given('the targets are short of slots')
def set_slot_shortage(context: Context) -> None:
    """Make slots short."""
    context.query.is_short = True


@given('the targets hold snapshots {oldest:d} to {newest:d}')
def hold_snapshots(context: Context, oldest: int, newest: int) -> None:
    """Let every target report what it holds."""
    report = Report(oldest_snapshot=oldest, newest_snapshot=newest)
    for view in context.query.service.views.values():
        observe_report(view, report, context.query.now_seconds)


@given('the pinned snapshot is {snapshot:d}')
def pin_snapshot(context: Context, snapshot: int) -> None:
    """Pin a snapshot chosen before the targets moved on."""
    service = context.query.service
    service.snapshot = SnapshotChoice(snapshot, is_guess=False)
    service.snapshot_due_seconds = context.query.now_seconds + 1


@given('nothing recent is known of the targets')
def forget_snapshots(context: Context) -> None:
    """Let the instance have been idle."""
    context.query.is_idle = True


@when('the targets say that they hold snapshots {oldest:d} to {newest:d}')
def report_snapshots(context: Context, oldest: int, newest: int) -> None:
    """Let every target report what it holds."""
    hold_snapshots(context, oldest, newest)


@given('the extra-load budget holds {tokens:d} tokens')
def set_budget(context: Context, tokens: int) -> None:
    """Set the budget, and let needed load earn nothing."""
    context.query.service.budget.tokens = tokens
    published = context.query.service.published
    document = published.document._replace(extra_load_share=0)
    context.query.service.published = published._replace(document=document)


@given('the targets "{names}" are leaving')
def mark_leaving(context: Context, names: str) -> None:
    """Let targets leave."""
    for name in names.split():
        observe_leaving(context.query.service.views[name], 0)


@given('the targets "{names}" have failed again and again')
def eject_targets(context: Context, names: str) -> None:
    """Let targets be ejected."""
    for name in names.split() * EJECT_AFTER_FAILURES:
        view = context.query.service.views[name]
        observe_failure(view, context.query.now_seconds)


@when('a query begins with a deadline of {seconds:g} seconds')
def begin(context: Context, seconds: float) -> None:
    """Admit a query."""
    context.query.begin(seconds)


@when('every attempt is replied to')
def reply_all(context: Context) -> None:
    """Reply to all that is under way, and to what follows from it."""
    while context.query.under_way:
        for attempt in tuple(context.query.under_way.values()):
            context.query.reply(attempt)


@when('every attempt but that of {shard:w} is replied to')
def reply_all_but(context: Context, shard: str) -> None:
    """Reply to all but one shard's."""
    for attempt in tuple(context.query.under_way.values()):
        if attempt.shard != shard:
            context.query.reply(attempt)


@when('the attempt of {shard:w} is replied to')
def reply_one(context: Context, shard: str) -> None:
    """Reply to one shard's attempt."""
    context.query.reply(_only_attempt(context, shard))


@when('the newest attempt of {shard:w} is replied to')
def reply_newest(context: Context, shard: str) -> None:
    """Reply to the last attempt that was sent."""
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
    """Let a reply come in that nobody waits for any more."""
    cancelled = [
        attempt for attempt in context.query.cancelled if attempt.shard == shard
    ]
    context.query.reply(cancelled[0], snapshot=snapshot)


@when('the attempt of {shard:w} fails as {failure:w}')
def fail_one(context: Context, shard: str, failure: str) -> None:
    """Let one attempt fail."""
    context.query.fail(_only_attempt(context, shard), failure)


@when('every attempt of {shard:w} fails as {failure:w} until none is left')
def fail_all(context: Context, shard: str, failure: str) -> None:
    """Let all attempts of a shard fail, the retries too."""
    while context.query.attempts_of(shard):
        context.query.fail(context.query.attempts_of(shard)[0], failure)


@when('{seconds:g} seconds pass')
def advance(context: Context, seconds: float) -> None:
    """Let time pass."""
    context.query.advance(seconds)


@when(
    '{first:w} and {second:w} both reply with record "{key}" in schema '
    'versions {old:d} and {new:d}'
)
def reply_versions(
    context: Context, first: str, second: str, key: str, old: int, new: int
) -> None:
    """Let a record stand in two shards, as during a move."""
    _reply_record(context, first, key, old)
    _reply_record(context, second, key, new)


@when('{shard:w} replies with record "{key}" in schema version {version:d}')
def reply_version(context: Context, shard: str, key: str, version: int) -> None:
    """Let a shard reply with one record."""
    _reply_record(context, shard, key, version)


@then('{count:d} attempts are under way')
def expect_in_flight(context: Context, count: int) -> None:
    """Expect so many attempts under way."""
    assert len(context.query.under_way) == count, context.query.under_way


@then('{count:d} attempt of {shard:w} is under way')
def expect_shard_in_flight(context: Context, count: int, shard: str) -> None:
    """Expect so many attempts of a shard."""
    assert len(context.query.attempts_of(shard)) == count


@then('{count:d} attempts of {shard:w} are under way at different targets')
def expect_hedged(context: Context, count: int, shard: str) -> None:
    """Expect a hedge."""
    targets = {attempt.target for attempt in context.query.attempts_of(shard)}
    assert len(targets) == count, targets


@then('{count:d} attempts were sent in all')
def expect_sent(context: Context, count: int) -> None:
    """Expect so many sends."""
    assert len(context.query.sent) == count, context.query.sent


@then('{count:d} attempt was cancelled')
def expect_cancelled(context: Context, count: int) -> None:
    """Expect so many cancellations."""
    assert len(context.query.cancelled) == count, context.query.cancelled


@then('nothing is under way')
def expect_none_in_flight(context: Context) -> None:
    """Expect that all was ended."""
    assert not context.query.under_way


@then('the query is not finished')
def expect_unfinished(context: Context) -> None:
    """Expect that it still waits."""
    assert not context.query.is_finished


@then('the answer is complete')
def expect_complete(context: Context) -> None:
    """Expect an end that lacks nothing."""
    assert context.query.is_finished
    coverage = context.query.answer().coverage
    assert coverage.is_complete, coverage


@then('the answer lacks {shard:w} because of "{reason}"')
def expect_lacking(context: Context, shard: str, reason: str) -> None:
    """Expect a shard that is stated as lacking."""
    assert context.query.is_finished
    coverage = context.query.answer().coverage
    assert (shard, reason) in coverage.lacking, coverage
    assert not coverage.is_complete
    assert shard not in coverage.included


@then('the answer includes "{shards}"')
def expect_included(context: Context, shards: str) -> None:
    """Expect just these shards."""
    included = context.query.answer().coverage.included
    assert list(included) == shards.split(), included


@then('every record is of snapshot {snapshot:d}')
def expect_one_snapshot(context: Context, snapshot: int) -> None:
    """Expect records of one snapshot only, and at least one."""
    answer = context.query.answer()
    texts = {found['text'] for found in answer.records}
    assert texts == {f'snapshot {snapshot}'}, texts
    assert answer.snapshot == snapshot


@then('the answer cost {count:d} sub-requests')
def expect_cost(context: Context, count: int) -> None:
    """Expect so many sub-requests in the answer's own account."""
    assert context.query.answer().load.sent_count == count


@then('record "{key}" appears once in schema version {version:d}')
def expect_record(context: Context, key: str, version: int) -> None:
    """Expect one form of a record."""
    versions = [
        found['schema_version']
        for found in context.query.answer().records
        if found['key'] == key
    ]
    assert versions == [version], versions


@then('record "{key}" does not appear')
def expect_no_record(context: Context, key: str) -> None:
    """Expect that a record is left out."""
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
    decided.under_way.pop(attempt.number)
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
