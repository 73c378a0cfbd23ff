"""State, events and actions of one request to one or more services."""

import enum
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple, TypeAlias

from celeryturn.decisions.replicas import ExpectedLatency, Replica
from celeryturn.decisions.replies import AttemptOutcome, TargetReply

# Waking up and writing take up to this where an answer waits until it is due.
LATE_MARGIN_SECONDS: Final = 0.004


class Plan(NamedTuple):
    """What is pinned for a request when it is admitted.

    :param services: Service of each leg.
    :param min_success_count: Legs that must succeed.
    :param is_idempotent: Whether a leg may run more than once.
    :param attempt_limit: Most targets a leg may run on.
    :param started_seconds: Time of admission.
    :param due_seconds: An answer later than this is late.
    :param deadline_seconds: An answer later than this is of no use.
    """

    services: tuple[str, ...]
    min_success_count: int
    is_idempotent: bool
    attempt_limit: int
    started_seconds: float
    due_seconds: float
    deadline_seconds: float


def is_late(plan: Plan, now_seconds: float) -> bool:
    """Tell whether an answer is late that goes out now.

    :param plan: What is pinned for the request.
    :param now_seconds: Time of the answer.
    :returns: False also for one that waited until it was due.
    """
    return now_seconds > plan.due_seconds + LATE_MARGIN_SECONDS


class Attempt(NamedTuple):
    """One send of a leg.

    :param number: Identifies it within the request.
    :param leg_position: Position of its leg.
    :param replica: The target.
    :param sent_seconds: When it was decided on.
    """

    number: int
    leg_position: int
    replica: Replica
    sent_seconds: float


class Send(NamedTuple):
    """Send an attempt.

    :param attempt: Which.
    """

    attempt: Attempt


class Cancel(NamedTuple):
    """Give an attempt up.

    :param attempt: Which.
    """

    attempt: Attempt


class Finish(NamedTuple):
    """The request has its outcome."""


class Wake(NamedTuple):
    """Ask again at a time.

    :param at_seconds: When.
    """

    at_seconds: float


class MissingResource(enum.StrEnum):
    """What a second target could not be asked for."""

    TARGET = 'no target'
    EXTRA_LOAD = 'no extra load'


Action: TypeAlias = Send | Cancel | Finish | Wake
Actions: TypeAlias = list[Action]


class Leg:
    """How far one leg has come.

    :param attempts: Under way, by number.
    :param tried_targets: Targets that were asked.
    :param possible_run_count: Attempts that may have run and have ended.
    :param reply: The reply that counts, a failure's while there is no other.
    :param is_settled: Whether nothing more is sent for it.
    :param last_outcome: Why the last attempt failed.
    :param hedge_at_seconds: When a second target may be asked.
    :param missing_resource: Why none was asked though it was time to.
    """

    __slots__ = (
        'attempts',
        'hedge_at_seconds',
        'is_settled',
        'last_outcome',
        'missing_resource',
        'possible_run_count',
        'reply',
        'tried_targets',
    )

    def __init__(self) -> None:
        self.attempts: dict[int, Attempt] = {}
        self.tried_targets: set[str] = set()
        self.possible_run_count = 0
        self.reply: TargetReply | None = None
        self.is_settled = False
        self.last_outcome: AttemptOutcome | None = None
        self.hedge_at_seconds = 0.0
        self.missing_resource: MissingResource | None = None


class ShardedRequest:
    """A request under way.

    :param plan: What is pinned for it.
    :param legs: One a service.
    :param in_flight: Leg of each attempt under way.
    :param unsettled_count: Legs that are not settled.
    :param success_count: Legs that succeeded.
    :param send_count: Attempts that were sent.
    :param is_finished: Whether it has its outcome.
    """

    __slots__ = (
        'in_flight',
        'is_finished',
        'legs',
        'unsettled_count',
        'plan',
        'send_count',
        'success_count',
    )

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.legs = [Leg() for _ in plan.services]
        self.in_flight: dict[int, int] = {}
        self.unsettled_count = len(self.legs)
        self.success_count = 0
        self.send_count = 0
        self.is_finished = False


class View(NamedTuple):
    """What a decision may look at.

    :param now_seconds: The time.
    :param serving: Lists the targets of a service that may get work.
    :param expected_latency: What is usual for the route.
    :param hedge_after_seconds: Silence after which another target is asked.
    :param zone: Availability zone of this instance.
    :param random: A number between 0 and 1.
    :param spend: Takes from the extra load of a service, leaving a share of
        what may be saved up.
    :param is_extra_load_low: Tells whether little of it is left.
    """

    now_seconds: float
    serving: Callable[[str], Sequence[Replica]]
    expected_latency: ExpectedLatency
    hedge_after_seconds: float
    zone: str
    random: Callable[[], float]
    spend: Callable[[str, float], bool]
    is_extra_load_low: Callable[[str], bool]
