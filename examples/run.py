"""The main job: a fleet, one request of each kind, a graceful end."""

import shlex
import subprocess  # noqa: S404
import sys
import time
from typing import Final

from celeryturn.command_line import run_command_line
from examples.fleet import start_fleet, stop_fleet, wait_ready
from standins.topology import USERS

SITE: Final = 'site-0004'


def run(user: str = 'consorcio') -> None:
    """Run one request of each kind against the stand-ins.

    :param user: consorcio or redda.
    """
    started = time.monotonic()
    service = next(iter(USERS[user].services))
    fleet = start_fleet(user)
    try:
        wait_ready(fleet)
        _say(f'nine instances are ready after {_since(started)} s')
        is_good = _ask_all(fleet.places, service, USERS[user].zones[0])
    finally:
        is_stopped = stop_fleet(fleet)
    _say(f'all ended gracefully: {is_stopped}, after {_since(started)} s')
    sys.exit(0 if is_good and is_stopped else 1)


def _ask_all(places: dict[str, str], service: str, zone: str) -> bool:
    first = next(iter(places.values()))
    commands = (
        ('addresses', '--caller', 'dispatcher-1', '--zone', zone),
        ('config',),
        ('search', service, '--text', 'round 0'),
        ('quickcheck', service, '--site', SITE),
        ('record', service, f'{SITE}/1'),
        ('book', service, f'{SITE}/1', '--places', '2'),
        ('record', service, f'{SITE}/1'),
    )
    return all([_command(command, first) for command in commands])


def _command(words: tuple[str, ...], place: str) -> bool:
    _say(f'\n$ celeryturn {shlex.join(words)} --at {place}')
    sys.stdout.flush()
    ended = subprocess.run(  # noqa: S603
        (sys.executable, '-m', 'celeryturn.cli', *words, '--at', place),
        check=False,
    )
    return ended.returncode == 0


def _since(started: float) -> str:
    return f'{time.monotonic() - started:.1f}'


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')


if __name__ == '__main__':
    run_command_line(run, 'run')
