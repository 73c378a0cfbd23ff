"""What is believed of each target, and which one to ask next."""

import math
from collections.abc import Iterable
from typing import Final, NamedTuple

SMOOTHING_FACTOR: Final = 0.25
DECAY_SECONDS: Final = 4.0
MAX_LOAD_AGE_SECONDS: Final = 0.5
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
ZONE_PENALTY_SHARE: Final = 0.25
STALL_PENALTY_SHARE: Final = 1.0
FAILURE_PENALTY_SHARE: Final = 2.0
JITTER_SHARE: Final = 0.1
MIN_TYPICAL_SECONDS: Final = 0.0001
GOLDEN_RATIO: Final = 0.618034


class TargetEntry(NamedTuple):
    """A target as the platform lists it.

    :param target: Its identifier.
    :param service: Service it belongs to.
    :param address: IP address.
    :param port: TCP port.
    :param zone: Availability zone.
    :param slot_count: Requests it works on at once.
    :param is_draining: Whether it is about to leave.
    :param cold_seconds: How long it stays slow after its start.
    :param born_ms: Unix time of its start; tells incarnations apart.
    :param sequence: Rises with each entry of one incarnation.
    """

    target: str
    service: str
    address: str
    port: int
    zone: str
    slot_count: int
    is_draining: bool
    cold_seconds: float
    born_ms: int
    sequence: int


class Load(NamedTuple):
    """Load that a target reports.

    :param running: Requests it works on.
    :param waiting: Requests in its queue.
    :param slots: Requests it can work on at once.
    """

    running: int
    waiting: int
    slots: int


class Replica:
    """One target with what was observed of it.

    :param entry: The target as listed.
    :param pending: When each request under way was sent, by its number.
    :param slowness: Latency relative to the route's usual one.
    :param observed_seconds: When the slowness was last observed.
    :param failure_share: Smoothed share of requests that failed.
    :param last_failure_seconds: When one failed last.
    :param last_reply_seconds: When it last replied.
    :param load: Load it last reported.
    :param load_reported_seconds: When it reported it.
    :param blocked_until_seconds: No new request before this time.
    :param connect_failure_count: Failures to connect in a row.
    :param probe_at_seconds: When it may be tried again after it stayed silent.
    :param unanswered_count: Times it stayed silent in a row.
    """

    __slots__ = (
        'blocked_until_seconds',
        'entry',
        'last_failure_seconds',
        'failure_share',
        'last_reply_seconds',
        'load',
        'load_reported_seconds',
        'observed_seconds',
        'pending',
        'connect_failure_count',
        'unanswered_count',
        'slowness',
        'probe_at_seconds',
    )

    def __init__(self, entry: TargetEntry, now_seconds: float) -> None:
        self.entry = entry
        self.pending: dict[int, float] = {}
        self.slowness = COLD_SLOWNESS if entry.cold_seconds else 1.0
        self.observed_seconds = now_seconds + entry.cold_seconds
        self.failure_share = 0.0
        self.last_failure_seconds = 0.0
        self.last_reply_seconds = 0.0
        self.load = Load(0, 0, entry.slot_count)
        self.load_reported_seconds = 0.0
        self.blocked_until_seconds = 0.0
        self.connect_failure_count = 0
        self.probe_at_seconds = 0.0
        self.unanswered_count = 0


class ExpectedLatency(NamedTuple):
    """What is usual for a route's requests.

    :param typical_seconds: Median latency of a target.
    :param slow_seconds: Latency that few requests exceed at a sound target.
    :param stall_seconds: Silence that suggests that a target stands still.
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
    """Learn from a whole reply.

    :param replica: The target that replied.
    :param latency_seconds: From send to whole reply.
    :param expected_latency: What is usual for the route.
    :param now_seconds: Time of the reply.
    """
    replica.last_reply_seconds = now_seconds
    replica.connect_failure_count = 0
    replica.unanswered_count = 0
    previous = decayed_slowness(replica, now_seconds)
    observed = latency_seconds / max(
        expected_latency.typical_seconds, MIN_TYPICAL_SECONDS
    )
    bounded = min(max(observed, MIN_SLOWNESS), MAX_SLOWNESS)
    replica.slowness = previous + SMOOTHING_FACTOR * (bounded - previous)
    replica.observed_seconds = now_seconds
    _record_outcome(replica, 0, now_seconds)


def observe_no_response(
    replica: Replica,
    waited_seconds: float,
    expected_latency: ExpectedLatency,
    now_seconds: float,
) -> None:
    """Learn from a request that was given up without a reply.

    A pause is over soon and slowness is not: the target is tried again
    after a short while, with one request, and later each time.

    :param replica: The target that stayed silent.
    :param waited_seconds: From send until it was given up.
    :param expected_latency: What is usual for the route.
    :param now_seconds: Time of giving up.
    """
    has_replied = replica.last_reply_seconds > now_seconds - waited_seconds
    if waited_seconds < expected_latency.stall_seconds or has_replied:
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


def observe_failure(replica: Replica, now_seconds: float) -> None:
    """Learn from a failed request.

    :param replica: The target that failed it.
    :param now_seconds: Time of the failure.
    """
    _record_outcome(replica, 1, now_seconds)


def observe_unreachable(replica: Replica, now_seconds: float) -> None:
    """Learn that no connection could be opened.

    :param replica: The target.
    :param now_seconds: Time of the failure.
    """
    doublings = min(replica.connect_failure_count, MAX_DOUBLINGS)
    block_seconds = min(MAX_BLOCK_SECONDS, FIRST_BLOCK_SECONDS * 2**doublings)
    replica.connect_failure_count += 1
    replica.blocked_until_seconds = now_seconds + block_seconds
    _record_outcome(replica, 1, now_seconds)


def observe_load(replica: Replica, load: Load, now_seconds: float) -> None:
    """Take in the load a target reports.

    :param replica: The target.
    :param load: What it reports.
    :param now_seconds: Time of the report.
    """
    replica.load = load
    replica.load_reported_seconds = now_seconds


def decayed_slowness(replica: Replica, now_seconds: float) -> float:
    """Tell how slow a target is believed to be; old beliefs fade.

    :param replica: The target.
    :param now_seconds: Time of the question.
    :returns: Its latency relative to the usual one.
    """
    age_seconds = max(0.0, now_seconds - replica.observed_seconds)
    decay = math.exp(-age_seconds / DECAY_SECONDS)
    return 1 + (replica.slowness - 1) * decay


def is_stalled(
    replica: Replica, expected_latency: ExpectedLatency, now_seconds: float
) -> bool:
    """Tell whether a target seems to stand still.

    :param replica: The target.
    :param expected_latency: What is usual for the route.
    :param now_seconds: Time of the question.
    :returns: Whether its oldest request got nothing for longer than usual,
        or it stayed silent and is being tried again, or not yet.
    """
    oldest_seconds = next(iter(replica.pending.values()), None)
    if oldest_seconds is None:
        return now_seconds < replica.probe_at_seconds
    if replica.unanswered_count:
        return True
    last_progress_seconds = max(oldest_seconds, replica.last_reply_seconds)
    return now_seconds - last_progress_seconds > expected_latency.stall_seconds


def expected_seconds(
    replica: Replica, expected_latency: ExpectedLatency, now_seconds: float
) -> float:
    """Estimate how long a target would take for one more request.

    :param replica: The target.
    :param expected_latency: What is usual for the route.
    :param now_seconds: Time of the question.
    :returns: Seconds until its reply.
    """
    slots = max(1, replica.load.slots)
    ahead_count = len(replica.pending)
    age_seconds = now_seconds - replica.load_reported_seconds
    if age_seconds < MAX_LOAD_AGE_SECONDS:
        ahead_count = max(
            ahead_count, replica.load.running + replica.load.waiting
        )
    queued_count = max(0, ahead_count + 1 - slots)
    slowness = decayed_slowness(replica, now_seconds)
    return (
        expected_latency.typical_seconds * slowness * (1 + queued_count / slots)
    )


def cost_seconds(
    replica: Replica,
    expected_latency: ExpectedLatency,
    zone: str,
    now_seconds: float,
) -> float:
    """Weigh a target: its expected latency and what speaks against it.

    :param replica: The target.
    :param expected_latency: What is usual for the route.
    :param zone: Availability zone of this instance.
    :param now_seconds: Time of the question.
    :returns: Comparable figure in seconds; the least is best.
    """
    penalty_share = 0.0
    if replica.entry.zone != zone:
        penalty_share += ZONE_PENALTY_SHARE
    if is_stalled(replica, expected_latency, now_seconds):
        penalty_share += STALL_PENALTY_SHARE
    if replica.failure_share:
        age_seconds = now_seconds - replica.last_failure_seconds
        decay = math.exp(-age_seconds / DECAY_SECONDS)
        penalty_share += FAILURE_PENALTY_SHARE * replica.failure_share * decay
    latency_seconds = expected_seconds(replica, expected_latency, now_seconds)
    return latency_seconds + penalty_share * expected_latency.objective_seconds


def choose_replica(
    replicas: Iterable[Replica],
    expected_latency: ExpectedLatency,
    zone: str,
    now_seconds: float,
    random_fraction: float,
) -> Replica | None:
    """Choose the target to ask next.

    :param replicas: Candidates.
    :param expected_latency: What is usual for the route.
    :param zone: Availability zone of this instance.
    :param now_seconds: Time of the question.
    :param random_fraction: Between 0 and 1; spreads instances with one view.
    :returns: The best candidate, if there is one that may get work.
    """
    best: Replica | None = None
    best_cost = math.inf
    spread = random_fraction
    for replica in replicas:
        if replica.blocked_until_seconds > now_seconds:
            continue
        spread = math.modf(spread + GOLDEN_RATIO)[0]
        cost = cost_seconds(replica, expected_latency, zone, now_seconds)
        cost *= 1 + JITTER_SHARE * spread
        if cost < best_cost:
            best = replica
            best_cost = cost
    return best


def _record_outcome(replica: Replica, outcome: int, now_seconds: float) -> None:
    previous_share = replica.failure_share
    replica.failure_share = previous_share + SMOOTHING_FACTOR * (
        outcome - previous_share
    )
    if outcome:
        replica.last_failure_seconds = now_seconds
