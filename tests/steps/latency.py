"""Steps on quantiles of observed latencies."""

from behave import given, then
from behave.runner import Context

from celeryturn.decisions.targets import latency

START_SECONDS = 1000.0


@given('a latency window without samples')
def make_empty_window(context: Context) -> None:
    """Make an empty window."""
    context.latency_window = latency.LatencyWindow(START_SECONDS)


@given('a latency window with {count:d} replies of {milliseconds:d} ms')
def make_window(context: Context, count: int, milliseconds: int) -> None:
    """Make a window with equal samples."""
    window = latency.LatencyWindow(START_SECONDS)
    for _ in range(count):
        latency.record(window, milliseconds / 1000, START_SECONDS)
    context.latency_window = window


@then(
    'the {percentile:d}th percentile with the default {default_ms:d} ms is'
    ' {expected_ms:d} ms'
)
def expect_quantile(
    context: Context, percentile: int, default_ms: int, expected_ms: int
) -> None:
    """Check a quantile, within the precision of the histogram."""
    seconds = latency.quantile(
        context.latency_window, percentile, START_SECONDS, default_ms / 1000
    )
    assert round(seconds * 1000) == expected_ms, seconds
