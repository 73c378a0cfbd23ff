"""Steps on logs: what they tell, and that they hold nothing up."""

import os
import tempfile
from pathlib import Path

import msgspec
from behave import given, then, when
from behave.runner import Context

from celeryturn import cli
from celeryturn import log_analysis as stories
from celeryturn.decisions import line_budget
from celeryturn.log_stream import MAX_BUFFERED_BYTES, LogStream
from tests.support.routed import RoutedWorld, plain_route

SERVICE = 'bookings'
START_SECONDS = 50.0


@given('a plain route to {count:d} targets with an objective of {limit:d} ms')
def given_objective(context: Context, count: int, limit: int) -> None:
    """Start a service whose answers are soon late."""
    world = RoutedWorld()
    context.routed = world

    async def start() -> None:
        await world.start_store()
        await world.start_targets(SERVICE, count)
        world.publish(1, plain_route(SERVICE, TargetLatencyMs=limit))
        await world.start_instance()
        await world.wait_ready()

    context.loop.run_until_complete(start())


@then('the story of "{request}" has "{text}"')
def expect_story(context: Context, request: str, text: str) -> None:
    """Expect a text in the story that the command tells."""
    told = cli.story(request, _log_file(context))
    assert text in told, told


@then('the causes have "{text}"')
def expect_cause(context: Context, text: str) -> None:
    """Expect a cause among those that the command counts."""
    told = cli.why(_log_file(context))
    assert text in told, told


@then('a log with {count:d} broken lines says so')
def expect_broken(context: Context, count: int) -> None:
    """Break lines and expect that they are counted."""
    path = Path(_log_file(context))
    broken = '\n'.join('{"event": "cut of' for _ in range(count))
    path.write_text(f'{path.read_text()}\n{broken}\nno object\n')
    told = cli.why(str(path))
    assert f'{count} lines could not be read' in told, told


@then('a line with "{before}" before it is of the instance "{name}"')
def expect_place(context: Context, before: str, name: str) -> None:
    """Expect that a collector's words are understood."""
    adopted = {'event': 'table_adopted', 'timestamp': 1.5, 'version': 4}
    failed = {'event': 'refused', 'timestamp': 2.5, 'request': 'r-1'}
    path = Path(tempfile.mkdtemp()) / 'log'
    lines = (msgspec.json.encode(line).decode() for line in (adopted, failed))
    path.write_text(''.join(f'{before}{line}\n' for line in lines))
    read = stories.read_lines([str(path)])
    told = stories.select_request(read.lines, 'r-1')
    assert told[0].place.endswith(name), told
    assert stories.known_state_before(read.lines, told[0]), read.lines


@given('a log budget')
def given_budget(context: Context) -> None:
    """Make a budget that is full."""
    context.lines = line_budget.LineBudget(START_SECONDS)


@when('{well:d} requests go well and {badly:d} go wrong within a second')
def write_lines(context: Context, well: int, badly: int) -> None:
    """Ask for lines."""
    context.badly = badly
    context.written = {True: 0, False: 0}
    for number in range(well + badly):
        is_bad = number % (well + badly) >= well
        now_seconds = START_SECONDS + number / (well + badly)
        written = line_budget.may_write(
            context.lines, now_seconds, is_important=is_bad
        )
        context.written[is_bad] += written


@then('all {count:d} lines on what went wrong are written')
def expect_written(context: Context, count: int) -> None:
    """Expect lines."""
    assert context.written[True] == count, context.written


@then('at most {count:d} lines on what went well are written')
def expect_few(context: Context, count: int) -> None:
    """Expect few lines."""
    assert 0 < context.written[False] <= count, context.written


@then('the budget says how many lines were left out')
def expect_dropped(context: Context) -> None:
    """Expect a true count."""
    dropped = line_budget.take_dropped_count(context.lines)
    assert dropped, 'none'
    assert dropped + context.written[True] == context.badly
    assert not line_budget.take_dropped_count(context.lines)


@given('a log stream whose reader has stopped')
def given_stopped(context: Context) -> None:
    """Make a pipe that nobody reads."""
    reader, writer = os.pipe()
    context.reader = reader
    context.writer = writer
    context.stream = LogStream(context.writer)


@given('a log stream whose reader has gone')
def given_gone(context: Context) -> None:
    """Make a pipe whose other end is closed."""
    given_stopped(context)
    os.close(context.reader)


@when('{count:d} lines of {size:d} bytes are written to it')
def write_stream(context: Context, count: int, size: int) -> None:
    """Write lines."""
    for number in range(count):
        context.stream.write(f'{number:0{size - 1}}\n'.encode())


@then('it holds at most {limit:d} bytes and counts the rest')
def expect_bounded(context: Context, limit: int) -> None:
    """Expect a bound."""
    assert limit == MAX_BUFFERED_BYTES
    assert context.stream.buffered_bytes <= limit
    assert context.stream.dropped_count


@when('the reader goes on')
def read_on(context: Context) -> None:
    """Read until nothing more comes."""
    os.set_blocking(context.reader, False)
    parts: list[bytes] = []
    while context.stream.buffered_bytes or not parts:
        context.stream.flush()
        parts.append(os.read(context.reader, 1_000_000))
    context.written_text = b''.join(parts).decode()


@then('every line that was not given up comes whole')
def expect_whole(context: Context) -> None:
    """Expect lines in order, with none cut."""
    lines = context.written_text.splitlines()
    assert {len(line) for line in lines} == {99}
    assert lines == sorted(lines)
    os.close(context.reader)
    os.close(context.writer)


@then('it counts {count:d} lines as given up')
def expect_given_up(context: Context, count: int) -> None:
    """Expect a count."""
    assert context.stream.dropped_count == count
    os.close(context.writer)


def _log_file(context: Context) -> str:
    path = Path(tempfile.mkdtemp()) / 'log'
    path.write_text(context.log.getvalue())
    return str(path)
