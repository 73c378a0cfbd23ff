"""Steps that run the daemon and the command-line tool as processes."""

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

MAX_WAIT_SECONDS = 30.0
POLL_SECONDS = 0.05


@when('an operator runs "{words}"')
def run_command(context: Context, words: str) -> None:
    """Run the command-line tool."""
    _run_tool(context, shlex.split(words))


@when('a daemon is started with settings in which')
def start_faulty(context: Context) -> None:
    """Start a daemon whose settings have faults."""
    settings = _read_settings(context, _first_instance(context))
    for row in context.table:
        *parents, last = row['field'].split('.')
        section = settings[parents[0]] if parents else settings
        section[last] = yaml.safe_load(row['is'])
    _run_daemon(context, settings)


@when('a daemon is started with the ports of a running instance')
def start_twice(context: Context) -> None:
    """Start a daemon with ports that another daemon uses."""
    _run_daemon(context, _read_settings(context, _first_instance(context)))


@then('it exits with {code:d}')
def expect_code(context: Context, code: int) -> None:
    """Check the exit code and that no traceback is printed."""
    assert context.completed.returncode == code, context.completed
    assert 'Traceback' not in context.printed, context.printed


@then('it prints "{text}"')
def expect_text(context: Context, text: str) -> None:
    """Check that the output contains a text."""
    assert text in context.printed, context.printed


@then('only the refusal is printed')
def expect_refusal_only(context: Context) -> None:
    """Check that the output is a refusal without a warning."""
    assert context.printed.startswith('CT-501'), context.printed
    assert 'Warning' not in context.printed, context.printed


@then('it prints JSON with the fields "{names}"')
def expect_json(context: Context, names: str) -> None:
    """Check that the output is JSON with these fields."""
    printed = msgspec.json.decode(context.completed.stdout)
    assert set(names.split()) <= set(printed), printed


@when('{count:d} callers search through "{name}" while it receives SIGTERM')
def search_and_signal(context: Context, count: int, name: str) -> None:
    """Send SIGTERM to an instance that has requests in flight."""
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
    """Check that all answers are complete."""
    for reply in context.replies:
        answer = msgspec.json.decode(reply.body)
        assert reply.status == 200, answer
        assert answer['coverage']['is_complete'], answer['coverage']


@then('every search accounts for all shards and misses only those not in time')
def expect_whole(context: Context) -> None:
    """Check that answers account for every shard."""
    for reply in context.replies:
        coverage = msgspec.json.decode(reply.body)['coverage']
        lacking = coverage['lacking']
        assert len(coverage['included']) + len(lacking) == 10, coverage
        reasons = {entry['reason'] for entry in lacking}
        assert reasons <= {'not_in_time'}, reasons


@then('"{name}" exits with {code:d}')
def expect_exit(context: Context, name: str, code: int) -> None:
    """Check that a process ends by itself."""
    process = context.fleet.instances.pop(name)
    assert process.wait(MAX_WAIT_SECONDS) == code


@when('"{name}" receives SIGTERM twice')
def signal_twice(context: Context, name: str) -> None:
    """Send SIGTERM again during the graceful shutdown."""
    process = context.fleet.instances[name]
    process.send_signal(signal.SIGTERM)
    log = context.fleet.folder / f'{name}.log'
    _wait_until(lambda: b'CT102' in log.read_bytes())
    process.send_signal(signal.SIGTERM)


@then('"{name}" exits with {code:d} before the advice kept by callers expires')
def expect_early_exit(context: Context, name: str, code: int) -> None:
    """Check that the shutdown is immediate.

    A graceful shutdown logs the same events, so their times are compared.
    """
    process = context.fleet.instances.pop(name)
    assert process.wait(MAX_WAIT_SECONDS) == code
    log = (context.fleet.folder / f'{name}.log').read_text().splitlines()
    times = {
        event['message_type']: event['timestamp']
        for event in map(msgspec.json.decode, log)
    }
    assert times['CT103'] - times['CT102'] < context.advice_keep_seconds


@when('"{name}" is killed as a process')
def kill_process(context: Context, name: str) -> None:
    """Kill the process of an instance."""
    context.fleet.instances.pop(name).kill()
    context.stopped_name = name


@then('"addresses" no longer names it')
def expect_not_advised(context: Context) -> None:
    """Wait until the advice no longer contains the instance."""

    def is_left_out() -> bool:
        arguments = ['addresses', '--caller', 'c', '--zone', 'bilbao-c']
        _run_tool(context, arguments)
        return context.stopped_name not in context.printed

    _wait_until(is_left_out)
    assert context.completed.returncode == 0


@when('"{name}" is paused until another instance lists it as gone')
def pause(context: Context, name: str) -> None:
    """Pause a process and wait until another instance lists it as gone."""
    context.stopped_name = name
    context.fleet.instances[name].send_signal(signal.SIGSTOP)
    _wait_until(lambda: _status(context, name) == 'gone')


@when('it resumes')
def resume(context: Context) -> None:
    """Resume the process."""
    context.fleet.instances[context.stopped_name].send_signal(signal.SIGCONT)


@then('"state" lists it as alive again')
def expect_alive(context: Context) -> None:
    """Wait until another instance lists it as alive."""
    _wait_until(lambda: _status(context, context.stopped_name) == 'alive')


@then('a search through "{name}" has complete coverage')
def expect_search(context: Context, name: str) -> None:
    """Check a search through one instance."""
    reply = context.loop.run_until_complete(_search(context, name))
    context.replies = [reply]
    expect_full(context)


def _first_instance(context: Context) -> str:
    names = list(context.fleet.instance_addresses)
    return str(names[0])


def _run_tool(context: Context, arguments: list[str]) -> None:
    if '--at' not in arguments and arguments[0] != 'check':
        arguments = [
            *arguments,
            '--at',
            context.fleet.instance_addresses[_first_instance(context)],
        ]
    _run(context, 'celeryturn.cli', arguments)


def _run_daemon(context: Context, settings: dict[str, Any]) -> None:
    path = context.fleet.folder / 'tried.yaml'
    path.write_text(yaml.safe_dump(settings))
    _run(context, 'celeryturn.daemon', ['--settings', str(path)])


def _run(context: Context, module: str, arguments: list[str]) -> None:
    context.completed = subprocess.run(  # noqa: S603
        (sys.executable, '-m', module, *arguments),
        capture_output=True,
        text=True,
        check=False,
        timeout=MAX_WAIT_SECONDS,
        cwd=Path(__file__).parents[2],
    )
    context.printed = context.completed.stdout + context.completed.stderr


def _read_settings(context: Context, name: str) -> dict[str, Any]:
    text = (context.fleet.folder / f'{name}.yaml').read_text()
    settings: dict[str, Any] = yaml.safe_load(text)
    return settings


async def _search(context: Context, name: str) -> HttpReply:
    address, port = context.fleet.instance_addresses[name].split(':')
    body = msgspec.json.encode({'service': 'reservas', 'deadline_seconds': 10})
    request = HttpRequest('POST', '/v1/search', body=body)
    return await fetch(address, int(port), request, MAX_WAIT_SECONDS)


def _status(context: Context, name: str) -> str:
    _run_tool(context, ['state', '--json'])
    dump = msgspec.json.decode(context.completed.stdout)[0]
    status: str = dump['members'][name]['status']
    return status


def _wait_until(condition: Any) -> None:
    end = time.monotonic() + MAX_WAIT_SECONDS
    while not condition():
        assert time.monotonic() < end, 'the condition was not met in time'
        time.sleep(POLL_SECONDS)
