"""An event loop whose clock advances only by waiting."""

import asyncio
import selectors
from typing import Any

from celeryturn.units import ClockSeconds


class _NoSelector(selectors.SelectSelector):
    """A selector without file descriptors; waiting advances the clock."""

    def __init__(self, loop: 'SimulatedLoop') -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the clock by the wait.

        :param timeout: Seconds to wait.
        :returns: No events.
        """
        self._loop.now_seconds += timeout or 0.0
        return []


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Event loop with a simulated clock.

    :param now_seconds: Simulated time.
    """

    now_seconds: ClockSeconds = 1000.0

    def __init__(self) -> None:
        super().__init__(_NoSelector(self))

    def time(self) -> float:
        """Return the simulated time."""
        return self.now_seconds
