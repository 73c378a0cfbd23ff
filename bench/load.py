"""Generate load with seeded open-loop arrivals and check every answer."""

import asyncio
import random
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any, Final, NamedTuple

import msgspec

from celeryturn.http.client import Connection, connect
from celeryturn.http.messages import HttpReply, HttpRequest

KINDS: Final = ('sweep', 'quickcheck', 'record', 'booking')
KIND_WEIGHTS: Final = (20, 40, 35, 5)
DEADLINES_SECONDS: Final = (2.0, 2.0, 2.0, 2.0)
TIMEOUT_MARGIN_SECONDS: Final = 0.5
SWEEP_TEXT: Final = 'round 0'
HTTP_OK: Final = 200
SITE_COUNT: Final = 80
RECORDS_PER_SITE: Final = 3
MAX_ARRIVALS_PER_RUN: Final = 1_000_000


class Arrival(NamedTuple):
    """One request to be sent.

    :param due_seconds: When to send it, counted from the start of the run.
    :param kind: One of :data:`KINDS`.
    :param site: Number of the site that it concerns.
    :param number: Number of the request, unique in a run.
    """

    due_seconds: float
    kind: str
    site: int
    number: int


class Outcome(NamedTuple):
    """Outcome of one request.

    :param kind: One of :data:`KINDS`.
    :param latency_seconds: Time from when the request was due.
    :param refusal: Kind of the refusal, ``no_answer``, or empty.
    :param coverage: Fraction of the needed shards that were included.
    :param needed_count: Number of sub-requests that were needed.
    :param sent_count: Number of sub-requests that were sent.
    :param fault: Description of an error in the answer, or empty.
    :param booking: Booking id and the ``run`` value that was returned,
        ``unknown`` without an answer.  The id is empty unless the request
        is a booking.
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
    """Callers that keep their connections open between requests.

    :param addresses: Addresses and ports of the instances.
    :param service: Name of the service to which requests are sent.
    :param expected: Expected keys of a sweep, by index version and shard.
    :param run_number: Number of the last run, incremented for each run; it
        keeps the booking ids of different runs distinct.
    """

    def __init__(
        self,
        addresses: list[tuple[str, int]],
        service: str,
        expected: Mapping[int, Mapping[str, set[str]]],
        run_number: int,
    ) -> None:
        self.run_number = run_number
        self.addresses = addresses
        self.service = service
        self.expected = expected
        self._idle: dict[tuple[str, int], list[Connection]] = {
            address: [] for address in addresses
        }

    async def run(
        self, rate: float, duration_seconds: float, seed: int
    ) -> list[Outcome]:
        """Send each request when it is due, even if earlier ones are pending.

        :param rate: Mean number of requests per second.
        :param duration_seconds: How long requests are sent.
        :param seed: Seed of arrivals, kinds, sites and addresses.
        :returns: The outcome of each request.
        """
        random_source = random.Random(seed)
        self.run_number += 1
        loop = asyncio.get_running_loop()
        start_seconds = loop.time()
        tasks = []
        for arrival in _arrivals(
            random_source, rate, duration_seconds, self.run_number
        ):
            address = random_source.choice(self.addresses)
            due_seconds = start_seconds + arrival.due_seconds
            await asyncio.sleep(due_seconds - loop.time())
            tasks.append(
                loop.create_task(
                    self._send_request(arrival, address, due_seconds)
                )
            )
        return await asyncio.gather(*tasks)

    def close(self) -> None:
        """Close every connection."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()

    async def _send_request(
        self, arrival: Arrival, address: tuple[str, int], due_seconds: float
    ) -> Outcome:
        deadline_seconds = DEADLINES_SECONDS[KINDS.index(arrival.kind)]
        try:
            async with asyncio.timeout(
                deadline_seconds + TIMEOUT_MARGIN_SECONDS
            ):
                reply = await self._exchange(arrival, address, deadline_seconds)
        except OSError:
            reply = HttpReply(0)
        latency_seconds = asyncio.get_running_loop().time() - due_seconds
        return self._make_outcome(arrival, reply, latency_seconds)

    async def _exchange(
        self, arrival: Arrival, address: tuple[str, int], deadline: float
    ) -> HttpReply:
        path, body = self._make_body(arrival)
        body = {**body, 'service': self.service, 'deadline_seconds': deadline}
        connection = await self._acquire_connection(address)
        try:
            reply = await connection.exchange(
                HttpRequest('POST', path, body=msgspec.json.encode(body))
            )
        except BaseException:
            connection.close()
            raise
        if connection.is_idle:
            self._idle[address].append(connection)
        return reply

    async def _acquire_connection(self, address: tuple[str, int]) -> Connection:
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            if connection.is_idle:
                return connection
        return await connect(*address, TIMEOUT_MARGIN_SECONDS)

    def _make_body(self, arrival: Arrival) -> tuple[str, dict[str, Any]]:
        site = f'site-{arrival.site:04}'
        key = f'{site}/{arrival.number % RECORDS_PER_SITE}'
        if arrival.kind == 'sweep':
            return '/v1/search', {'text': SWEEP_TEXT, 'limit_count': 1000}
        if arrival.kind == 'quickcheck':
            return '/v1/quickcheck', {'site': site}
        if arrival.kind == 'record':
            return '/v1/record', {'key': key}
        return '/v1/book', {'key': key, 'booking_id': _booking_id(arrival)}

    def _make_outcome(
        self, arrival: Arrival, reply: HttpReply, latency_seconds: float
    ) -> Outcome:
        if not reply.status:
            booking_run = (_booking_id(arrival), 'unknown')
            return Outcome(
                arrival.kind, latency_seconds, 'no_answer', booking=booking_run
            )
        answer = msgspec.json.decode(reply.body)
        if reply.status != HTTP_OK:
            error = answer['error']
            booking_run = (_booking_id(arrival), error['run'])
            return Outcome(
                arrival.kind,
                latency_seconds,
                error['kind'],
                booking=booking_run,
            )
        if arrival.kind == 'booking':
            booking_run = (_booking_id(arrival), answer['run'])
            return Outcome(
                arrival.kind, latency_seconds, coverage=1, booking=booking_run
            )
        included = len(answer['coverage']['included'])
        needed = answer['load']['needed_count']
        return Outcome(
            arrival.kind,
            latency_seconds,
            coverage=included / needed,
            needed_count=needed,
            sent_count=answer['load']['sent_count'],
            fault=self._find_fault(arrival, answer),
        )

    def _find_fault(self, arrival: Arrival, answer: Mapping[str, Any]) -> str:
        snapshots = {
            record['text'].rpartition('@')[2] for record in answer['records']
        }
        if snapshots - {str(answer['snapshot'])}:
            return f'mixed snapshots {snapshots}'
        if arrival.kind != 'sweep':
            site = f'site-{arrival.site:04}/'
            keys = [record['key'] for record in answer['records']]
            foreign_keys = [key for key in keys if not key.startswith(site)]
            return f'crossed answer {foreign_keys}' if foreign_keys else ''
        shards = self.expected[answer['index_version']]
        included = answer['coverage']['included']
        expected_keys = set().union(*(shards[shard] for shard in included))
        found_keys = {record['key'] for record in answer['records']}
        return '' if found_keys == expected_keys else 'false coverage'


class Figures(NamedTuple):
    """Summary of a run.

    :param p50: Median latency by kind, in milliseconds.
    :param p99: 99th percentile of the latency by kind, in milliseconds.
    :param p999: 99.9th percentile of the latency by kind, in milliseconds.
    :param coverage_mean: Mean coverage of sweeps.
    :param coverage_least: Minimum coverage of a sweep.
    :param complete_share: Fraction of sweeps that were complete.
    :param extra_load: Ratio of sent to needed sub-requests, minus one.
    :param goodput: Complete answers within the deadline, per second.
    :param refusals: Number of refusals by kind.
    :param faults: Number of wrong answers by description: false coverage,
        mixed snapshots, or records of another site.
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
    """Summarize the outcomes of a run.

    A request without an answer is included in the latencies with the time
    that its caller waited.  A refused request is counted under refusals and
    not in the latencies.

    :param outcomes: The outcome of each request.
    :param duration_seconds: How long requests were sent.
    :returns: The summary.
    """
    counted = [
        outcome for outcome in outcomes if outcome.refusal in {'', 'no_answer'}
    ]
    answered = [outcome for outcome in outcomes if not outcome.refusal]
    sweep_coverages = [
        outcome.coverage for outcome in answered if outcome.kind == 'sweep'
    ]
    sweep_coverages = sweep_coverages or [0.0]
    needed = sum(outcome.needed_count for outcome in answered)
    sent = sum(outcome.sent_count for outcome in answered)
    good = [
        outcome
        for outcome in answered
        if outcome.coverage == 1
        and outcome.latency_seconds <= _deadline_seconds(outcome.kind)
    ]
    return Figures(
        p50=_latency_quantiles_ms(counted, 0.5),
        p99=_latency_quantiles_ms(counted, 0.99),
        p999=_latency_quantiles_ms(counted, 0.999),
        coverage_mean=sum(sweep_coverages) / len(sweep_coverages),
        coverage_least=min(sweep_coverages),
        complete_share=sum(ratio == 1 for ratio in sweep_coverages)
        / len(sweep_coverages),
        extra_load=sent / needed - 1 if needed else 0,
        goodput=len(good) / duration_seconds,
        refusals=dict(
            Counter(outcome.refusal for outcome in outcomes if outcome.refusal)
        ),
        faults=dict(
            Counter(outcome.fault for outcome in answered if outcome.fault)
        ),
    )


def _arrivals(
    random_source: random.Random,
    rate: float,
    duration_seconds: float,
    run_number: int,
) -> Iterator[Arrival]:
    due_seconds = 0.0
    number = run_number * MAX_ARRIVALS_PER_RUN
    while due_seconds < duration_seconds:
        due_seconds += random_source.expovariate(rate)
        number += 1
        kind = random_source.choices(KINDS, KIND_WEIGHTS)[0]
        yield Arrival(
            due_seconds, kind, random_source.randrange(SITE_COUNT), number
        )


def _booking_id(arrival: Arrival) -> str:
    return f'b-{arrival.number}' if arrival.kind == 'booking' else ''


def _deadline_seconds(kind: str) -> float:
    return DEADLINES_SECONDS[KINDS.index(kind)]


def _latency_quantiles_ms(
    outcomes: list[Outcome], quantile: float
) -> dict[str, float]:
    by_kind = {}
    for kind in KINDS:
        latencies = sorted(
            outcome.latency_seconds
            for outcome in outcomes
            if outcome.kind == kind
        )
        if latencies:
            position = min(len(latencies) - 1, int(quantile * len(latencies)))
            by_kind[kind] = latencies[position] * 1000
    return by_kind
