"""The clock of a model: calls in the order of their time."""

import heapq
import itertools
from collections.abc import Callable
from typing import TypeAlias

Callback: TypeAlias = Callable[[], None]


class Clock:
    """Simulated time.

    :param now_seconds: The present.
    """

    def __init__(self) -> None:
        self.now_seconds = 0.0
        self._scheduled: list[tuple[float, int, Callback]] = []
        self._sequence = itertools.count()

    def call_at(self, at_seconds: float, callback: Callback) -> None:
        """Plan a call.

        :param at_seconds: When; not before the present.
        :param callback: What to call then.
        """
        due_seconds = max(self.now_seconds, at_seconds)
        heapq.heappush(
            self._scheduled, (due_seconds, next(self._sequence), callback)
        )

    def run(self, until_seconds: float) -> None:
        """Make all calls up to a time.

        :param until_seconds: Where to stop.
        """
        while self._scheduled and self._scheduled[0][0] <= until_seconds:
            due_seconds, _, callback = heapq.heappop(self._scheduled)
            self.now_seconds = due_seconds
            callback()
        self.now_seconds = until_seconds
