"""Steps on the fingerprints of requests."""

from behave import then
from behave.runner import Context
from hypothesis import given as with_examples
from hypothesis import settings
from hypothesis import strategies as st

from celeryturn.decisions.request.fingerprint import (
    Fingerprint,
    compute_fingerprint,
)


@then('the fingerprint of "{request}" is the same each time')
def expect_same_again(context: Context, request: str) -> None:
    """Compute a fingerprint twice."""
    context.fingerprint = _fingerprint(request)
    assert context.fingerprint == _fingerprint(request)


@then('it is the same for "{request}"')
def expect_same(context: Context, request: str) -> None:
    """Compare with the fingerprint of another spelling."""
    assert context.fingerprint == _fingerprint(request)


@then('the fingerprint of "{request}" is not that of "{other}"')
def expect_other(context: Context, request: str, other: str) -> None:
    """Compare the fingerprints of two requests."""
    assert _fingerprint(request) != _fingerprint(other)


@then('moving any bytes from one field to the next changes the fingerprint')
def expect_no_shift(context: Context) -> None:
    """Move the end of the URL to the body, for generated URLs."""

    @settings(derandomize=True, database=None)
    @with_examples(st.text('ab/', min_size=1), st.text('ab/'), st.data())
    def check(url: str, body: str, drawn: st.DataObject) -> None:
        cut = drawn.draw(st.integers(0, len(url) - 1))
        moved = url[cut:] + body
        assert compute_fingerprint(
            'GET', 'x', url, body.encode()
        ) != compute_fingerprint('GET', 'x', url[:cut], moved.encode())

    check()


def _fingerprint(request: str) -> Fingerprint:
    method, host, url, *words = request.split(' ')
    return compute_fingerprint(method, host, url, ' '.join(words).encode())
