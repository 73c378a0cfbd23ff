"""Steps on dialling peers that may have no power."""

from behave import then, when
from behave.runner import Context

from celeryturn.peers import dial_timeouts

PEER = 'seed 10.0.0.1:7740'


def _timeouts(context: Context) -> dial_timeouts.DialTimeouts:
    if 'dial_timeouts' not in context:
        context.dial_timeouts = dial_timeouts.DialTimeouts()
    timeouts: dial_timeouts.DialTimeouts = context.dial_timeouts
    return timeouts


@when('{count:d} attempts to dial a peer time out')
def time_out(context: Context, count: int) -> None:
    """Record attempts without any response."""
    for _ in range(count):
        dial_timeouts.record_failure(_timeouts(context), PEER, TimeoutError())


@when('it refuses a connection')
def refuse(context: Context) -> None:
    """Record a refused connection."""
    dial_timeouts.record_failure(
        _timeouts(context), PEER, ConnectionRefusedError()
    )


@then(
    'the first two attempts to dial a peer take less than {seconds:d} s'
    ' together'
)
def expect_short(context: Context, seconds: int) -> None:
    """Check the first two timeouts."""
    timeouts = _timeouts(context)
    first_seconds = dial_timeouts.timeout_seconds(timeouts, PEER)
    time_out(context, 1)
    second_seconds = dial_timeouts.timeout_seconds(timeouts, PEER)
    assert first_seconds + second_seconds < seconds


@then('the next attempt may take {seconds:g} s')
def expect_timeout(context: Context, seconds: float) -> None:
    """Check the next timeout."""
    next_seconds = dial_timeouts.timeout_seconds(_timeouts(context), PEER)
    assert next_seconds == seconds, next_seconds
