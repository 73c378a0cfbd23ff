"""Stand-in for the platform's store: ranges, keys and watches."""

import asyncio
import base64
import json
import time
from typing import Any, Final, NamedTuple

from review.support.messages import Reply, Request, Server

OK: Final = 200
NOT_FOUND: Final = 404
GONE: Final = 410
HISTORY_SECONDS: Final = 20.0
MAX_PAGE_ITEMS: Final = 500
MAX_PAGE_BYTES: Final = 1_000_000
MILLISECONDS_PER_SECOND: Final = 1000
JSON_TYPE: Final = 'application/json'


class Event(NamedTuple):
    """A change of a key.

    :param at_seconds: Time of the change.
    :param entry: The entry as it was written, or that it was deleted.
    """

    at_seconds: float
    entry: dict[str, Any]


class Store:
    """The store.

    :param revision: Revision of the last change.
    :param entries: Current entries by key.
    :param events: Changes of the last :data:`HISTORY_SECONDS`.
    :param largest_watch_bytes: Size of the largest answer to a watch.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.events: list[Event] = []
        self.largest_watch_bytes = 0
        self._first_revision = 1
        self._changed = asyncio.Event()
        self._server = Server(self._answer)

    @property
    def port(self) -> int:
        """TCP port; zero before the start."""
        return self._server.port

    async def start(self, address: str) -> None:
        """Start to listen.

        :param address: IP address.
        """
        await self._server.start(address)

    def put(self, key: str, document: object) -> None:
        """Write a key.

        :param key: The key.
        :param document: Content, which is written as JSON.
        """
        self.put_bytes(
            key, json.dumps(document, separators=(',', ':')).encode()
        )

    def put_bytes(self, key: str, encoded: bytes) -> None:
        """Write any bytes as the value of a key.

        :param key: The key.
        :param encoded: The bytes.
        """
        self.revision += 1
        known = self.entries.get(key)
        created = known['Created'] if known else self.revision
        entry = {
            'Key': key,
            'Value': base64.b64encode(encoded).decode(),
            'Revision': self.revision,
            'Created': created,
            'Lease': 0,
        }
        self.entries[key] = entry
        self._record(entry)

    def delete(self, key: str) -> None:
        """Delete a key.

        :param key: The key.
        """
        self.revision += 1
        self.entries.pop(key)
        self._record({'Key': key, 'Revision': self.revision, 'Deleted': True})

    def _record(self, entry: dict[str, Any]) -> None:
        self.events.append(Event(time.monotonic(), entry))
        self._drop_history()
        self._changed.set()
        self._changed = asyncio.Event()

    def _drop_history(self) -> None:
        since_seconds = time.monotonic() - HISTORY_SECONDS
        while self.events and self.events[0].at_seconds < since_seconds:
            self._first_revision = self.events.pop(0).entry['Revision']

    async def _answer(
        self, request: Request, _writer: asyncio.StreamWriter
    ) -> Reply | None:
        match request.path:
            case '/v1/kv-range':
                return self._range(request.query)
            case '/v1/kv-watch':
                return await self._watch(request.query)
            case '/v1/kv-key':
                return self._key(request.query)
        return _reply({}, NOT_FOUND)

    def _key(self, query: dict[str, str]) -> Reply:
        entry = self.entries.get(query['Key'])
        if entry is None:
            return _reply({}, NOT_FOUND)
        return _reply({**entry, 'CurrentRev': self.revision})

    def _range(self, query: dict[str, str]) -> Reply:
        prefix = query.get('Prefix', '')
        after = query.get('after', '')
        keys = sorted(
            key
            for key in self.entries
            if key.startswith(prefix) and key > after
        )
        page: list[dict[str, Any]] = []
        size_bytes = 0
        for key in keys:
            if len(page) == MAX_PAGE_ITEMS or size_bytes > MAX_PAGE_BYTES:
                break
            page.append(self.entries[key])
            size_bytes += len(self.entries[key]['Value'])
        return _reply(
            {
                'items': page,
                'HasMore': len(page) < len(keys),
                'CurrentRev': self.revision,
            }
        )

    async def _watch(self, query: dict[str, str]) -> Reply:
        after = int(query['after'])
        prefix = query.get('Prefix', '')
        wait_seconds = int(query['WaitMs']) / MILLISECONDS_PER_SECOND
        until_seconds = time.monotonic() + wait_seconds
        events = self._events_after(after, prefix)
        while events is not None and not events:
            remaining_seconds = until_seconds - time.monotonic()
            if remaining_seconds <= 0:
                break
            await self._wait_for_change(remaining_seconds)
            events = self._events_after(after, prefix)
        if events is None:
            return _reply({}, GONE)
        reply = _reply({'events': events, 'CurrentRev': self.revision})
        self.largest_watch_bytes = max(
            self.largest_watch_bytes, len(reply.body)
        )
        return reply

    async def _wait_for_change(self, timeout_seconds: float) -> None:
        changed = self._changed
        try:
            await asyncio.wait_for(changed.wait(), timeout_seconds)
        except TimeoutError:
            return

    def _events_after(
        self, after: int, prefix: str
    ) -> list[dict[str, Any]] | None:
        self._drop_history()
        if not self._first_revision <= after <= self.revision:
            return None
        return [
            event.entry
            for event in self.events
            if event.entry['Revision'] > after
            and event.entry['Key'].startswith(prefix)
        ]


def _reply(document: object, status: int = OK) -> Reply:
    body = json.dumps(document, separators=(',', ':')).encode()
    return Reply(status, {'content-type': JSON_TYPE}, body)
