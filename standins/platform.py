"""A stand-in of the configuration service and of the list of instances."""

import asyncio
import contextlib
from typing import Any, Final

from celeryturn.entry.refusals import refusal_reply
from celeryturn.http.messages import (
    HttpReply,
    HttpRequest,
    json_reply,
    split_url,
)
from celeryturn.http.server import HttpServer, Limits

OK: Final = 200
NOT_FOUND: Final = 404
UNAVAILABLE: Final = 503
MAX_VALUE_BYTES: Final = 1_000_000
KEYS_PATH: Final = '/v1/keys/'


class PlatformStandin:
    """Both services, with faults that a script turns on.

    :param store: Value and revision by key.
    :param revision: Revision of the last change.
    :param instances: Entries of the list.
    :param is_down: Whether every call fails.
    :param stale: What readers are shown in place of the present, if set.
    :param delay_seconds: How long every call takes: a slow service.
    :param call_count: Calls so far.
    """

    def __init__(self) -> None:
        self.store: dict[str, tuple[bytes, int]] = {}
        self.revision = 0
        self.instances: list[dict[str, Any]] = []
        self.is_down = False
        self.stale: tuple[dict[str, tuple[bytes, int]], int] | None = None
        self.delay_seconds = 0.0
        self.call_count = 0
        self.server = HttpServer(
            self.answer_request,
            refusal_reply,
            Limits(body_bytes=MAX_VALUE_BYTES),
        )
        self._changed = asyncio.Event()

    def publish(self, key: str, text: bytes) -> int:
        """Do what operators do.

        :param key: Name of the key.
        :param text: Its new value.
        :returns: The revision of the change.
        """
        self.revision += 1
        self.store[key] = (text, self.revision)
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def freeze(self) -> None:
        """Show readers the present from now on, whatever changes."""
        self.stale = (dict(self.store), self.revision)

    def thaw(self) -> None:
        """Show readers the present again."""
        self.stale = None

    async def answer_request(self, request: HttpRequest) -> HttpReply:
        """Answer any request."""
        self.call_count += 1
        path, query = split_url(request.url)
        if path == '/control' and request.method == 'POST':
            return self._control(request)
        await asyncio.sleep(self.delay_seconds)
        if self.is_down:
            return json_reply(UNAVAILABLE, {})
        if path == '/v1/instances':
            return json_reply(OK, {'instances': self.instances})
        if path == '/v1/watch':
            return await self._watch(query)
        if path.startswith(KEYS_PATH):
            return self._key(request, path.removeprefix(KEYS_PATH))
        return json_reply(NOT_FOUND, {})

    def _control(self, request: HttpRequest) -> HttpReply:
        self.is_down = request.body == b'down'
        if request.body == b'freeze':
            self.freeze()
        elif request.body == b'thaw':
            self.thaw()
        return json_reply(OK, {})

    async def _watch(self, query: dict[str, str]) -> HttpReply:
        after = int(query.get('after', '0'))
        wait_seconds = float(query.get('wait_seconds', '0'))
        _, revision = self._shown()
        if revision == after:
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), wait_seconds)
        store, revision = self._shown()
        keys = {key: changed_at for key, (_, changed_at) in store.items()}
        return json_reply(OK, {'revision': revision, 'keys': keys})

    def _key(self, request: HttpRequest, key: str) -> HttpReply:
        if request.method == 'PUT':
            return json_reply(OK, {'revision': self.publish(key, request.body)})
        store, _ = self._shown()
        if key not in store:
            return json_reply(NOT_FOUND, {})
        return HttpReply(OK, (), store[key][0])

    def _shown(self) -> tuple[dict[str, tuple[bytes, int]], int]:
        return self.stale or (self.store, self.revision)
