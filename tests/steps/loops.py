"""Steps on loops that outlive a fault."""

from unittest import mock

from behave import given, then, when
from behave.runner import Context

from celeryturn import watcher
from celeryturn.loops import run_with_restarts
from tests.support.world import until


@given('a loop that fails {count:d} times and then ends')
def given_failing(context: Context, count: int) -> None:
    """Make a loop."""
    context.begun_count = 0

    async def loop() -> None:
        context.begun_count += 1
        if context.begun_count <= count:
            raise RuntimeError('a fault of this program')

    context.failing_loop = loop


@when('it is kept running')
def keep(context: Context) -> None:
    """Run it to its end."""
    keeping = run_with_restarts(context.failing_loop, restart_delay_seconds=0)
    context.loop.run_until_complete(keeping)


@then('it was begun {begun:d} times and {faults:d} faults are in the log')
def expect_begun(context: Context, begun: int, faults: int) -> None:
    """Expect that no fault is swallowed."""
    assert context.begun_count == begun, context.begun_count
    told = context.log.getvalue().count('a fault of this program')
    assert told == faults, context.log.getvalue()


@when('one change makes an instance fail')
def fail_once(context: Context) -> None:
    """Let the code that takes in a document fail once."""
    fault = RuntimeError('a fault of this program')
    with mock.patch.object(
        watcher, 'offer_document', side_effect=fault
    ) as offer:
        context.world.platform.put('services/reservas', b'{}')
        context.loop.run_until_complete(until(lambda: offer.call_count > 0))
