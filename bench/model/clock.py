"""The clock of a simulation: runs callbacks in the order of their time."""

import heapq
import itertools
from collections.abc import Callable
from typing import TypeAlias

Callback: TypeAlias = Callable[[], None]


class Clock:
    """Simulated time with scheduled callbacks.

    Callbacks that are due at the same time run in the order of scheduling.

    :param now_seconds: Current simulated time.
    """

    def __init__(self) -> None:
        self.now_seconds = 0.0
        self._scheduled: list[tuple[float, int, Callback]] = []
        self._sequence = itertools.count()

    def call_at(self, at_seconds: float, callback: Callback) -> None:
        """Schedule a callback.

        :param at_seconds: Time of the call; a past time means now.
        :param callback: Function to call at that time.
        """
        due_seconds = max(self.now_seconds, at_seconds)
        heapq.heappush(
            self._scheduled, (due_seconds, next(self._sequence), callback)
        )

    def run(self, until_seconds: float) -> None:
        """Run all callbacks that are due up to a time, and advance to it.

        :param until_seconds: Time to stop at, inclusive.
        """
        while self._scheduled and self._scheduled[0][0] <= until_seconds:
            due_seconds, _, callback = heapq.heappop(self._scheduled)
            self.now_seconds = due_seconds
            callback()
        self.now_seconds = until_seconds
