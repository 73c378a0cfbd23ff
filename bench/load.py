"""Callers: open-loop arrivals, seeded, with every answer checked."""

import asyncio
import random
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any, Final, NamedTuple

import msgspec

from celeryturn.http.client import Connection, connect
from celeryturn.http.messages import HttpReply, HttpRequest

KINDS: Final = ('sweep', 'quickcheck', 'record', 'booking')
WEIGHTS: Final = (20, 40, 35, 5)
DEADLINES_SECONDS: Final = (2.0, 2.0, 2.0, 2.0)
PATIENCE_SECONDS: Final = 0.5
SWEEP_TEXT: Final = 'round 0'
OK: Final = 200
SITE_COUNT: Final = 80
RECORDS_PER_SITE: Final = 3
ARRIVALS_PER_RUN: Final = 1_000_000


class Arrival(NamedTuple):
    """One request that is due.

    :param due_seconds: When, from the start.
    :param kind: Which.
    :param site: Which site it concerns.
    :param number: Its number, unique in a run.
    """

    due_seconds: float
    kind: str
    site: int
    number: int


class Outcome(NamedTuple):
    """What one request brought.

    :param kind: Which.
    :param latency_seconds: From when it was due.
    :param refusal: Kind of the refusal, ``no_answer``, or empty.
    :param coverage: Share of needed shards that were included.
    :param needed_count: Sub-requests needed.
    :param sent_count: Sub-requests sent.
    :param fault: What was wrong with the answer, or empty.
    :param booking: Booking id with what was said of it, if it was one.
    """

    kind: str
    latency_seconds: float
    refusal: str = ''
    coverage: float = 0.0
    needed_count: int = 0
    sent_count: int = 0
    fault: str = ''
    booking: tuple[str, str] = ('', '')


class Callers:
    """Callers with connections that they keep.

    :param places: Addresses of instances.
    :param service: The service they ask.
    :param expected: Keys of a sweep, by index version and shard.
    :param run_number: Sets the booking ids of a run apart.
    """

    def __init__(
        self,
        places: list[tuple[str, int]],
        service: str,
        expected: Mapping[int, Mapping[str, set[str]]],
        run_number: int,
    ) -> None:
        self.run_number = run_number
        self.places = places
        self.service = service
        self.expected = expected
        self._idle: dict[tuple[str, int], list[Connection]] = {
            place: [] for place in places
        }

    async def run(
        self, rate: float, duration_seconds: float, seed: int
    ) -> list[Outcome]:
        """Make requests at their time, whatever became of earlier ones.

        :param rate: Requests a second.
        :param duration_seconds: For how long.
        :param seed: Seed of arrivals, kinds, sites and addresses.
        :returns: What each brought.
        """
        chance = random.Random(seed)
        self.run_number += 1
        loop = asyncio.get_running_loop()
        start_seconds = loop.time()
        tasks = []
        for arrival in _arrivals(
            chance, rate, duration_seconds, self.run_number
        ):
            place = chance.choice(self.places)
            due_seconds = start_seconds + arrival.due_seconds
            await asyncio.sleep(due_seconds - loop.time())
            tasks.append(
                loop.create_task(self._ask(arrival, place, due_seconds))
            )
        return await asyncio.gather(*tasks)

    def close(self) -> None:
        """Close every connection."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()

    async def _ask(
        self, arrival: Arrival, place: tuple[str, int], due_seconds: float
    ) -> Outcome:
        deadline_seconds = DEADLINES_SECONDS[KINDS.index(arrival.kind)]
        try:
            async with asyncio.timeout(deadline_seconds + PATIENCE_SECONDS):
                reply = await self._exchange(arrival, place, deadline_seconds)
        except OSError:
            reply = HttpReply(0)
        taken = asyncio.get_running_loop().time() - due_seconds
        return self._read(arrival, reply, taken)

    async def _exchange(
        self, arrival: Arrival, place: tuple[str, int], deadline: float
    ) -> HttpReply:
        path, body = self._body(arrival)
        body = {**body, 'service': self.service, 'deadline_seconds': deadline}
        connection = await self._take(place)
        try:
            reply = await connection.exchange(
                HttpRequest('POST', path, body=msgspec.json.encode(body))
            )
        except BaseException:
            connection.close()
            raise
        if connection.is_idle:
            self._idle[place].append(connection)
        return reply

    async def _take(self, place: tuple[str, int]) -> Connection:
        idle = self._idle[place]
        while idle:
            connection = idle.pop()
            if connection.is_idle:
                return connection
        return await connect(*place, PATIENCE_SECONDS)

    def _body(self, arrival: Arrival) -> tuple[str, dict[str, Any]]:
        site = f'site-{arrival.site:04}'
        key = f'{site}/{arrival.number % RECORDS_PER_SITE}'
        if arrival.kind == 'sweep':
            return '/v1/search', {'text': SWEEP_TEXT, 'limit_count': 1000}
        if arrival.kind == 'quickcheck':
            return '/v1/quickcheck', {'site': site}
        if arrival.kind == 'record':
            return '/v1/record', {'key': key}
        return '/v1/book', {'key': key, 'booking_id': _booking_id(arrival)}

    def _read(
        self, arrival: Arrival, reply: HttpReply, taken: float
    ) -> Outcome:
        if not reply.status:
            said = (_booking_id(arrival), 'unknown')
            return Outcome(arrival.kind, taken, 'no_answer', booking=said)
        told = msgspec.json.decode(reply.body)
        if reply.status != OK:
            error = told['error']
            said = (_booking_id(arrival), error['run'])
            return Outcome(arrival.kind, taken, error['kind'], booking=said)
        if arrival.kind == 'booking':
            said = (_booking_id(arrival), told['run'])
            return Outcome(arrival.kind, taken, coverage=1, booking=said)
        included = len(told['coverage']['included'])
        needed = told['load']['needed_count']
        return Outcome(
            arrival.kind,
            taken,
            coverage=included / needed,
            needed_count=needed,
            sent_count=told['load']['sent_count'],
            fault=self._fault(arrival, told),
        )

    def _fault(self, arrival: Arrival, told: Mapping[str, Any]) -> str:
        stamps = {
            record['text'].rpartition('@')[2] for record in told['records']
        }
        if stamps - {str(told['snapshot'])}:
            return f'mixed snapshots {stamps}'
        if arrival.kind != 'sweep':
            site = f'site-{arrival.site:04}/'
            keys = [record['key'] for record in told['records']]
            crossed = [key for key in keys if not key.startswith(site)]
            return f'crossed answer {crossed}' if crossed else ''
        shards = self.expected[told['index_version']]
        included = told['coverage']['included']
        wanted = set().union(*(shards[shard] for shard in included))
        found = {record['key'] for record in told['records']}
        return '' if found == wanted else 'false coverage'


class Figures(NamedTuple):
    """What a run comes to.

    :param p50: Median latency by kind, in milliseconds.
    :param p99: 99th percentile by kind.
    :param p999: 99.9th percentile by kind.
    :param coverage_mean: Mean coverage of sweeps.
    :param coverage_least: Lowest coverage of a sweep.
    :param complete_share: Share of complete sweeps.
    :param extra_load: Sub-requests sent over needed, less one.
    :param goodput: Answers in full and in time, a second.
    :param refusals: Count by kind.
    :param faults: Count of false, mixed or crossed answers.
    """

    p50: dict[str, float]
    p99: dict[str, float]
    p999: dict[str, float]
    coverage_mean: float
    coverage_least: float
    complete_share: float
    extra_load: float
    goodput: float
    refusals: dict[str, int]
    faults: dict[str, int]


def summarize(outcomes: list[Outcome], duration_seconds: float) -> Figures:
    """Work a run's figures out.

    A request without an answer counts with the time its caller waited; one
    that was refused counts under refusals.

    :param outcomes: What each request brought.
    :param duration_seconds: How long requests were due.
    :returns: The figures.
    """
    counted = [
        known for known in outcomes if known.refusal in {'', 'no_answer'}
    ]
    answered = [known for known in outcomes if not known.refusal]
    sweeps = [known.coverage for known in answered if known.kind == 'sweep']
    sweeps = sweeps or [0.0]
    needed = sum(known.needed_count for known in answered)
    sent = sum(known.sent_count for known in answered)
    good = [
        known
        for known in answered
        if known.coverage == 1 and known.latency_seconds <= _bound(known.kind)
    ]
    return Figures(
        p50=_by_kind(counted, 0.5),
        p99=_by_kind(counted, 0.99),
        p999=_by_kind(counted, 0.999),
        coverage_mean=sum(sweeps) / len(sweeps),
        coverage_least=min(sweeps),
        complete_share=sum(share == 1 for share in sweeps) / len(sweeps),
        extra_load=sent / needed - 1 if needed else 0,
        goodput=len(good) / duration_seconds,
        refusals=dict(
            Counter(known.refusal for known in outcomes if known.refusal)
        ),
        faults=dict(Counter(known.fault for known in answered if known.fault)),
    )


def _arrivals(
    chance: random.Random,
    rate: float,
    duration_seconds: float,
    run_number: int,
) -> Iterator[Arrival]:
    due_seconds = 0.0
    number = run_number * ARRIVALS_PER_RUN
    while due_seconds < duration_seconds:
        due_seconds += chance.expovariate(rate)
        number += 1
        kind = chance.choices(KINDS, WEIGHTS)[0]
        yield Arrival(due_seconds, kind, chance.randrange(SITE_COUNT), number)


def _booking_id(arrival: Arrival) -> str:
    return f'b-{arrival.number}' if arrival.kind == 'booking' else ''


def _bound(kind: str) -> float:
    return DEADLINES_SECONDS[KINDS.index(kind)]


def _by_kind(outcomes: list[Outcome], share: float) -> dict[str, float]:
    by_kind = {}
    for kind in KINDS:
        latencies = sorted(
            known.latency_seconds for known in outcomes if known.kind == kind
        )
        if latencies:
            place = min(len(latencies) - 1, int(share * len(latencies)))
            by_kind[kind] = latencies[place] * 1000
    return by_kind
