"""Client of the platform's store: reads a prefix and watches for changes."""

from typing import Final, NamedTuple, TypedDict, TypeVar
from urllib.parse import urlencode

import msgspec

from celeryturn.http.client import Connection, connect
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.settings import Endpoint
from celeryturn.units import Count

BodyT = TypeVar('BodyT')

CONNECT_TIMEOUT_SECONDS: Final = 1.0
MILLISECONDS_PER_SECOND: Final = 1000
OK_STATUS: Final = 200
HISTORY_GONE_STATUS: Final = 410
MAX_PAGES: Final = 200
# Only the revision in the response is of interest.
NO_KEY_PREFIX: Final = 'none/'


class StoreError(ConnectionError):
    """The store does not respond, or its response is not usable."""


class HistoryGoneError(StoreError):
    """The store no longer holds the requested changes."""


class Change(NamedTuple):
    """Current state of one key.

    :param key: The key.
    :param body: Value of the key, or ``None`` if it was deleted.
    """

    key: str
    body: bytes | None


class Changes(NamedTuple):
    """Response of the store to a read or a watch.

    :param changes: Keys in the order in which they changed.
    :param revision: Revision up to which all changes are included.
    """

    changes: tuple[Change, ...]
    revision: int


class _ItemBody(TypedDict, total=False):
    Key: str
    # Standard base64, decoded by msgspec.  Other writers may store any bytes.
    Value: str
    Deleted: bool


class _RangeBody(TypedDict):
    items: list[_ItemBody]
    HasMore: bool
    CurrentRev: Count


class _WatchBody(TypedDict):
    events: list[_ItemBody]
    CurrentRev: Count


_range_decoder: Final = msgspec.json.Decoder(_RangeBody)
_watch_decoder: Final = msgspec.json.Decoder(_WatchBody)


class StoreClient:
    """One connection to the store, reopened after any failure.

    :param endpoint: Address and port of the store.
    """

    __slots__ = ('_connection', 'endpoint')

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self._connection: Connection | None = None

    async def read(self, prefix: str, timeout_seconds: float) -> Changes:
        """Read all keys with a prefix.

        :param prefix: Prefix of the keys.
        :param timeout_seconds: Maximum wait for each page.
        :returns: The keys, with the revision of the first page, since the
            pages together are not a consistent snapshot.
        :raises StoreError: If not all keys can be read.
        """
        changes: list[Change] = []
        revision = 0
        after = ''
        for page in range(MAX_PAGES):
            query = {'Prefix': prefix}
            if after:
                # A key here; in a watch, this field is a revision.
                query['after'] = after
            reply = await self._get('/v1/kv-range', query, timeout_seconds)
            body = _decode(_range_decoder, reply)
            revision = revision if page else body['CurrentRev']
            changes.extend(map(_decode_change, body['items']))
            if not body['HasMore'] or not changes:
                return Changes(tuple(changes), revision)
            after = changes[-1].key
        raise StoreError(
            f'{prefix}: the prefix has more than {MAX_PAGES} pages'
        )

    async def watch(
        self,
        prefix: str,
        after_revision: int,
        wait_seconds: float,
        slack_seconds: float,
    ) -> Changes:
        """Wait for changes of keys with a prefix.

        :param prefix: Prefix of the keys.
        :param after_revision: Only changes after this revision are returned.
        :param wait_seconds: Maximum time the store waits for a change.
        :param slack_seconds: Further time allowed for the response.
        :returns: The changes, possibly none.
        :raises HistoryGoneError: If all keys must be read again first.
        :raises StoreError: If there is no usable response.
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

    async def read_revision(self, timeout_seconds: float) -> int:
        """Read the revision of the store, which may be seconds old.

        Such a read costs a tenth of any other call.

        :param timeout_seconds: Maximum wait for the response.
        :returns: A revision that the store has reached.
        :raises StoreError: If there is no usable response.
        """
        query = {'Prefix': NO_KEY_PREFIX, 'Serializable': '1'}
        reply = await self._get('/v1/kv-range', query, timeout_seconds)
        return _decode(_range_decoder, reply)['CurrentRev']

    def close(self) -> None:
        """Close the connection, if it is open."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _get(
        self, path: str, query: dict[str, str], timeout_seconds: float
    ) -> HttpReply:
        # An empty prefix is valid and is sent as well.
        request = HttpRequest('GET', f'{path}?{urlencode(query)}')
        try:
            reply = await self._exchange(request, timeout_seconds)
        except BaseException:
            # A connection delivers no further replies after a failure.
            self.close()
            raise
        if reply.status == HISTORY_GONE_STATUS:
            raise HistoryGoneError(
                f'{path}: the store no longer holds the requested changes'
            )
        if reply.status != OK_STATUS:
            self.close()
            raise StoreError(f'{path}: unexpected status {reply.status}')
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
        raise StoreError(
            f'response of the store cannot be decoded: {error}'
        ) from error


def _decode_change(item: _ItemBody) -> Change:
    key = item.get('Key', '')
    if item.get('Deleted'):
        return Change(key, None)
    try:
        body = msgspec.convert(item.get('Value', ''), bytes)
    except msgspec.ValidationError:
        # Bytes of another writer that are not base64.  The empty body that
        # replaces them is not a valid value of any key.
        body = b''
    return Change(key, body)
