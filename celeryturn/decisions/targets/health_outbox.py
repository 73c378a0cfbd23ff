"""Reports on targets that peers have not been told yet."""

from typing import Final, NamedTuple, TypeAlias

from celeryturn.decisions.targets.health_reports import (
    MS_PER_SECOND,
    SOUND_STATES,
    HealthState,
    TargetReport,
)

MAX_BATCH_REPORTS: Final = 512

# A target, its reporter, and whether the report says that it is sound.
_Key: TypeAlias = tuple[str, str, bool]


class Pending(NamedTuple):
    """A report that peers have not been told yet.

    :param report: The report, with its age at the time of receipt.
    :param received_seconds: That time.
    :param sources: Names of the peers that told it, which know it.
    """

    report: TargetReport
    received_seconds: float
    sources: frozenset[str]


class Sourced(NamedTuple):
    """A report and the peers that it came from.

    :param sources: Names of the peers, which need not be told.
    :param report: The report.
    """

    sources: frozenset[str]
    report: TargetReport


Outbox: TypeAlias = dict[_Key, Pending]


def put_pending(
    outbox: Outbox, report: TargetReport, source: str, now_seconds: float
) -> None:
    """Add a report that is new to this instance.

    :param outbox: Reports that peers have not been told yet.
    :param report: The report.
    :param source: Name of the peer that told it; empty if this instance
        observed it.
    :param now_seconds: Time of receipt.
    """
    outbox[_key(report)] = Pending(report, now_seconds, frozenset((source,)))


def note_source(outbox: Outbox, report: TargetReport, source: str) -> None:
    """Record that a further peer knows a report.

    :param outbox: Reports that peers have not been told yet.
    :param report: A report that is not new to this instance.
    :param source: Name of the peer that told it.
    """
    pending = outbox.get(_key(report))
    if pending is not None and _is_same(pending.report, report):
        sources = pending.sources | {source}
        outbox[_key(report)] = pending._replace(sources=sources)


def take_batch(outbox: Outbox, now_seconds: float) -> list[Sourced]:
    """Take reports that peers have not been told yet, the oldest first.

    :param outbox: Reports that peers have not been told yet.
    :param now_seconds: Current time.
    :returns: At most :data:`MAX_BATCH_REPORTS` reports.
    """
    batch = []
    for key in tuple(outbox)[:MAX_BATCH_REPORTS]:
        pending = outbox.pop(key)
        waited_seconds = now_seconds - pending.received_seconds
        age_ms = pending.report.age_ms + round(MS_PER_SECOND * waited_seconds)
        report = pending.report._replace(age_ms=age_ms)
        batch.append(Sourced(pending.sources, report))
    return batch


def _key(report: TargetReport) -> _Key:
    return report.target, report.reporter, report.state in SOUND_STATES


def _is_same(pending: TargetReport, told: TargetReport) -> bool:
    return _identity(pending) == _identity(told)


def _identity(report: TargetReport) -> tuple[int, HealthState]:
    return report.born_ms, report.state
