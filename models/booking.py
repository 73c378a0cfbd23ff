"""Bookings while a home moves: at-most-once, and one home at a time.

There are two instances and two homes.  Times are stored as ages so that the
state space stays small.  Either instance may be paused between any two of its
transitions, may miss a step of the home, and may lose the reply.
"""

from collections.abc import Callable, Iterator
from typing import Final, NamedTuple, TypeAlias

from minicheck import Protocol

from celeryturn.decisions.bookings.booking import (
    BookingPlan,
    KnownState,
    SendProgress,
    failure_kind,
    write_refusal_kind,
)
from celeryturn.decisions.configuration.document import (
    Home,
    ServiceDocument,
    Shard,
)
from celeryturn.decisions.configuration.document import Index as IndexVersion
from celeryturn.errors import ANSWERS, Kind, Run
from celeryturn.units import HASH_SLOT_COUNT

RefusalCheck: TypeAlias = Callable[
    [BookingPlan, KnownState, float], Kind | None
]

DWELL_SECONDS: Final = 4
BOOKING_SECONDS: Final = 1
MAX_AGE_SECONDS: Final = DWELL_SECONDS + 1
HOME_STEPS: Final = (Home('a', 1), Home('a', 1, 'held'), Home('b', 2))
FIELDS: Final = (
    'step',
    'step_age_seconds',
    'first',
    'second',
    'has_new_home_run',
    'faults',
)


class Instance(NamedTuple):
    """One instance with one booking.

    :param known_step: Step of the home that the instance knows.
    :param age_seconds: Seconds since that step was confirmed.
    :param phase: ``new``, ``planned``, ``written``, or whether the booking
        ran (a value of :class:`Run`) once it has ended.
    :param target: Home for which the booking is planned or to which it is
        written.
    :param remaining_seconds: Seconds until the deadline of the booking.
    :param sent_count: How often the booking was written.
    :param ran_count: How often the booking was run.
    """

    known_step: int = 0
    age_seconds: int = 0
    phase: str = 'new'
    target: str = ''
    remaining_seconds: int = 0
    sent_count: int = 0
    ran_count: int = 0


class State(NamedTuple):
    """State of the model.

    :param step: Step of the home that operators published last.
    :param step_age_seconds: Seconds since that step was published.
    :param first: The first instance.
    :param second: The second instance.
    :param has_new_home_run: Whether the new home has run a booking.
    :param faults: ``late`` if the old home ran a booking after the new home
        had run one.
    """

    step: int
    step_age_seconds: int
    first: Instance
    second: Instance
    has_new_home_run: bool
    faults: tuple[str, ...]


Transition: TypeAlias = tuple[str, State]


class Rules(NamedTuple):
    """The decisions under test.

    :param refusal_kind: Returns why a booking must be refused, if so.
    :param rechecks_before_write: Whether the booking is checked again right
        before the write.
    :param resends_without_response: Whether the booking is sent again if
        there is no response.
    :param no_response_kind: Returns the kind of failure if there is no
        response.
    """

    refusal_kind: RefusalCheck = write_refusal_kind
    rechecks_before_write: bool = True
    resends_without_response: bool = False
    no_response_kind: Callable[[SendProgress], Kind] = failure_kind


def build(rules: Rules | None = None) -> Protocol:
    """Build the model.

    :param rules: The decisions under test; the product's by default.
    :returns: The model.
    """
    used_rules = rules or Rules()

    def list_transitions(
        raw: tuple[object, ...],
    ) -> list[tuple[str, tuple[object, ...]]]:
        state = State(*raw)  # type: ignore[arg-type]
        found = list(_environment_transitions(state))
        for name in ('first', 'second'):
            found.extend(_instance_transitions(state, name, used_rules))
        return [(label, tuple(after)) for label, after in found]

    return Protocol(
        name='booking',
        candidate=False,
        fields=FIELDS,
        initial=tuple(State(0, 0, Instance(), Instance(), False, ())),
        transitions=list_transitions,
        invariants={
            'one_home_at_a_time': lambda state_fields: (
                'late' not in state_fields['faults']
            ),
            'sent_once': _sent_once,
            'not_run_was_not_run': _not_run_was_not_run,
        },
    )


def refusal_kind_without_freshness(
    plan: BookingPlan, known_state: KnownState, now_seconds: float
) -> Kind | None:
    """Mutant: the age of the known state is not checked."""
    confirmed_now = known_state._replace(confirmed_seconds=now_seconds)
    return write_refusal_kind(plan, confirmed_now, now_seconds)


def refusal_kind_after_whole_dwell(
    plan: BookingPlan, known_state: KnownState, now_seconds: float
) -> Kind | None:
    """Mutant: a known state counts as fresh for the whole dwell."""
    document = known_state.document
    longer_seconds = DWELL_SECONDS + document.booking_deadline_seconds + 1
    longer_dwell = document._replace(dwell_seconds=longer_seconds)
    return write_refusal_kind(
        plan, known_state._replace(document=longer_dwell), now_seconds
    )


def treat_no_response_as_not_run(progress: SendProgress) -> Kind:
    """Mutant: no response after the write counts as not run."""
    return failure_kind(progress._replace(is_written=False))


def _sent_once(state_fields: dict[str, Instance]) -> bool:
    instances = (state_fields['first'], state_fields['second'])
    return all(
        instance.sent_count <= 1 and instance.ran_count <= 1
        for instance in instances
    )


def _not_run_was_not_run(state_fields: dict[str, Instance]) -> bool:
    instances = (state_fields['first'], state_fields['second'])
    return not any(
        instance.phase == Run.NOT_RUN and instance.ran_count
        for instance in instances
    )


def _environment_transitions(state: State) -> Iterator[Transition]:
    if state.step == 0:
        yield 'hold', state._replace(step=1, step_age_seconds=0)
    if state.step == 1 and state.step_age_seconds >= DWELL_SECONDS:
        yield 'move', state._replace(step=2, step_age_seconds=0)
    next_state = state._replace(
        step_age_seconds=min(DWELL_SECONDS, state.step_age_seconds + 1),
        first=_advance_time(state.first),
        second=_advance_time(state.second),
    )
    yield 'a second passes', next_state


def _advance_time(instance: Instance) -> Instance:
    return instance._replace(
        age_seconds=min(MAX_AGE_SECONDS, instance.age_seconds + 1),
        remaining_seconds=max(-1, instance.remaining_seconds - 1),
    )


def _instance_transitions(
    state: State, name: str, rules: Rules
) -> Iterator[Transition]:
    instance: Instance = getattr(state, name)
    confirmed = instance._replace(known_step=state.step, age_seconds=0)
    yield f'{name} confirms', _replace_instance(state, name, confirmed)
    if instance.phase == 'new':
        yield (
            f'{name} plans',
            _replace_instance(state, name, _plan(instance, rules)),
        )
    elif instance.phase == 'planned':
        yield (
            f'{name} writes',
            _replace_instance(state, name, _write(instance, rules)),
        )
    elif instance.sent_count:
        yield from _sent_transitions(state, name, rules)


def _plan(instance: Instance, rules: Rules) -> Instance:
    home = HOME_STEPS[instance.known_step]
    planned = instance._replace(
        phase='planned', target=home.target, remaining_seconds=BOOKING_SECONDS
    )
    kind = rules.refusal_kind(
        _build_plan(planned), _build_known_state(planned), 0
    )
    return _refused(planned, kind) if kind else planned


def _write(instance: Instance, rules: Rules) -> Instance:
    kind = None
    if rules.rechecks_before_write:
        plan = _build_plan(instance)
        kind = rules.refusal_kind(plan, _build_known_state(instance), 0)
    if kind:
        return _refused(instance, kind)
    # The target receives the remaining time as seconds from the arrival of the
    # booking.  Without a second check of the clock this would be the time that
    # remained at admission.
    is_recomputed = (
        rules.rechecks_before_write and instance.remaining_seconds > 0
    )
    remaining_seconds = (
        instance.remaining_seconds if is_recomputed else BOOKING_SECONDS
    )
    return instance._replace(
        phase='written',
        remaining_seconds=remaining_seconds,
        sent_count=instance.sent_count + 1,
    )


def _refused(instance: Instance, kind: Kind) -> Instance:
    return instance._replace(
        phase=str(ANSWERS[kind].run), target='', remaining_seconds=0
    )


def _sent_transitions(
    state: State, name: str, rules: Rules
) -> Iterator[Transition]:
    instance: Instance = getattr(state, name)
    # The target finishes what it accepts by the deadline, at any moment until
    # then, whether or not the instance still waits.
    if (
        instance.remaining_seconds >= 0
        and instance.ran_count < instance.sent_count
    ):
        yield f'{name} is run', _run_booking(state, name)
    if instance.phase == 'written':
        kind = rules.no_response_kind(
            SendProgress(is_written=True, is_reported_not_run=False)
        )
        ended = instance._replace(phase=str(ANSWERS[kind].run))
        yield f'{name} gets no response', _replace_instance(state, name, ended)
    if rules.resends_without_response and instance.sent_count < 2:
        resent = instance._replace(sent_count=2)
        yield f'{name} sends again', _replace_instance(state, name, resent)


def _run_booking(state: State, name: str) -> State:
    instance: Instance = getattr(state, name)
    is_late = state.has_new_home_run and instance.target == 'a'
    faults = ('late',) if is_late else state.faults
    ran = instance._replace(ran_count=instance.ran_count + 1)
    after = _replace_instance(state, name, ran)
    has_new_home_run = state.has_new_home_run or instance.target == 'b'
    return after._replace(has_new_home_run=has_new_home_run, faults=faults)


def _replace_instance(state: State, name: str, instance: Instance) -> State:
    if name == 'first':
        return state._replace(first=instance)
    return state._replace(second=instance)


def _build_plan(instance: Instance) -> BookingPlan:
    epoch = 1 if instance.target == 'a' else 2
    return BookingPlan(
        'id',
        'service',
        'key',
        's',
        instance.target,
        epoch,
        instance.remaining_seconds,
    )


def _build_known_state(instance: Instance) -> KnownState:
    document = _DOCUMENTS[instance.known_step]
    return KnownState(document, -instance.age_seconds, is_target_leaving=False)


def _build_document(home: Home) -> ServiceDocument:
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


_DOCUMENTS: Final = tuple(_build_document(home) for home in HOME_STEPS)
