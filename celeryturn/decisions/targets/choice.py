"""Choice of the target of the next request."""

import math
from collections.abc import Iterable, Sequence
from typing import Final

from celeryturn.decisions.load.cold_share import is_limited
from celeryturn.decisions.targets.replicas import (
    COLD_SLOWNESS,
    DECAY_SECONDS,
    ExpectedLatency,
    Replica,
    available_at_seconds,
    decayed_slowness,
)
from celeryturn.decisions.targets.told_health import (
    AVOIDED_PENALTY_SECONDS,
    assumed_slowness,
    is_avoided,
    is_probe_due,
)

ZONE_PENALTY_SHARE: Final = 0.25
STALL_PENALTY_SHARE: Final = 1.0
FAILURE_PENALTY_SHARE: Final = 2.0
JITTER_SHARE: Final = 0.1
GOLDEN_RATIO: Final = 0.618034
MAX_LOAD_AGE_SECONDS: Final = 0.5


def is_stalled(
    replica: Replica, expected_latency: ExpectedLatency, now_seconds: float
) -> bool:
    """Return whether a target seems to be stalled.

    :param replica: Target to assess.
    :param expected_latency: Expected latencies of the route.
    :param now_seconds: Current time.
    :returns: Whether there was no reply for longer than the stall threshold
        while a request was in flight, or the target did not respond before
        and is either being probed or not due for a probe.
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
    """Estimate the latency of one more request to a target.

    :param replica: Target to assess.
    :param expected_latency: Expected latencies of the route.
    :param now_seconds: Current time.
    :returns: Seconds until the reply.
    """
    load, reported_seconds = replica.load_report
    slots = max(1, load.slots)
    ahead_count = len(replica.pending)
    age_seconds = now_seconds - reported_seconds
    if age_seconds < MAX_LOAD_AGE_SECONDS:
        ahead_count = max(ahead_count, load.running + load.waiting)
    queued_count = max(0, ahead_count + 1 - slots)
    slowness = max(
        decayed_slowness(replica, now_seconds),
        assumed_slowness(replica.told, replica.last_reply_seconds, now_seconds),
    )
    if is_limited(replica.cold, now_seconds):
        slowness = max(slowness, COLD_SLOWNESS)
    return (
        expected_latency.typical_seconds * slowness * (1 + queued_count / slots)
    )


def cost_seconds(
    replica: Replica,
    expected_latency: ExpectedLatency,
    zone: str,
    now_seconds: float,
) -> float:
    """Compute the cost of a target: its expected latency and penalties.

    :param replica: Target to assess.
    :param expected_latency: Expected latencies of the route.
    :param zone: Availability zone of this instance.
    :param now_seconds: Current time.
    :returns: Cost in seconds; the target with the lowest cost is preferred.
    """
    penalty_share = health_penalty_share(replica, expected_latency, now_seconds)
    if replica.entry.zone != zone:
        penalty_share += ZONE_PENALTY_SHARE
    latency_seconds = expected_seconds(replica, expected_latency, now_seconds)
    return latency_seconds + penalty_share * expected_latency.objective_seconds


def health_penalty_share(
    replica: Replica, expected_latency: ExpectedLatency, now_seconds: float
) -> float:
    """Compute the penalty of a target that is stalled or fails.

    :param replica: Target to assess.
    :param expected_latency: Expected latencies of the route.
    :param now_seconds: Current time.
    :returns: Penalty as a multiple of the latency objective.
    """
    penalty_share = 0.0
    if is_stalled(replica, expected_latency, now_seconds):
        penalty_share += STALL_PENALTY_SHARE
    if replica.failure_share:
        age_seconds = now_seconds - replica.last_failure_seconds
        decay = math.exp(-age_seconds / DECAY_SECONDS)
        penalty_share += FAILURE_PENALTY_SHARE * replica.failure_share * decay
    return penalty_share


def told_penalty_seconds(replica: Replica, now_seconds: float) -> float:
    """Return the penalty of a target that instances report as silent or lossy.

    It ranks the target behind all others; among several such targets, the other
    costs decide.

    :param replica: Target to assess.
    :param now_seconds: Current time.
    :returns: Penalty in seconds; zero for any other target.
    """
    is_ranked_last = is_avoided(
        replica.told, replica.evidence, replica.last_reply_seconds, now_seconds
    )
    return AVOIDED_PENALTY_SECONDS if is_ranked_last else 0


def prefer_trusted(
    replicas: Sequence[Replica], now_seconds: float
) -> Sequence[Replica]:
    """Leave out targets that instances report as silent or lossy.

    :param replicas: Candidates.
    :param now_seconds: Current time.
    :returns: The others; all candidates if none of these accepts requests now.
    """
    trusted = [
        replica
        for replica in replicas
        if not told_penalty_seconds(replica, now_seconds)
    ]
    is_available = any(
        available_at_seconds(replica) <= now_seconds for replica in trusted
    )
    return trusted if is_available else replicas


def choose_probed(
    replicas: Iterable[Replica],
    now_seconds: float,
    *,
    is_extra_load_low: bool,
) -> Replica | None:
    """Choose a target that this instance is to try now, if there is any.

    :param replicas: Candidates.
    :param now_seconds: Current time.
    :param is_extra_load_low: Whether few tokens for extra requests are left.
    :returns: A target with a verdict that may have ended, or None.
    """
    for replica in replicas:
        is_available = available_at_seconds(replica) <= now_seconds
        if is_available and is_probe_due(
            replica.told, now_seconds, is_extra_load_low=is_extra_load_low
        ):
            return replica
    return None


def choose_replica(
    replicas: Iterable[Replica],
    expected_latency: ExpectedLatency,
    zone: str,
    now_seconds: float,
    random_fraction: float,
) -> Replica | None:
    """Choose the target for the next request.

    :param replicas: Candidates.
    :param expected_latency: Expected latencies of the route.
    :param zone: Availability zone of this instance.
    :param now_seconds: Current time.
    :param random_fraction: Random number in [0, 1) that makes instances with
        the same view choose different targets.
    :returns: Candidate with the lowest cost, or None if all candidates are
        blocked or there are none.
    """
    best: Replica | None = None
    best_cost = math.inf
    jitter_fraction = random_fraction
    for replica in replicas:
        if available_at_seconds(replica) > now_seconds:
            continue
        jitter_fraction = math.modf(jitter_fraction + GOLDEN_RATIO)[0]
        cost = cost_seconds(replica, expected_latency, zone, now_seconds)
        cost *= 1 + JITTER_SHARE * jitter_fraction
        cost += told_penalty_seconds(replica, now_seconds)
        if cost < best_cost:
            best = replica
            best_cost = cost
    return best
