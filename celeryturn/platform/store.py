"""Client of the platform's store: reads a prefix and watches for changes."""

from collections import Counter
from typing import Final, NamedTuple, TypedDict, TypeVar
from urllib.parse import urlencode

import msgspec

from celeryturn.decisions.store_position import StorePosition
from celeryturn.events import CHANGES_TOO_LARGE, HEADER_IGNORED, log
from celeryturn.http.client import Connection, connect
from celeryturn.http.exchange_errors import ReplyTooLargeError
from celeryturn.http.messages import HttpReply, HttpRequest, header
from celeryturn.number_text import read_count
from celeryturn.schema import UNREADABLE_ERRORS
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
# Number of times that the store was restored from a copy.
ERA_HEADER: Final = 'store-era'
MAX_ERA: Final = 1_000_000
MAX_LOGGED_CHARACTERS: Final = 40


class StoreError(ConnectionError):
    """The store does not respond, or its response is not usable."""


class HistoryGoneError(StoreError):
    """The store no longer holds the requested changes."""


class ChangesTooLargeError(HistoryGoneError):
    """The requested changes do not fit into a response."""


class Change(NamedTuple):
    """Current state of one key.

    :param key: The key.
    :param body: Value of the key, or ``None`` if it was deleted.
    :param revision: Revision of the change.
    """

    key: str
    body: bytes | None
    revision: int = 0


class Changes(NamedTuple):
    """Response of the store to a read or a watch.

    :param changes: Keys in the order in which they changed.
    :param position: Position up to which all changes are included.
    """

    changes: tuple[Change, ...]
    position: StorePosition


class _ItemBody(TypedDict, total=False):
    Key: str
    # Standard base64, decoded by msgspec.  Other writers may store any bytes.
    Value: str
    Revision: Count
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
    :param era: Last era that the store stated; zero before.
    :param call_counts: Number of calls by kind, for metrics.
    """

    __slots__ = ('_connection', 'call_counts', 'endpoint', 'era')

    def __init__(self, endpoint: Endpoint, call_counts: Counter[str]) -> None:
        self.endpoint = endpoint
        self.era = 0
        self.call_counts = call_counts
        self._connection: Connection | None = None

    async def read(
        self, prefix: str, timeout_seconds: float, *, may_be_old: bool = False
    ) -> Changes:
        """Read all keys with a prefix.

        :param prefix: Prefix of the keys.
        :param timeout_seconds: Maximum wait for each page.
        :param may_be_old: Whether the keys may be seconds old; such a read
            costs a tenth and is not limited in rate.
        :returns: The keys, with the lowest position of all pages, since the
            pages together are not a consistent snapshot.
        :raises HistoryGoneError: If the store was restored meanwhile, so that
            the pages do not belong together.
        :raises StoreError: If not all keys can be read.
        """
        changes: list[Change] = []
        positions: list[StorePosition] = []
        after = ''
        for _ in range(MAX_PAGES):
            query = _range_query(prefix, after, may_be_old=may_be_old)
            reply = await self._get('/v1/kv-range', query, timeout_seconds)
            body = _decode(_range_decoder, reply)
            positions.append(StorePosition(self.era, body['CurrentRev']))
            if self.era != positions[0].era:
                # A key of a former page may be missing on a later one.
                raise HistoryGoneError('the store was restored during a read')
            changes.extend(map(_decode_change, body['items']))
            if not body['HasMore'] or not changes:
                return Changes(tuple(changes), min(positions))
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
        timeout_seconds = wait_seconds + slack_seconds
        try:
            reply = await self._get('/v1/kv-watch', query, timeout_seconds)
        except ReplyTooLargeError as error:
            # The same call would fail again, and a read comes in pages.
            log(CHANGES_TOO_LARGE, revision=after_revision)
            raise ChangesTooLargeError(str(error)) from error
        body = _decode(_watch_decoder, reply)
        changes = tuple(map(_decode_change, body['events']))
        position = StorePosition(self.era, body['CurrentRev'])
        return Changes(changes, position)

    async def read_position(self, timeout_seconds: float) -> StorePosition:
        """Read the position of the store, which may be seconds old.

        Such a read costs a tenth of any other call.

        :param timeout_seconds: Maximum wait for the response.
        :returns: A position that the store has reached.
        :raises StoreError: If there is no usable response.
        """
        no_keys = await self.read(
            NO_KEY_PREFIX, timeout_seconds, may_be_old=True
        )
        return no_keys.position

    def close(self) -> None:
        """Close the connection, if it is open."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _get(
        self, path: str, query: dict[str, str], timeout_seconds: float
    ) -> HttpReply:
        self.call_counts[_call_kind(path, query)] += 1
        # An empty prefix is valid and is sent as well.
        request = HttpRequest('GET', f'{path}?{urlencode(query)}')
        try:
            reply = await self._exchange(request, timeout_seconds)
        except BaseException:
            # A connection delivers no further replies after a failure.
            self.close()
            raise
        self._record_era(reply)
        if reply.status == HISTORY_GONE_STATUS:
            raise HistoryGoneError(
                f'{path}: the store no longer holds the requested changes'
            )
        if reply.status != OK_STATUS:
            self.close()
            raise StoreError(f'{path}: unexpected status {reply.status}')
        return reply

    def _record_era(self, reply: HttpReply) -> None:
        text = header(reply.headers, ERA_HEADER)
        if text is None:
            return
        era = read_count(text, MAX_ERA)
        if era is None:
            log(
                HEADER_IGNORED,
                sender='store',
                text=text[:MAX_LOGGED_CHARACTERS],
            )
        else:
            self.era = era

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
            # Without its replies, routes and targets stay old.
            connection.may_give_way = False
            self._connection = connection
        return await connection.exchange_within(request, timeout_seconds)


def _range_query(
    prefix: str, after: str, *, may_be_old: bool
) -> dict[str, str]:
    query = {'Prefix': prefix}
    if after:
        # A key here; in a watch, this field is a revision.
        query['after'] = after
    if may_be_old:
        query['Serializable'] = '1'
    return query


def _call_kind(path: str, query: dict[str, str]) -> str:
    if path.endswith('watch'):
        return 'watch'
    if 'Serializable' in query:
        return 'old read'
    return 'read'


def _decode(decoder: msgspec.json.Decoder[BodyT], reply: HttpReply) -> BodyT:
    try:
        return decoder.decode(reply.body)
    except UNREADABLE_ERRORS as error:
        raise StoreError(
            f'response of the store cannot be decoded: {error}'
        ) from error


def _decode_change(item: _ItemBody) -> Change:
    key = item.get('Key', '')
    revision = item.get('Revision', 0)
    if item.get('Deleted'):
        return Change(key, None, revision)
    try:
        body = msgspec.convert(item.get('Value', ''), bytes)
    except msgspec.ValidationError:
        # Bytes of another writer that are not base64.  The empty body that
        # replaces them is not a valid value of any key.
        body = b''
    return Change(key, body, revision)
