"""Run one instance on the users' platform, and reload its settings."""

import asyncio
import os
import signal
import sys
from pathlib import Path
from typing import Final

from celeryturn.clients.account import CLIENT_ACCOUNT, apply_limits
from celeryturn.errors import CeleryturnError
from celeryturn.events import RELOADED, START_FAILED, log, log_to
from celeryturn.forwarding.app import ForwardingApplication
from celeryturn.forwarding.settings import ForwardingSettings
from celeryturn.log_stream import LogStream
from celeryturn.platform.node_settings import (
    SETTINGS_PATH_VARIABLE,
    load_node_settings,
)

FILE_POLL_INTERVAL_SECONDS: Final = 2.0


async def serve(settings: ForwardingSettings, modified_ns: int) -> None:
    """Run one instance until it has shut down.

    SIGTERM and SIGINT start a graceful shutdown; SIGHUP reloads the settings.

    :param settings: Settings of the instance.
    :param modified_ns: Time of the change of their file that they include, in
        nanoseconds.
    :raises CeleryturnError: If the instance cannot start.
    """
    apply_limits(CLIENT_ACCOUNT, settings.limits)
    application = ForwardingApplication(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, application.drain)
    loop.add_signal_handler(signal.SIGHUP, lambda: _reload(application))
    await application.start()
    watch_task = loop.create_task(_watch_file(application, modified_ns))
    try:
        await application.run()
    finally:
        watch_task.cancel()


def read_settings() -> ForwardingSettings:
    """Read the settings file whose path the platform puts in the environment.

    :returns: The settings.
    :raises CeleryturnError: ``invalid_settings`` with every fault.
    """
    return load_node_settings(os.environ.get(SETTINGS_PATH_VARIABLE, ''))


def main() -> None:
    """Entry point of the daemon."""
    log_to(LogStream(sys.stdout.fileno()))
    # Read first: a change in between is then applied by the first poll.
    modified_ns = _read_modified_ns()
    try:
        asyncio.run(serve(read_settings(), modified_ns))
    except CeleryturnError as error:
        log(START_FAILED, detail=str(error))
        sys.exit(error.answer.exit_code)


async def _watch_file(
    application: ForwardingApplication, applied_ns: int
) -> None:
    # The platform may replace the file without sending SIGHUP.
    while True:
        await asyncio.sleep(FILE_POLL_INTERVAL_SECONDS)
        modified_ns = _read_modified_ns()
        if modified_ns != applied_ns:
            applied_ns = modified_ns
            _reload(application)


def _read_modified_ns() -> int:
    try:
        return (
            Path(os.environ.get(SETTINGS_PATH_VARIABLE, '')).stat().st_mtime_ns
        )
    except OSError:
        # The file is being replaced; the next poll reads it.
        return 0


def _reload(application: ForwardingApplication) -> None:
    try:
        settings = read_settings()
    except CeleryturnError as error:
        log(RELOADED, outcome='refused', detail=str(error))
        return
    apply_limits(CLIENT_ACCOUNT, settings.limits)
    application.apply_settings(settings)
    log(RELOADED, outcome='in force')
