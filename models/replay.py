"""Explore a simulation with mutable state by replaying its events.

The product's decisions modify the state that they are given.  A state of the
model is therefore a summary of everything that can still affect the
simulation, and the shortest trace to it is kept so that the simulation can be
rebuilt.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple, TypeAlias, TypeVar

Event: TypeAlias = tuple[str, int]
Trace: TypeAlias = tuple[Event, ...]
StateRow: TypeAlias = tuple[object, ...]
ListTransitions: TypeAlias = Callable[[StateRow], list[tuple[str, StateRow]]]

SimulationT = TypeVar('SimulationT')


class TransitionSystem(NamedTuple):
    """A state space to explore.

    :param initial: The initial state.
    :param list_transitions: Lists the labels and next states of a state.
    """

    initial: StateRow
    list_transitions: ListTransitions


def build_transition_system(
    replay: Callable[[Trace], SimulationT],
    list_events: Callable[[SimulationT], Iterable[Event]],
    extract_state: Callable[[SimulationT, int], StateRow],
    max_events: int,
) -> TransitionSystem:
    """Build the state space of a simulation.

    :param replay: Runs a new simulation through a trace.
    :param list_events: Lists the events that are possible next.
    :param extract_state: Returns the state of a simulation, given the count
        of its events.
    :param max_events: Maximum count of events in a trace.
    :returns: The state space.
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
