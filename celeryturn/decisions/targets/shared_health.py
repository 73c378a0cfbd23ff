"""Observations of targets that instances share, and what this one does by them.

An instance reports a target at the first strong sign that it is bad.  It says
nothing that the others know already: while a verdict on the target stands, only
the few instances that probe it confirm the verdict or end it.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import Final, NamedTuple

from celeryturn.decisions.targets.directory import Directory, find_replica
from celeryturn.decisions.targets.health_outbox import (
    Outbox,
    note_source,
    put_pending,
)
from celeryturn.decisions.targets.health_reports import (
    AVOIDED_STATES,
    BAD_STATES,
    HealthState,
    Observed,
    Records,
    TargetReport,
    make_report,
    merge_report,
    prune_records,
    sound_seconds,
)
from celeryturn.decisions.targets.health_verdicts import (
    MIN_REPORTERS,
    MIN_ZONES,
    Verdict,
    Verdicts,
    discard_panic,
    find_distrusted,
    has_enough,
    judge,
)
from celeryturn.decisions.targets.own_health import (
    SLOW_RATIO,
    OwnEvidence,
    record_no_reply,
    record_recovery,
    record_reply,
    record_slow,
    refutes,
    restart_counts,
)
from celeryturn.decisions.targets.replicas import Replica
from celeryturn.decisions.targets.report_budget import (
    ReportBudget,
    take_report,
)
from celeryturn.decisions.targets.told_health import (
    ToldHealth,
    assign_prober,
    choose_probers,
    record_probe_reply,
)

# Less than the time for which a verdict is valid, so that one that still holds
# does not lapse.
REPEAT_REPORT_SECONDS: Final = 8.0
# Further evidence of a verdict is not passed on within this time.
ENOUGH_SECONDS: Final = 4.0


class Reporter(NamedTuple):
    """An instance that reports.

    :param instance: Its name.
    :param zone: Its availability zone.
    """

    instance: str
    zone: str


class Change(NamedTuple):
    """A verdict that began or ended.

    :param target: Identifier of the target.
    :param verdict: The verdict that stands now; ``None`` if none does.
    """

    target: str
    verdict: Verdict | None


class SharedHealth:
    """Observations of targets that instances share.

    :param own: This instance.
    :param records: What is reported of each target.
    :param outbox: Reports that peers have not been told yet.
    :param zones: Zone of each live instance, by name; empty while this instance
        observes its targets often enough itself.
    :param budget: Budget of the reports of this instance.
    :param applied: Targets with a verdict that applies to this instance.
    :param distrusted: Reporters that are not believed.
    """

    __slots__ = (
        'applied',
        'budget',
        'distrusted',
        'outbox',
        'own',
        'records',
        'zones',
    )

    def __init__(self, own: Reporter) -> None:
        self.own = own
        self.records: Records = {}
        self.outbox: Outbox = {}
        self.zones: Mapping[str, str] = {}
        self.budget = ReportBudget()
        self.applied: set[str] = set()
        self.distrusted: frozenset[str] = frozenset()


def is_shared(health: SharedHealth) -> bool:
    """Return whether there are enough instances to share observations.

    :param health: Shared observations.
    :returns: Whether the live instances could reach a verdict on a target.
    """
    zone_count = len(set(health.zones.values()))
    return len(health.zones) >= MIN_REPORTERS and zone_count >= MIN_ZONES


def observe_no_reply(
    health: SharedHealth,
    replica: Replica,
    now_seconds: float,
    *,
    is_lost: bool,
) -> None:
    """Record that a target did not reply to this instance.

    :param health: Shared observations.
    :param replica: The target.
    :param now_seconds: Time at which this was observed.
    :param is_lost: Whether the reply was lost, and the target not silent.
    """
    former = replica.evidence.state
    record = health.records.get(replica.entry.target)
    known_sound = (
        sound_seconds(record, health.own.zone) if record else float('-inf')
    )
    record_no_reply(
        replica.evidence,
        is_lost=is_lost,
        sound_seconds=known_sound,
        now_seconds=now_seconds,
    )
    _report_bad(health, replica, former, now_seconds)


def observe_reply(
    health: SharedHealth,
    replica: Replica,
    slowness: float,
    now_seconds: float,
) -> None:
    """Record that a target replied to this instance.

    :param health: Shared observations.
    :param replica: The target.
    :param slowness: Latency relative to the typical one of the route.
    :param now_seconds: Time of the reply.
    """
    evidence = replica.evidence
    former = evidence.state
    record_reply(evidence, slowness)
    record_probe_reply(replica.told, now_seconds)
    if former is None and evidence.state is None and replica.told is None:
        return
    if _is_refuted(replica, former):
        _report_sound(health, replica, now_seconds)
    elif evidence.state is HealthState.SLOW and evidence.slow_count:
        _report_bad(health, replica, former, now_seconds)


def observe_wait(
    health: SharedHealth,
    replica: Replica,
    slowness: float,
    now_seconds: float,
) -> None:
    """Record a request that this instance cancelled before its reply.

    It confirms that a target is slow, but does not show that it replies at all.

    :param health: Shared observations.
    :param replica: The target.
    :param slowness: Time that it waited relative to the typical latency.
    :param now_seconds: Time of the cancellation.
    """
    evidence = replica.evidence
    if slowness < SLOW_RATIO or not evidence.slow_count:
        return
    former = evidence.state
    record_slow(evidence, slowness)
    if evidence.state is HealthState.SLOW:
        _report_bad(health, replica, former, now_seconds)


def merge_reports(
    health: SharedHealth,
    reports: Iterable[TargetReport],
    source: str,
    now_seconds: float,
) -> int:
    """Merge reports of a peer, and keep what is new for the other peers.

    :param health: Shared observations.
    :param reports: The reports.
    :param source: Name of the peer; empty if this instance observed them.
    :param now_seconds: Time of receipt.
    :returns: Number of reports that were new.
    """
    new_count = 0
    for report in reports:
        is_needed = not _has_enough(health, report, now_seconds)
        if merge_report(health.records, report, now_seconds):
            new_count += 1
            if is_needed:
                put_pending(health.outbox, report, source, now_seconds)
        else:
            note_source(health.outbox, report, source)
    return new_count


def refresh(
    health: SharedHealth,
    directory: Directory,
    zones: Mapping[str, str],
    now_seconds: float,
) -> list[Change]:
    """Judge all targets by what is reported, and apply the verdicts.

    :param health: Shared observations.
    :param directory: Known targets.
    :param zones: Zone of each live instance, by name.
    :param now_seconds: Current time.
    :returns: Verdicts that began or ended.
    """
    have_zones_changed = zones != health.zones
    health.zones = zones
    prune_records(health.records, now_seconds)
    verdicts = _judge_all(health, directory, now_seconds)
    changes = []
    for target in sorted(health.applied | verdicts.keys()):
        verdict = verdicts.get(target)
        replica = find_replica(directory, target)
        if replica is None:
            health.applied.discard(target)
        elif _apply(health, replica, verdict, now_seconds):
            changes.append(Change(target, verdict))
    begun = {change.target for change in changes}
    _assign_probers(
        health, directory, health.applied if have_zones_changed else begun
    )
    _forget_refuted(health, directory, now_seconds)
    return changes


def withdraw(
    health: SharedHealth, directory: Directory, now_seconds: float
) -> None:
    """Withdraw all reports of this instance, since its links were at fault.

    :param health: Shared observations.
    :param directory: Known targets.
    :param now_seconds: Current time.
    """
    for target, record in health.records.items():
        own = record.observed.get(health.own.instance)
        if own is not None and own.state in BAD_STATES:
            withdrawn = _observe_now(health, HealthState.WITHDRAWN, now_seconds)
            report = make_report(
                target,
                record.born_ms,
                health.own.instance,
                withdrawn,
                now_seconds,
            )
            merge_reports(health, (report,), '', now_seconds)
    for replicas in directory.replicas.values():
        for replica in replicas.values():
            replica.evidence = OwnEvidence()


def _has_enough(
    health: SharedHealth, report: TargetReport, now_seconds: float
) -> bool:
    # Each instance has passed on what was enough for itself.
    known = health.records.get(report.target)
    if known is None or known.born_ms != report.born_ms:
        return False
    if report.state not in AVOIDED_STATES:
        return False
    since_seconds = now_seconds - ENOUGH_SECONDS
    return has_enough(known, health.distrusted, since_seconds)


def _is_refuted(replica: Replica, own_state: HealthState | None) -> bool:
    told = replica.told
    if told is not None and refutes(replica.evidence, told.verdict.state):
        return True
    return own_state is not None and refutes(replica.evidence, own_state)


def _report_bad(
    health: SharedHealth,
    replica: Replica,
    former: HealthState | None,
    now_seconds: float,
) -> None:
    evidence = replica.evidence
    state = evidence.state
    elapsed_seconds = now_seconds - evidence.told_seconds
    is_due = state is not former or elapsed_seconds >= REPEAT_REPORT_SECONDS
    if state is None or not is_due or _is_told(replica, state):
        return
    if not is_shared(health) or not take_report(health.budget, now_seconds):
        return
    evidence.told_seconds = now_seconds
    observed = _observe_now(health, state, now_seconds)
    _report(health, replica, observed._replace(slowness=evidence.slowness))


def _is_told(replica: Replica, state: HealthState) -> bool:
    told = replica.told
    if told is None or told.is_prober:
        return False
    return told.verdict.state in AVOIDED_STATES or state is HealthState.SLOW


def _report_sound(
    health: SharedHealth, replica: Replica, now_seconds: float
) -> None:
    told = replica.told
    evidence = replica.evidence
    has_told = evidence.told_seconds > float('-inf')
    if told is not None and refutes(evidence, told.verdict.state):
        state = (
            HealthState.SOUND_IN_ZONE
            if told.verdict.zone
            else HealthState.SOUND
        )
        _report(health, replica, _observe_now(health, state, now_seconds))
    elif has_told:
        state = HealthState.WITHDRAWN
        _report(health, replica, _observe_now(health, state, now_seconds))
    record_recovery(evidence, now_seconds)


def _observe_now(
    health: SharedHealth, state: HealthState, now_seconds: float
) -> Observed:
    return Observed(health.own.zone, state, now_seconds, 0)


def _report(health: SharedHealth, replica: Replica, observed: Observed) -> None:
    entry = replica.entry
    observed_seconds = observed.observed_seconds
    report = make_report(
        entry.target,
        entry.born_ms,
        health.own.instance,
        observed,
        observed_seconds,
    )
    if health.own.instance in health.distrusted:
        # Others do not believe it either.
        merge_report(health.records, report, observed_seconds)
    else:
        merge_reports(health, (report,), '', observed_seconds)


def _judge_all(
    health: SharedHealth, directory: Directory, now_seconds: float
) -> Verdicts:
    services = directory.services
    health.distrusted = find_distrusted(health.records, len(services))
    if not is_shared(health):
        return {}
    verdicts = {}
    for target, record in tuple(health.records.items()):
        replica = find_replica(directory, target)
        if replica is None or replica.entry.born_ms != record.born_ms:
            continue
        verdict = judge(record, health.distrusted, health.own.zone, now_seconds)
        if verdict is not None:
            verdicts[target] = verdict
    sizes = {name: len(known) for name, known in directory.replicas.items()}
    return discard_panic(verdicts, services, sizes)


def _apply(
    health: SharedHealth,
    replica: Replica,
    verdict: Verdict | None,
    now_seconds: float,
) -> bool:
    target = replica.entry.target
    told = replica.told
    if verdict is None:
        health.applied.discard(target)
        replica.told = None
        return told is not None
    health.applied.add(target)
    if told is None:
        replica.told = ToldHealth(verdict, now_seconds)
        restart_counts(replica.evidence)
        return True
    former = told.verdict
    told.verdict = verdict
    return (former.state, former.zone) != (verdict.state, verdict.zone)


def _assign_probers(
    health: SharedHealth, directory: Directory, targets: Iterable[str]
) -> None:
    # Costs a hash for each instance and target.
    for target in targets:
        replica = find_replica(directory, target)
        if replica is not None and replica.told is not None:
            probers = choose_probers(target, replica.told.verdict, health.zones)
            assign_prober(replica.told, probers, health.own.instance)


def _forget_refuted(
    health: SharedHealth, directory: Directory, now_seconds: float
) -> None:
    # Another instance found these targets sound: a failure from now on is news.
    for replica in _sound_replicas(health, directory):
        if replica.evidence.state in AVOIDED_STATES:
            record_recovery(replica.evidence, now_seconds)


def _sound_replicas(
    health: SharedHealth, directory: Directory
) -> Iterator[Replica]:
    for target, record in health.records.items():
        replica = find_replica(directory, target)
        if not record.sound or replica is None:
            continue
        last_seconds = sound_seconds(record, health.own.zone)
        if replica.evidence.told_seconds < last_seconds:
            yield replica
