"""Search a course of mutable state by playing it again from its beginning.

The product's decisions change the state that they are given.  A state of the
model is therefore what can still matter of a course, and the shortest way to
it is kept so that it can be reached again.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple, TypeAlias, TypeVar

Event: TypeAlias = tuple[str, int]
Way: TypeAlias = tuple[Event, ...]
StateRow: TypeAlias = tuple[object, ...]
Steps: TypeAlias = Callable[[StateRow], list[tuple[str, StateRow]]]

CourseT = TypeVar('CourseT')


class Search(NamedTuple):
    """Where a search begins, and how it goes on.

    :param initial: The first state.
    :param steps: Lists the labels and states that follow a state.
    """

    initial: StateRow
    steps: Steps


def search_by_replay(
    play: Callable[[Way], CourseT],
    events: Callable[[CourseT], Iterable[Event]],
    state_of: Callable[[CourseT, int], StateRow],
    most_events: int,
) -> Search:
    """Build a search.

    :param play: Plays a course from its beginning.
    :param events: Lists what may happen next.
    :param state_of: Reads the state of a course of so many events.
    :param most_events: Longest course that is followed.
    :returns: The search.
    """
    initial = state_of(play(()), 0)
    ways: dict[StateRow, Way] = {initial: ()}

    def steps(row: StateRow) -> list[tuple[str, StateRow]]:
        way = ways[row]
        if len(way) >= most_events:
            return []
        found = []
        for event in events(play(way)):
            longer = (*way, event)
            after = state_of(play(longer), len(longer))
            ways.setdefault(after, longer)
            found.append((f'{event[0]} {event[1]}', after))
        return found

    return Search(initial, steps)
