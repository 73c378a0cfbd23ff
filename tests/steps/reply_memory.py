"""Steps on the memory of replies that are not complete."""

import base64
import re
from collections import Counter
from typing import Final

import msgspec
from behave import given, then, when
from behave.runner import Context

from celeryturn.clients.account import (
    ClientAccount,
    Holding,
    close_holding,
    open_holding,
)
from celeryturn.http.reply_memory import ReplyMemory, hold, resize
from celeryturn.platform.store import Changes, StoreClient
from celeryturn.settings import Endpoint
from tests.support.raw_target import RawTarget
from tests.support.routed import ADDRESS, run

STORED_KEY: Final = 'op/config'
WAIT_SECONDS: Final = 10.0

_NUMBERS: Final = re.compile(r'\d+')


class Reply:
    """A reply that is being received.

    :param may_give_way: Whether it may be ended since others need the room.
    :param has_given_way: Whether it was.
    """

    def __init__(self) -> None:
        self.may_give_way = True
        self.has_given_way = False

    def give_way(self) -> None:
        """Note that it was ended."""
        self.has_given_way = True


@given('an account of {limit_bytes:d} bytes')
def make_account(context: Context, limit_bytes: int) -> None:
    """Create an account without anything held."""
    context.account = ClientAccount()
    context.account.limit_bytes = limit_bytes
    context.memory = ReplyMemory(context.account)
    context.held = {}


@given('{count:d} idle clients of {size_bytes:d} bytes')
def open_clients(context: Context, count: int, size_bytes: int) -> None:
    """Open connections of clients that wait."""
    for _ in range(count):
        _open_client(context.account)
    assert context.account.used_bytes == count * size_bytes


@given('replies that hold {sizes} bytes')
def hold_replies(context: Context, sizes: str) -> None:
    """Receive a part of several replies."""
    for size_text in _NUMBERS.findall(sizes):
        reply = Reply()
        context.held[reply] = int(size_text)
        assert resize(context.memory, reply, int(size_text))


@given('a reply of the store that holds {size_bytes:d} bytes')
def hold_store_reply(context: Context, size_bytes: int) -> None:
    """Receive a part of a reply that does not give way."""
    reply = Reply()
    reply.may_give_way = False
    context.held[reply] = size_bytes
    assert resize(context.memory, reply, size_bytes)


@given('{size_bytes:d} bytes of replies that are complete')
def hold_complete(context: Context, size_bytes: int) -> None:
    """Hold replies until their requests have ended."""
    hold(context.memory, size_bytes)


@when('another reply comes to hold {size_bytes:d} bytes')
def grow_other(context: Context, size_bytes: int) -> None:
    """Receive a part of one more reply."""
    context.has_room = resize(context.memory, Reply(), size_bytes)


@when('that reply comes to hold {size_bytes:d} bytes')
def grow_same(context: Context, size_bytes: int) -> None:
    """Receive a further part of the only reply."""
    reply = next(iter(context.held))
    context.has_room = resize(context.memory, reply, size_bytes)


@then('the reply of {size_bytes:d} bytes gives way')
def expect_given_way(context: Context, size_bytes: int) -> None:
    """Check which reply was ended, and that the other one has room."""
    assert context.has_room
    assert _given_way(context) == [size_bytes], _given_way(context)


@then('no reply gives way')
def expect_none_given_way(context: Context) -> None:
    """Check that all replies go on."""
    assert not _given_way(context)


@then('there is room for it')
def expect_room(context: Context) -> None:
    """Check that the reply may go on."""
    assert context.has_room


@then('there is no room for it')
def expect_no_room(context: Context) -> None:
    """Check that the reply may not go on."""
    assert not context.has_room


@then('replies hold {size_bytes:d} bytes together')
def expect_held(context: Context, size_bytes: int) -> None:
    """Check what is charged for replies."""
    assert context.memory.used_bytes == size_bytes
    assert context.memory.incoming_bytes == size_bytes
    assert context.account.used_bytes == size_bytes


@then('some idle clients are left')
def expect_clients(context: Context) -> None:
    """Check that not all of them were closed."""
    assert context.account.waiting


@when('the client of the store reads an item of {size_bytes:d} bytes')
def read_store(context: Context, size_bytes: int) -> None:
    """Read the item from a server that charges nothing itself."""
    context.stored = bytes(size_bytes)
    server = RawTarget(_encode_range(context.stored))
    context.servers.append(server)

    async def read() -> Changes:
        store = StoreClient(Endpoint(ADDRESS, await server.start()), Counter())
        return await store.read(STORED_KEY, WAIT_SECONDS)

    context.changes = run(context, read()).changes


@then('it has that item')
def expect_item(context: Context) -> None:
    """Check that the item is whole."""
    assert [change.body for change in context.changes] == [context.stored]


def _encode_range(stored: bytes) -> bytes:
    text = base64.b64encode(stored).decode()
    entry = {'Key': STORED_KEY, 'Value': text, 'Revision': 1}
    body = msgspec.json.encode(
        {'items': [entry], 'HasMore': False, 'CurrentRev': 1}
    )
    return b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b' % (
        len(body),
        body,
    )


def _open_client(account: ClientAccount) -> None:
    def close() -> None:
        close_holding(account, holding)

    holding = Holding(close)
    open_holding(account, holding)


def _given_way(context: Context) -> list[int]:
    return [
        size_bytes
        for reply, size_bytes in context.held.items()
        if reply.has_given_way
    ]
