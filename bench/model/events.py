"""The clock of a model: calls in the order of their time."""

import heapq
import itertools
from collections.abc import Callable
from typing import TypeAlias

Call: TypeAlias = Callable[[], None]


class Clock:
    """Simulated time.

    :param now_seconds: The present.
    """

    def __init__(self) -> None:
        self.now_seconds = 0.0
        self._calls: list[tuple[float, int, Call]] = []
        self._numbers = itertools.count()

    def at(self, at_seconds: float, call: Call) -> None:
        """Plan a call.

        :param at_seconds: When; not before the present.
        :param call: What to call then.
        """
        due_seconds = max(self.now_seconds, at_seconds)
        heapq.heappush(self._calls, (due_seconds, next(self._numbers), call))

    def run(self, until_seconds: float) -> None:
        """Make all calls up to a time.

        :param until_seconds: Where to stop.
        """
        while self._calls and self._calls[0][0] <= until_seconds:
            due_seconds, _, call = heapq.heappop(self._calls)
            self.now_seconds = due_seconds
            call()
        self.now_seconds = until_seconds
