"""What instances report of targets: a set that merges in any order.

Of each reporter the latest report on a start of a target counts, and of each
zone the latest time at which the target was found sound.  Reports tell their
age, so that clocks need not agree; on the way it grows a little, which
:data:`ORDER_MARGIN_SECONDS` allows for.
"""

import enum
from collections.abc import Iterator
from typing import Annotated, Final, NamedTuple, TypeAlias

import msgspec

from celeryturn.decisions.bounded_table import put_latest
from celeryturn.units import Integer, Key, Name

MAX_REPORTED_TARGETS: Final = 2048
MAX_REPORTERS_PER_ZONE: Final = 3
MAX_ZONES: Final = 8
MAX_TOLD_REPORTS: Final = 8192
KEEP_SECONDS: Final = 120.0
ORDER_MARGIN_SECONDS: Final = 0.1
MAX_AGE_MS: Final = 1_000_000_000
MAX_SLOWNESS_TENTHS: Final = 400
ALL_ZONES: Final = ''
MS_PER_SECOND: Final = 1000
_TENTHS: Final = 10

AgeMs: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=MAX_AGE_MS)]
SlownessTenths: TypeAlias = Annotated[
    int, msgspec.Meta(ge=0, le=MAX_SLOWNESS_TENTHS)
]


class HealthState(enum.IntEnum):
    """What an instance reports of a target.

    - ``WITHDRAWN``: the reporter has no evidence against the target any more.
    - ``SILENT``: no reply within the stall time, or no connection.
    - ``LOSSY``: replies are lost.
    - ``SLOW``: several times slower than comparable targets.
    - ``SOUND``: a target that was taken for bad responds; counts everywhere.
    - ``SOUND_IN_ZONE``: the path from the zone of the reporter works again.
    """

    WITHDRAWN = 0
    SILENT = 1
    LOSSY = 2
    SLOW = 3
    SOUND = 4
    SOUND_IN_ZONE = 5


AVOIDED_STATES: Final = frozenset((HealthState.SILENT, HealthState.LOSSY))
BAD_STATES: Final = AVOIDED_STATES | {HealthState.SLOW}
SOUND_STATES: Final = frozenset((HealthState.SOUND, HealthState.SOUND_IN_ZONE))


class TargetReport(NamedTuple):
    """Report of one instance on one target; part of messages.

    :param target: Identifier of the target.
    :param born_ms: Unix time of its start.
    :param reporter: Name of the instance that observed it.
    :param zone: Availability zone of that instance.
    :param state: What it observed.
    :param age_ms: Milliseconds since the observation.
    :param slowness_tenths: Ten times the latency relative to the typical one
        of the route; zero unless the target is slow.
    """

    target: Key
    born_ms: Integer
    reporter: Name
    zone: Name
    state: HealthState
    age_ms: AgeMs
    slowness_tenths: SlownessTenths


class Observed(NamedTuple):
    """Last observation of one reporter.

    :param zone: Availability zone of the reporter.
    :param state: What it observed.
    :param observed_seconds: Time of the observation.
    :param slowness: Latency relative to the typical one; zero unless slow.
    """

    zone: str
    state: HealthState
    observed_seconds: float
    slowness: float


class SoundObserved(NamedTuple):
    """Last time at which a target was found sound.

    :param reporter: Name of the instance that observed it.
    :param zone: Availability zone of that instance.
    :param observed_seconds: Time of the observation.
    """

    reporter: str
    zone: str
    observed_seconds: float


class TargetRecord:
    """What is reported of one start of a target.

    :param born_ms: Unix time of the start.
    :param observed: Last observation of each reporter, at most
        :data:`MAX_REPORTERS_PER_ZONE` of each of :data:`MAX_ZONES` zones.
    :param sound: Last time at which the target was found sound, by the zone
        for which it counts; :data:`ALL_ZONES` for all of them.
    """

    __slots__ = ('born_ms', 'observed', 'sound')

    def __init__(self, born_ms: int) -> None:
        self.born_ms = born_ms
        self.observed: dict[str, Observed] = {}
        self.sound: dict[str, SoundObserved] = {}


Records: TypeAlias = dict[str, TargetRecord]


def merge_report(
    records: Records, report: TargetReport, now_seconds: float
) -> bool:
    """Merge one report.

    :param records: What is reported of each target, the oldest first.
    :param report: The report.
    :param now_seconds: Time of receipt.
    :returns: Whether it was not known, and says something that counts.
    """
    age_seconds = report.age_ms / MS_PER_SECOND
    if age_seconds > KEEP_SECONDS:
        return False
    known = records.get(report.target)
    if known is not None and known.born_ms > report.born_ms:
        return False
    if known is None or known.born_ms < report.born_ms:
        known = TargetRecord(report.born_ms)
    observed_seconds = now_seconds - age_seconds
    if report.state in SOUND_STATES:
        is_new = _merge_sound(known, report, observed_seconds)
    else:
        is_new = _merge_observed(known, report, observed_seconds)
    if is_new and records.get(report.target) is not known:
        put_latest(records, report.target, known, MAX_REPORTED_TARGETS)
    return is_new


def prune_records(records: Records, now_seconds: float) -> None:
    """Forget reports of long ago.

    :param records: What is reported of each target.
    :param now_seconds: Current time.
    """
    earliest_seconds = now_seconds - KEEP_SECONDS
    for target, record in tuple(records.items()):
        _prune_record(record, earliest_seconds)
        if not record.observed and not record.sound:
            records.pop(target)


def list_reports(records: Records, now_seconds: float) -> list[TargetReport]:
    """List all known reports.

    :param records: What is reported of each target.
    :param now_seconds: Current time.
    :returns: The reports, at most the last :data:`MAX_TOLD_REPORTS`.
    """
    reports = [
        report
        for target, record in records.items()
        for report in _list_of_target(target, record, now_seconds)
    ]
    return reports[-MAX_TOLD_REPORTS:]


def make_report(
    target: str,
    born_ms: int,
    reporter: str,
    observed: Observed,
    now_seconds: float,
) -> TargetReport:
    """Build the report of an observation.

    :param target: Identifier of the target.
    :param born_ms: Unix time of its start.
    :param reporter: Name of the instance that observed it.
    :param observed: The observation.
    :param now_seconds: Current time.
    :returns: The report.
    """
    age_seconds = max(0.0, now_seconds - observed.observed_seconds)
    return TargetReport(
        target,
        born_ms,
        reporter,
        observed.zone,
        observed.state,
        min(MAX_AGE_MS, round(MS_PER_SECOND * age_seconds)),
        min(MAX_SLOWNESS_TENTHS, round(_TENTHS * observed.slowness)),
    )


def sound_seconds(record: TargetRecord, zone: str) -> float:
    """Return when a target was last found sound.

    :param record: What is reported of the target.
    :param zone: Zone from which it is used.
    :returns: The time; negative infinity if it never was.
    """
    return max(
        (
            record.sound[key].observed_seconds
            for key in (ALL_ZONES, zone)
            if key in record.sound
        ),
        default=float('-inf'),
    )


def _prune_record(record: TargetRecord, earliest_seconds: float) -> None:
    for reporter, observed in tuple(record.observed.items()):
        if observed.observed_seconds < earliest_seconds:
            record.observed.pop(reporter)
    for zone, sound in tuple(record.sound.items()):
        if sound.observed_seconds < earliest_seconds:
            record.sound.pop(zone)


def _merge_sound(
    record: TargetRecord, report: TargetReport, observed_seconds: float
) -> bool:
    is_everywhere = report.state is HealthState.SOUND
    key = ALL_ZONES if is_everywhere else report.zone
    known = record.sound.get(key)
    if known is None:
        if len(record.sound) > MAX_ZONES:
            return False
    elif observed_seconds <= known.observed_seconds + ORDER_MARGIN_SECONDS:
        return False
    record.sound[key] = SoundObserved(
        report.reporter, report.zone, observed_seconds
    )
    for reporter, observed in tuple(record.observed.items()):
        if _is_covered(record, observed.zone, observed.observed_seconds):
            record.observed.pop(reporter)
    return True


def _merge_observed(
    record: TargetRecord, report: TargetReport, observed_seconds: float
) -> bool:
    if _is_covered(record, report.zone, observed_seconds):
        return False
    known = record.observed.get(report.reporter)
    if known is None:
        if not _make_room(record, report.zone, observed_seconds):
            return False
    elif observed_seconds <= known.observed_seconds + ORDER_MARGIN_SECONDS:
        return False
    record.observed[report.reporter] = Observed(
        report.zone,
        report.state,
        observed_seconds,
        report.slowness_tenths / _TENTHS,
    )
    return True


def _is_covered(
    record: TargetRecord, zone: str, observed_seconds: float
) -> bool:
    return observed_seconds <= sound_seconds(record, zone)


def _make_room(
    record: TargetRecord, zone: str, observed_seconds: float
) -> bool:
    # The latest of each zone are kept, so that the order of receipt does not
    # decide which ones are.
    of_zone = [
        (observed.observed_seconds, reporter)
        for reporter, observed in record.observed.items()
        if observed.zone == zone
    ]
    if len(of_zone) < MAX_REPORTERS_PER_ZONE:
        zones = {observed.zone for observed in record.observed.values()}
        return len(zones | {zone}) <= MAX_ZONES
    oldest_seconds, oldest = min(of_zone)
    if observed_seconds <= oldest_seconds + ORDER_MARGIN_SECONDS:
        return False
    record.observed.pop(oldest)
    return True


def _list_of_target(
    target: str, record: TargetRecord, now_seconds: float
) -> Iterator[TargetReport]:
    for reporter, observed in record.observed.items():
        yield make_report(
            target, record.born_ms, reporter, observed, now_seconds
        )
    for key, sound in record.sound.items():
        is_everywhere = key == ALL_ZONES
        state = (
            HealthState.SOUND if is_everywhere else HealthState.SOUND_IN_ZONE
        )
        found = Observed(sound.zone, state, sound.observed_seconds, 0)
        yield make_report(
            target, record.born_ms, sound.reporter, found, now_seconds
        )
