"""State of one query in flight, its failures and its actions."""

import enum
from typing import NamedTuple, TypeAlias

from celeryturn.decisions.load.budget import Budget
from celeryturn.decisions.request.planning import QueryPlan
from celeryturn.decisions.request.routing import RandomSource, Views
from celeryturn.decisions.targets.latency import LatencyWindow
from celeryturn.decisions.targets.messages import Reply


class Failure(enum.StrEnum):
    """Reasons why an attempt produced no usable reply."""

    NOT_SENT = 'not_sent'
    SHED = 'shed'
    DRAINING = 'draining'
    LOST = 'lost'
    SNAPSHOT_GONE = 'snapshot_gone'
    BAD_REPLY = 'bad_reply'


class Attempt(NamedTuple):
    """One sub-request to one target.

    :param number: Number that identifies the attempt within the query.
    :param shard: The shard to read.
    :param target: The target that the sub-request is sent to.
    :param created_seconds: Time at which the attempt was created.
    """

    number: int
    shard: str
    target: str
    created_seconds: float


class Send(NamedTuple):
    """Send an attempt to its target."""

    attempt: Attempt


class Cancel(NamedTuple):
    """Cancel an attempt whose reply is no longer needed."""

    attempt: Attempt


class Wake(NamedTuple):
    """Wake the query up at the given time."""

    at_seconds: float


class Finish(NamedTuple):
    """End the query; its answer can be merged."""


Action: TypeAlias = Send | Cancel | Wake | Finish
Actions: TypeAlias = list[Action]


class Context(NamedTuple):
    """Input of a decision besides the query itself.

    :param views: Known state of each target.
    :param zone: Availability zone of this instance.
    :param budget: Extra-load budget of the service.
    :param window: Recent latencies of the service.
    :param has_slot_shortage: Whether the targets are short of slots.
    :param now_seconds: Time of the event.
    :param random: Returns random numbers between 0 and 1.
    """

    views: Views
    zone: str
    budget: Budget
    window: LatencyWindow
    has_slot_shortage: bool
    now_seconds: float
    random: RandomSource


class ShardProgress:
    """Progress of one shard of a query.

    :param reply: The usable reply, if one was received.
    :param attempts: Attempts in flight, by number.
    :param tried_targets: Targets tried for the current snapshot.
    :param failure: Reason of the last failed attempt, if any.
    :param is_settled: Whether no further attempt will be made.
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

    :param plan: The plan that was pinned at admission.
    :param progress: Progress by shard.
    :param in_flight: Shard of each attempt in flight, by number.
    :param last_attempt_number: Number of the newest attempt.
    :param sent_count: Attempts sent, including hedges and retries.
    :param unsettled_count: Shards that are not settled yet.
    :param included_count: Shards with a usable reply.
    :param is_probing: Whether the query still probes for the snapshot before it
        sends to all shards.
    :param is_restarted: Whether the query was moved to another snapshot after
        probing ended.
    :param is_finished: Whether the query has ended.
    """

    __slots__ = (
        'in_flight',
        'included_count',
        'is_finished',
        'is_probing',
        'is_restarted',
        'last_attempt_number',
        'plan',
        'progress',
        'sent_count',
        'unsettled_count',
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
