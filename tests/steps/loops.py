"""Steps on loops that are restarted after an unexpected error."""

from unittest import mock

from behave import given, then, when
from behave.runner import Context

from celeryturn import watcher
from celeryturn.loops import run_with_restarts
from tests.support.world import until


@given('a loop that fails {count:d} times and then ends')
def given_failing_loop(context: Context, count: int) -> None:
    """Define a loop that fails before it returns."""
    context.start_count = 0

    async def loop() -> None:
        context.start_count += 1
        if context.start_count <= count:
            raise RuntimeError('an unexpected error')

    context.failing_loop = loop


@when('it is run with restarts')
def run_loop(context: Context) -> None:
    """Run the loop until it returns."""
    running = run_with_restarts(context.failing_loop, restart_delay_seconds=0)
    context.loop.run_until_complete(running)


@then('it was started {starts:d} times and {errors:d} errors are logged')
def expect_starts(context: Context, starts: int, errors: int) -> None:
    """Check the number of starts, and that every error is logged."""
    assert context.start_count == starts, context.start_count
    logged = context.log.getvalue().count('an unexpected error')
    assert logged == errors, context.log.getvalue()


@when('an instance fails to process one change')
def fail_once(context: Context) -> None:
    """Make the adoption of a document fail, and wait until it has failed."""
    fault = RuntimeError('an unexpected error')
    with mock.patch.object(
        watcher, 'offer_document', side_effect=fault
    ) as offer:
        context.world.platform.put('services/reservas', b'{}')
        context.loop.run_until_complete(until(lambda: offer.call_count > 0))
