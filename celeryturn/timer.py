"""One timer that is set anew or cleared."""

import asyncio
from collections.abc import Callable


class Timer:
    """At most one call that is still to come."""

    __slots__ = ('_pending_call',)

    def __init__(self) -> None:
        self._pending_call: asyncio.TimerHandle | None = None

    def arm(self, delay_seconds: float, callback: Callable[[], None]) -> None:
        """Set the timer, in place of what it was set to.

        :param delay_seconds: How long from now.
        :param callback: What to call then.
        """
        self.disarm()
        loop = asyncio.get_running_loop()
        self._pending_call = loop.call_later(delay_seconds, callback)

    def disarm(self) -> None:
        """Clear the timer."""
        if self._pending_call is not None:
            self._pending_call.cancel()
            self._pending_call = None
