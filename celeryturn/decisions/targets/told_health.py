"""What follows from a verdict on a target: rank it last, probe it at times."""

from collections.abc import Mapping
from typing import Final

from celeryturn.decisions.fleet.ring import nearest_by_hash
from celeryturn.decisions.targets.health_reports import (
    AVOIDED_STATES,
    HealthState,
)
from celeryturn.decisions.targets.health_verdicts import Verdict
from celeryturn.decisions.targets.own_health import OwnEvidence, refutes

FRESH_SECONDS: Final = 1.0
AVOIDED_PENALTY_SECONDS: Final = 1000.0
PROBER_COUNT: Final = 2
PATH_PROBER_COUNT: Final = 2
FIRST_PROBE_SECONDS: Final = 1.5
MAX_PROBE_SECONDS: Final = 8.0
MAX_PROBE_DOUBLINGS: Final = 4
# A target that lost replies must give several in a row.
NEXT_PROBE_SECONDS: Final = 0.1


class ToldHealth:
    """A verdict on a target that applies to this instance.

    :param verdict: The verdict.
    :param begun_seconds: Time from which it applies.
    :param is_prober: Whether this instance tries whether it still holds.
    :param probe_at_seconds: Time from which it may do so next.
    :param probe_count: Number of attempts since the last reply.
    """

    __slots__ = (
        'begun_seconds',
        'is_prober',
        'probe_at_seconds',
        'probe_count',
        'verdict',
    )

    def __init__(self, verdict: Verdict, now_seconds: float) -> None:
        self.verdict = verdict
        self.begun_seconds = now_seconds
        self.is_prober = False
        self.probe_at_seconds = now_seconds + FIRST_PROBE_SECONDS
        self.probe_count = 0


class KnownHealth:
    """What is known of the health of one start of a target.

    :param evidence: What this instance observed itself.
    :param told: Verdict by what instances report, if any.
    """

    __slots__ = ('evidence', 'told')

    def __init__(self) -> None:
        self.evidence = OwnEvidence()
        self.told: ToldHealth | None = None


def choose_probers(
    target: str, verdict: Verdict, zones: Mapping[str, str]
) -> tuple[str, ...]:
    """Choose the instances that try whether a verdict still holds.

    :param target: Identifier of the target.
    :param verdict: The verdict.
    :param zones: Zone of each live instance, by name.
    :returns: Names of the same instances everywhere: one in each of up to
        :data:`PROBER_COUNT` zones, or :data:`PATH_PROBER_COUNT` of the zone
        whose path is in question.
    """
    ranked = nearest_by_hash(target, zones, len(zones))
    if verdict.zone:
        of_zone = [name for name in ranked if zones[name] == verdict.zone]
        return tuple(of_zone[:PATH_PROBER_COUNT])
    first_of_zone: dict[str, str] = {}
    for name in ranked:
        first_of_zone.setdefault(zones[name], name)
    return tuple(first_of_zone.values())[:PROBER_COUNT]


def assign_prober(
    told: ToldHealth, probers: tuple[str, ...], instance: str
) -> None:
    """Record whether this instance probes a target.

    :param told: Verdict on the target.
    :param probers: Names of the instances that probe it, which begin one after
        the other.
    :param instance: Name of this instance.
    """
    told.is_prober = instance in probers
    if told.is_prober and not told.probe_count:
        delay_seconds = FIRST_PROBE_SECONDS * (probers.index(instance) + 1)
        told.probe_at_seconds = told.begun_seconds + delay_seconds


def is_avoided(
    told: ToldHealth | None,
    evidence: OwnEvidence,
    last_reply_seconds: float,
    now_seconds: float,
) -> bool:
    """Return whether a target is to be used only if no other is left.

    :param told: Verdict on the target, if any.
    :param evidence: Evidence of this instance.
    :param last_reply_seconds: Time of the last reply to this instance.
    :param now_seconds: Current time.
    :returns: Whether the verdict says so, and no fresh evidence of this
        instance itself speaks against it.
    """
    if told is None or told.verdict.state not in AVOIDED_STATES:
        return False
    return not _has_fresh_reply(
        told, last_reply_seconds, now_seconds
    ) or not refutes(evidence, told.verdict.state)


def assumed_slowness(
    told: ToldHealth | None, last_reply_seconds: float, now_seconds: float
) -> float:
    """Return how slow a target is to be expected by what is told of it.

    :param told: Verdict on the target, if any.
    :param last_reply_seconds: Time of the last reply to this instance.
    :param now_seconds: Current time.
    :returns: Latency relative to the typical one; zero if nothing is told, or
        this instance has fresh evidence itself.
    """
    if told is None or told.verdict.state is not HealthState.SLOW:
        return 0
    if _has_fresh_reply(told, last_reply_seconds, now_seconds):
        return 0
    return told.verdict.slowness


def is_probe_due(
    told: ToldHealth | None, now_seconds: float, *, is_extra_load_low: bool
) -> bool:
    """Return whether this instance is to try a target now.

    :param told: Verdict on the target, if any.
    :param now_seconds: Current time.
    :param is_extra_load_low: Whether few tokens for extra requests are left,
        one of which a failed attempt needs.
    :returns: Whether it probes this target, and its delay has passed; with few
        tokens, also :data:`MAX_PROBE_SECONDS` more.
    """
    if told is None or not told.is_prober:
        return False
    if told.verdict.state not in AVOIDED_STATES:
        return False
    reserve_seconds = MAX_PROBE_SECONDS if is_extra_load_low else 0
    return now_seconds >= told.probe_at_seconds + reserve_seconds


def record_probe(told: ToldHealth | None, now_seconds: float) -> None:
    """Record that a request is sent to a target.

    :param told: Verdict on the target, if any.
    :param now_seconds: Current time.
    """
    if told is not None:
        told.probe_count = min(told.probe_count + 1, MAX_PROBE_DOUBLINGS)
        wait_seconds = FIRST_PROBE_SECONDS * 2**told.probe_count
        told.probe_at_seconds = now_seconds + min(
            MAX_PROBE_SECONDS, wait_seconds
        )


def record_probe_reply(told: ToldHealth | None, now_seconds: float) -> None:
    """Record that a target replied, so that it is tried again soon.

    :param told: Verdict on the target, if any.
    :param now_seconds: Current time.
    """
    if told is not None:
        told.probe_count = 0
        told.probe_at_seconds = now_seconds + NEXT_PROBE_SECONDS


def _has_fresh_reply(
    told: ToldHealth, last_reply_seconds: float, now_seconds: float
) -> bool:
    # Nearly every target replied shortly before it failed.
    is_later = last_reply_seconds > told.verdict.evidence_seconds
    return is_later and now_seconds - last_reply_seconds < FRESH_SECONDS
