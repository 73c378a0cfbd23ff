"""Start a fleet, send requests of each kind and shut it down gracefully."""

import shlex
import subprocess  # noqa: S404
import sys
import time
from typing import Final

from celeryturn.command_line import run_command_line
from examples.fleet import start_fleet, stop_fleet, wait_until_ready
from standins.topology import USERS

SITE: Final = 'site-0004'


def run(user: str = 'consorcio') -> None:
    """Send requests of each kind to a fleet of instances and stand-ins.

    :param user: Name of the user, ``consorcio`` or ``redda``.
    """
    started = time.monotonic()
    service = next(iter(USERS[user].services))
    fleet = start_fleet(user)
    try:
        wait_until_ready(fleet)
        _print_line(f'nine instances are ready after {_elapsed(started)} s')
        has_succeeded = _run_commands(
            fleet.instance_addresses, service, USERS[user].zones[0]
        )
    finally:
        is_stopped = stop_fleet(fleet)
    _print_line(
        f'all ended gracefully: {is_stopped}, after {_elapsed(started)} s'
    )
    sys.exit(0 if has_succeeded and is_stopped else 1)


def _run_commands(
    instance_addresses: dict[str, str], service: str, zone: str
) -> bool:
    address = next(iter(instance_addresses.values()))
    commands = (
        ('addresses', '--caller', 'dispatcher-1', '--zone', zone),
        ('config',),
        ('search', service, '--text', 'round 0'),
        ('quickcheck', service, '--site', SITE),
        ('record', service, f'{SITE}/1'),
        ('book', service, f'{SITE}/1', '--places', '2'),
        ('record', service, f'{SITE}/1'),
    )
    return all([_run_command(command, address) for command in commands])


def _run_command(arguments: tuple[str, ...], address: str) -> bool:
    _print_line(f'\n$ celeryturn {shlex.join(arguments)} --at {address}')
    sys.stdout.flush()
    process = subprocess.run(  # noqa: S603
        (sys.executable, '-m', 'celeryturn.cli', *arguments, '--at', address),
        check=False,
    )
    return process.returncode == 0


def _elapsed(started: float) -> str:
    return f'{time.monotonic() - started:.1f}'


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')


if __name__ == '__main__':
    run_command_line(run, 'run')
