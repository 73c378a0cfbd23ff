"""One forwarded request under every order of events.

A request goes to one service, or to two shards, of two or three targets each.
Targets run it or not, reply, shed, or lose the connection; time passes, a
target drains, the caller goes, and newer routes name other services.
"""

from collections.abc import Callable, Iterator, Sequence
from typing import Any, Final, NamedTuple, TypeAlias

from minicheck import Protocol

from celeryturn.decisions import directory, extra_load, legs, sharded
from celeryturn.decisions.directory import Directory
from celeryturn.decisions.replicas import ExpectedLatency, Replica, TargetEntry
from celeryturn.decisions.replies import AttemptOutcome, TargetReply
from models.replay import Event, Way, search_by_replay

Serving: TypeAlias = Callable[[Directory, str], Sequence[Replica]]
Spend: TypeAlias = Callable[[extra_load.ExtraLoadBucket, float], bool]
OnReply: TypeAlias = Callable[
    [legs.ShardedRequest, int, TargetReply, legs.View], legs.Actions
]

DEADLINE_SECONDS: Final = 1.0
TICK_SECONDS: Final = 0.4
USUAL: Final = ExpectedLatency(0.1, 0.2, 0.3, 0.5)
TOKENS: Final = 1.0
MOST_EVENTS: Final = 4
NEWER: Final = 'newer-'


class Known(NamedTuple):
    """A state of the model.

    :param summary: What can still matter.
    :param run_count: How often the request ran.
    :param denied_run: Whether its caller was told that it did not.
    :param strange_count: Sends to services that its routes do not name.
    :param late_send_count: Sends to targets that drained before.
    :param extra_count: Sends beyond the first of each service.
    :param finish_count: How often it ended.
    :param length: Events so far.
    """

    summary: 'Summary'
    run_count: int
    denied_run: bool
    strange_count: int
    late_send_count: int
    extra_count: int
    finish_count: int
    length: int


class Summary(NamedTuple):
    """What can still matter of a course."""

    shards: tuple[tuple[Any, ...], ...]
    under_way: tuple[int, ...]
    ran: tuple[int, ...]
    turned_away: tuple[int, ...]
    draining: tuple[str, ...]
    has_cancelled: bool
    has_newer_routes: bool
    tokens: float
    now_seconds: float
    is_finished: bool


class Shape(NamedTuple):
    """What is asked of whom.

    :param services: Services of the route.
    :param target_count: Targets of each.
    :param is_idempotent: Whether it may run more than once.
    """

    services: tuple[str, ...]
    target_count: int
    is_idempotent: bool


class Rules(NamedTuple):
    """The decisions under test.

    :param on_reply: Takes the outcome of an attempt in.
    :param serving: Lists the targets of a service that may get work.
    :param spend: Takes from the extra load.
    :param rereads_routes: Whether newer routes change a request under way.
    """

    on_reply: OnReply = sharded.on_reply
    serving: Serving = directory.serving_replicas
    spend: Spend = extra_load.spend
    rereads_routes: bool = False


ONCE: Final = Shape(('booking',), 3, is_idempotent=False)
GATHER: Final = Shape(('shard-0', 'shard-1'), 2, is_idempotent=True)


class Course:
    """A request that is played from its beginning."""

    def __init__(self, shape: Shape, rules: Rules) -> None:
        self.shape = shape
        self.rules = rules
        self.now_seconds = 0.0
        self.directory = Directory()
        self.budget = extra_load.ExtraLoadBucket(
            extra_load.Allowance(extra_load.ExtraLoadBounds(), 1)
        )
        self.budget.tokens = TOKENS
        for service in shape.services:
            for name in (service, f'{NEWER}{service}'):
                self._list_targets(name)
        self.state = legs.ShardedRequest(_plan(shape))
        self.sent: dict[int, legs.Attempt] = {}
        self.ran: set[int] = set()
        self.turned_away: set[int] = set()
        self.draining: set[str] = set()
        self.has_cancelled = False
        self.has_newer_routes = False
        self.strange_count = 0
        self.late_send_count = 0
        self.finish_count = 0
        self._apply(sharded.begin(self.state, self._view()))

    def play(self, event: Event) -> None:
        """Let an event happen."""
        kind, number = event
        match kind:
            case 'time':
                self.now_seconds += TICK_SECONDS
                self._apply(sharded.on_wake(self.state, self._view()))
            case 'leave':
                self._apply(sharded.abandon(self.state))
            case 'newer routes':
                self.has_newer_routes = True
            case 'drain':
                self._drain(_targets(self.shape)[number])
            case 'run':
                self.ran.add(number)
            case _:
                self._reply(AttemptOutcome(kind), number)

    def says_not_run(self) -> bool:
        """Tell whether the caller is told that nothing ran."""
        may_have_run = self.has_cancelled or sharded.may_have_run(self.state)
        return self.state.is_finished and not may_have_run

    def _list_targets(self, service: str) -> None:
        for number in range(self.shape.target_count):
            entry = _entry(service, number)
            directory.apply_entry(self.directory, entry, 0)

    def _drain(self, entry: TargetEntry) -> None:
        drained = entry._replace(is_draining=True, sequence=2)
        directory.apply_entry(self.directory, drained, self.now_seconds)
        self.draining.add(entry.target)

    def _reply(self, verdict: AttemptOutcome, number: int) -> None:
        if verdict in {AttemptOutcome.SUCCEEDED, AttemptOutcome.FAILED}:
            self.ran.add(number)
        if verdict is AttemptOutcome.SHED:
            self.turned_away.add(number)
        reply = TargetReply(verdict, signature=str(number))
        actions = self.rules.on_reply(self.state, number, reply, self._view())
        self._apply(actions)

    def _apply(self, actions: legs.Actions) -> None:
        for action in actions:
            match action:
                case legs.Send(attempt):
                    self._note_send(attempt)
                case legs.Cancel():
                    self.has_cancelled = True
                case legs.Finish():
                    self.finish_count += 1

    def _note_send(self, attempt: legs.Attempt) -> None:
        entry = attempt.replica.entry
        self.sent[attempt.number] = attempt
        self.strange_count += entry.service not in self.shape.services
        self.late_send_count += entry.target in self.draining

    def _view(self) -> legs.View:
        return legs.View(
            now_seconds=self.now_seconds,
            serving=self._serving,
            expected_latency=USUAL,
            hedge_after_seconds=USUAL.slow_seconds,
            zone='zone',
            random=lambda: 0.5,
            spend=lambda _, share: self.rules.spend(self.budget, share),
            is_extra_load_low=lambda _: False,
        )

    def _serving(self, service: str) -> Sequence[Replica]:
        if self.has_newer_routes and self.rules.rereads_routes:
            service = f'{NEWER}{service}'
        return self.rules.serving(self.directory, service)


def build(
    shape: Shape, rules: Rules | None = None, most_events: int = MOST_EVENTS
) -> Protocol:
    """Build the model.

    :param shape: What is asked of whom.
    :param rules: The decisions under test.
    :param most_events: Longest course that is followed.
    :returns: The model.
    """
    decisions = rules or Rules()
    search = search_by_replay(
        lambda way: _replay(shape, decisions, way),
        _events,
        _state_of,
        most_events,
    )
    most_runs = len(shape.services) * 2 if shape.is_idempotent else 1
    return Protocol(
        name='forwarded',
        candidate=False,
        fields=Known._fields,
        initial=search.initial,
        transitions=search.steps,
        invariants={
            'runs_within_limit': lambda known: known['run_count'] <= most_runs,
            'not_run_was_not_run': lambda known: not known['denied_run'],
            'one_version': lambda known: not known['strange_count'],
            'nothing_new_to_draining': lambda known: (
                not known['late_send_count']
            ),
            'within_extra_load': lambda known: known['extra_count'] <= TOKENS,
            'finishes_once': lambda known: known['finish_count'] <= 1,
        },
    )


def lost_is_not_run(
    request: legs.ShardedRequest,
    number: int,
    reply: TargetReply,
    view: legs.View,
) -> legs.Actions:
    """Mutant: a lost connection is taken for a request that did not run."""
    if reply.attempt_outcome is AttemptOutcome.LOST:
        reply = reply._replace(attempt_outcome=AttemptOutcome.NOT_SENT)
    return sharded.on_reply(request, number, reply, view)


def anyone_serving(known: Directory, service: str) -> Sequence[Replica]:
    """Mutant: draining targets get work."""
    return list(known.replicas.get(service, {}).values())


def spend_freely(budget: extra_load.ExtraLoadBucket, reserve: float) -> bool:
    """Mutant: extra requests are not counted."""
    return True


def _plan(shape: Shape) -> legs.Plan:
    return legs.Plan(
        services=shape.services,
        min_success_count=1,
        is_idempotent=shape.is_idempotent,
        attempt_limit=2,
        started_seconds=0,
        due_seconds=USUAL.objective_seconds,
        deadline_seconds=DEADLINE_SECONDS,
    )


def _targets(shape: Shape) -> list[TargetEntry]:
    return [
        _entry(service, number)
        for service in shape.services
        for number in range(shape.target_count)
    ]


def _entry(service: str, number: int) -> TargetEntry:
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


def _replay(shape: Shape, rules: Rules, way: Way) -> Course:
    played = Course(shape, rules)
    for event in way:
        played.play(event)
    return played


def _events(played: Course) -> Iterator[Event]:
    for number in played.sent:
        yield from _target_events(played, number)
    for position, entry in enumerate(_targets(played.shape)):
        if entry.target not in played.draining:
            yield 'drain', position
    if not played.state.is_finished:
        yield 'leave', 0
    if not played.has_newer_routes:
        yield 'newer routes', 0
    if played.now_seconds < DEADLINE_SECONDS:
        yield 'time', 0


def _target_events(played: Course, number: int) -> Iterator[Event]:
    # Also what was given up may still run.
    if number not in played.ran and number not in played.turned_away:
        yield 'run', number
    if number not in played.state.in_flight:
        return
    yield AttemptOutcome.SUCCEEDED.value, number
    yield AttemptOutcome.FAILED.value, number
    yield AttemptOutcome.LOST.value, number
    if number not in played.ran:
        yield AttemptOutcome.SHED.value, number


def _state_of(played: Course, length: int) -> tuple[object, ...]:
    first_count = len(
        {attempt.leg_position for attempt in played.sent.values()}
    )
    return tuple(
        Known(
            _summary(played),
            len(played.ran),
            played.says_not_run() and bool(played.ran),
            played.strange_count,
            played.late_send_count,
            len(played.sent) - first_count,
            played.finish_count,
            length,
        )
    )


def _summary(played: Course) -> Summary:
    state = played.state
    return Summary(
        tuple(
            (
                leg.last_outcome,
                tuple(sorted(leg.tried_targets)),
                leg.possible_run_count,
                leg.is_settled,
            )
            for leg in state.legs
        ),
        tuple(sorted(state.in_flight)),
        tuple(sorted(played.ran)),
        tuple(sorted(played.turned_away)),
        tuple(sorted(played.draining)),
        played.has_cancelled,
        played.has_newer_routes,
        round(played.budget.tokens, 2),
        round(played.now_seconds, 2),
        state.is_finished,
    )
