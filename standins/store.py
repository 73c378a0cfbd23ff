"""Stand-in for the platform's store: keys, ranges, watches and faults."""

import asyncio
import base64
import contextlib
import enum
from collections import Counter
from types import MappingProxyType
from typing import Any, Final

from celeryturn.forwarding.request.refusals import refusal_reply
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
TOO_MANY_REQUESTS: Final = 429
UNAVAILABLE: Final = 503
MILLISECONDS_PER_SECOND: Final = 1000
DEFAULT_PAGE_ITEM_COUNT: Final = 3
MAX_VALUE_BYTES: Final = 1_000_000


class Mode(enum.StrEnum):
    """Behaviour of the store.

    - ``SERVING``: replies normally.
    - ``BUSY``: replies 503.
    - ``LIMITED``: replies 429.
    - ``SILENT``: does not respond.
    - ``LOSING_WATCHES``: does not respond to watches, also to those that wait
      already; replies normally otherwise.
    """

    SERVING = 'serving'
    BUSY = 'busy'
    LIMITED = 'limited'
    SILENT = 'silent'
    LOSING_WATCHES = 'losing watches'


_ERROR_STATUSES: Final = MappingProxyType(
    {Mode.BUSY: UNAVAILABLE, Mode.LIMITED: TOO_MANY_REQUESTS}
)


class StoreStandin:
    """One store.

    :param mode: Current behaviour.
    :param revision: Revision of the last change.
    :param request_count: Number of requests received so far.
    :param page_item_count: Maximum number of items on a page of a range.
    :param delay_seconds: Delay of each reply, to simulate a slow store.
    :param era: Text of the header that counts restored copies; empty for no
        header.
    :param nested_reply: Body of the next response; empty for none.
    :param call_counts: Number of reads by whether they may be old, and of
        watches.
    """

    def __init__(self) -> None:
        self.mode = Mode.SERVING
        self.revision = 1
        self.request_count = 0
        self.page_item_count = DEFAULT_PAGE_ITEM_COUNT
        self.delay_seconds = 0.0
        self.era = ''
        self.nested_reply = b''
        self.call_counts: Counter[str] = Counter()
        self._old_state: tuple[dict[str, tuple[bytes, int]], int] | None = None
        self.server = self._make_server()
        self._values: dict[str, tuple[bytes, int]] = {}
        self._frozen_state: tuple[dict[str, tuple[bytes, int]], int] | None = (
            None
        )
        self._events: list[tuple[int, str, bytes | None]] = []
        self._first_revision = 0
        self._changed = asyncio.Event()

    async def move(self, address: str) -> None:
        """Serve at another port, and no longer at the present one.

        :param address: IP address to listen on.
        """
        former = self.server
        self.server = self._make_server()
        await self.server.start(address, 0)
        await former.stop(0)

    def put(self, key: str, value: bytes) -> None:
        """Write a key.

        :param key: The key.
        :param value: Its new value.
        """
        self.revision += 1
        self._values[key] = (value, self.revision)
        self._record_event(key, value)

    def delete(self, key: str) -> None:
        """Delete a key.

        :param key: The key.
        """
        self.revision += 1
        self._values.pop(key, None)
        self._record_event(key, None)

    def compact_history(self) -> None:
        """Discard past changes; watches from before now then get status 410."""
        self._events.clear()
        self._first_revision = self.revision

    def freeze(self) -> None:
        """Serve the present state to readers, whatever changes later."""
        self._frozen_state = (dict(self._values), self.revision)

    def thaw(self) -> None:
        """Serve the latest state to readers again."""
        self._frozen_state = None

    def lag_old_reads(self) -> None:
        """Serve the present state to reads that may be old, from now on."""
        self._old_state = (dict(self._values), self.revision)

    def copy(self) -> tuple[dict[str, tuple[bytes, int]], int]:
        """Take a copy of the present state, to restore it later."""
        return dict(self._values), self.revision

    def restore(
        self, copied: tuple[dict[str, tuple[bytes, int]], int], era: int
    ) -> None:
        """Go back to a copy, whose history is kept.

        :param copied: The copy.
        :param era: Number of restored copies, including this one.
        """
        values, revision = copied
        self._values = dict(values)
        self.revision = revision
        self._events = [
            event for event in self._events if event[0] <= self.revision
        ]
        self.era = str(era)
        self._changed.set()
        self._changed = asyncio.Event()

    def _make_server(self) -> HttpServer:
        return HttpServer(
            self._handle_request,
            refusal_reply,
            Limits(body_bytes=MAX_VALUE_BYTES),
        )

    def _record_event(self, key: str, value: bytes | None) -> None:
        self._events.append((self.revision, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle_request(self, request: HttpRequest) -> HttpReply:
        reply = await self._dispatch(request)
        if self.nested_reply:
            return self._take_nested_reply()
        if not self.era:
            return reply
        return reply._replace(headers=(*reply.headers, ('store-era', self.era)))

    async def _dispatch(self, request: HttpRequest) -> HttpReply:
        self.request_count += 1
        if request.method == 'POST':
            return self._apply_command(request.body)
        await asyncio.sleep(self.delay_seconds)
        if self.mode is Mode.SILENT:
            await asyncio.Event().wait()
        error_status = _ERROR_STATUSES.get(self.mode)
        if error_status is not None:
            return json_reply(error_status, {})
        path, query = split_url(request.url)
        if path == '/v1/kv-range':
            return self._serve_range(query)
        if path == '/v1/kv-watch':
            return await self._serve_watch(query)
        if path == '/v1/kv-key':
            return self._serve_key(request, query)
        return json_reply(NOT_FOUND, {})

    def _take_nested_reply(self) -> HttpReply:
        body = self.nested_reply
        self.nested_reply = b''
        return HttpReply(OK, (), body)

    def _apply_command(self, command: bytes) -> HttpReply:
        # Lets scripts, which cannot call this object, change its behaviour.
        self.mode = Mode.BUSY if command == b'down' else Mode.SERVING
        if command == b'freeze':
            self.freeze()
        elif command == b'thaw':
            self.thaw()
        return json_reply(OK, {})

    def _serve_key(
        self, request: HttpRequest, query: dict[str, str]
    ) -> HttpReply:
        key = query.get('Key', '')
        if request.method == 'PUT':
            self.put(key, request.body)
        values, revision = self._visible_state()
        if key not in values:
            return json_reply(NOT_FOUND, {})
        item = {**_encode_item(key, *values[key]), 'CurrentRev': revision}
        return json_reply(OK, item)

    def _visible_state(self) -> tuple[dict[str, tuple[bytes, int]], int]:
        return self._frozen_state or (self._values, self.revision)

    def _serve_range(self, query: dict[str, str]) -> HttpReply:
        prefix = query.get('Prefix', '')
        after = query.get('after', '')
        values, revision = self._visible_state()
        if 'Serializable' in query:
            self.call_counts['old read'] += 1
            values, revision = self._old_state or (values, revision)
        else:
            self.call_counts['read'] += 1
        keys = sorted(
            key for key in values if key.startswith(prefix) and key > after
        )
        page = keys[: self.page_item_count]
        body = {
            'items': [_encode_item(key, *values[key]) for key in page],
            'HasMore': len(keys) > len(page),
            'CurrentRev': revision,
        }
        return json_reply(OK, body)

    async def _serve_watch(self, query: dict[str, str]) -> HttpReply:
        self.call_counts['watch'] += 1
        after = int(query['after'])
        wait_seconds = int(query['WaitMs']) / MILLISECONDS_PER_SECOND
        if not self._has_history(after):
            return json_reply(GONE, {})
        events = self._events_after(after, query)
        if not events:
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), wait_seconds)
            events = self._events_after(after, query)
        if not self._has_history(after):
            return json_reply(GONE, {})
        if self.mode is Mode.LOSING_WATCHES:
            await asyncio.Event().wait()
        _, revision = self._visible_state()
        return json_reply(OK, {'events': events, 'CurrentRev': revision})

    def _has_history(self, after: int) -> bool:
        return self._first_revision <= after <= self.revision

    def _events_after(
        self, after: int, query: dict[str, str]
    ) -> list[dict[str, Any]]:
        prefix = query.get('Prefix', '')
        _, visible_revision = self._visible_state()
        return [
            _encode_event(revision, key, value)
            for revision, key, value in self._events
            if after < revision <= visible_revision and key.startswith(prefix)
        ]


def _encode_item(key: str, value: bytes, revision: int) -> dict[str, Any]:
    return {
        **_encode_event(revision, key, value),
        'Created': revision,
        'Lease': 0,
    }


def _encode_event(
    revision: int, key: str, value: bytes | None
) -> dict[str, Any]:
    if value is None:
        return {'Key': key, 'Revision': revision, 'Deleted': True}
    text = base64.b64encode(value).decode()
    return {'Key': key, 'Revision': revision, 'Value': text}
