"""One query under an explicit clock, with its actions recorded."""

import random

from celeryturn.decisions.configuration import service_state
from celeryturn.decisions.request import course, query
from celeryturn.decisions.request.merging import merge
from celeryturn.decisions.request.planning import (
    QueryKind,
    QueryRequest,
    plan_query,
)
from celeryturn.decisions.targets.messages import QueryAnswer, Record, Reply
from celeryturn.decisions.targets.views import Report
from tests.support.documents import make_published

SEED = 7
NEVER_SECONDS = float('inf')


class SimulatedQuery:
    """A query whose targets are simulated by the scenario.

    :param service: State of the service.
    :param state: State of the query, once it has begun.
    :param now_seconds: Time of the clock.
    :param in_flight: Attempts in flight, by number.
    :param sent: Every attempt sent, in order.
    :param cancelled: Every attempt cancelled, in order.
    :param is_finished: Whether the query has decided to finish.
    :param has_slot_shortage: Whether the targets have too few slots.
    :param has_no_recent_reports: Whether no target has reported recently, so
        that the snapshot of the plan is a guess.
    """

    def __init__(self, raw: dict[str, object]) -> None:
        self.now_seconds = 1000.0
        self.service = service_state.ServiceState(
            make_published(raw), self.now_seconds
        )
        service_state.apply_document(
            self.service, self.service.published, 1, self.now_seconds
        )
        self.in_flight: dict[int, course.Attempt] = {}
        self.sent: list[course.Attempt] = []
        self.cancelled: list[course.Attempt] = []
        self.wake_seconds = NEVER_SECONDS
        self.is_finished = False
        self.has_slot_shortage = False
        self.has_no_recent_reports = False
        self._random = random.Random(SEED)

    def begin(self, deadline_seconds: float, key: str = '') -> None:
        """Admit the query."""
        request = QueryRequest(
            QueryKind.SEARCH, 'reservas', key, '', (), 100, deadline_seconds
        )
        choice = service_state.current_snapshot(self.service, self.now_seconds)
        if not self.has_no_recent_reports:
            choice = choice._replace(is_guess=False)
        plan = plan_query(
            self.service.document, request, choice, self.now_seconds
        )
        self.state = course.QueryState(plan)
        self.apply(query.begin(self.state, self.context()))

    def context(self) -> course.Context:
        """Build the input of the decisions."""
        return course.Context(
            views=self.service.views,
            zone='zone-a',
            budget=self.service.budget,
            window=self.service.window,
            has_slot_shortage=self.has_slot_shortage,
            now_seconds=self.now_seconds,
            random=self._random.random,
        )

    def apply(self, actions: course.Actions) -> None:
        """Record the decided actions."""
        for action in actions:
            match action:
                case course.Send(attempt):
                    self.in_flight[attempt.number] = attempt
                    self.sent.append(attempt)
                case course.Cancel(attempt):
                    self.in_flight.pop(attempt.number, None)
                    self.cancelled.append(attempt)
                case course.Wake(at_seconds):
                    self.wake_seconds = at_seconds
                case course.Finish():
                    assert not self.is_finished, 'finished twice'
                    self.is_finished = True

    def reply(
        self, attempt: course.Attempt, snapshot: int = 0, index: int = 1
    ) -> None:
        """Simulate a reply of a target with one record of its shard."""
        self.in_flight.pop(attempt.number, None)
        read = snapshot or self.state.plan.snapshot
        reply = Reply(
            'reservas',
            attempt.shard,
            index,
            read,
            [record(f'{attempt.shard}/1', snapshot=read)],
            Report(),
        )
        self.apply(
            query.on_reply(self.state, attempt.number, reply, self.context())
        )

    def fail(self, attempt: course.Attempt, failure: str) -> None:
        """Simulate the failure of an attempt."""
        self.in_flight.pop(attempt.number, None)
        self.apply(
            query.on_failure(
                self.state,
                attempt.number,
                course.Failure(failure),
                self.context(),
            )
        )

    def advance(self, seconds: float) -> None:
        """Advance the clock and wake the query whenever it requested it."""
        end_seconds = self.now_seconds + seconds
        while self.wake_seconds <= end_seconds and not self.is_finished:
            self.now_seconds = max(self.now_seconds, self.wake_seconds)
            self.wake_seconds = NEVER_SECONDS
            self.apply(query.on_wake(self.state, self.context()))
        self.now_seconds = end_seconds

    def attempts_of(self, shard: str) -> list[course.Attempt]:
        """List the attempts in flight for a shard."""
        return [
            attempt
            for attempt in self.in_flight.values()
            if attempt.shard == shard
        ]

    def answer(self) -> QueryAnswer:
        """Merge the replies into the answer."""
        return merge(self.state, self.now_seconds)


def record(key: str, schema_version: int = 1, snapshot: int = 0) -> Record:
    """Make a record whose text names the snapshot it was read from."""
    return Record(
        key=key,
        schema_version=schema_version,
        starts_at_seconds=0,
        free_count=1,
        text=f'snapshot {snapshot}',
    )
