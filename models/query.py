"""One query under every order of events: one snapshot, accurate coverage.

The query covers two shards with two replicas each.  Replies from the pinned
snapshot and from another one, lost replies, refusals because the snapshot is
gone, late replies and the passing of time occur in every order.
"""

from collections.abc import Callable, Iterator
from typing import Any, Final, NamedTuple, TypeAlias

from minicheck import Protocol

from celeryturn.decisions.configuration import service_state
from celeryturn.decisions.configuration.document import parse_document
from celeryturn.decisions.request import course, query
from celeryturn.decisions.request.merging import merge
from celeryturn.decisions.request.planning import (
    QueryKind,
    QueryRequest,
    SnapshotChoice,
    plan_query,
)
from celeryturn.decisions.targets.messages import Record, Reply
from celeryturn.decisions.targets.views import Report, observe_report
from models.replay import Event, Trace, build_transition_system

OnReply: TypeAlias = Callable[
    [course.QueryState, int, Reply, course.Context], course.Actions
]

PINNED_SNAPSHOT: Final = 100
OTHER_SNAPSHOT: Final = 110
DEADLINE_SECONDS: Final = 1.0
TICK_SECONDS: Final = 0.4
MAX_EVENTS: Final = 5
FIELDS: Final = (
    'summary',
    'has_mixed_snapshots',
    'has_false_coverage',
    'finish_count',
    'event_count',
)


class QuerySimulation:
    """A query that is simulated from its first decision."""

    def __init__(self, document: bytes) -> None:
        published = parse_document(document)
        self.now_seconds = 0.0
        self.service = service_state.ServiceState(published, 0)
        service_state.apply_document(self.service, published, 1, 0)
        request = QueryRequest(QueryKind.SEARCH, 'service', '', '', (), 100, 1)
        choice = SnapshotChoice(PINNED_SNAPSHOT, is_guess=False)
        plan = plan_query(self.service.document, request, choice, 0)
        self.state = course.QueryState(plan)
        self.sent: dict[int, course.Attempt] = {}
        self.finish_count = 0
        self.record_actions(query.begin(self.state, self.build_context()))

    def build_context(self) -> course.Context:
        """Build the context of a decision."""
        return course.Context(
            views=self.service.views,
            zone='zone',
            budget=self.service.budget,
            window=self.service.window,
            has_slot_shortage=False,
            now_seconds=self.now_seconds,
            random=lambda: 0.5,
        )

    def record_actions(self, actions: course.Actions) -> None:
        """Record the actions of a decision."""
        for action in actions:
            if isinstance(action, course.Send):
                self.sent[action.attempt.number] = action.attempt
            elif isinstance(action, course.Finish):
                self.finish_count += 1

    def apply_event(self, event: Event, on_reply: OnReply) -> None:
        """Apply an event and the decision that follows from it."""
        kind, number = event
        if kind == 'time':
            self.now_seconds += TICK_SECONDS
            self.record_actions(query.on_wake(self.state, self.build_context()))
            return
        attempt = self.sent[number]
        if kind in {'reply', 'other'}:
            snapshot = PINNED_SNAPSHOT if kind == 'reply' else OTHER_SNAPSHOT
            reply = _build_reply(attempt.shard, snapshot)
            self.record_actions(
                on_reply(self.state, number, reply, self.build_context())
            )
            return
        if kind == 'gone':
            report = Report(oldest_snapshot=105, newest_snapshot=OTHER_SNAPSHOT)
            view = self.service.views[attempt.target]
            observe_report(view, report, self.now_seconds)
        failure = 'snapshot_gone' if kind == 'gone' else 'lost'
        self.record_actions(
            query.on_failure(
                self.state,
                number,
                course.Failure(failure),
                self.build_context(),
            )
        )


class Summary(NamedTuple):
    """Everything that can still affect the simulation."""

    snapshot: int
    shards: tuple[tuple[Any, ...], ...]
    in_flight: tuple[int, ...]
    tokens: float
    now_seconds: float
    is_finished: bool
    sent_count: int


def build(
    document: bytes,
    on_reply: OnReply = query.on_reply,
    max_events: int = MAX_EVENTS,
) -> Protocol:
    """Build the model.

    :param document: A document of two shards with two replicas.
    :param on_reply: The decision under test.
    :param max_events: Maximum count of events in a trace.
    :returns: The model.
    """
    system = build_transition_system(
        lambda trace: _simulate(document, trace, on_reply),
        _list_events,
        _extract_state,
        max_events,
    )
    return Protocol(
        name='query',
        candidate=False,
        fields=FIELDS,
        initial=system.initial,
        transitions=system.list_transitions,
        invariants={
            'one_snapshot': lambda state_fields: (
                not state_fields['has_mixed_snapshots']
            ),
            'true_coverage': lambda state_fields: (
                not state_fields['has_false_coverage']
            ),
            'finishes_once': lambda state_fields: (
                state_fields['finish_count'] <= 1
            ),
        },
    )


def accept_any_snapshot(
    state: course.QueryState,
    number: int,
    reply: Reply,
    context: course.Context,
) -> course.Actions:
    """Mutant: the snapshot of a reply is not compared."""
    relabelled_reply = reply._replace(snapshot=state.plan.snapshot)
    return query.on_reply(state, number, relabelled_reply, context)


def accept_late_replies(
    state: course.QueryState,
    number: int,
    reply: Reply,
    context: course.Context,
) -> course.Actions:
    """Mutant: a reply counts although its attempt was abandoned."""
    progress = state.progress[reply.shard]
    if progress.reply is None:
        progress.reply = reply
    return query.on_reply(state, number, reply, context)


def _simulate(
    document: bytes, trace: Trace, on_reply: OnReply
) -> QuerySimulation:
    simulation = QuerySimulation(document)
    for event in trace:
        simulation.apply_event(event, on_reply)
    return simulation


def _list_events(simulation: QuerySimulation) -> Iterator[Event]:
    # Includes abandoned attempts, whose replies may still arrive.
    for number in simulation.sent:
        yield 'reply', number
        yield 'other', number
        if number in simulation.state.in_flight:
            yield 'lost', number
            yield 'gone', number
    if simulation.now_seconds < DEADLINE_SECONDS:
        yield 'time', 0


def _extract_state(
    simulation: QuerySimulation, event_count: int
) -> tuple[object, ...]:
    answer = merge(simulation.state, simulation.now_seconds)
    read_snapshots = {record['text'] for record in answer.records}
    has_mixed_snapshots = bool(read_snapshots - {str(answer.snapshot)})
    record_shards = {record['key'] for record in answer.records}
    has_false_coverage = record_shards != set(answer.coverage.included)
    return (
        _summarize(simulation),
        has_mixed_snapshots,
        has_false_coverage,
        simulation.finish_count,
        event_count,
    )


def _summarize(simulation: QuerySimulation) -> Summary:
    state = simulation.state
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
        round(simulation.service.budget.tokens, 2),
        round(simulation.now_seconds, 2),
        state.is_finished,
        len(simulation.sent),
    )


def _build_reply(shard: str, snapshot: int) -> Reply:
    record = Record(
        key=shard,
        schema_version=1,
        starts_at_seconds=0,
        free_count=1,
        text=str(snapshot),
    )
    return Reply('service', shard, 1, snapshot, [record], Report())
