"""A timer that can be rescheduled or cancelled."""

import asyncio
from collections.abc import Callable


class Timer:
    """Schedules at most one pending call."""

    __slots__ = ('_pending_call',)

    def __init__(self) -> None:
        self._pending_call: asyncio.TimerHandle | None = None

    def arm(self, delay_seconds: float, callback: Callable[[], None]) -> None:
        """Schedule a call, replacing any pending one.

        :param delay_seconds: Delay from now.
        :param callback: Function to call after the delay.
        """
        self.disarm()
        loop = asyncio.get_running_loop()
        self._pending_call = loop.call_later(delay_seconds, callback)

    def disarm(self) -> None:
        """Cancel the pending call, if there is one."""
        if self._pending_call is not None:
            self._pending_call.cancel()
            self._pending_call = None
