"""Stand-in for one target: shards, slots, and faults set by a script."""

import asyncio
import functools
import random
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

import msgspec

from celeryturn.decisions.targets.messages import Record
from celeryturn.entry.refusals import refusal_reply
from celeryturn.http.messages import (
    HttpReply,
    HttpRequest,
    header,
    json_reply,
    split_url,
)
from celeryturn.http.server import HttpServer, Limits, ServerConnection

OK: Final = 200
CONFLICT: Final = 409
UNAVAILABLE: Final = 503
NOT_FOUND: Final = 404
LATENCY_SIGMA: Final = 0.3
RETAINED_SNAPSHOT_COUNT: Final = 10
COLD_LATENCY_FACTOR: Final = 5.0
MAX_RECORDS_BYTES: Final = 1_000_000
RETURN_SECONDS: Final = 0.05


class Script(NamedTuple):
    """Behaviour of a target, which can be changed while it runs.

    :param latency_seconds: Median processing time of a request.
    :param slow_factor: Factor on the latency, to simulate a straggler.
    :param shed_share: Fraction of requests that are shed.
    :param is_lost: Whether connections are closed when data arrives.
    :param is_silent: Whether requests are accepted but get no response.
    :param is_draining: Whether the target is draining.
    :param is_cold: Whether the target is slow because it is warming up.
    :param loses_booking_replies: Whether bookings run but get no reply.
    :param checks_epoch: Whether bookings of another epoch are refused.
    :param ignores_limit: Whether replies have all records that match.
    :param ending_text: Text of the searches that end the target when it runs
        them; empty for none.
    :param false_report: Fields that override those of the status report.
    """

    latency_seconds: float = 0.002
    slow_factor: float = 1.0
    shed_share: float = 0.0
    is_lost: bool = False
    is_silent: bool = False
    is_draining: bool = False
    is_cold: bool = False
    loses_booking_replies: bool = False
    checks_epoch: bool = False
    ignores_limit: bool = False
    ending_text: str = ''
    false_report: dict[str, Any] | None = None


class Location(NamedTuple):
    """Network location of a target.

    :param address: Loopback address of its availability zone.
    :param round_trip_seconds: Round-trip time from another zone.
    """

    address: str = '127.0.0.1'
    round_trip_seconds: float = 0.0


class Dataset:
    """Records of one service, shared by its targets.

    :param service: Name of the service.
    :param records: Records by index version and shard.
    :param newest_snapshot: Newest snapshot that the targets hold.
    :param has_snapshot_in_text: Whether texts end with the snapshot
        they were read from.
    :param bookings: Every booking that a target ran, in order.
    :param home_epochs: Epoch of each shard's home, where the epoch is checked.
    """

    def __init__(
        self, service: str, records: Mapping[str, list[Record]]
    ) -> None:
        self.service = service
        self.records: dict[int, Mapping[str, list[Record]]] = {1: records}
        self.newest_snapshot = 100
        self.has_snapshot_in_text = False
        self.bookings: list[dict[str, Any]] = []
        self.home_epochs: dict[str, int] = {}

    def add_index_version(self, encoded: bytes) -> None:
        """Add an index version.

        :param encoded: JSON with ``version`` and ``records`` by shard.
        """
        added = msgspec.json.decode(encoded)
        self.records[added['version']] = added['records']


class TargetStandin:
    """One target.

    :param name: Name of the target.
    :param dataset: Records that it serves.
    :param slots: Requests that it runs concurrently.
    :param connections: Maximum number of open connections; 1000 when zero.
    :param connect_seconds: Set-up delay of a new connection.
    :param location: Network location.
    :param script: Current behaviour.
    :param boot: Boot identifier, which changes on restart.
    :param request_log: Path and event-loop time of each received request.
    :param false_health: Fields that override those of the health reply.
    :param conflict_count: Requests refused because of their service, shard,
        index, snapshot or epoch.
    :param max_connections_seen: Maximum number of connections that were open
        at once.
    :param end_count: Number of times that a search has ended the target.
    """

    def __init__(
        self,
        name: str,
        dataset: Dataset,
        slots: int,
        connections: int = 0,
        connect_seconds: float = 0,
        location: Location | None = None,
    ) -> None:
        self.name = name
        self.connect_seconds = connect_seconds
        self.location = location or Location()
        self.dataset = dataset
        self.script = Script()
        self.boot = f'{name}-1'
        self.request_log: list[tuple[str, float]] = []
        self.max_connections_seen = 0
        self.conflict_count = 0
        self.end_count = 0
        self._ending: set[asyncio.Task[None]] = set()
        self.false_health: dict[str, Any] = {}
        self._random = random.Random(name)
        self._slots = asyncio.Semaphore(slots)
        self._queue_count = 0
        self.server = HttpServer(
            self.handle_request,
            refusal_reply,
            Limits(
                body_bytes=MAX_RECORDS_BYTES,
                max_connections=connections or 1000,
            ),
            functools.partial(DelayedConnection, self),
        )

    async def handle_request(self, request: HttpRequest) -> HttpReply:
        """Handle any request.

        :param request: The request.
        :returns: The reply.
        """
        path, _ = split_url(request.url)
        self.request_log.append((path, asyncio.get_running_loop().time()))
        if path == '/v1/health':
            return json_reply(OK, {**self.report(), **self.false_health})
        if path == '/script':
            self.script = self.script._replace(
                **msgspec.json.decode(request.body)
            )
            return json_reply(OK, {})
        if path == '/bookings':
            return json_reply(OK, self.dataset.bookings)
        if path == '/records':
            self.dataset.add_index_version(request.body)
            return json_reply(OK, {})
        if self.script.is_silent:
            await asyncio.Event().wait()
        refusal = self._refuse()
        if refusal is not None:
            return refusal
        return await self._run_request(path, request)

    @property
    def is_away(self) -> bool:
        """Whether a search has ended it and it is not back yet."""
        return bool(self._ending)

    def report(self) -> dict[str, Any]:
        """Build the status report that replies carry.

        :returns: Fields of the report, with the overrides of the script.
        """
        newest = self.dataset.newest_snapshot
        report: dict[str, Any] = {
            'queue_count': self._queue_count,
            'oldest_snapshot': max(1, newest - RETAINED_SNAPSHOT_COUNT),
            'newest_snapshot': newest,
            'draining': self.script.is_draining,
            'boot': self.boot,
        }
        report.update(self.script.false_report or {})
        return report

    def restart(self) -> None:
        """Simulate a restart: change the boot identifier, reset the script."""
        generation = int(self.boot.rsplit('-', maxsplit=1)[1]) + 1
        self.boot = f'{self.name}-{generation}'
        self.script = Script()

    def record_connection_count(self) -> None:
        """Update the maximum number of connections open at once."""
        self.max_connections_seen = max(
            self.max_connections_seen, len(self.server.connections)
        )

    def _refuse(self) -> HttpReply | None:
        if self.script.is_draining:
            return self._reply_not_run('draining')
        if self._random.random() < self.script.shed_share:
            return self._reply_not_run('shed')
        return None

    async def _run_request(self, path: str, request: HttpRequest) -> HttpReply:
        remaining_seconds = float(
            header(request.headers, 'deadline-seconds') or '60'
        )
        if path == '/v1/read' and self.script.ending_text:
            await self._end_by_search(request)
        self._queue_count += 1
        try:
            async with asyncio.timeout(remaining_seconds):
                async with self._slots:
                    await asyncio.sleep(self._draw_latency_seconds())
                    return self._dispatch(path, request)
        except TimeoutError:
            return self._reply_not_run('shed')
        finally:
            self._queue_count -= 1

    async def _end_by_search(self, request: HttpRequest) -> None:
        body = msgspec.json.decode(request.body)
        if body['text'] != self.script.ending_text:
            return
        if not self._ending:
            self.end_count += 1
            task = asyncio.get_running_loop().create_task(
                self._end_and_return()
            )
            self._ending.add(task)
            task.add_done_callback(self._ending.discard)
        await asyncio.Event().wait()

    async def _end_and_return(self) -> None:
        port = self.server.port
        await self.server.stop(0)
        await asyncio.sleep(RETURN_SECONDS)
        script = self.script
        self.restart()
        self.script = script
        self.server.is_closing = False
        await self.server.start(self.location.address, port)

    def _dispatch(self, path: str, request: HttpRequest) -> HttpReply:
        body = msgspec.json.decode(request.body)
        if path == '/v1/read':
            return self._handle_read(body)
        if path == '/v1/book':
            return self._handle_booking(body)
        return json_reply(NOT_FOUND, {})

    def _handle_read(self, body: Mapping[str, Any]) -> HttpReply:
        dataset = self.dataset
        snapshot = body['snapshot']
        oldest = self.report()['oldest_snapshot']
        records = dataset.records.get(body['index_version'], {})
        is_retained = oldest <= snapshot <= dataset.newest_snapshot
        if body['service'] != self.dataset.service:
            return self._reply_conflict('bad_reply')
        if body['shard'] not in records or not is_retained:
            return self._reply_conflict('snapshot_gone')
        matches = [
            record
            for record in records[body['shard']]
            if _matches_query(record, body)
        ]
        matches.sort(key=lambda record: record['starts_at_seconds'])
        if not self.script.ignores_limit:
            matches = matches[: body['limit_count']]
        return json_reply(
            OK,
            {
                'service': self.dataset.service,
                'shard': body['shard'],
                'index_version': body['index_version'],
                'snapshot': snapshot,
                'records': self._append_snapshot(matches, snapshot),
                'report': self.report(),
            },
        )

    def _append_snapshot(
        self, matches: list[Record], snapshot: int
    ) -> list[Record]:
        if not self.dataset.has_snapshot_in_text:
            return matches
        return [
            Record(**{**record, 'text': f'{record["text"]} @{snapshot}'})
            for record in matches
        ]

    def _handle_booking(self, body: dict[str, Any]) -> HttpReply:
        if not self._has_valid_service_and_epoch(body):
            return self._reply_conflict('bad_reply')
        record = self._find_record(body)
        outcome = 'booked'
        if record is None or record['free_count'] < body['places_count']:
            outcome = 'taken'
        else:
            record['free_count'] -= body['places_count']
        self.dataset.bookings.append(
            {**body, 'target': self.name, 'outcome': outcome}
        )
        if self.script.loses_booking_replies:
            for connection in tuple(self.server.connections):
                connection.close()
        return json_reply(
            OK,
            {
                'booking_id': body['booking_id'],
                'outcome': outcome,
                'report': self.report(),
            },
        )

    def _has_valid_service_and_epoch(self, body: Mapping[str, Any]) -> bool:
        if body['service'] != self.dataset.service:
            return False
        epoch = self.dataset.home_epochs.get(body['shard'], body['epoch'])
        is_current_epoch: bool = epoch == body['epoch']
        return is_current_epoch or not self.script.checks_epoch

    def _find_record(self, body: Mapping[str, Any]) -> Record | None:
        newest = max(self.dataset.records)
        for record in self.dataset.records[newest].get(body['shard'], ()):
            if record['key'] == body['key']:
                return record
        return None

    def _draw_latency_seconds(self) -> float:
        script = self.script
        seconds = script.latency_seconds * script.slow_factor
        if script.is_cold:
            seconds *= COLD_LATENCY_FACTOR
        return seconds * self._random.lognormvariate(0, LATENCY_SIGMA)

    def _reply_not_run(self, reason: str) -> HttpReply:
        return json_reply(
            UNAVAILABLE,
            {'run': 'not_run', 'reason': reason, 'report': self.report()},
        )

    def _reply_conflict(self, reason: str) -> HttpReply:
        self.conflict_count += 1
        return json_reply(
            CONFLICT,
            {'run': 'not_run', 'reason': reason, 'report': self.report()},
        )


class DelayedConnection(ServerConnection):
    """A connection that simulates its set-up delay and the network delay."""

    def __init__(self, target: TargetStandin, server: HttpServer) -> None:
        super().__init__(server)
        self._target = target
        self._is_new = True
        self._peer_address = ''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the new connection.

        :param transport: Transport of the connection.
        """
        super().connection_made(transport)
        self._peer_address = transport.get_extra_info('peername')[0]
        self._target.record_connection_count()

    def data_received(self, chunk: bytes) -> None:
        """Delay received data.

        All data is delayed by the network delay, the first chunk also by the
        set-up of the connection. A lost target closes the connection unless
        the data changes its script.

        :param chunk: Received bytes.
        """
        delay_seconds = self._target.connect_seconds if self._is_new else 0
        self._is_new = False
        delay_seconds += self._network_delay_seconds()
        is_script = chunk.startswith(b'POST /script')
        if self._target.script.is_lost and not is_script:
            self.close()
        elif delay_seconds:
            asyncio.get_running_loop().call_later(
                delay_seconds, super().data_received, chunk
            )
        else:
            super().data_received(chunk)

    def _network_delay_seconds(self) -> float:
        location = self._target.location
        is_same_zone = self._peer_address == location.address
        return 0 if is_same_zone else location.round_trip_seconds


def _matches_query(record: Record, body: Mapping[str, Any]) -> bool:
    key = body['key']
    is_quickcheck = body['kind'] == 'quickcheck'
    if is_quickcheck and not record['free_count']:
        return False
    if is_quickcheck and key:
        site = record['key'].split('/', maxsplit=1)[0]
        return bool(site == key)
    if key and record['key'] != key:
        return False
    text: str = body['text']
    return text in record['text']
