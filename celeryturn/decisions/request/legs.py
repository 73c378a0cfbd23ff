"""State, events and actions of one request to one or more services."""

import enum
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple, TypeAlias

from celeryturn.decisions.request.quarantine import Standing
from celeryturn.decisions.request.replies import AttemptOutcome, TargetReply
from celeryturn.decisions.targets.replicas import ExpectedLatency, Replica
from celeryturn.decisions.targets.zone_share import ZoneShare

# An answer that waits until it is due may be delayed by this much by the
# wake-up and the writing.
LATE_MARGIN_SECONDS: Final = 0.004


class Plan(NamedTuple):
    """Parameters of a request, fixed at its admission.

    :param services: Name of the service of each leg.
    :param min_success_count: Number of legs that must succeed.
    :param is_idempotent: Whether a leg may run more than once.
    :param attempt_limit: Maximum number of targets a leg may run on.
    :param started_seconds: Time of admission.
    :param due_seconds: Time after which an answer is late.
    :param deadline_seconds: Time after which an answer is useless.
    :param is_trial: Whether this is the one request that finds out whether a
        blocked request still ends targets.
    """

    services: tuple[str, ...]
    min_success_count: int
    is_idempotent: bool
    attempt_limit: int
    started_seconds: float
    due_seconds: float
    deadline_seconds: float
    is_trial: bool = False


def is_late(plan: Plan, now_seconds: float) -> bool:
    """Return whether an answer that is sent now is late.

    :param plan: Parameters of the request.
    :param now_seconds: Time of the answer.
    :returns: Whether the due time has passed by more than
        :data:`LATE_MARGIN_SECONDS`; an answer that waited until it was due
        is not late.
    """
    return now_seconds > plan.due_seconds + LATE_MARGIN_SECONDS


class Attempt(NamedTuple):
    """One attempt to run a leg on a target.

    :param number: Identifier of the attempt within the request.
    :param leg_position: Index of its leg in the request.
    :param replica: Target of the attempt.
    :param sent_seconds: Time at which the send was decided.
    """

    number: int
    leg_position: int
    replica: Replica
    sent_seconds: float


class Send(NamedTuple):
    """Action: send an attempt.

    :param attempt: Attempt to send.
    """

    attempt: Attempt


class Cancel(NamedTuple):
    """Action: cancel an attempt.

    :param attempt: Attempt to cancel.
    """

    attempt: Attempt


class Finish(NamedTuple):
    """Action: end the request, its outcome is final."""


class Wake(NamedTuple):
    """Action: wake the request at a given time.

    :param at_seconds: Time of the wake-up.
    """

    at_seconds: float


class MissingResource(enum.StrEnum):
    """Resource whose lack prevented another attempt.

    - ``TARGET``: no target accepts the request.
    - ``EXTRA_LOAD``: no token for an extra request is left.
    - ``ATTEMPTS``: the leg was sent as often as allowed, or must not run again.
    - ``COLD_SHARE``: the targets that are left are cold, and this instance may
      send them no request now.
    - ``EVACUATED``: all targets that would accept it are in evacuated zones.
    """

    TARGET = 'no target'
    EXTRA_LOAD = 'no extra load'
    ATTEMPTS = 'no attempts left'
    COLD_SHARE = 'no cold share'
    EVACUATED = 'evacuated'


Action: TypeAlias = Send | Cancel | Finish | Wake
Actions: TypeAlias = list[Action]


class Leg:
    """Progress of one leg of a request.

    :param attempts: Attempts in flight by number.
    :param tried_targets: Targets that an attempt was sent to, but for those
        that may be tried again.
    :param shed_by: Targets that shed an attempt.
    :param send_count: Number of attempts that were sent.
    :param possible_run_count: Number of ended attempts that may have run.
    :param reply: Reply of the successful attempt, or the last failure reply
        if no attempt succeeded.
    :param is_settled: Whether no further attempt is sent.
    :param is_held: Whether its next attempt waits until a target has survived
        the request.
    :param last_outcome: Outcome of the attempt that ended last.
    :param hedge_at_seconds: Time from which a hedge may be sent.
    :param retry_at_seconds: Time at which a leg that waits is tried again;
        zero for one that does not wait.
    :param missing_resource: Why no further attempt was sent when one was
        due.
    """

    __slots__ = (
        'attempts',
        'hedge_at_seconds',
        'is_held',
        'is_settled',
        'last_outcome',
        'missing_resource',
        'possible_run_count',
        'reply',
        'retry_at_seconds',
        'send_count',
        'shed_by',
        'tried_targets',
    )

    def __init__(self) -> None:
        self.attempts: dict[int, Attempt] = {}
        self.tried_targets: set[str] = set()
        self.shed_by: set[str] = set()
        self.send_count = 0
        self.possible_run_count = 0
        self.reply: TargetReply | None = None
        self.is_settled = False
        self.is_held = False
        self.last_outcome: AttemptOutcome | None = None
        self.hedge_at_seconds = 0.0
        self.retry_at_seconds = 0.0
        self.missing_resource: MissingResource | None = None


class ShardedRequest:
    """State of a request with one leg for each of its services.

    :param plan: Parameters of the request.
    :param legs: Legs in the order of the services in the plan.
    :param in_flight: Index of the leg of each attempt in flight, by the
        number of the attempt.
    :param unsettled_count: Number of legs that are not settled.
    :param success_count: Number of legs that succeeded.
    :param send_count: Number of attempts that were sent.
    :param lost_count: Number of attempts that ended without a reply.
    :param unverified: Numbers of attempts whose target may have ended.
    :param has_survived: Whether a target has run the request to its reply.
    :param is_finished: Whether the outcome is final.
    """

    __slots__ = (
        'has_survived',
        'in_flight',
        'is_finished',
        'legs',
        'lost_count',
        'plan',
        'send_count',
        'success_count',
        'unsettled_count',
        'unverified',
    )

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.legs = [Leg() for _ in plan.services]
        self.in_flight: dict[int, int] = {}
        self.unsettled_count = len(self.legs)
        self.success_count = 0
        self.send_count = 0
        self.lost_count = 0
        self.unverified: set[int] = set()
        self.has_survived = False
        self.is_finished = False


def _is_never_evacuated(_service: str) -> bool:
    return False


class View(NamedTuple):
    """Inputs of a decision.

    :param now_seconds: Current time.
    :param serving: Returns the targets of a service that accept requests.
    :param expected_latency: Expected latencies of the route.
    :param hedge_delay_seconds: Time without a response after which a request
        is hedged.
    :param zone: Availability zone of this instance.
    :param random: Returns a random number in [0, 1).
    :param spend: Takes a token for an extra request to a service and returns
        whether enough were left.  The second argument is the fraction of the
        bucket's capacity that must remain.
    :param is_extra_load_low: Returns whether few tokens for extra requests to
        a service are left.
    :param standing: Whether targets ended under this request before, and what
        follows for sending it.
    :param suspect_services: Services of these targets.
    :param is_evacuated: Returns whether a service has no target because of
        evacuated zones.
    :param zone_share: Returns the share of the requests to a service that
        leave the zone; ``None`` if another zone costs a fixed penalty only.
    """

    now_seconds: float
    serving: Callable[[str], Sequence[Replica]]
    expected_latency: ExpectedLatency
    hedge_delay_seconds: float
    zone: str
    random: Callable[[], float]
    spend: Callable[[str, float], bool]
    is_extra_load_low: Callable[[str], bool]
    standing: Standing = Standing.CLEAR
    suspect_services: frozenset[str] = frozenset()
    is_evacuated: Callable[[str], bool] = _is_never_evacuated
    zone_share: Callable[[str], ZoneShare] | None = None
