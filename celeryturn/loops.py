"""Background loops that are restarted after an unexpected error."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeAlias

from celeryturn.events import INTERNAL_FAULT, log

RESTART_DELAY_SECONDS: Final = 0.5

Loop: TypeAlias = Callable[[], Coroutine[Any, Any, None]]


def start_loop(loop: Loop) -> asyncio.Task[None]:
    """Run a loop as a background task.

    :param loop: Creates the coroutine of the loop.
    :returns: The task, which the caller cancels.
    """
    return asyncio.get_running_loop().create_task(run_with_restarts(loop))


async def run_with_restarts(
    loop: Loop, restart_delay_seconds: float = RESTART_DELAY_SECONDS
) -> None:
    """Run a loop and restart it after an unexpected error.

    If the loop that follows the store ended, the instance would continue to
    serve requests from outdated state.

    :param loop: Creates the coroutine of the loop, which returns by itself or
        is cancelled.
    :param restart_delay_seconds: Delay before a restart.
    """
    while True:
        try:
            return await loop()
        except Exception as error:
            log(INTERNAL_FAULT, detail=repr(error))
        await asyncio.sleep(restart_delay_seconds)
