"""Whether reports say something of a target, a path, or their reporters.

Evidence of several instances in several zones is that of the target, evidence
of several instances of one zone only that of the path from there, and any less
that of the reporters themselves.
"""

import statistics
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple, TypeAlias

from celeryturn.decisions.targets.health_reports import (
    AVOIDED_STATES,
    BAD_STATES,
    HealthState,
    Observed,
    Records,
    TargetRecord,
)

MIN_REPORTERS: Final = 3
MIN_ZONES: Final = 2
MIN_PATH_REPORTERS: Final = 2
# A verdict ends unless an instance that probes the target confirms it.
VERDICT_VALID_SECONDS: Final = 30.0
PANIC_SHARE: Final = 0.5
# With three replicas, two that fail independently of each other are common:
# where 15% of the targets are dark, 28% of these share a service.
MIN_PANIC_COUNT: Final = 3
DISTRUST_SHARE: Final = 0.5


class Verdict(NamedTuple):
    """What reports say of a target.

    :param state: State of the target.
    :param zone: The only zone from which it is in that state; empty if it is
        for all.
    :param evidence_seconds: Time of the last observation.
    :param slowness: Latency relative to the typical one; zero unless slow.
    """

    state: HealthState
    zone: str
    evidence_seconds: float
    slowness: float


Verdicts: TypeAlias = dict[str, Verdict]
_ByReporter: TypeAlias = Mapping[str, Observed]


def find_distrusted(records: Records, target_count: int) -> frozenset[str]:
    """Find the reporters whose own links seem to be faulty.

    :param records: What is reported of each target.
    :param target_count: Number of known targets.
    :returns: Names of those that report more than half of the targets.
    """
    counts = Counter(
        reporter
        for record in records.values()
        for reporter, observed in record.observed.items()
        if observed.state in BAD_STATES
    )
    return frozenset(
        reporter
        for reporter, count in counts.items()
        if count > DISTRUST_SHARE * target_count
    )


def judge(
    record: TargetRecord,
    distrusted: frozenset[str],
    zone: str,
    now_seconds: float,
) -> Verdict | None:
    """Judge a target by what is reported of it.

    :param record: What is reported of the target.
    :param distrusted: Reporters that are not believed.
    :param zone: Zone from which the target is used.
    :param now_seconds: Current time.
    :returns: The verdict; ``None`` if there is too little evidence for one.
    """
    bad = {
        reporter: observed
        for reporter, observed in record.observed.items()
        if observed.state in BAD_STATES and reporter not in distrusted
    }
    avoided = {
        reporter: observed
        for reporter, observed in bad.items()
        if observed.state in AVOIDED_STATES
    }
    verdict = _attribute(avoided, zone, now_seconds)
    return verdict or _attribute(bad, zone, now_seconds)


def has_enough(
    record: TargetRecord,
    distrusted: frozenset[str],
    since_seconds: float,
) -> bool:
    """Return whether further evidence against a target would add nothing.

    :param record: What is reported of the target.
    :param distrusted: Reporters that are not believed.
    :param since_seconds: Time since which evidence is recent.
    :returns: Whether there is evidence for a verdict that holds in all zones,
        of which some is recent.
    """
    counted = [
        observed
        for reporter, observed in record.observed.items()
        if observed.state in AVOIDED_STATES and reporter not in distrusted
    ]
    zones = {observed.zone for observed in counted}
    if len(counted) < MIN_REPORTERS or len(zones) < MIN_ZONES:
        return False
    return any(
        observed.observed_seconds > since_seconds for observed in counted
    )


def discard_panic(
    verdicts: Verdicts,
    services: Mapping[str, str],
    service_sizes: Mapping[str, int],
) -> Verdicts:
    """Leave out verdicts on so many targets that they are not credible.

    :param verdicts: Verdict on each target.
    :param services: Service of each known target.
    :param service_sizes: Number of targets of each service.
    :returns: Nothing if there are verdicts on more than half of all targets;
        otherwise those on services of which no more than half, or fewer than
        :data:`MIN_PANIC_COUNT` targets, are affected.
    """
    if len(verdicts) > PANIC_SHARE * len(services):
        return {}
    counts = Counter(services[target] for target in verdicts)
    panicking = {
        service
        for service, count in counts.items()
        if count >= MIN_PANIC_COUNT
        and count > PANIC_SHARE * service_sizes[service]
    }
    return {
        target: verdict
        for target, verdict in verdicts.items()
        if services[target] not in panicking
    }


def _attribute(
    by_reporter: _ByReporter, zone: str, now_seconds: float
) -> Verdict | None:
    zones = {observed.zone for observed in by_reporter.values()}
    if len(by_reporter) >= MIN_REPORTERS and len(zones) >= MIN_ZONES:
        return _confirmed(by_reporter.values(), '', now_seconds)
    of_zone = [
        observed for observed in by_reporter.values() if observed.zone == zone
    ]
    if len(of_zone) >= MIN_PATH_REPORTERS:
        return _confirmed(of_zone, zone, now_seconds)
    return None


def _confirmed(
    evidence: Iterable[Observed], zone: str, now_seconds: float
) -> Verdict | None:
    counted = tuple(evidence)
    evidence_seconds = max(observed.observed_seconds for observed in counted)
    if now_seconds - evidence_seconds > VERDICT_VALID_SECONDS:
        return None
    slownesses = [
        observed.slowness for observed in counted if observed.slowness
    ]
    return Verdict(
        _summarize(counted),
        zone,
        evidence_seconds,
        statistics.median_low(slownesses) if slownesses else 0,
    )


def _summarize(counted: Iterable[Observed]) -> HealthState:
    states = Counter(observed.state for observed in counted)
    if states[HealthState.SLOW]:
        return HealthState.SLOW
    if states[HealthState.LOSSY] >= states[HealthState.SILENT]:
        return HealthState.LOSSY
    return HealthState.SILENT
