"""Steps on the messages of the former build."""

from behave import then, when
from behave.runner import Context

from celeryturn.peers import encoding

FORMER_CODES = range(1, 23)


@when('a peer sends the bytes {digits}')
def receive(context: Context, digits: str) -> None:
    """Decode what the former build has written."""
    context.encoded = bytes.fromhex(digits)
    context.message = encoding.unpack(context.encoded)


@then('they are a message of type {name}')
def expect_type(context: Context, name: str) -> None:
    """Check the type of the decoded message."""
    assert type(context.message).__name__ == name, context.message


@then('the message is written with the same bytes')
def expect_same_bytes(context: Context) -> None:
    """Encode the message again."""
    assert encoding.pack(context.message) == context.encoded


@then(
    'each message that was added since has a code that the former build does'
    ' not use'
)
def expect_new_codes(context: Context) -> None:
    """Check the codes beyond those of the former build."""
    codes = set(encoding._TYPES_BY_CODE)
    assert codes >= set(FORMER_CODES), codes
    added = codes - set(FORMER_CODES)
    assert min(added) > max(FORMER_CODES), added
