"""Steps on real processes."""

import asyncio
import shlex
import signal
import subprocess  # noqa: S404
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
import yaml
from behave import then, when
from behave.runner import Context

from celeryturn.http.client import fetch
from celeryturn.http.messages import HttpReply, HttpRequest

LONGEST_SECONDS = 30.0
POLL_SECONDS = 0.05


@when('an operator runs "{words}"')
def run_command(context: Context, words: str) -> None:
    """Run the command-line tool."""
    _run_tool(context, shlex.split(words))


@when('a daemon is started with settings in which')
def start_faulty(context: Context) -> None:
    """Start a daemon whose settings have faults."""
    settings = _settings_of(context, _first(context))
    for row in context.table:
        *outer, last = row['field'].split('.')
        place = settings[outer[0]] if outer else settings
        place[last] = yaml.safe_load(row['is'])
    _run_daemon(context, settings)


@when('a daemon is started with the ports of a running instance')
def start_twice(context: Context) -> None:
    """Start a daemon where another one listens."""
    _run_daemon(context, _settings_of(context, _first(context)))


@then('it exits with {code:d}')
def expect_code(context: Context, code: int) -> None:
    """Expect an exit code, and no traceback."""
    assert context.ended.returncode == code, context.ended
    assert 'Traceback' not in context.printed, context.printed


@then('it prints "{text}"')
def expect_text(context: Context, text: str) -> None:
    """Expect a text in what was printed."""
    assert text in context.printed, context.printed


@then('nothing is printed but the refusal')
def expect_refusal_only(context: Context) -> None:
    """Expect one refusal and no warning."""
    assert context.printed.startswith('CT-501'), context.printed
    assert 'Warning' not in context.printed, context.printed


@then('it prints JSON with the fields "{names}"')
def expect_json(context: Context, names: str) -> None:
    """Expect JSON with some fields."""
    printed = msgspec.json.decode(context.ended.stdout)
    assert set(names.split()) <= set(printed), printed


@when('{count:d} callers search through "{name}" while it gets SIGTERM')
def search_and_signal(context: Context, count: int, name: str) -> None:
    """Signal an instance with requests in flight."""
    process = context.fleet.instances[name]

    async def go() -> list[HttpReply]:
        tasks = [
            asyncio.create_task(_search(context, name)) for _ in range(count)
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        process.send_signal(signal.SIGTERM)
        return await asyncio.gather(*tasks)

    context.replies = context.loop.run_until_complete(go())


@then('every search was answered in full')
def expect_full(context: Context) -> None:
    """Expect complete answers only."""
    for reply in context.replies:
        answer = msgspec.json.decode(reply.body)
        assert reply.status == 200, answer
        assert answer['coverage']['is_complete'], answer['coverage']


@then('every search has a whole answer, lacking only what was not in time')
def expect_whole(context: Context) -> None:
    """Expect answers that account for every shard."""
    for reply in context.replies:
        coverage = msgspec.json.decode(reply.body)['coverage']
        lacking = coverage['lacking']
        assert len(coverage['included']) + len(lacking) == 10, coverage
        reasons = {entry['reason'] for entry in lacking}
        assert reasons <= {'not_in_time'}, reasons


@then('"{name}" exits with {code:d}')
def expect_exit(context: Context, name: str, code: int) -> None:
    """Expect that a process ends by itself."""
    process = context.fleet.instances.pop(name)
    assert process.wait(LONGEST_SECONDS) == code


@when('"{name}" gets SIGTERM twice')
def signal_twice(context: Context, name: str) -> None:
    """Signal an instance once more while it leaves."""
    process = context.fleet.instances[name]
    process.send_signal(signal.SIGTERM)
    log = context.fleet.folder / f'{name}.log'
    _until(lambda: b'CT102' in log.read_bytes())
    process.send_signal(signal.SIGTERM)


@then('"{name}" exits with {code:d} before its kept advice has run out')
def expect_early_exit(context: Context, name: str, code: int) -> None:
    """Expect an end at once; a graceful one would have logged the same."""
    process = context.fleet.instances.pop(name)
    assert process.wait(LONGEST_SECONDS) == code
    log = (context.fleet.folder / f'{name}.log').read_text().splitlines()
    times = {
        event['message_type']: event['timestamp']
        for event in map(msgspec.json.decode, log)
    }
    assert times['CT103'] - times['CT102'] < context.advice_keep_seconds


@when('"{name}" is killed as a process')
def kill_process(context: Context, name: str) -> None:
    """Kill an instance."""
    context.fleet.instances.pop(name).kill()
    context.gone = name


@then('"addresses" names it no more')
def expect_unnamed(context: Context) -> None:
    """Ask until the instance is left out of the advice."""

    def is_left_out() -> bool:
        words = ['addresses', '--caller', 'c', '--zone', 'bilbao-c']
        _run_tool(context, words)
        return context.gone not in context.printed

    _until(is_left_out)
    assert context.ended.returncode == 0


@when('"{name}" is paused until the others give it up')
def pause(context: Context, name: str) -> None:
    """Stop a process, and wait for what the others believe."""
    context.gone = name
    context.fleet.instances[name].send_signal(signal.SIGSTOP)
    _until(lambda: _status(context, name) == 'gone')


@when('it wakes up')
def wake(context: Context) -> None:
    """Let the process go on."""
    context.fleet.instances[context.gone].send_signal(signal.SIGCONT)


@then('"state" calls it alive again')
def expect_alive(context: Context) -> None:
    """Wait until the others believe in it again."""
    _until(lambda: _status(context, context.gone) == 'alive')


@then('a search through "{name}" is answered in full')
def expect_search(context: Context, name: str) -> None:
    """Search through one instance."""
    reply = context.loop.run_until_complete(_search(context, name))
    context.replies = [reply]
    expect_full(context)


def _first(context: Context) -> str:
    names = list(context.fleet.instance_addresses)
    return str(names[0])


def _run_tool(context: Context, words: list[str]) -> None:
    if '--at' not in words and words[0] != 'check':
        words = [
            *words,
            '--at',
            context.fleet.instance_addresses[_first(context)],
        ]
    _run(context, 'celeryturn.cli', words)


def _run_daemon(context: Context, settings: dict[str, Any]) -> None:
    path = context.fleet.folder / 'tried.yaml'
    path.write_text(yaml.safe_dump(settings))
    _run(context, 'celeryturn.daemon', ['--settings', str(path)])


def _run(context: Context, module: str, words: list[str]) -> None:
    context.ended = subprocess.run(  # noqa: S603
        (sys.executable, '-m', module, *words),
        capture_output=True,
        text=True,
        check=False,
        timeout=LONGEST_SECONDS,
        cwd=Path(__file__).parents[2],
    )
    context.printed = context.ended.stdout + context.ended.stderr


def _settings_of(context: Context, name: str) -> dict[str, Any]:
    text = (context.fleet.folder / f'{name}.yaml').read_text()
    settings: dict[str, Any] = yaml.safe_load(text)
    return settings


async def _search(context: Context, name: str) -> HttpReply:
    address, port = context.fleet.instance_addresses[name].split(':')
    body = msgspec.json.encode({'service': 'reservas', 'deadline_seconds': 10})
    request = HttpRequest('POST', '/v1/search', body=body)
    return await fetch(address, int(port), request, LONGEST_SECONDS)


def _status(context: Context, name: str) -> str:
    _run_tool(context, ['state', '--json'])
    dump = msgspec.json.decode(context.ended.stdout)[0]
    status: str = dump['members'][name]['status']
    return status


def _until(condition: Any) -> None:
    end = time.monotonic() + LONGEST_SECONDS
    while not condition():
        assert time.monotonic() < end, 'it did not come'
        time.sleep(POLL_SECONDS)
