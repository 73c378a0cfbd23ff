"""Observed state of each target."""

import math
from typing import Annotated, Final, NamedTuple, TypeAlias

import msgspec

from celeryturn.decisions.load.cold_share import (
    ColdState,
    cold_ready_at_seconds,
    reserve,
)
from celeryturn.decisions.load.request_rate import (
    RateLimit,
    ready_at_seconds,
    take,
)
from celeryturn.decisions.targets.told_health import KnownHealth
from celeryturn.units import Integer, Port, PositiveCount

SMOOTHING_FACTOR: Final = 0.25
DECAY_SECONDS: Final = 4.0
MIN_SLOWNESS: Final = 0.5
MAX_SLOWNESS: Final = 40.0
COLD_SLOWNESS: Final = 1.6
FIRST_BLOCK_SECONDS: Final = 0.25
MAX_BLOCK_SECONDS: Final = 2.0
MAX_DOUBLINGS: Final = 4
FIRST_PROBE_DELAY_SECONDS: Final = 0.06
PROBE_BACKOFF_FACTOR: Final = 4
MAX_PROBE_DELAY_SECONDS: Final = 2.0
MAX_UNANSWERED_COUNT: Final = 8
MIN_TYPICAL_SECONDS: Final = 0.0001
MAX_COLD_SECONDS: Final = 86_400.0
# A target that asks for a longer time is probed after this one.
MAX_RETRY_AFTER_SECONDS: Final = 60.0

ColdSeconds: TypeAlias = Annotated[
    float, msgspec.Meta(ge=0, le=MAX_COLD_SECONDS)
]


class TargetEntry(NamedTuple):
    """Entry of a target in the list of targets of the platform.

    :param target: Identifier of the target.
    :param service: Service that the target belongs to.
    :param address: IP address.
    :param port: TCP port.
    :param zone: Availability zone.
    :param slot_count: Number of requests the target processes concurrently.
    :param is_draining: Whether the target is about to leave.
    :param cold_seconds: Length of the warm-up, during which the target is
        slow.
    :param born_ms: Unix time of the start of the target, which distinguishes
        its incarnations.
    :param sequence: Number that increases with each entry of an incarnation.
    """

    target: str
    service: str
    address: str
    port: Port
    zone: str
    slot_count: PositiveCount
    is_draining: bool
    cold_seconds: ColdSeconds
    born_ms: Integer
    sequence: Integer


class Load(NamedTuple):
    """Load that a target reports.

    :param running: Number of requests being processed.
    :param waiting: Number of requests in the queue.
    :param slots: Maximum number of requests processed concurrently.
    """

    running: int
    waiting: int
    slots: int


class LoadReport(NamedTuple):
    """Load that a target reported last.

    :param load: The load.
    :param reported_seconds: Time of the report.
    """

    load: Load
    reported_seconds: float


class Replica(KnownHealth):
    """Observed state of one start of a target, and what is told of its health.

    :param entry: Entry of the target.
    :param pending: Time at which each request in flight was sent, by number.
    :param slowness: Latency relative to the typical latency of the route.
    :param observed_seconds: Time of the last observation of the slowness.
    :param failure_share: Exponential moving average of the fraction of failed
        requests.
    :param last_failure_seconds: Time of the last failure.
    :param last_reply_seconds: Time of the last reply.
    :param load_report: Last report of its load.
    :param blocked_until_seconds: Time before which no request is sent.
    :param retry_at_seconds: Time before which the target wants no requests
        from this instance.
    :param no_response_seconds: Time at which a request last ended without a
        response.
    :param connect_failure_count: Number of consecutive failures to connect.
    :param probe_at_seconds: Time from which the target may be probed after a
        request without a response.
    :param unanswered_count: Number of consecutive times that the target did
        not respond, at most ``MAX_UNANSWERED_COUNT``.
    :param rate_limit: Request rate that the target stated, if any.
    :param cold: Until when the target is cold, and this instance's quota.
    """

    __slots__ = (
        '_cold',
        'blocked_until_seconds',
        'connect_failure_count',
        'entry',
        'failure_share',
        'last_failure_seconds',
        'last_reply_seconds',
        'load_report',
        'no_response_seconds',
        'observed_seconds',
        'pending',
        'probe_at_seconds',
        'rate_limit',
        'retry_at_seconds',
        'slowness',
        'unanswered_count',
    )

    def __init__(self, entry: TargetEntry, now_seconds: float) -> None:
        super().__init__()
        self.entry = entry
        self.pending: dict[int, float] = {}
        self.slowness = COLD_SLOWNESS if entry.cold_seconds else 1.0
        self.observed_seconds = now_seconds + entry.cold_seconds
        self.failure_share = 0.0
        self.last_failure_seconds = 0.0
        self.last_reply_seconds = 0.0
        self.load_report = LoadReport(Load(0, 0, entry.slot_count), 0.0)
        self.blocked_until_seconds = 0.0
        self.retry_at_seconds = 0.0
        self.no_response_seconds = 0.0
        self.connect_failure_count = 0
        self.probe_at_seconds = 0.0
        self.unanswered_count = 0
        self.rate_limit: RateLimit | None = None
        self._cold = ColdState(now_seconds + entry.cold_seconds)

    @property
    def cold(self) -> ColdState:
        """Until when the target is cold, and this instance's quota."""
        return self._cold


class ExpectedLatency(NamedTuple):
    """Expected latencies of requests of a route.

    :param typical_seconds: Median latency of a target.
    :param slow_seconds: Latency that few requests to a healthy target exceed.
    :param stall_seconds: Time without a response that suggests that a target
        is stalled.
    :param objective_seconds: Latency objective of the route.
    """

    typical_seconds: float
    slow_seconds: float
    stall_seconds: float
    objective_seconds: float


def observe_latency(
    replica: Replica,
    latency_seconds: float,
    expected_latency: ExpectedLatency,
    now_seconds: float,
) -> None:
    """Record a complete reply.

    :param replica: Target that replied.
    :param latency_seconds: Time from the send to the complete reply.
    :param expected_latency: Expected latencies of the route.
    :param now_seconds: Time of the reply.
    """
    observe_response(replica, now_seconds)
    previous = decayed_slowness(replica, now_seconds)
    bounded = relative_latency(latency_seconds, expected_latency)
    replica.slowness = previous + SMOOTHING_FACTOR * (bounded - previous)
    replica.observed_seconds = now_seconds
    _record_outcome(replica, 0, now_seconds)


def observe_no_response(
    replica: Replica,
    waited_seconds: float,
    expected_latency: ExpectedLatency,
    now_seconds: float,
) -> None:
    """Record a request that was cancelled without a reply.

    Unlike slowness, a pause ends soon.  The target is therefore probed with a
    single request after a short delay, which increases each further time.

    :param replica: Target that did not respond.
    :param waited_seconds: Time from the send to the cancellation.
    :param expected_latency: Expected latencies of the route.
    :param now_seconds: Time of the cancellation.
    """
    if not shows_silence(
        replica, waited_seconds, expected_latency, now_seconds
    ):
        return
    if now_seconds < replica.probe_at_seconds:
        return
    backoff_seconds = (
        FIRST_PROBE_DELAY_SECONDS
        * PROBE_BACKOFF_FACTOR**replica.unanswered_count
    )
    wait_seconds = min(MAX_PROBE_DELAY_SECONDS, backoff_seconds)
    replica.unanswered_count = min(
        replica.unanswered_count + 1, MAX_UNANSWERED_COUNT
    )
    replica.probe_at_seconds = now_seconds + wait_seconds


def record_wait(
    replica: Replica,
    waited_seconds: float,
    expected_latency: ExpectedLatency,
    now_seconds: float,
) -> float:
    """Record how long a request waited that was cancelled without a reply.

    The time is a lower bound of the latency.  While hedges reply first, it is
    all that shows that a target is slow.

    :param replica: Target of the request.
    :param waited_seconds: Time from the send to the cancellation.
    :param expected_latency: Expected latencies of the route.
    :param now_seconds: Time of the cancellation.
    :returns: The time relative to the typical latency.
    """
    waited = relative_latency(waited_seconds, expected_latency)
    previous = decayed_slowness(replica, now_seconds)
    if waited > previous:
        replica.slowness = previous + SMOOTHING_FACTOR * (waited - previous)
        replica.observed_seconds = now_seconds
    return waited


def shows_silence(
    replica: Replica,
    waited_seconds: float,
    expected_latency: ExpectedLatency,
    now_seconds: float,
) -> bool:
    """Return whether a request without a reply shows that a target is silent.

    :param replica: Target that did not respond.
    :param waited_seconds: Time from the send to the cancellation.
    :param expected_latency: Expected latencies of the route.
    :param now_seconds: Time of the cancellation.
    :returns: Whether it waited for the stall time, and the target replied to
        nothing else meanwhile.
    """
    has_replied = replica.last_reply_seconds > now_seconds - waited_seconds
    return waited_seconds >= expected_latency.stall_seconds and not has_replied


def relative_latency(
    latency_seconds: float, expected_latency: ExpectedLatency
) -> float:
    """Return how slow a reply is.

    :param latency_seconds: Time from the send to the complete reply.
    :param expected_latency: Expected latencies of the route.
    :returns: Latency relative to the typical latency of the route, between
        :data:`MIN_SLOWNESS` and :data:`MAX_SLOWNESS`.
    """
    observed = latency_seconds / max(
        expected_latency.typical_seconds, MIN_TYPICAL_SECONDS
    )
    return min(max(observed, MIN_SLOWNESS), MAX_SLOWNESS)


def observe_response(replica: Replica, now_seconds: float) -> None:
    """Record that a target responded, whatever the outcome.

    A target that responds is not paused.

    :param replica: Target that responded.
    :param now_seconds: Time of the response.
    """
    replica.last_reply_seconds = now_seconds
    replica.connect_failure_count = 0
    replica.unanswered_count = 0


def observe_failure(replica: Replica, now_seconds: float) -> None:
    """Record a failed request.

    :param replica: Target at which the request failed.
    :param now_seconds: Time of the failure.
    """
    _record_outcome(replica, 1, now_seconds)


def observe_unreachable(replica: Replica, now_seconds: float) -> None:
    """Record that no connection could be opened.

    :param replica: Target that could not be connected to.
    :param now_seconds: Time of the failure.
    """
    doublings = min(replica.connect_failure_count, MAX_DOUBLINGS)
    block_seconds = min(MAX_BLOCK_SECONDS, FIRST_BLOCK_SECONDS * 2**doublings)
    replica.connect_failure_count += 1
    replica.blocked_until_seconds = now_seconds + block_seconds
    _record_outcome(replica, 1, now_seconds)


def observe_retry_after(
    replica: Replica, retry_after_seconds: float, now_seconds: float
) -> None:
    """Record that a target wants no requests from this instance for a time.

    :param replica: Target that turned a request away.
    :param retry_after_seconds: Length of that time, which is limited to
        :data:`MAX_RETRY_AFTER_SECONDS`.
    :param now_seconds: Time of the reply.
    """
    bounded_seconds = min(retry_after_seconds, MAX_RETRY_AFTER_SECONDS)
    replica.retry_at_seconds = max(
        replica.retry_at_seconds, now_seconds + bounded_seconds
    )


def available_at_seconds(replica: Replica) -> float:
    """Return the time from which requests may be sent to a target.

    :param replica: Target to assess.
    :returns: The time; in the past if the target may be used.
    """
    return max(replica.blocked_until_seconds, wanted_at_seconds(replica))


def available_if_warm_at_seconds(replica: Replica) -> float:
    """Return the time from which requests could be sent to a warm target.

    :param replica: Target to assess.
    :returns: The time, regardless of whether the target is cold.
    """
    return max(
        replica.blocked_until_seconds,
        replica.retry_at_seconds,
        ready_at_seconds(replica.rate_limit),
    )


def wanted_at_seconds(replica: Replica) -> float:
    """Return the time from which a target wants requests from this instance.

    :param replica: Target to assess.
    :returns: The time; in the past if it wants them now, infinite if this
        instance has no share of the request rate that the target states.
    """
    return max(
        replica.retry_at_seconds,
        ready_at_seconds(replica.rate_limit),
        cold_ready_at_seconds(replica.cold),
    )


def record_send(replica: Replica, now_seconds: float) -> None:
    """Count a request against what a target takes.

    It counts against the request rate that the target states at once, and
    against the quota of a cold target once it is written to a connection.

    :param replica: Target that the request is sent to.
    :param now_seconds: Time of the send.
    """
    if replica.rate_limit is not None:
        take(replica.rate_limit, now_seconds)
    reserve(replica.cold)


def observe_load(replica: Replica, load: Load, now_seconds: float) -> None:
    """Record the load that a target reports.

    :param replica: Target that reports.
    :param load: Reported load.
    :param now_seconds: Time of the report.
    """
    replica.load_report = LoadReport(load, now_seconds)


def decayed_slowness(replica: Replica, now_seconds: float) -> float:
    """Estimate how slow a target is.

    The estimate decays to 1 as the last observation ages.

    :param replica: Target to assess.
    :param now_seconds: Current time.
    :returns: Latency relative to the typical latency of the route.
    """
    age_seconds = max(0.0, now_seconds - replica.observed_seconds)
    decay = math.exp(-age_seconds / DECAY_SECONDS)
    return 1 + (replica.slowness - 1) * decay


def _record_outcome(replica: Replica, outcome: int, now_seconds: float) -> None:
    previous_share = replica.failure_share
    replica.failure_share = previous_share + SMOOTHING_FACTOR * (
        outcome - previous_share
    )
    if outcome:
        replica.last_failure_seconds = now_seconds
