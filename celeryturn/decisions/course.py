"""State of one query under way, its events and its actions."""

import enum
from typing import NamedTuple, TypeAlias

from celeryturn.decisions.budget import Budget
from celeryturn.decisions.latency import LatencyWindow
from celeryturn.decisions.messages import Reply
from celeryturn.decisions.planning import QueryPlan
from celeryturn.decisions.routing import Random, Views


class Failure(enum.StrEnum):
    """Why an attempt brought no usable reply."""

    NOT_SENT = 'not_sent'
    SHED = 'shed'
    DRAINING = 'draining'
    LOST = 'lost'
    SNAPSHOT_GONE = 'snapshot_gone'
    BAD_REPLY = 'bad_reply'


class Attempt(NamedTuple):
    """One sub-request to one target.

    :param number: Identifies it within the query.
    :param shard: The shard it reads.
    :param target: The target it goes to.
    :param created_seconds: When it was decided on.
    """

    number: int
    shard: str
    target: str
    created_seconds: float


class Send(NamedTuple):
    """Offer an attempt to its target."""

    attempt: Attempt


class Cancel(NamedTuple):
    """Give up an attempt; its reply is no longer wanted."""

    attempt: Attempt


class Wake(NamedTuple):
    """Come back at a time."""

    at_seconds: float


class Finish(NamedTuple):
    """The answer can be merged."""


Action: TypeAlias = Send | Cancel | Wake | Finish
Actions: TypeAlias = list[Action]


class Context(NamedTuple):
    """What a decision may look at besides the query itself.

    :param views: What is believed of each target.
    :param zone: Availability zone of this instance.
    :param budget: Extra-load budget of the service.
    :param window: Latencies of the service.
    :param has_slot_shortage: Whether the targets are short of slots.
    :param now_seconds: Time of the event.
    :param random: Source of numbers between 0 and 1.
    """

    views: Views
    zone: str
    budget: Budget
    window: LatencyWindow
    has_slot_shortage: bool
    now_seconds: float
    random: Random


class ShardProgress:
    """How far one shard of a query has come.

    :param reply: The usable reply, if it is in.
    :param attempts: Attempts under way, by number.
    :param tried_targets: Targets tried on the current snapshot.
    :param failure: The last failure, if any.
    :param is_settled: Whether nothing more will be tried.
    """

    __slots__ = ('attempts', 'failure', 'is_settled', 'reply', 'tried_targets')

    def __init__(self) -> None:
        self.reply: Reply | None = None
        self.attempts: dict[int, Attempt] = {}
        self.tried_targets: set[str] = set()
        self.failure: Failure | None = None
        self.is_settled = False


class QueryState:
    """State of one query.

    :param plan: What was pinned at admission.
    :param progress: Progress by shard.
    :param in_flight: Shard of each attempt under way, by number.
    :param last_attempt_number: Number of the newest attempt.
    :param sent_count: Attempts sent, the extra ones included.
    :param unsettled_count: Shards not yet settled.
    :param included_count: Shards whose reply is in.
    :param is_probing: Whether one shard is asked before the others.
    :param is_restarted: Whether it was moved to another snapshot.
    :param is_finished: Whether the answer was decided on.
    """

    __slots__ = (
        'in_flight',
        'included_count',
        'is_finished',
        'is_restarted',
        'is_probing',
        'last_attempt_number',
        'unsettled_count',
        'plan',
        'progress',
        'sent_count',
    )

    def __init__(self, plan: QueryPlan) -> None:
        self.plan = plan
        self.progress = {shard: ShardProgress() for shard in plan.shards}
        self.in_flight: dict[int, str] = {}
        self.last_attempt_number = 0
        self.sent_count = 0
        self.unsettled_count = len(plan.shards)
        self.included_count = 0
        self.is_restarted = False
        self.is_probing = False
        self.is_finished = False
