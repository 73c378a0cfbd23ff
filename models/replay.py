"""Search a course of mutable state by playing it again from its beginning.

The product's decisions change the state that they are given.  A state of the
model is therefore what can still matter of a course, and the shortest trace to
it is kept so that it can be reached again.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple, TypeAlias, TypeVar

Event: TypeAlias = tuple[str, int]
Trace: TypeAlias = tuple[Event, ...]
StateRow: TypeAlias = tuple[object, ...]
ListTransitions: TypeAlias = Callable[[StateRow], list[tuple[str, StateRow]]]

SimulationT = TypeVar('SimulationT')


class TransitionSystem(NamedTuple):
    """Where a search begins, and how it goes on.

    :param initial: The first state.
    :param list_transitions: Lists the labels and states that follow a state.
    """

    initial: StateRow
    list_transitions: ListTransitions


def build_transition_system(
    replay: Callable[[Trace], SimulationT],
    list_events: Callable[[SimulationT], Iterable[Event]],
    extract_state: Callable[[SimulationT, int], StateRow],
    max_events: int,
) -> TransitionSystem:
    """Build a search.

    :param replay: Plays a course from its beginning.
    :param list_events: Lists what may happen next.
    :param extract_state: Reads the state of a course of so many events.
    :param max_events: Longest course that is followed.
    :returns: The search.
    """
    initial = extract_state(replay(()), 0)
    traces: dict[StateRow, Trace] = {initial: ()}

    def list_transitions(row: StateRow) -> list[tuple[str, StateRow]]:
        trace = traces[row]
        if len(trace) >= max_events:
            return []
        found = []
        for event in list_events(replay(trace)):
            extended_trace = (*trace, event)
            next_state = extract_state(
                replay(extended_trace), len(extended_trace)
            )
            traces.setdefault(next_state, extended_trace)
            found.append((f'{event[0]} {event[1]}', next_state))
        return found

    return TransitionSystem(initial, list_transitions)
