"""What this instance itself observes of the health of a target."""

from typing import Final

from celeryturn.decisions.targets.health_reports import (
    AVOIDED_STATES,
    HealthState,
)

SLOW_RATIO: Final = 3.0
SLOW_REPLY_COUNT: Final = 3
SOUND_REPLY_COUNT: Final = 3
# Of a target that loses 40% of its replies, one in 13 such series is complete.
LOSSY_REPLY_COUNT: Final = 5
# A target that fails again so soon after it was sound loses replies.
RELAPSE_SECONDS: Final = 10.0


class OwnEvidence:
    """What this instance observed of one start of a target.

    :param state: State of the target; ``None`` while nothing speaks against
        it.
    :param recovered_seconds: Time at which such a state last ended.
    :param reply_count: Replies since the last failure, or since a verdict on
        the target.
    :param slow_count: Number of consecutive slow replies, and of requests that
        were cancelled after as long.
    :param fast_count: Number of consecutive replies that were not slow.
    :param slowness: Least slowness of these slow replies.
    :param told_seconds: Time at which peers were last told of the state.
    """

    __slots__ = (
        'fast_count',
        'recovered_seconds',
        'reply_count',
        'slow_count',
        'slowness',
        'state',
        'told_seconds',
    )

    def __init__(self) -> None:
        self.state: HealthState | None = None
        self.recovered_seconds = float('-inf')
        self.reply_count = 0
        self.slow_count = 0
        self.fast_count = 0
        self.slowness = 0.0
        self.told_seconds = float('-inf')


def record_no_reply(
    evidence: OwnEvidence,
    *,
    is_lost: bool,
    sound_seconds: float,
    now_seconds: float,
) -> None:
    """Record that a target did not reply.

    :param evidence: Evidence of this instance.
    :param is_lost: Whether the connection broke off, or what was received is
        not a reply of the target.
    :param sound_seconds: Time at which any instance last found it sound.
    :param now_seconds: Current time.
    """
    recovered_seconds = max(evidence.recovered_seconds, sound_seconds)
    is_relapse = now_seconds - recovered_seconds < RELAPSE_SECONDS
    restart_counts(evidence)
    evidence.slowness = 0.0
    if is_lost or is_relapse or evidence.state is HealthState.LOSSY:
        evidence.state = HealthState.LOSSY
    else:
        evidence.state = HealthState.SILENT


def record_reply(evidence: OwnEvidence, slowness: float) -> None:
    """Record a reply.

    :param evidence: Evidence of this instance.
    :param slowness: Latency relative to the typical one of the route.
    """
    evidence.reply_count += 1
    if slowness >= SLOW_RATIO:
        record_slow(evidence, slowness)
    else:
        evidence.slow_count = 0
        evidence.fast_count += 1


def record_slow(evidence: OwnEvidence, slowness: float) -> None:
    """Record a slow reply, or a request that was cancelled after as long.

    :param evidence: Evidence of this instance.
    :param slowness: Latency relative to the typical one of the route, or its
        lower bound; at least :data:`SLOW_RATIO`.
    """
    is_first = not evidence.slow_count
    evidence.slowness = (
        slowness if is_first else min(evidence.slowness, slowness)
    )
    evidence.slow_count += 1
    evidence.fast_count = 0
    if evidence.state is None and evidence.slow_count >= SLOW_REPLY_COUNT:
        evidence.state = HealthState.SLOW


def refutes(evidence: OwnEvidence, state: HealthState) -> bool:
    """Return whether the last replies show that a state has ended.

    :param evidence: Evidence of this instance.
    :param state: A state that speaks against the target.
    :returns: Whether there were enough replies.  One is enough to show that a
        target is not silent, unless it is slow: then it may not have ended.
    """
    if state is HealthState.SLOW:
        return evidence.fast_count >= SOUND_REPLY_COUNT
    if state is HealthState.LOSSY:
        return evidence.reply_count >= LOSSY_REPLY_COUNT
    return evidence.fast_count > 0 or evidence.slow_count >= SLOW_REPLY_COUNT


def record_recovery(evidence: OwnEvidence, now_seconds: float) -> None:
    """Record that a target is sound again.

    :param evidence: Evidence of this instance.
    :param now_seconds: Current time.
    """
    if evidence.state in AVOIDED_STATES:
        evidence.recovered_seconds = now_seconds
    evidence.state = None
    evidence.told_seconds = float('-inf')


def restart_counts(evidence: OwnEvidence) -> None:
    """Count replies from now on, since the target failed or is said to.

    :param evidence: Evidence of this instance.
    """
    evidence.reply_count = 0
    evidence.slow_count = 0
    evidence.fast_count = 0
