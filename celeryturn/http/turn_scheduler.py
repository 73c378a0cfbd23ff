"""Bounded work on received bytes in each turn of the event loop.

The size of a read does not bound the time that a parser takes for it: a body in
chunks of one byte takes a thousand times as long as one of the same size in one
piece.  Connections therefore parse in slices.  The work is counted in units,
each of which takes about the same time, and what exceeds the units of a turn
waits for a later one.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple, TypeAlias

# Units for all connections together, in one turn.
TURN_UNITS: Final = 512
# Units for one connection, before others have their turn.
SLICE_UNITS: Final = 64
# Slices of what is left over from earlier turns, in one turn.
BACKLOG_SLICES: Final = 2


class Slice(NamedTuple):
    """What one slice has done.

    :param unit_count: Units that were used.
    :param has_more: Whether a further slice is needed.
    """

    unit_count: int
    has_more: bool


ParseSlice: TypeAlias = Callable[[], Slice]


class TurnScheduler:
    """Slices that wait, and what is left of the current turn.

    :param units_left: Units that may be used until waiting slices run.
    :param first: First slices of what connections have received, the oldest
        first.
    :param backlog: Further slices, which run in rotation.
    :param slice_count: Slices that have waited, since the start.
    """

    __slots__ = ('_loop', 'backlog', 'first', 'slice_count', 'units_left')

    def __init__(self) -> None:
        self.units_left = TURN_UNITS
        self.first: deque[ParseSlice] = deque()
        self.backlog: deque[ParseSlice] = deque()
        self.slice_count = 0
        self._loop: asyncio.AbstractEventLoop | None = None

    def schedule(self) -> None:
        """Run waiting slices in the next turn, unless that is scheduled."""
        loop = asyncio.get_running_loop()
        if self._loop is not loop:
            self._loop = loop
            loop.call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._loop = None
        self.units_left = TURN_UNITS
        run_waiting(self)
        if self.first or self.backlog:
            self.schedule()


def run_or_queue(scheduler: TurnScheduler, parse_slice: ParseSlice) -> bool:
    """Run the first slice of what a connection has received.

    If the units of the turn are used up, the slice waits for the next turn, and
    so does the rest if more than one slice is needed.

    :param scheduler: The scheduler.
    :param parse_slice: Parses one slice; it is called until no more is needed.
    :returns: Whether any slice waits.
    """
    if scheduler.units_left <= 0:
        scheduler.first.append(parse_slice)
    elif _run(scheduler, parse_slice):
        scheduler.backlog.append(parse_slice)
    else:
        return False
    scheduler.schedule()
    return True


def run_waiting(scheduler: TurnScheduler) -> None:
    """Run the slices that fit into one turn.

    First slices go first, so that a short message does not wait behind long
    ones.  A part of the backlog runs in each turn nevertheless.

    :param scheduler: The scheduler.
    """
    while scheduler.first and scheduler.units_left > 0:
        _run_next(scheduler, scheduler.first)
    for _ in range(min(BACKLOG_SLICES, len(scheduler.backlog))):
        _run_next(scheduler, scheduler.backlog)


def waiting_count(scheduler: TurnScheduler) -> int:
    """Return how many connections wait for a later turn.

    :param scheduler: The scheduler.
    :returns: Number of waiting slices, of which each connection has one.
    """
    return len(scheduler.first) + len(scheduler.backlog)


def _run_next(scheduler: TurnScheduler, waiting: deque[ParseSlice]) -> None:
    parse_slice = waiting.popleft()
    scheduler.slice_count += 1
    if _run(scheduler, parse_slice):
        scheduler.backlog.append(parse_slice)


def _run(scheduler: TurnScheduler, parse_slice: ParseSlice) -> bool:
    done = parse_slice()
    scheduler.units_left -= done.unit_count
    return done.has_more


TURN_SCHEDULER: Final = TurnScheduler()
