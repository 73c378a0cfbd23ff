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
from celeryturn.http.server import HttpServer

OK: Final = 200
NOT_FOUND: Final = 404
GONE: Final = 410
LIMITED: Final = 429
UNAVAILABLE: Final = 503
MILLISECONDS: Final = 1000
PAGE_ITEMS: Final = 3


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
    """

    def __init__(self) -> None:
        self.mode = Mode.SERVING
        self.revision = 1
        self.call_count = 0
        self.page_items = PAGE_ITEMS
        self.server = HttpServer(self._answer, refusal_reply)
        self._values: dict[str, tuple[bytes, int]] = {}
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

    def _note(self, key: str, value: bytes | None) -> None:
        self._events.append((self.revision, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, request: HttpRequest) -> HttpReply:
        self.call_count += 1
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
            return self._key(query)
        return json_reply(NOT_FOUND, {})

    def _key(self, query: dict[str, str]) -> HttpReply:
        key = query.get('Key', '')
        if key not in self._values:
            return json_reply(NOT_FOUND, {})
        item = {**self._item(key), 'CurrentRev': self.revision}
        return json_reply(OK, item)

    def _range(self, query: dict[str, str]) -> HttpReply:
        prefix = query.get('Prefix', '')
        after = query.get('after', '')
        keys = sorted(
            key
            for key in self._values
            if key.startswith(prefix) and key > after
        )
        page = keys[: self.page_items]
        body = {
            'items': [self._item(key) for key in page],
            'HasMore': len(keys) > len(page),
            'CurrentRev': self.revision,
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
        return json_reply(OK, {'events': events, 'CurrentRev': self.revision})

    def _later(self, after: int, query: dict[str, str]) -> list[dict[str, Any]]:
        prefix = query.get('Prefix', '')
        return [
            _event(revision, key, value)
            for revision, key, value in self._events
            if revision > after and key.startswith(prefix)
        ]

    def _item(self, key: str) -> dict[str, Any]:
        value, revision = self._values[key]
        return {**_event(revision, key, value), 'Created': revision, 'Lease': 0}


def _event(revision: int, key: str, value: bytes | None) -> dict[str, Any]:
    if value is None:
        return {'Key': key, 'Revision': revision, 'Deleted': True}
    text = base64.b64encode(value).decode()
    return {'Key': key, 'Revision': revision, 'Value': text}
