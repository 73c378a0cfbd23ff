"""Loops that outlive a fault of this program."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeAlias

from celeryturn.events import INTERNAL_FAULT, log

RESTART_DELAY_SECONDS: Final = 0.5

Loop: TypeAlias = Callable[[], Coroutine[Any, Any, None]]


def start_loop(loop: Loop) -> asyncio.Task[None]:
    """Run a loop in the background.

    :param loop: Makes the loop.
    :returns: Its task, to be cancelled.
    """
    return asyncio.get_running_loop().create_task(run_with_restarts(loop))


async def run_with_restarts(
    loop: Loop, restart_delay_seconds: float = RESTART_DELAY_SECONDS
) -> None:
    """Run a loop, and again after a fault of this program in it.

    An instance that no longer followed the store would serve on, and by what
    it knew.

    :param loop: Makes the loop; it ends by itself or is cancelled.
    :param restart_delay_seconds: Wait before it is run again.
    """
    while True:
        try:
            return await loop()
        except Exception as fault:
            log(INTERNAL_FAULT, detail=repr(fault))
        await asyncio.sleep(restart_delay_seconds)
