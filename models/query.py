"""One query under every order of events: one snapshot, true coverage.

Two shards of two replicas.  Replies of the pinned and of another snapshot,
losses, refusals for the snapshot, late replies and the passing of time come in
every order.
"""

from collections.abc import Callable, Iterator
from typing import Any, Final, NamedTuple, TypeAlias

from minicheck import Protocol

from celeryturn.decisions import course, query, service_state
from celeryturn.decisions.document import parse_document
from celeryturn.decisions.merging import merge
from celeryturn.decisions.messages import Record, Reply
from celeryturn.decisions.planning import (
    QueryKind,
    QueryRequest,
    SnapshotChoice,
    plan_query,
)
from celeryturn.decisions.views import Report, observe_report
from models.replay import Event, Way, search_by_replay

OnReply: TypeAlias = Callable[
    [course.QueryState, int, Reply, course.Context], course.Actions
]

PINNED: Final = 100
OTHER: Final = 110
DEADLINE_SECONDS: Final = 1.0
TICK_SECONDS: Final = 0.4
MOST_EVENTS: Final = 5
FIELDS: Final = ('summary', 'mixed', 'false_coverage', 'finishes', 'length')


class Course:
    """A query that is played from its beginning."""

    def __init__(self, document: bytes) -> None:
        published = parse_document(document)
        self.now_seconds = 0.0
        self.service = service_state.ServiceState(published, 0)
        service_state.apply_document(self.service, published, 1, 0)
        ask = QueryRequest(QueryKind.SEARCH, 'service', '', '', (), 100, 1)
        choice = SnapshotChoice(PINNED, is_guess=False)
        plan = plan_query(self.service.document, ask, choice, 0)
        self.state = course.QueryState(plan)
        self.sent: dict[int, course.Attempt] = {}
        self.finish_count = 0
        self.apply(query.begin(self.state, self.context()))

    def context(self) -> course.Context:
        """Build what decisions may look at."""
        return course.Context(
            views=self.service.views,
            zone='zone',
            budget=self.service.budget,
            window=self.service.window,
            has_slot_shortage=False,
            now_seconds=self.now_seconds,
            random=lambda: 0.5,
        )

    def apply(self, actions: course.Actions) -> None:
        """Note what was decided."""
        for action in actions:
            if isinstance(action, course.Send):
                self.sent[action.attempt.number] = action.attempt
            elif isinstance(action, course.Finish):
                self.finish_count += 1

    def play(self, event: Event, on_reply: OnReply) -> None:
        """Let an event happen."""
        kind, number = event
        if kind == 'time':
            self.now_seconds += TICK_SECONDS
            self.apply(query.on_wake(self.state, self.context()))
            return
        attempt = self.sent[number]
        if kind in {'reply', 'other'}:
            snapshot = PINNED if kind == 'reply' else OTHER
            reply = _reply(attempt.shard, snapshot)
            self.apply(on_reply(self.state, number, reply, self.context()))
            return
        if kind == 'gone':
            report = Report(oldest_snapshot=105, newest_snapshot=OTHER)
            view = self.service.views[attempt.target]
            observe_report(view, report, self.now_seconds)
        failure = 'snapshot_gone' if kind == 'gone' else 'lost'
        self.apply(
            query.on_failure(
                self.state, number, course.Failure(failure), self.context()
            )
        )


class Summary(NamedTuple):
    """What can still matter of a course."""

    snapshot: int
    shards: tuple[tuple[Any, ...], ...]
    under_way: tuple[int, ...]
    tokens: float
    now_seconds: float
    is_finished: bool
    sent_count: int


def build(
    document: bytes,
    on_reply: OnReply = query.on_reply,
    most_events: int = MOST_EVENTS,
) -> Protocol:
    """Build the model.

    :param document: A document of two shards with two replicas.
    :param on_reply: The decision under test.
    :param most_events: Longest course that is followed.
    :returns: The model.
    """
    search = search_by_replay(
        lambda way: _replay(document, way, on_reply),
        _events,
        _state_of,
        most_events,
    )
    return Protocol(
        name='query',
        candidate=False,
        fields=FIELDS,
        initial=search.initial,
        transitions=search.steps,
        invariants={
            'one_snapshot': lambda known: not known['mixed'],
            'true_coverage': lambda known: not known['false_coverage'],
            'finishes_once': lambda known: known['finishes'] <= 1,
        },
    )


def take_any_snapshot(
    state: course.QueryState,
    number: int,
    reply: Reply,
    context: course.Context,
) -> course.Actions:
    """Mutant: a reply's snapshot is not compared."""
    pinned = reply._replace(snapshot=state.plan.snapshot)
    return query.on_reply(state, number, pinned, context)


def take_late_replies(
    state: course.QueryState,
    number: int,
    reply: Reply,
    context: course.Context,
) -> course.Actions:
    """Mutant: a reply counts though its attempt was given up."""
    progress = state.progress[reply.shard]
    if progress.reply is None:
        progress.reply = reply
    return query.on_reply(state, number, reply, context)


def _replay(document: bytes, way: Way, on_reply: OnReply) -> Course:
    played = Course(document)
    for event in way:
        played.play(event, on_reply)
    return played


def _events(played: Course) -> Iterator[Event]:
    # Also those given up: their replies may still come in.
    for number in played.sent:
        yield 'reply', number
        yield 'other', number
        if number in played.state.in_flight:
            yield 'lost', number
            yield 'gone', number
    if played.now_seconds < DEADLINE_SECONDS:
        yield 'time', 0


def _state_of(played: Course, length: int) -> tuple[object, ...]:
    answer = merge(played.state, played.now_seconds)
    read = {record['text'] for record in answer.records}
    mixed = bool(read - {str(answer.snapshot)})
    found = {record['key'] for record in answer.records}
    false_coverage = found != set(answer.coverage.included)
    return (
        _summary(played),
        mixed,
        false_coverage,
        played.finish_count,
        length,
    )


def _summary(played: Course) -> Summary:
    state = played.state
    return Summary(
        state.plan.snapshot,
        tuple(
            (
                progress.reply is not None,
                tuple(sorted(progress.tried_targets)),
                progress.failure,
                progress.is_settled,
            )
            for progress in state.progress.values()
        ),
        tuple(sorted(state.in_flight)),
        round(played.service.budget.tokens, 2),
        round(played.now_seconds, 2),
        state.is_finished,
        len(played.sent),
    )


def _reply(shard: str, snapshot: int) -> Reply:
    record = Record(
        key=shard,
        schema_version=1,
        starts_at_seconds=0,
        free_count=1,
        text=str(snapshot),
    )
    return Reply('service', shard, 1, snapshot, [record], Report())
