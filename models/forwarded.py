"""One forwarded request under every order of events.

A request goes to one service or to two shards, with two or three targets each.
Targets run it or not, reply, shed it, or lose the connection; time passes, a
target drains, the caller disconnects, and newer routes name other services.
"""

from collections.abc import Callable, Iterator, Sequence
from typing import Any, Final, NamedTuple, TypeAlias

from minicheck import Protocol

from celeryturn.decisions.load import extra_load
from celeryturn.decisions.request import legs, sharded
from celeryturn.decisions.request.replies import AttemptOutcome, TargetReply
from celeryturn.decisions.request.waiting import is_waiting
from celeryturn.decisions.targets import directory
from celeryturn.decisions.targets.directory import Directory
from celeryturn.decisions.targets.replicas import (
    ExpectedLatency,
    Replica,
    TargetEntry,
)
from models.replay import Event, Trace, build_transition_system

Serving: TypeAlias = Callable[[Directory, str], Sequence[Replica]]
Spend: TypeAlias = Callable[[extra_load.ExtraLoadBucket, float], bool]
OnReply: TypeAlias = Callable[
    [legs.ShardedRequest, int, TargetReply, legs.View], legs.Actions
]

DEADLINE_SECONDS: Final = 1.0
TICK_SECONDS: Final = 0.4
EXPECTED_LATENCY: Final = ExpectedLatency(0.1, 0.2, 0.3, 0.5)
EXTRA_LOAD_TOKENS: Final = 1.0
MAX_EVENTS: Final = 4
NEWER_PREFIX: Final = 'newer-'


class State(NamedTuple):
    """State of the model.

    :param summary: Everything that can still affect the simulation.
    :param run_count: How often the request ran.
    :param has_false_not_run: Whether the request ran although its caller got
        the answer that it did not.
    :param unrouted_send_count: Sends to services that its routes do not name.
    :param draining_send_count: Sends to targets that were already draining.
    :param extra_send_count: Sends beyond the first to each service.
    :param finish_count: How often the request finished.
    :param event_count: Count of events so far.
    """

    summary: 'Summary'
    run_count: int
    has_false_not_run: bool
    unrouted_send_count: int
    draining_send_count: int
    extra_send_count: int
    finish_count: int
    event_count: int


class Summary(NamedTuple):
    """Everything that can still affect the simulation."""

    shards: tuple[tuple[Any, ...], ...]
    in_flight: tuple[int, ...]
    run_attempts: tuple[int, ...]
    shed_attempts: tuple[int, ...]
    draining_targets: tuple[str, ...]
    has_cancelled: bool
    has_newer_routes: bool
    tokens: float
    now_seconds: float
    is_finished: bool


class RouteShape(NamedTuple):
    """A route and the targets behind it.

    :param services: Services of the route.
    :param target_count: Count of targets of each service.
    :param is_idempotent: Whether a request may run more than once.
    """

    services: tuple[str, ...]
    target_count: int
    is_idempotent: bool


class Rules(NamedTuple):
    """The decisions under test.

    :param on_reply: Applies the outcome of an attempt.
    :param serving: Lists the targets of a service that can receive work.
    :param spend: Spends a token of the extra load, if one is available.
    :param rereads_routes: Whether newer routes change a request in flight.
    """

    on_reply: OnReply = sharded.on_reply
    serving: Serving = directory.serving_replicas
    spend: Spend = extra_load.spend
    rereads_routes: bool = False


AT_MOST_ONCE_ROUTE: Final = RouteShape(('booking',), 3, is_idempotent=False)
SCATTER_GATHER_ROUTE: Final = RouteShape(
    ('shard-0', 'shard-1'), 2, is_idempotent=True
)


class RequestSimulation:
    """A request that is simulated from its first decision."""

    def __init__(self, shape: RouteShape, rules: Rules) -> None:
        self.shape = shape
        self.rules = rules
        self.now_seconds = 0.0
        self.directory = Directory()
        self.budget = extra_load.ExtraLoadBucket(
            extra_load.Allowance(extra_load.ExtraLoadBounds(), 1),
            self.now_seconds,
        )
        self.budget.tokens = EXTRA_LOAD_TOKENS
        for service in shape.services:
            for name in (service, f'{NEWER_PREFIX}{service}'):
                self._add_targets(name)
        self.state = legs.ShardedRequest(_build_plan(shape))
        self.sent: dict[int, legs.Attempt] = {}
        self.run_attempts: set[int] = set()
        self.shed_attempts: set[int] = set()
        self.draining_targets: set[str] = set()
        self.has_cancelled = False
        self.has_newer_routes = False
        self.unrouted_send_count = 0
        self.draining_send_count = 0
        self.finish_count = 0
        self._record_actions(sharded.begin(self.state, self._build_view()))

    def apply_event(self, event: Event) -> None:
        """Apply an event and the decision that follows from it."""
        kind, number = event
        match kind:
            case 'time':
                self.now_seconds += TICK_SECONDS
                self._record_actions(
                    sharded.on_wake(self.state, self._build_view())
                )
            case 'disconnect':
                self._record_actions(sharded.abandon(self.state))
            case 'newer routes':
                self.has_newer_routes = True
            case 'drain':
                self._drain(_build_entries(self.shape)[number])
            case 'run':
                self.run_attempts.add(number)
            case _:
                self._apply_reply(AttemptOutcome(kind), number)

    def is_reported_not_run(self) -> bool:
        """Return whether the answer to the caller is that nothing ran."""
        may_have_run = self.has_cancelled or sharded.may_have_run(self.state)
        return self.state.is_finished and not may_have_run

    def _add_targets(self, service: str) -> None:
        for number in range(self.shape.target_count):
            entry = _build_entry(service, number)
            directory.apply_entry(self.directory, entry, 0)

    def _drain(self, entry: TargetEntry) -> None:
        drained = entry._replace(is_draining=True, sequence=2)
        directory.apply_entry(self.directory, drained, self.now_seconds)
        self.draining_targets.add(entry.target)

    def _apply_reply(self, outcome: AttemptOutcome, number: int) -> None:
        if outcome in {AttemptOutcome.SUCCEEDED, AttemptOutcome.FAILED}:
            self.run_attempts.add(number)
        if outcome is AttemptOutcome.SHED:
            self.shed_attempts.add(number)
        reply = TargetReply(outcome, signature=str(number))
        actions = self.rules.on_reply(
            self.state, number, reply, self._build_view()
        )
        self._record_actions(actions)

    def _record_actions(self, actions: legs.Actions) -> None:
        for action in actions:
            match action:
                case legs.Send(attempt):
                    self._record_send(attempt)
                case legs.Cancel():
                    self.has_cancelled = True
                case legs.Finish():
                    self.finish_count += 1

    def _record_send(self, attempt: legs.Attempt) -> None:
        entry = attempt.replica.entry
        self.sent[attempt.number] = attempt
        self.unrouted_send_count += entry.service not in self.shape.services
        self.draining_send_count += entry.target in self.draining_targets

    def _build_view(self) -> legs.View:
        return legs.View(
            now_seconds=self.now_seconds,
            serving=self._list_serving,
            expected_latency=EXPECTED_LATENCY,
            hedge_delay_seconds=EXPECTED_LATENCY.slow_seconds,
            zone='zone',
            random=lambda: 0.5,
            spend=lambda _, reserve: self.rules.spend(self.budget, reserve),
            is_extra_load_low=lambda _: False,
        )

    def _list_serving(self, service: str) -> Sequence[Replica]:
        if self.has_newer_routes and self.rules.rereads_routes:
            service = f'{NEWER_PREFIX}{service}'
        return self.rules.serving(self.directory, service)


def build(
    shape: RouteShape, rules: Rules | None = None, max_events: int = MAX_EVENTS
) -> Protocol:
    """Build the model.

    :param shape: The route and its targets.
    :param rules: The decisions under test; the product's by default.
    :param max_events: Maximum count of events in a trace.
    :returns: The model.
    """
    used_rules = rules or Rules()
    system = build_transition_system(
        lambda trace: _simulate(shape, used_rules, trace),
        _list_events,
        _extract_state,
        max_events,
    )
    max_runs = len(shape.services) * 2 if shape.is_idempotent else 1
    return Protocol(
        name='forwarded',
        candidate=False,
        fields=State._fields,
        initial=system.initial,
        transitions=system.list_transitions,
        invariants={
            'runs_within_limit': lambda state_fields: (
                state_fields['run_count'] <= max_runs
            ),
            'not_run_was_not_run': lambda state_fields: (
                not state_fields['has_false_not_run']
            ),
            'one_version': lambda state_fields: (
                not state_fields['unrouted_send_count']
            ),
            'nothing_new_to_draining': lambda state_fields: (
                not state_fields['draining_send_count']
            ),
            'within_extra_load': lambda state_fields: (
                state_fields['extra_send_count'] <= EXTRA_LOAD_TOKENS
            ),
            'finishes_once': lambda state_fields: (
                state_fields['finish_count'] <= 1
            ),
        },
    )


def treat_lost_as_not_run(
    request: legs.ShardedRequest,
    number: int,
    reply: TargetReply,
    view: legs.View,
) -> legs.Actions:
    """Mutant: a lost connection counts as a request that did not run."""
    if reply.attempt_outcome is AttemptOutcome.LOST:
        reply = reply._replace(attempt_outcome=AttemptOutcome.NOT_SENT)
    return sharded.on_reply(request, number, reply, view)


def serving_with_draining(
    known_targets: Directory, service: str
) -> Sequence[Replica]:
    """Mutant: draining targets receive work."""
    return list(known_targets.replicas.get(service, {}).values())


def spend_without_limit(
    budget: extra_load.ExtraLoadBucket, reserve: float
) -> bool:
    """Mutant: extra requests are not counted."""
    return True


def _build_plan(shape: RouteShape) -> legs.Plan:
    return legs.Plan(
        services=shape.services,
        min_success_count=1,
        is_idempotent=shape.is_idempotent,
        attempt_limit=2,
        started_seconds=0,
        due_seconds=EXPECTED_LATENCY.objective_seconds,
        deadline_seconds=DEADLINE_SECONDS,
    )


def _build_entries(shape: RouteShape) -> list[TargetEntry]:
    return [
        _build_entry(service, number)
        for service in shape.services
        for number in range(shape.target_count)
    ]


def _build_entry(service: str, number: int) -> TargetEntry:
    return TargetEntry(
        target=f'{service}-{number}',
        service=service,
        address='10.0.0.1',
        port=80,
        zone='zone',
        slot_count=4,
        is_draining=False,
        cold_seconds=0,
        born_ms=1,
        sequence=1,
    )


def _simulate(
    shape: RouteShape, rules: Rules, trace: Trace
) -> RequestSimulation:
    simulation = RequestSimulation(shape, rules)
    for event in trace:
        simulation.apply_event(event)
    return simulation


def _list_events(simulation: RequestSimulation) -> Iterator[Event]:
    for number in simulation.sent:
        yield from _list_target_events(simulation, number)
    for position, entry in enumerate(_build_entries(simulation.shape)):
        if entry.target not in simulation.draining_targets:
            yield 'drain', position
    if not simulation.state.is_finished:
        yield 'disconnect', 0
    if not simulation.has_newer_routes:
        yield 'newer routes', 0
    if simulation.now_seconds < DEADLINE_SECONDS:
        yield 'time', 0


def _list_target_events(
    simulation: RequestSimulation, number: int
) -> Iterator[Event]:
    # Abandoned attempts may still run.
    if (
        number not in simulation.run_attempts
        and number not in simulation.shed_attempts
    ):
        yield 'run', number
    if number not in simulation.state.in_flight:
        return
    yield AttemptOutcome.SUCCEEDED.value, number
    yield AttemptOutcome.FAILED.value, number
    yield AttemptOutcome.LOST.value, number
    if number not in simulation.run_attempts:
        yield AttemptOutcome.SHED.value, number


def _extract_state(
    simulation: RequestSimulation, event_count: int
) -> tuple[object, ...]:
    first_count = len(
        {attempt.leg_position for attempt in simulation.sent.values()}
    )
    return tuple(
        State(
            _summarize(simulation),
            len(simulation.run_attempts),
            simulation.is_reported_not_run() and bool(simulation.run_attempts),
            simulation.unrouted_send_count,
            simulation.draining_send_count,
            len(simulation.sent) - first_count,
            simulation.finish_count,
            event_count,
        )
    )


def _summarize(simulation: RequestSimulation) -> Summary:
    state = simulation.state
    return Summary(
        tuple(
            (
                leg.last_outcome,
                tuple(sorted(leg.tried_targets)),
                tuple(sorted(leg.shed_by)),
                leg.send_count,
                is_waiting(leg),
                leg.possible_run_count,
                leg.is_settled,
            )
            for leg in state.legs
        ),
        tuple(sorted(state.in_flight)),
        tuple(sorted(simulation.run_attempts)),
        tuple(sorted(simulation.shed_attempts)),
        tuple(sorted(simulation.draining_targets)),
        simulation.has_cancelled,
        simulation.has_newer_routes,
        round(simulation.budget.tokens, 2),
        round(simulation.now_seconds, 2),
        state.is_finished,
    )
