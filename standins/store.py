"""A stand-in of the platform's store: keys, ranges, watches, and faults."""

import asyncio
import base64
import contextlib
import enum
from types import MappingProxyType
from typing import Any, Final

from celeryturn.forwarding.refusals import refusal_reply
from celeryturn.http.messages import (
    HttpReply,
    HttpRequest,
    json_reply,
    split_url,
)
from celeryturn.http.server import HttpServer, Limits

OK: Final = 200
NOT_FOUND: Final = 404
GONE: Final = 410
LIMITED: Final = 429
UNAVAILABLE: Final = 503
MILLISECONDS: Final = 1000
PAGE_ITEMS: Final = 3
MOST_VALUE_BYTES: Final = 1_000_000


class Mode(enum.StrEnum):
    """How the store behaves."""

    SERVING = 'serving'
    BUSY = 'busy'
    LIMITED = 'limited'
    SILENT = 'silent'


_REFUSALS: Final = MappingProxyType(
    {Mode.BUSY: UNAVAILABLE, Mode.LIMITED: LIMITED}
)


class StoreStandin:
    """One store.

    :param mode: How it behaves now.
    :param revision: Revision of the last change.
    :param call_count: Calls so far.
    :param page_items: Items on a page of a range.
    :param delay_seconds: How long every call takes: a slow store.
    """

    def __init__(self) -> None:
        self.mode = Mode.SERVING
        self.revision = 1
        self.call_count = 0
        self.page_items = PAGE_ITEMS
        self.delay_seconds = 0.0
        self.server = HttpServer(
            self._answer, refusal_reply, Limits(body_bytes=MOST_VALUE_BYTES)
        )
        self._values: dict[str, tuple[bytes, int]] = {}
        self._stale: tuple[dict[str, tuple[bytes, int]], int] | None = None
        self._events: list[tuple[int, str, bytes | None]] = []
        self._first_revision = 0
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes) -> None:
        """Write a key.

        :param key: The key.
        :param value: Its new value.
        """
        self.revision += 1
        self._values[key] = (value, self.revision)
        self._note(key, value)

    def delete(self, key: str) -> None:
        """Remove a key.

        :param key: The key.
        """
        self.revision += 1
        self._values.pop(key, None)
        self._note(key, None)

    def forget_history(self) -> None:
        """Drop the changes that watches could still ask for."""
        self._events.clear()
        self._first_revision = self.revision

    def freeze(self) -> None:
        """Show readers the present from now on, whatever changes."""
        self._stale = (dict(self._values), self.revision)

    def thaw(self) -> None:
        """Show readers the present again."""
        self._stale = None

    def _note(self, key: str, value: bytes | None) -> None:
        self._events.append((self.revision, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, request: HttpRequest) -> HttpReply:
        self.call_count += 1
        if request.method == 'POST':
            return self._control(request.body)
        await asyncio.sleep(self.delay_seconds)
        if self.mode is Mode.SILENT:
            await asyncio.Event().wait()
        refusal = _REFUSALS.get(self.mode)
        if refusal is not None:
            return json_reply(refusal, {})
        path, query = split_url(request.url)
        if path == '/v1/kv-range':
            return self._range(query)
        if path == '/v1/kv-watch':
            return await self._watch(query)
        if path == '/v1/kv-key':
            return self._key(request, query)
        return json_reply(NOT_FOUND, {})

    def _control(self, word: bytes) -> HttpReply:
        # For scripts, which cannot call this object.
        self.mode = Mode.BUSY if word == b'down' else Mode.SERVING
        if word == b'freeze':
            self.freeze()
        elif word == b'thaw':
            self.thaw()
        return json_reply(OK, {})

    def _key(self, request: HttpRequest, query: dict[str, str]) -> HttpReply:
        key = query.get('Key', '')
        if request.method == 'PUT':
            self.put(key, request.body)
        values, revision = self._shown()
        if key not in values:
            return json_reply(NOT_FOUND, {})
        item = {**_item(key, *values[key]), 'CurrentRev': revision}
        return json_reply(OK, item)

    def _shown(self) -> tuple[dict[str, tuple[bytes, int]], int]:
        return self._stale or (self._values, self.revision)

    def _range(self, query: dict[str, str]) -> HttpReply:
        prefix = query.get('Prefix', '')
        after = query.get('after', '')
        values, revision = self._shown()
        keys = sorted(
            key for key in values if key.startswith(prefix) and key > after
        )
        page = keys[: self.page_items]
        body = {
            'items': [_item(key, *values[key]) for key in page],
            'HasMore': len(keys) > len(page),
            'CurrentRev': revision,
        }
        return json_reply(OK, body)

    async def _watch(self, query: dict[str, str]) -> HttpReply:
        after = int(query['after'])
        wait_seconds = int(query['WaitMs']) / MILLISECONDS
        if after < self._first_revision:
            return json_reply(GONE, {})
        events = self._later(after, query)
        if not events:
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), wait_seconds)
            events = self._later(after, query)
        _, revision = self._shown()
        return json_reply(OK, {'events': events, 'CurrentRev': revision})

    def _later(self, after: int, query: dict[str, str]) -> list[dict[str, Any]]:
        prefix = query.get('Prefix', '')
        _, shown_revision = self._shown()
        return [
            _event(revision, key, value)
            for revision, key, value in self._events
            if after < revision <= shown_revision and key.startswith(prefix)
        ]


def _item(key: str, value: bytes, revision: int) -> dict[str, Any]:
    return {**_event(revision, key, value), 'Created': revision, 'Lease': 0}


def _event(revision: int, key: str, value: bytes | None) -> dict[str, Any]:
    if value is None:
        return {'Key': key, 'Revision': revision, 'Deleted': True}
    text = base64.b64encode(value).decode()
    return {'Key': key, 'Revision': revision, 'Value': text}
