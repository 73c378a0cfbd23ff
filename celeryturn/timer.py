"""One timer that is set anew or cleared."""

import asyncio
from collections.abc import Callable


class Timer:
    """At most one call that is still to come."""

    __slots__ = ('_pending',)

    def __init__(self) -> None:
        self._pending: asyncio.TimerHandle | None = None

    def arm(self, after_seconds: float, callback: Callable[[], None]) -> None:
        """Set the timer, in place of what it was set to.

        :param after_seconds: How long from now.
        :param callback: What to call then.
        """
        self.disarm()
        loop = asyncio.get_running_loop()
        self._pending = loop.call_later(after_seconds, callback)

    def disarm(self) -> None:
        """Clear the timer."""
        if self._pending is not None:
            self._pending.cancel()
            self._pending = None
