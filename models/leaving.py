"""Leaving: an instance that shuts down, and a target that drains.

A caller asks another instance for addresses, keeps the answer, and connects.
The other instance may hear late that this one leaves.  The instance that
leaves serves until kept answers have run out.
"""

from collections.abc import Callable, Iterator
from typing import Final, NamedTuple, TypeAlias

from minicheck import Protocol

from celeryturn.decisions.advice import advise
from celeryturn.decisions.membership import (
    Member,
    Membership,
    Status,
    leave,
    merge_entries,
)
from celeryturn.decisions.routing import rank_replicas
from celeryturn.decisions.views import Report, TargetView, observe_report

Names: TypeAlias = Callable[[Member], bool]
MayWork: TypeAlias = Callable[[Report], bool]

KEEP_TICKS: Final = 2
SPREAD_TICKS: Final = 1
REQUEST_TICKS: Final = 2
FIELDS: Final = (
    'phase',
    'since',
    'told',
    'kept',
    'in_flight',
    'draining',
    'known_draining',
    'faults',
)


class State(NamedTuple):
    """State of the model.

    :param phase: ``serving``, ``leaving``, ``closing`` or ``ended``.
    :param since: Ticks since that phase began.
    :param told: Whether the adviser has heard that it leaves.
    :param kept: Ticks the caller still keeps the address; zero for none.
    :param in_flight: Ticks that a request under way still needs.
    :param draining: Whether the target drains.
    :param known_draining: Whether the instance has seen a sign of it.
    :param faults: What went wrong.
    """

    phase: str = 'serving'
    since: int = 0
    told: bool = False
    kept: int = 0
    in_flight: int = 0
    draining: bool = False
    known_draining: bool = False
    faults: tuple[str, ...] = ()


Step: TypeAlias = tuple[str, State]


class Rules(NamedTuple):
    """The decisions under test.

    :param is_advised: Whether an adviser names an instance.
    :param may_get_work: Whether a target is sent new work after a report.
    :param serves_kept_advice: Whether the instance serves until kept answers
        have run out.
    :param finishes: Whether it ends only when nothing is in flight.
    """

    is_advised: Names
    may_get_work: MayWork
    serves_kept_advice: bool = True
    finishes: bool = True


def build(rules: Rules | None = None) -> Protocol:
    """Build the model.

    :param rules: The decisions under test; the product's by default.
    :returns: The model.
    """
    used = rules or product_rules()

    def steps(raw: tuple[object, ...]) -> list[tuple[str, tuple[object, ...]]]:
        state = State(*raw)  # type: ignore[arg-type]
        found = [
            *_leaving_steps(state, used),
            *_caller_steps(state, used),
            *_target_steps(state, used),
        ]
        return [(label, tuple(after)) for label, after in found]

    return Protocol(
        name='leaving',
        candidate=False,
        fields=FIELDS,
        initial=tuple(State()),
        transitions=steps,
        invariants={
            'cuts_nothing_off': lambda known: 'cut off' not in known['faults'],
            'serves_kept_advice': lambda known: (
                'refused' not in known['faults']
            ),
            'nothing_new_to_draining': lambda known: (
                'new work' not in known['faults']
            ),
        },
        goal=lambda known: known['phase'] == 'ended',
    )


def product_rules() -> Rules:
    """Name the product's own decisions.

    :returns: The rules.
    """
    return Rules(is_advised=_is_advised, may_get_work=_may_get_work)


def advise_anyone(member: Member) -> bool:
    """Mutant: instances that leave are advised too."""
    return _is_advised(member._replace(status=Status.ALIVE))


def work_for_anyone(report: Report) -> bool:
    """Mutant: a target's word that it drains is not heard."""
    return _may_get_work(report._replace(draining=False))


def _is_advised(member: Member) -> bool:
    return member in advise([member], 'caller', '', KEEP_TICKS, 1).members


def _may_get_work(report: Report) -> bool:
    view = TargetView('zone', 1, 0)
    observe_report(view, report, 0)
    return bool(rank_replicas(['t'], {'t': view}, 'zone', 0, float))


def _heard(told: bool) -> Member:
    own = Member('i', '127.0.0.1', 1, 2, 'zone', 1, Status.ALIVE)
    adviser = Membership(own._replace(instance='adviser'), 0)
    merge_entries(adviser, [own], 0)
    if told:
        leaving = leave(Membership(own, 0), 0)
        merge_entries(adviser, [leaving], 0)
    return adviser.members['i']


def _leaving_steps(state: State, rules: Rules) -> Iterator[Step]:
    if state.phase == 'serving':
        yield 'leave', state._replace(phase='leaving', since=0)
    if state.phase == 'leaving' and not state.told:
        yield 'tell', state._replace(told=True)
    wait = SPREAD_TICKS + KEEP_TICKS if rules.serves_kept_advice else 0
    if state.phase == 'leaving' and state.since >= wait:
        yield 'close', state._replace(phase='closing', since=0)
    if state.phase == 'closing':
        yield from _ending_steps(state, rules)
    # Nobody is told later than the time that spreading takes.
    is_spread = state.told or state.since < SPREAD_TICKS
    if state.phase != 'leaving' or is_spread:
        yield 'time', _tick(state)


def _ending_steps(state: State, rules: Rules) -> Iterator[Step]:
    if not state.in_flight:
        yield 'end', state._replace(phase='ended')
    elif not rules.finishes:
        cut = state._replace(phase='ended', faults=('cut off',))
        yield 'end', cut


def _tick(state: State) -> State:
    return state._replace(
        since=min(KEEP_TICKS + SPREAD_TICKS, state.since + 1),
        kept=max(0, state.kept - 1),
        in_flight=max(0, state.in_flight - 1),
    )


def _caller_steps(state: State, rules: Rules) -> Iterator[Step]:
    if state.phase != 'ended' and rules.is_advised(_heard(state.told)):
        yield 'ask for addresses', state._replace(kept=KEEP_TICKS)
    if not state.kept or state.in_flight:
        return
    if state.phase in {'serving', 'leaving'}:
        yield 'connect', state._replace(in_flight=REQUEST_TICKS)
    else:
        yield 'connect', state._replace(faults=('refused',))


def _target_steps(state: State, rules: Rules) -> Iterator[Step]:
    if not state.draining:
        yield 'target drains', state._replace(draining=True)
    elif not state.known_draining:
        yield 'target says so', state._replace(known_draining=True)
    report = Report(draining=state.known_draining, newest_snapshot=1)
    if state.known_draining and rules.may_get_work(report):
        yield 'send work', state._replace(faults=('new work',))
