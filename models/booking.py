"""Bookings while a home moves: at most once, and one home at a time.

Two instances, two homes, times as ages so that the state stays small.  Either
instance may be paused between any two of its steps, may not hear of a step,
and may lose the reply.
"""

from collections.abc import Callable, Iterator
from typing import Final, NamedTuple, TypeAlias

from minicheck import Protocol

from celeryturn.decisions.booking import (
    KnownState,
    BookingPlan,
    SendProgress,
    write_refusal_kind,
    failure_kind,
)
from celeryturn.decisions.document import Home, ServiceDocument, Shard
from celeryturn.decisions.document import Index as IndexVersion
from celeryturn.errors import ANSWERS, Kind, Run
from celeryturn.units import HASH_SLOT_COUNT

Refuse: TypeAlias = Callable[[BookingPlan, KnownState, float], Kind | None]

DWELL_SECONDS: Final = 4
BOOKING_SECONDS: Final = 1
OLDEST_SECONDS: Final = DWELL_SECONDS + 1
STEPS: Final = (Home('a', 1), Home('a', 1, 'held'), Home('b', 2))
FIELDS: Final = ('step', 'step_age', 'first', 'second', 'b_ran', 'faults')


class Instance(NamedTuple):
    """One instance with one booking.

    :param known_step: The step it believes in.
    :param age: Seconds since that was confirmed.
    :param phase: ``new``, ``planned``, ``written`` or how it ended.
    :param target: Home at which it is planned or written.
    :param left: Seconds left of its deadline.
    :param sent_count: How often it was written.
    :param ran_count: How often it was run.
    """

    known_step: int = 0
    age: int = 0
    phase: str = 'new'
    target: str = ''
    left: int = 0
    sent_count: int = 0
    ran_count: int = 0


class State(NamedTuple):
    """State of the model.

    :param step: The step that operators published last.
    :param step_age: Seconds since.
    :param first: One instance.
    :param second: The other.
    :param b_ran: Whether the new home has run any booking.
    :param faults: What went wrong.
    """

    step: int
    step_age: int
    first: Instance
    second: Instance
    b_ran: bool
    faults: tuple[str, ...]


Step: TypeAlias = tuple[str, State]


class Rules(NamedTuple):
    """The decisions under test.

    :param refuse: Asked right before the write.
    :param asks_again: Whether it is asked again right before the write.
    :param resends: Whether silence is answered by another send.
    :param silence: Names what silence means.
    """

    refuse: Refuse = write_refusal_kind
    asks_again: bool = True
    resends: bool = False
    silence: Callable[[SendProgress], Kind] = failure_kind


def build(rules: Rules | None = None) -> Protocol:
    """Build the model.

    :param rules: The decisions under test; the product's by default.
    :returns: The model.
    """
    used = rules or Rules()

    def steps(raw: tuple[object, ...]) -> list[tuple[str, tuple[object, ...]]]:
        state = State(*raw)  # type: ignore[arg-type]
        found = list(_world_steps(state))
        for name in ('first', 'second'):
            found.extend(_instance_steps(state, name, used))
        return [(label, tuple(after)) for label, after in found]

    return Protocol(
        name='booking',
        candidate=False,
        fields=FIELDS,
        initial=tuple(State(0, 0, Instance(), Instance(), False, ())),
        transitions=steps,
        invariants={
            'one_home_at_a_time': lambda known: 'late' not in known['faults'],
            'sent_once': _sent_once,
            'not_run_was_not_run': _not_run_was_not_run,
        },
    )


def refuse_without_freshness(
    plan: BookingPlan, belief: KnownState, now_seconds: float
) -> Kind | None:
    """Mutant: the age of the belief is not asked for."""
    fresh = belief._replace(confirmed_seconds=now_seconds)
    return write_refusal_kind(plan, fresh, now_seconds)


def refuse_after_whole_dwell(
    plan: BookingPlan, belief: KnownState, now_seconds: float
) -> Kind | None:
    """Mutant: a belief counts as fresh for the whole dwell."""
    document = belief.document
    longer_seconds = DWELL_SECONDS + document.booking_deadline_seconds + 1
    longer = document._replace(dwell_seconds=longer_seconds)
    return write_refusal_kind(
        plan, belief._replace(document=longer), now_seconds
    )


def silence_is_not_run(sending: SendProgress) -> Kind:
    """Mutant: silence after the write is taken for not run."""
    return failure_kind(sending._replace(is_written=False))


def _sent_once(known: dict[str, Instance]) -> bool:
    instances = (known['first'], known['second'])
    return all(
        instance.sent_count <= 1 and instance.ran_count <= 1
        for instance in instances
    )


def _not_run_was_not_run(known: dict[str, Instance]) -> bool:
    instances = (known['first'], known['second'])
    return not any(
        instance.phase == Run.NOT_RUN and instance.ran_count
        for instance in instances
    )


def _world_steps(state: State) -> Iterator[Step]:
    if state.step == 0:
        yield 'hold', state._replace(step=1, step_age=0)
    if state.step == 1 and state.step_age >= DWELL_SECONDS:
        yield 'move', state._replace(step=2, step_age=0)
    aged = state._replace(
        step_age=min(DWELL_SECONDS, state.step_age + 1),
        first=_age(state.first),
        second=_age(state.second),
    )
    yield 'a second passes', aged


def _age(instance: Instance) -> Instance:
    return instance._replace(
        age=min(OLDEST_SECONDS, instance.age + 1),
        left=max(-1, instance.left - 1),
    )


def _instance_steps(state: State, name: str, rules: Rules) -> Iterator[Step]:
    instance: Instance = getattr(state, name)
    heard = instance._replace(known_step=state.step, age=0)
    yield f'{name} confirms', _set(state, name, heard)
    if instance.phase == 'new':
        yield f'{name} plans', _set(state, name, _plan(instance, rules))
    elif instance.phase == 'planned':
        yield f'{name} writes', _set(state, name, _write(instance, rules))
    elif instance.sent_count:
        yield from _sent_steps(state, name, rules)


def _plan(instance: Instance, rules: Rules) -> Instance:
    home = STEPS[instance.known_step]
    planned = instance._replace(
        phase='planned', target=home.target, left=BOOKING_SECONDS
    )
    refused = rules.refuse(_plan_of(planned), _belief_of(planned), 0)
    return _refused(planned, refused) if refused else planned


def _write(instance: Instance, rules: Rules) -> Instance:
    refused = None
    if rules.asks_again:
        plan = _plan_of(instance)
        refused = rules.refuse(plan, _belief_of(instance), 0)
    if refused:
        return _refused(instance, refused)
    # What is left is told to the target as seconds from its arrival.  Without
    # another look at the clock it would be what was left at admission.
    is_known = rules.asks_again and instance.left > 0
    left = instance.left if is_known else BOOKING_SECONDS
    return instance._replace(
        phase='written', left=left, sent_count=instance.sent_count + 1
    )


def _refused(instance: Instance, kind: Kind) -> Instance:
    return instance._replace(phase=str(ANSWERS[kind].run), target='', left=0)


def _sent_steps(state: State, name: str, rules: Rules) -> Iterator[Step]:
    instance: Instance = getattr(state, name)
    # The target ends what it takes by the deadline, at any moment until then,
    # whether or not the instance still waits.
    if instance.left >= 0 and instance.ran_count < instance.sent_count:
        yield f'{name} is run', _run(state, name)
    if instance.phase == 'written':
        kind = rules.silence(
            SendProgress(is_written=True, is_reported_not_run=False)
        )
        silent = instance._replace(phase=str(ANSWERS[kind].run))
        yield f'{name} hears nothing', _set(state, name, silent)
    if rules.resends and instance.sent_count < 2:
        again = instance._replace(sent_count=2)
        yield f'{name} sends again', _set(state, name, again)


def _run(state: State, name: str) -> State:
    instance: Instance = getattr(state, name)
    is_late = state.b_ran and instance.target == 'a'
    faults = ('late',) if is_late else state.faults
    ran = instance._replace(ran_count=instance.ran_count + 1)
    after = _set(state, name, ran)
    b_ran = state.b_ran or instance.target == 'b'
    return after._replace(b_ran=b_ran, faults=faults)


def _set(state: State, name: str, instance: Instance) -> State:
    if name == 'first':
        return state._replace(first=instance)
    return state._replace(second=instance)


def _plan_of(instance: Instance) -> BookingPlan:
    epoch = 1 if instance.target == 'a' else 2
    return BookingPlan(
        'id', 'service', 'key', 's', instance.target, epoch, instance.left
    )


def _belief_of(instance: Instance) -> KnownState:
    document = _DOCUMENTS[instance.known_step]
    return KnownState(document, -instance.age, is_target_leaving=False)


def _document(home: Home) -> ServiceDocument:
    shards = {'s': Shard(0, HASH_SLOT_COUNT - 1, ('a', 'b'))}
    return ServiceDocument(
        'service',
        1,
        1,
        indexes=(IndexVersion(1, 1, 1, shards),),
        targets={},
        homes={'s': home},
        booking_deadline_seconds=BOOKING_SECONDS,
        dwell_seconds=DWELL_SECONDS,
    )


_DOCUMENTS: Final = tuple(_document(home) for home in STEPS)
