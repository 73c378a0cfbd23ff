"""Leaving: an instance that shuts down, and a target that drains.

A caller requests addresses from another instance (the adviser), caches the
advice, and connects.  The adviser may learn late that this instance is
leaving.  The leaving instance serves until cached advice has expired.
"""

from collections.abc import Callable, Iterator
from typing import Final, NamedTuple, TypeAlias

from minicheck import Protocol

from celeryturn.decisions.fleet.advice import advise
from celeryturn.decisions.fleet.membership import (
    Member,
    Membership,
    Status,
    leave,
    merge_entries,
)
from celeryturn.decisions.request.routing import rank_replicas
from celeryturn.decisions.targets.views import (
    Report,
    TargetView,
    observe_report,
)

AdviceCheck: TypeAlias = Callable[[Member], bool]
WorkCheck: TypeAlias = Callable[[Report], bool]

ADVICE_KEEP_TICKS: Final = 2
GOSSIP_TICKS: Final = 1
REQUEST_TICKS: Final = 2
FIELDS: Final = (
    'phase',
    'phase_ticks',
    'is_known_leaving',
    'advice_ticks',
    'in_flight_ticks',
    'draining',
    'is_known_draining',
    'faults',
)


class State(NamedTuple):
    """State of the model.

    :param phase: ``serving``, ``leaving``, ``closing`` or ``ended``.
    :param phase_ticks: Ticks since the phase began.
    :param is_known_leaving: Whether the adviser has received the report that
        the instance is leaving.
    :param advice_ticks: Ticks until the advice that the caller caches
        expires; zero for no advice.
    :param in_flight_ticks: Ticks until the request in flight completes; zero
        for no request.
    :param draining: Whether the target is draining.
    :param is_known_draining: Whether the instance has received a report that
        the target is draining.
    :param faults: ``cut off`` (a request was interrupted), ``refused`` (a
        connection was refused) or ``new work`` (a draining target got work).
    """

    phase: str = 'serving'
    phase_ticks: int = 0
    is_known_leaving: bool = False
    advice_ticks: int = 0
    in_flight_ticks: int = 0
    draining: bool = False
    is_known_draining: bool = False
    faults: tuple[str, ...] = ()


Transition: TypeAlias = tuple[str, State]


class Rules(NamedTuple):
    """The decisions under test.

    :param is_advised: Whether an adviser includes an instance in its advice.
    :param can_receive_work: Whether a target can receive new work after a
        report.
    :param serves_kept_advice: Whether the leaving instance serves until
        cached advice has expired.
    :param finishes_requests: Whether the instance ends only when no request
        is in flight.
    """

    is_advised: AdviceCheck
    can_receive_work: WorkCheck
    serves_kept_advice: bool = True
    finishes_requests: bool = True


def build(rules: Rules | None = None) -> Protocol:
    """Build the model.

    :param rules: The decisions under test; the product's by default.
    :returns: The model.
    """
    used_rules = rules or product_rules()

    def list_transitions(
        raw: tuple[object, ...],
    ) -> list[tuple[str, tuple[object, ...]]]:
        state = State(*raw)  # type: ignore[arg-type]
        found = [
            *_leaving_transitions(state, used_rules),
            *_caller_transitions(state, used_rules),
            *_target_transitions(state, used_rules),
        ]
        return [(label, tuple(after)) for label, after in found]

    return Protocol(
        name='leaving',
        candidate=False,
        fields=FIELDS,
        initial=tuple(State()),
        transitions=list_transitions,
        invariants={
            'cuts_nothing_off': lambda state_fields: (
                'cut off' not in state_fields['faults']
            ),
            'serves_kept_advice': lambda state_fields: (
                'refused' not in state_fields['faults']
            ),
            'nothing_new_to_draining': lambda state_fields: (
                'new work' not in state_fields['faults']
            ),
        },
        goal=lambda state_fields: state_fields['phase'] == 'ended',
    )


def product_rules() -> Rules:
    """Return the product's own decisions.

    :returns: The rules.
    """
    return Rules(is_advised=_is_advised, can_receive_work=_can_receive_work)


def advise_any_instance(member: Member) -> bool:
    """Mutant: leaving instances are advised too."""
    return _is_advised(member._replace(status=Status.ALIVE))


def ignore_draining_report(report: Report) -> bool:
    """Mutant: the report of a target that it is draining is ignored."""
    return _can_receive_work(report._replace(draining=False))


def _is_advised(member: Member) -> bool:
    return (
        member in advise([member], 'caller', '', ADVICE_KEEP_TICKS, 1).members
    )


def _can_receive_work(report: Report) -> bool:
    view = TargetView('zone', 1, 0)
    observe_report(view, report, 0)
    return bool(rank_replicas(['t'], {'t': view}, 'zone', 0, float))


def _build_adviser_entry(is_known_leaving: bool) -> Member:
    own = Member('i', '127.0.0.1', 1, 2, 'zone', 1, Status.ALIVE)
    adviser = Membership(own._replace(instance='adviser'), 0)
    merge_entries(adviser, [own], 0)
    if is_known_leaving:
        leaving = leave(Membership(own, 0), 0)
        merge_entries(adviser, [leaving], 0)
    return adviser.members['i']


def _leaving_transitions(state: State, rules: Rules) -> Iterator[Transition]:
    if state.phase == 'serving':
        yield 'leave', state._replace(phase='leaving', phase_ticks=0)
    if state.phase == 'leaving' and not state.is_known_leaving:
        yield 'gossip', state._replace(is_known_leaving=True)
    wait_ticks = (
        GOSSIP_TICKS + ADVICE_KEEP_TICKS if rules.serves_kept_advice else 0
    )
    if state.phase == 'leaving' and state.phase_ticks >= wait_ticks:
        yield 'close', state._replace(phase='closing', phase_ticks=0)
    if state.phase == 'closing':
        yield from _ending_transitions(state, rules)
    # Gossip reaches the adviser within ``GOSSIP_TICKS`` at the latest.
    can_time_pass = state.is_known_leaving or state.phase_ticks < GOSSIP_TICKS
    if state.phase != 'leaving' or can_time_pass:
        yield 'time', _tick(state)


def _ending_transitions(state: State, rules: Rules) -> Iterator[Transition]:
    if not state.in_flight_ticks:
        yield 'end', state._replace(phase='ended')
    elif not rules.finishes_requests:
        interrupted = state._replace(phase='ended', faults=('cut off',))
        yield 'end', interrupted


def _tick(state: State) -> State:
    return state._replace(
        phase_ticks=min(
            ADVICE_KEEP_TICKS + GOSSIP_TICKS, state.phase_ticks + 1
        ),
        advice_ticks=max(0, state.advice_ticks - 1),
        in_flight_ticks=max(0, state.in_flight_ticks - 1),
    )


def _caller_transitions(state: State, rules: Rules) -> Iterator[Transition]:
    if state.phase != 'ended' and rules.is_advised(
        _build_adviser_entry(state.is_known_leaving)
    ):
        yield (
            'request addresses',
            state._replace(advice_ticks=ADVICE_KEEP_TICKS),
        )
    if not state.advice_ticks or state.in_flight_ticks:
        return
    if state.phase in {'serving', 'leaving'}:
        yield 'connect', state._replace(in_flight_ticks=REQUEST_TICKS)
    else:
        yield 'connect', state._replace(faults=('refused',))


def _target_transitions(state: State, rules: Rules) -> Iterator[Transition]:
    if not state.draining:
        yield 'target drains', state._replace(draining=True)
    elif not state.is_known_draining:
        yield 'target reports draining', state._replace(is_known_draining=True)
    report = Report(draining=state.is_known_draining, newest_snapshot=1)
    if state.is_known_draining and rules.can_receive_work(report):
        yield 'send work', state._replace(faults=('new work',))
