"""Command of the daemon: ``celeryturnd --settings FILE``."""

import asyncio
import signal
import sys

from celeryturn.app import Application
from celeryturn.clients.account import CLIENT_ACCOUNT, apply_limits
from celeryturn.clients.process_limits import read_process_limits
from celeryturn.command_line import run_command_line
from celeryturn.errors import CeleryturnError
from celeryturn.events import START_FAILED, log, log_to
from celeryturn.settings import Settings
from celeryturn.settings_file import load_settings


async def serve(settings: Settings) -> None:
    """Run one instance until it has shut down.

    The first SIGTERM or SIGINT starts a graceful shutdown, the second one
    stops the instance immediately.

    :param settings: Settings of the instance.
    :raises CeleryturnError: If the instance cannot start.
    """
    apply_limits(CLIENT_ACCOUNT, read_process_limits())
    application = Application(settings)
    await application.start()
    loop = asyncio.get_running_loop()
    run_task = loop.create_task(application.run())

    def on_signal() -> None:
        if application.drain_requested.is_set():
            run_task.cancel()
        application.drain()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, on_signal)
    try:
        await run_task
    except asyncio.CancelledError:
        await application.stop()


def run(settings: str) -> None:
    """Run one instance of the query tier.

    :param settings: Path of the settings file (YAML) of the instance.
    """
    log_to(sys.stdout)
    try:
        asyncio.run(serve(load_settings(settings)))
    except CeleryturnError as error:
        log(START_FAILED, detail=str(error))
        sys.stderr.write(f'{error}\n')
        sys.exit(error.answer.exit_code)


def main() -> None:
    """Entry point of the daemon."""
    run_command_line(run, 'celeryturnd')


if __name__ == '__main__':
    main()
