"""State, events and actions of one request to one or more services."""

import enum
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple, TypeAlias

from celeryturn.decisions.replicas import Replica, Usual
from celeryturn.decisions.replies import TargetReply, Verdict

# Waking up and writing take up to this where an answer waits until it is due.
LATE_MARGIN_SECONDS: Final = 0.004


class Plan(NamedTuple):
    """What is pinned for a request when it is admitted.

    :param services: Service of each leg.
    :param least_count: Legs that must succeed.
    :param is_idempotent: Whether a leg may run more than once.
    :param attempt_limit: Most targets a leg may run on.
    :param started_seconds: Time of admission.
    :param due_seconds: An answer later than this is late.
    :param deadline_seconds: An answer later than this is of no use.
    """

    services: tuple[str, ...]
    least_count: int
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
    :param leg: Position of its leg.
    :param replica: The target.
    :param sent_seconds: When it was decided on.
    """

    number: int
    leg: int
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


class Lacking(enum.StrEnum):
    """What a second target could not be asked for."""

    TARGET = 'no target'
    EXTRA_LOAD = 'no extra load'


Action: TypeAlias = Send | Cancel | Finish | Wake
Actions: TypeAlias = list[Action]


class Leg:
    """How far one leg has come.

    :param attempts: Under way, by number.
    :param tried: Targets that were asked.
    :param run_count: Attempts that may have run and have ended.
    :param reply: The reply that counts, a failure's while there is no other.
    :param is_settled: Whether nothing more is sent for it.
    :param last_verdict: Why the last attempt failed.
    :param hedge_seconds: When a second target may be asked.
    :param lacking: Why none was asked though it was time to.
    """

    __slots__ = (
        'attempts',
        'hedge_seconds',
        'is_settled',
        'lacking',
        'last_verdict',
        'reply',
        'run_count',
        'tried',
    )

    def __init__(self) -> None:
        self.attempts: dict[int, Attempt] = {}
        self.tried: set[str] = set()
        self.run_count = 0
        self.reply: TargetReply | None = None
        self.is_settled = False
        self.last_verdict: Verdict | None = None
        self.hedge_seconds = 0.0
        self.lacking: Lacking | None = None


class Sharded:
    """A request under way.

    :param plan: What is pinned for it.
    :param legs: One a service.
    :param under_way: Leg of each attempt under way.
    :param open_count: Legs that are not settled.
    :param success_count: Legs that succeeded.
    :param send_count: Attempts that were sent.
    :param is_finished: Whether it has its outcome.
    """

    __slots__ = (
        'is_finished',
        'legs',
        'open_count',
        'plan',
        'send_count',
        'success_count',
        'under_way',
    )

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.legs = [Leg() for _ in plan.services]
        self.under_way: dict[int, int] = {}
        self.open_count = len(self.legs)
        self.success_count = 0
        self.send_count = 0
        self.is_finished = False


class View(NamedTuple):
    """What a decision may look at.

    :param now_seconds: The time.
    :param serving: Lists the targets of a service that may get work.
    :param usual: What is usual for the route.
    :param hedge_after_seconds: Silence after which another target is asked.
    :param zone: Availability zone of this instance.
    :param random: A number between 0 and 1.
    :param spend: Takes from the extra load of a service, leaving a share of
        what may be saved up.
    :param is_short: Tells whether little of it is left.
    """

    now_seconds: float
    serving: Callable[[str], Sequence[Replica]]
    usual: Usual
    hedge_after_seconds: float
    zone: str
    random: Callable[[], float]
    spend: Callable[[str, float], bool]
    is_short: Callable[[str], bool]
