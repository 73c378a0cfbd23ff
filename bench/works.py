"""The pieces of work whose slopes docs/CAPACITY.md builds on."""

import itertools
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

import cbor2
import h11
import msgspec

from bench.fit import Work
from celeryturn.decisions import course, membership, query, service_state
from celeryturn.decisions.advice import advise
from celeryturn.decisions.document import parse_document
from celeryturn.decisions.merging import merge
from celeryturn.decisions.messages import Record, Reply
from celeryturn.decisions.planning import (
    QueryKind,
    QueryRequest,
    SnapshotChoice,
    plan_query,
)
from celeryturn.decisions.views import Report, TargetView
from celeryturn.http.messages import HttpReply, json_reply
from celeryturn.peers import messages
from celeryturn.queries.dump import dump_service
from celeryturn.targets import wire
from standins.topology import ServiceSize, User, build_document, target_names

NOW_SECONDS: Final = 1000.0
RECORDS_PER_REPLY: Final = 2
KILOBYTE: Final = 1024
_KNOWN: Final = SnapshotChoice(100, is_guess=False)
_ZONES: Final = tuple(f'zone-{number}' for number in range(7))


def document_of(shard_count: int, target_count: int) -> dict[str, Any]:
    """Build a document of a size, each shard with three replicas.

    :param shard_count: How many shards.
    :param target_count: How many targets.
    :returns: Plain mappings.
    """
    shape = ServiceSize(shard_count, target_count, 3, 5, 40, 0.006, 'coverage')
    user = User('region', _ZONES, 0.001, MappingProxyType({'service': shape}))
    ports = {
        name: 1024 + number
        for number, name in enumerate(target_names('service', shape))
    }
    return build_document('service', user, ports)


def service_of(
    shard_count: int, target_count: int
) -> service_state.ServiceState:
    """Build a service's state of a size.

    :param shard_count: How many shards.
    :param target_count: How many targets.
    :returns: The state.
    """
    raw = document_of(shard_count, target_count)
    published = parse_document(msgspec.json.encode(raw))
    service = service_state.ServiceState(published, NOW_SECONDS)
    service_state.apply_document(service, published, 1, NOW_SECONDS)
    return service


def decide(shard_count: int) -> Work:
    """A query's decisions, from admission to the merged answer."""
    service = service_of(shard_count, 3 * shard_count)
    ask = QueryRequest(QueryKind.SEARCH, 'service', '', '', (), 1000, 2)
    context = _context(service)

    def work() -> object:
        plan = plan_query(service.document, ask, _KNOWN, NOW_SECONDS)
        state = course.QueryState(plan)
        for action in query.begin(state, context):
            if isinstance(action, course.Send):
                attempt = action.attempt
                reply = _reply(attempt.shard)
                query.on_reply(state, attempt.number, reply, context)
        return merge(state, NOW_SECONDS)

    return work


def h11_exchanges(count: int) -> Work:
    """The client end of exchanges by the library alone, in memory."""
    machine = h11.Connection(h11.CLIENT)
    body = _read_body()
    reply = _reply_bytes(_reply_body())

    def exchange() -> None:
        machine.send(
            h11.Request(
                method='POST',
                target='/v1/read',
                headers=[
                    ('host', '127.0.0.1:20000'),
                    ('content-length', str(len(body))),
                    ('deadline-seconds', '1.9000'),
                ],
            )
        )
        machine.send(h11.Data(body))
        machine.send(h11.EndOfMessage())
        machine.receive_data(reply)
        event = machine.next_event()
        while not isinstance(event, h11.EndOfMessage):
            event = machine.next_event()
        machine.start_next_cycle()

    def work() -> object:
        for _ in range(count):
            exchange()
        return machine

    return work


def sub_request_codec(count: int) -> Work:
    """Encoding sub-requests and decoding their replies."""
    service = service_of(10, 30)
    ask = QueryRequest(QueryKind.SEARCH, 'service', '', '', (), 1000, 2)
    plan = plan_query(service.document, ask, _KNOWN, NOW_SECONDS)
    attempt = course.Attempt(1, 's00', 'service-t00', NOW_SECONDS)
    reply = HttpReply(200, (), _reply_body())

    def work() -> object:
        for _ in range(count):
            wire.build_read_request(plan, attempt, NOW_SECONDS)
            wire.parse_read(reply)
        return plan

    return work


def cbor_replies(count: int) -> Work:
    """Batches of replies between instances: encoded once, decoded once."""
    batch = [msgspec.json.decode(_reply_body()) for _ in range(count)]

    def work() -> object:
        return cbor2.loads(cbor2.dumps(batch))

    return work


def peer_pings(count: int) -> Work:
    """Pings with their answers, both ends' coding."""
    ping = messages.Ping(NOW_SECONDS)
    pong = messages.Pong(NOW_SECONDS, 1.0, 2**63, 7)

    def work() -> object:
        for _ in range(count):
            messages.unpack(messages.pack(ping))
            messages.unpack(messages.pack(pong))
        return pong

    return work


def peer_members(count: int) -> Work:
    """A message that tells of members, both ends' coding."""
    message = messages.Members(tuple(members_of(count)))

    def work() -> object:
        return messages.unpack(messages.pack(message))

    return work


def member_ticks(count: int) -> Work:
    """One tick over a membership."""
    known = membership_of(count)

    def work() -> object:
        return membership.tick(known, (), NOW_SECONDS)

    return work


def advices(count: int) -> Work:
    """One advice among so many instances."""
    members = members_of(count)
    callers = itertools.cycle(f'caller-{number}' for number in range(100))

    def work() -> object:
        return advise(members, next(callers), 'zone-1', 20, 0.5)

    return work


def documents(kilobytes: int) -> Work:
    """Validation of a document of a size."""
    body = _document_body(kilobytes)

    def work() -> object:
        return parse_document(body)

    return work


def adoptions(target_count: int) -> Work:
    """Putting a document in force."""
    service = service_of(10, target_count)

    def work() -> object:
        service_state.apply_document(service, service.published, 9, NOW_SECONDS)
        return service

    return work


def dumps(target_count: int) -> Work:
    """A state dump, encoded for the wire."""
    service = service_of(10, target_count)

    def work() -> object:
        return json_reply(200, dump_service(service))

    return work


def members_of(count: int) -> list[membership.Member]:
    """Build members that are alive.

    :param count: How many.
    :returns: The members.
    """
    return [
        membership.Member(
            instance=f'entry-zone-{number % 7}-{number:03}',
            address='10.0.0.1',
            callers_port=7101,
            peers_port=7201,
            availability_zone=_ZONES[number % 7],
            incarnation=1_796_330_778_915,
            status=membership.Status.ALIVE,
        )
        for number in range(count)
    ]


def membership_of(count: int) -> membership.Membership:
    """Build a membership of a size.

    :param count: How many members.
    :returns: The membership.
    """
    members = members_of(count)
    known = membership.Membership(members[0], NOW_SECONDS)
    membership.merge_entries(known, members, NOW_SECONDS)
    return known


def views_of(count: int) -> list[TargetView]:
    """Build views of targets.

    :param count: How many.
    :returns: The views.
    """
    return [TargetView('zone-1', 4, NOW_SECONDS) for _ in range(count)]


def parsed_document(kilobytes: int) -> object:
    """Hold a document of a size, decoded and as published.

    :param kilobytes: Its size.
    :returns: The document.
    """
    return parse_document(_document_body(kilobytes))


SECONDS: Final[Mapping[str, tuple[Callable[[int], Work], tuple[int, ...]]]] = (
    MappingProxyType(
        {
            'decisions a sub-request': (decide, (40, 160, 640)),
            'h11 exchange, client end': (h11_exchanges, (10, 20, 40)),
            'sub-request codec': (sub_request_codec, (10, 20, 40)),
            'CBOR a reply, both ends': (cbor_replies, (10, 40, 160)),
            'ping and pong, both ends': (peer_pings, (10, 20, 40)),
            'member told, both ends': (peer_members, (60, 240, 480)),
            'member ticked': (member_ticks, (60, 240, 480)),
            'advice a member': (advices, (60, 240, 480)),
            'document a kilobyte': (documents, (16, 64, 256)),
            'adoption a target': (adoptions, (120, 480, 1920)),
            'state dump a target': (dumps, (120, 480, 1920)),
        }
    )
)
BYTES: Final[Mapping[str, tuple[Callable[[int], object], tuple[int, ...]]]] = (
    MappingProxyType(
        {
            'view of a target': (views_of, (120, 480, 1920)),
            'member': (membership_of, (60, 240, 480)),
            'document a kilobyte': (parsed_document, (16, 64, 256)),
        }
    )
)


def _context(service: service_state.ServiceState) -> course.Context:
    return course.Context(
        views=service.views,
        zone='zone-1',
        budget=service.budget,
        window=service.window,
        has_slot_shortage=False,
        now_seconds=NOW_SECONDS,
        random=lambda: 0.5,
    )


def _records() -> list[Record]:
    return [
        Record(
            key=f'site-0001/{number}',
            schema_version=1,
            starts_at_seconds=1_796_364_000,
            free_count=8,
            text='reservas site-0001 round 0',
        )
        for number in range(RECORDS_PER_REPLY)
    ]


def _reply(shard: str) -> Reply:
    return Reply('service', shard, 1, 100, _records(), Report())


def _reply_body() -> bytes:
    return msgspec.json.encode(
        {
            'service': 'service',
            'shard': 's00',
            'index_version': 1,
            'snapshot': 100,
            'records': _records(),
            'report': {
                'queue_count': 0,
                'oldest_snapshot': 90,
                'newest_snapshot': 100,
                'draining': False,
                'boot': 'service-t00-1',
            },
        }
    )


def _read_body() -> bytes:
    return msgspec.json.encode(
        {
            'service': 'service',
            'shard': 's00',
            'index_version': 1,
            'snapshot': 100,
            'kind': 'search',
            'key': '',
            'text': '',
            'limit_count': 101,
            'schema_version': 2,
        }
    )


def _reply_bytes(body: bytes) -> bytes:
    head = 'HTTP/1.1 200 \r\ncontent-length: %d\r\n' % len(body)
    kind = 'content-type: application/json\r\n\r\n'
    return f'{head}{kind}'.encode() + body


def _document_body(kilobytes: int) -> bytes:
    # A target takes about 130 bytes, a shard with three replicas about 170.
    target_count = max(3, kilobytes * KILOBYTE // 200)
    shard_count = max(1, target_count // 3)
    return msgspec.json.encode(document_of(shard_count, target_count))
