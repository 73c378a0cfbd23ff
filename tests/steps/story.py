"""Steps on logs: the causes found in them, and their bounds."""

import os
import tempfile
from pathlib import Path

import msgspec
from behave import given, then, when
from behave.runner import Context

from celeryturn import cli
from celeryturn import log_analysis as stories
from celeryturn.decisions.load import line_budget
from celeryturn.log_stream import MAX_BUFFERED_BYTES, LogStream
from tests.support.routed import RoutedWorld, plain_route

SERVICE = 'bookings'
START_SECONDS = 50.0


@given('a plain route to {count:d} targets with an objective of {limit:d} ms')
def given_objective(context: Context, count: int, limit: int) -> None:
    """Start a service with a low latency objective."""
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
def check_story(context: Context, request: str, text: str) -> None:
    """Check that the story of a request has a text."""
    story = cli.story(request, _log_file(context))
    assert text in story, story


@then('the causes have "{text}"')
def check_cause(context: Context, text: str) -> None:
    """Check that a cause is among the counted ones."""
    causes = cli.why(_log_file(context))
    assert text in causes, causes


@then('a log with {count:d} broken lines is reported to have unreadable ones')
def check_unreadable_lines(context: Context, count: int) -> None:
    """Check that only truncated objects are counted as unreadable."""
    path = Path(_log_file(context))
    broken = '\n'.join('{"event": "cut of' for _ in range(count))
    path.write_text(f'{path.read_text()}\n{broken}\nno object\n')
    causes = cli.why(str(path))
    assert f'{count} lines could not be read' in causes, causes


@then(
    'a line with the prefix "{prefix}" is attributed to the instance "{name}"'
)
def check_collector_prefix(context: Context, prefix: str, name: str) -> None:
    """Check that the prefix of a collector is parsed."""
    adopted = {'event': 'table_adopted', 'timestamp': 1.5, 'version': 4}
    failed = {'event': 'refused', 'timestamp': 2.5, 'request': 'r-1'}
    path = Path(tempfile.mkdtemp()) / 'log'
    lines = (msgspec.json.encode(line).decode() for line in (adopted, failed))
    path.write_text(''.join(f'{prefix}{line}\n' for line in lines))
    read = stories.read_lines([str(path)])
    found = stories.select_request(read.lines, 'r-1')
    assert found[0].place.endswith(name), found
    assert stories.known_state_before(read.lines, found[0]), read.lines


@given('a log budget')
def given_budget(context: Context) -> None:
    """Create a budget with all its tokens."""
    context.budget = line_budget.LineBudget(START_SECONDS)


@when(
    '{success_count:d} requests succeed and {failure_count:d} fail'
    ' within a second'
)
def write_lines(
    context: Context, success_count: int, failure_count: int
) -> None:
    """Request a line for each request, the failed ones last."""
    context.failure_count = failure_count
    context.written = {True: 0, False: 0}
    for number in range(success_count + failure_count):
        is_failure = number % (success_count + failure_count) >= success_count
        now_seconds = START_SECONDS + number / (success_count + failure_count)
        written = line_budget.may_write(
            context.budget, now_seconds, is_important=is_failure
        )
        context.written[is_failure] += written


@then('all {count:d} lines on failed requests are written')
def check_failure_lines(context: Context, count: int) -> None:
    """Check that no line on a failed request was dropped."""
    assert context.written[True] == count, context.written


@then('at most {count:d} lines on successful requests are written')
def check_success_lines(context: Context, count: int) -> None:
    """Check that some lines, but only a few, were written."""
    assert 0 < context.written[False] <= count, context.written


@then('the budget has the number of dropped lines')
def check_dropped_count(context: Context) -> None:
    """Check that the count is correct and reset when it is read."""
    dropped = line_budget.take_dropped_count(context.budget)
    assert dropped, 'none'
    assert dropped + context.written[True] == context.failure_count
    assert not line_budget.take_dropped_count(context.budget)


@given('a log stream whose reader has stopped')
def given_stopped(context: Context) -> None:
    """Create a pipe that is not read."""
    reader, writer = os.pipe()
    context.reader = reader
    context.writer = writer
    context.stream = LogStream(context.writer)


@given('a log stream whose reader has closed its end')
def given_closed(context: Context) -> None:
    """Create a pipe whose other end is closed."""
    given_stopped(context)
    os.close(context.reader)


@when('{count:d} lines of {size:d} bytes are written to it')
def write_stream(context: Context, count: int, size: int) -> None:
    """Write numbered lines of a fixed size."""
    for number in range(count):
        context.stream.write(f'{number:0{size - 1}}\n'.encode())


@then('it holds at most {limit:d} bytes and counts the dropped lines')
def check_held_bytes(context: Context, limit: int) -> None:
    """Check the bound on held bytes, and that lines were dropped."""
    assert limit == MAX_BUFFERED_BYTES
    assert context.stream.buffered_bytes <= limit
    assert context.stream.dropped_count


@when('the reader resumes')
def resume_reading(context: Context) -> None:
    """Read until the stream holds no more bytes."""
    os.set_blocking(context.reader, False)
    parts: list[bytes] = []
    while context.stream.buffered_bytes or not parts:
        context.stream.flush()
        parts.append(os.read(context.reader, 1_000_000))
    context.written_text = b''.join(parts).decode()


@then('every line that was not dropped is read complete')
def check_whole_lines(context: Context) -> None:
    """Check that the lines are in order and none is truncated."""
    lines = context.written_text.splitlines()
    assert {len(line) for line in lines} == {99}
    assert lines == sorted(lines)
    os.close(context.reader)
    os.close(context.writer)


@then('it counts {count:d} dropped lines')
def check_dropped_lines(context: Context, count: int) -> None:
    """Check the number of dropped lines."""
    assert context.stream.dropped_count == count
    os.close(context.writer)


def _log_file(context: Context) -> str:
    path = Path(tempfile.mkdtemp()) / 'log'
    path.write_text(context.log.getvalue())
    return str(path)
