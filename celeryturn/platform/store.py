"""The platform's store: read a prefix, and watch it for changes."""

from typing import Annotated, Final, NamedTuple, TypedDict, TypeVar
from urllib.parse import urlencode

import msgspec

from celeryturn.http.client import Connection, connect
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.settings import Endpoint

BodyT = TypeVar('BodyT')

CONNECT_TIMEOUT_SECONDS: Final = 1.0
MILLISECONDS_PER_SECOND: Final = 1000
OK_STATUS: Final = 200
HISTORY_GONE_STATUS: Final = 410
MAX_PAGES: Final = 200


class StoreError(ConnectionError):
    """The store does not answer, or not as it should."""


class HistoryGoneError(StoreError):
    """The store no longer holds the changes that were asked for."""


class Change(NamedTuple):
    """One key as it is now.

    :param key: The key.
    :param body: Its value; ``None`` where it was deleted.
    """

    key: str
    body: bytes | None


class Changes(NamedTuple):
    """What a call to the store returned.

    :param changes: Keys in the order of their change.
    :param revision: Revision up to which nothing is left out.
    """

    changes: tuple[Change, ...]
    revision: int


class _ItemBody(TypedDict, total=False):
    Key: str
    # Standard base64; msgspec decodes it. It may be anyone's bytes.
    Value: str
    Deleted: bool


class _RangeBody(TypedDict):
    items: list[_ItemBody]
    HasMore: bool
    CurrentRev: Annotated[int, msgspec.Meta(ge=0)]


class _WatchBody(TypedDict):
    events: list[_ItemBody]
    CurrentRev: Annotated[int, msgspec.Meta(ge=0)]


_range_decoder: Final = msgspec.json.Decoder(_RangeBody)
_watch_decoder: Final = msgspec.json.Decoder(_WatchBody)


class StoreClient:
    """One connection to the store, opened anew after any failure.

    :param endpoint: Where the store listens.
    """

    __slots__ = ('_connection', 'endpoint')

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self._connection: Connection | None = None

    async def read(self, prefix: str, timeout_seconds: float) -> Changes:
        """Read all keys of a prefix.

        :param prefix: Beginning of the keys.
        :param timeout_seconds: Longest wait for each page.
        :returns: The keys; their revision is that of the first page, since
            pages are no snapshot.
        :raises StoreError: When they cannot all be read.
        """
        changes: list[Change] = []
        revision = 0
        after = ''
        for page in range(MAX_PAGES):
            query = {'Prefix': prefix}
            if after:
                # Here a key; in a watch the same field is a revision.
                query['after'] = after
            reply = await self._get('/v1/kv-range', query, timeout_seconds)
            body = _decode(_range_decoder, reply)
            revision = revision if page else body['CurrentRev']
            changes.extend(map(_decode_change, body['items']))
            if not body['HasMore'] or not changes:
                return Changes(tuple(changes), revision)
            after = changes[-1].key
        raise StoreError(f'{prefix}: more than {MAX_PAGES} pages')

    async def watch(
        self,
        prefix: str,
        after_revision: int,
        wait_seconds: float,
        slack_seconds: float,
    ) -> Changes:
        """Wait for changes.

        :param prefix: Beginning of the keys.
        :param after_revision: Only later changes count.
        :param wait_seconds: Longest wait at the store.
        :param slack_seconds: How much later its answer may come.
        :returns: The changes, possibly none.
        :raises HistoryGoneError: When a whole read is needed first.
        :raises StoreError: When there is no usable answer.
        """
        query = {
            'Prefix': prefix,
            'after': str(after_revision),
            'WaitMs': str(int(wait_seconds * MILLISECONDS_PER_SECOND)),
        }
        reply = await self._get(
            '/v1/kv-watch', query, wait_seconds + slack_seconds
        )
        body = _decode(_watch_decoder, reply)
        changes = tuple(map(_decode_change, body['events']))
        return Changes(changes, body['CurrentRev'])

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _get(
        self, path: str, query: dict[str, str], timeout_seconds: float
    ) -> HttpReply:
        # An empty prefix is a prefix too.
        request = HttpRequest('GET', f'{path}?{urlencode(query)}')
        try:
            reply = await self._exchange(request, timeout_seconds)
        except BaseException:
            # After a failure nothing further comes on a connection.
            self.close()
            raise
        if reply.status == HISTORY_GONE_STATUS:
            raise HistoryGoneError(f'{path}: history is gone')
        if reply.status != OK_STATUS:
            self.close()
            raise StoreError(f'{path}: status {reply.status}')
        return reply

    async def _exchange(
        self, request: HttpRequest, timeout_seconds: float
    ) -> HttpReply:
        connection = self._connection
        if connection is None or not connection.is_idle:
            connection = await connect(
                self.endpoint.address,
                self.endpoint.port,
                CONNECT_TIMEOUT_SECONDS,
            )
            self._connection = connection
        return await connection.exchange_within(request, timeout_seconds)


def _decode(decoder: msgspec.json.Decoder[BodyT], reply: HttpReply) -> BodyT:
    try:
        return decoder.decode(reply.body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise StoreError(f'not understood: {error}') from error


def _decode_change(item: _ItemBody) -> Change:
    key = item.get('Key', '')
    if item.get('Deleted'):
        return Change(key, None)
    try:
        body = msgspec.convert(item.get('Value', ''), bytes)
    except msgspec.ValidationError:
        # Unreadable bytes of another writer: a value that names nothing.
        body = b''
    return Change(key, body)
