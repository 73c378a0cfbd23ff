"""Stand-in for the platform's store: ranges and watches."""

import asyncio
import base64
import contextlib
import json
from typing import Any, Final, NamedTuple
from urllib.parse import parse_qs, urlsplit

from review.support_2.messages import encode, read_message

ADDRESS: Final = '127.0.0.1'
PAGE_ITEM_COUNT: Final = 500
MILLISECONDS_PER_SECOND: Final = 1000


class Change(NamedTuple):
    """A write or a removal.

    :param revision: Revision of the change.
    :param key: The key.
    :param text: The new value; ``None`` for a removal.
    """

    revision: int
    key: str
    text: bytes | None


class Store:
    """One store that loses nothing and is always up to date.

    :param revision: Revision of the last change.
    :param port: TCP port on which it listens.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.port = 0
        self._current: dict[str, Change] = {}
        self._history: list[Change] = []
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Start to listen."""
        server = await asyncio.start_server(self._serve, ADDRESS, 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, key: str, fields: dict[str, Any]) -> None:
        """Write a key.

        :param key: The key.
        :param fields: Fields of its value.
        """
        change = self._add(key, json.dumps(fields).encode())
        self._current[key] = change

    def delete(self, key: str) -> None:
        """Remove a key.

        :param key: The key.
        """
        self._current.pop(key, None)
        self._add(key, None)

    def _add(self, key: str, text: bytes | None) -> Change:
        self.revision += 1
        change = Change(self.revision, key, text)
        self._history.append(change)
        self._changed.set()
        self._changed = asyncio.Event()
        return change

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._serve_requests(reader, writer)
        except (OSError, EOFError):
            return
        finally:
            writer.close()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        headers = {'Content-Type': 'application/json'}
        while True:
            request = await read_message(reader)
            url = request.first_line.split()[1]
            reply = json.dumps(await self._reply(url)).encode()
            writer.write(encode('HTTP/1.1 200 OK', headers, reply))
            await writer.drain()

    async def _reply(self, url: str) -> dict[str, Any]:
        parts = urlsplit(url)
        query = {
            name: texts[0]
            for name, texts in parse_qs(
                parts.query, keep_blank_values=True
            ).items()
        }
        if parts.path == '/v1/kv-range':
            return self._read_range(query)
        if parts.path == '/v1/kv-watch':
            return await self._watch(query)
        # Instances of another play may dial a port that was theirs before.
        raise ConnectionError(f'the store does not serve {url}')

    def _read_range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix = query.get('Prefix', '')
        after = query.get('after', '')
        found = [
            self._current[key]
            for key in sorted(self._current)
            if key.startswith(prefix) and key > after
        ]
        return {
            'items': [_describe(change) for change in found[:PAGE_ITEM_COUNT]],
            'HasMore': len(found) > PAGE_ITEM_COUNT,
            'CurrentRev': self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        after_revision = int(query['after'])
        wait_seconds = int(query['WaitMs']) / MILLISECONDS_PER_SECOND
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_seconds):
                while self.revision <= after_revision:
                    await self._changed.wait()
        events = [
            _describe(change)
            for change in self._history
            if change.revision > after_revision
        ]
        return {'events': events, 'CurrentRev': self.revision}


def _describe(change: Change) -> dict[str, Any]:
    described: dict[str, Any] = {
        'Key': change.key,
        'Revision': change.revision,
    }
    if change.text is None:
        return {**described, 'Deleted': True}
    return {
        **described,
        'Value': base64.b64encode(change.text).decode(),
        'Created': change.revision,
        'Lease': 0,
    }
