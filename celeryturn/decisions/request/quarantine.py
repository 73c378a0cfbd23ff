"""Requests under which targets ended, and whether they may be sent again.

A target that ends takes all requests with it that it is running, so that one
end says little about any of them.  A request under which several targets ended,
and which none has survived since, is taken for the cause.

What is known are ends: of one start of a target, under one request.  Instances
tell each other of them, in any order and any number of times: of the same end
the highest mark counts, and an end never counts twice.
"""

import enum
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

from celeryturn.decisions.bounded_table import put_latest
from celeryturn.decisions.request.fingerprint import Fingerprint
from celeryturn.decisions.targets.departures import TargetIncarnation
from celeryturn.units import MAX_AGE_SECONDS, AgeSeconds, Integer

ENDS_BEFORE_BLOCK: Final = 3
MAX_REQUESTS: Final = 2048
MAX_ENDS_PER_REQUEST: Final = 32
MAX_INCARNATIONS: Final = 4096
MAX_TOLD_ENDS: Final = 8192
KEEP_SECONDS: Final = 3600.0
KEEP_CLEARED_SECONDS: Final = 600.0
PRUNE_INTERVAL_SECONDS: Final = 10.0
# Allows for the time that a message takes, which makes an end seem later.
REFUTATION_MARGIN_SECONDS: Final = 0.1


class Mark(enum.IntEnum):
    """What an end says of the request; it only rises.

    - ``SUSPECT``: the request may have ended the target.
    - ``NARROWED``: since targets of another service survive the request, it can
      only be one that ends targets of this service.
    - ``CLEARED``: a target of the service has survived the request, or the end
      was none.
    """

    SUSPECT = 0
    NARROWED = 1
    CLEARED = 2


class Standing(enum.Enum):
    """How a request may be sent.

    - ``CLEAR``: like any other.
    - ``SUSPECT``: to one target at a time, until one has survived it.
    - ``BLOCKED``: not at all.
    """

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    BLOCKED = 'blocked'


class TargetEnd(NamedTuple):
    """The end of a target under a request; part of messages.

    :param fingerprint: Fingerprint of the request.
    :param target: Identifier of the target.
    :param born_ms: Unix time of its start.
    :param service: Service of the target.
    :param mark: What the end says of the request.
    :param age_seconds: Time since the end.
    """

    fingerprint: Fingerprint
    target: str
    born_ms: Integer
    service: str
    mark: Mark
    age_seconds: AgeSeconds


class End:
    """What is known of one end.

    :param service: Service of the target.
    :param mark: What the end says of the request.
    :param ended_seconds: Time of the end.
    """

    __slots__ = ('ended_seconds', 'mark', 'service')

    def __init__(self, service: str, ended_seconds: float) -> None:
        self.service = service
        self.mark = Mark.SUSPECT
        self.ended_seconds = ended_seconds


class Record:
    """What is known of one request.

    :param ends: Ends under the request by start of the target, at most
        :data:`MAX_ENDS_PER_REQUEST`.
    :param standing: How the request may be sent.
    :param trial_until_seconds: Time until which a trial may be under way here.
    :param refused_count: Number of times that this instance refused it.
    """

    __slots__ = ('ends', 'refused_count', 'standing', 'trial_until_seconds')

    def __init__(self) -> None:
        self.ends: dict[TargetIncarnation, End] = {}
        self.standing = Standing.CLEAR
        self.trial_until_seconds = 0.0
        self.refused_count = 0


class Quarantine:
    """Requests under which targets ended.

    :param records: Record of each request by fingerprint, at most
        :data:`MAX_REQUESTS`, the latest at the end.
    :param ended_seconds: Time of the end of each start of a target, at most
        :data:`MAX_INCARNATIONS`; those that were refuted are left out.
    :param pruned_seconds: Time at which old ends were last forgotten.
    """

    __slots__ = ('ended_seconds', 'pruned_seconds', 'records')

    def __init__(self, now_seconds: float) -> None:
        self.records: dict[Fingerprint, Record] = {}
        self.ended_seconds: dict[TargetIncarnation, float] = {}
        self.pruned_seconds = now_seconds


def find_standing(quarantine: Quarantine, fingerprint: Fingerprint) -> Standing:
    """Return how a request may be sent.

    :param quarantine: Requests under which targets ended.
    :param fingerprint: Fingerprint of the request.
    :returns: Its standing; clear if nothing is known of it.
    """
    record = quarantine.records.get(fingerprint)
    return Standing.CLEAR if record is None else record.standing


def suspect_services(
    quarantine: Quarantine, fingerprint: Fingerprint
) -> frozenset[str]:
    """Return the services whose targets a request may end.

    :param quarantine: Requests under which targets ended.
    :param fingerprint: Fingerprint of the request.
    :returns: Names of the services of the targets that ended.
    """
    record = quarantine.records.get(fingerprint)
    if record is None:
        return frozenset()
    return frozenset(end.service for end in counted_ends(record))


def counted_ends(record: Record) -> Iterator[End]:
    """List the ends that count against a request.

    :param record: What is known of the request.
    :returns: Its ends, without those that are cleared.
    """
    for end in record.ends.values():
        if end.mark is not Mark.CLEARED:
            yield end


def counted_targets(record: Record) -> list[str]:
    """List the targets whose ends count against a request.

    :param record: What is known of the request.
    :returns: Their identifiers; one that ended twice stands there twice.
    """
    return [
        incarnation.target
        for incarnation, end in record.ends.items()
        if end.mark is not Mark.CLEARED
    ]


def merge_ends(
    quarantine: Quarantine, told: Iterable[TargetEnd], now_seconds: float
) -> list[TargetEnd]:
    """Add ends to what is known.

    :param quarantine: Requests under which targets ended.
    :param told: Ends that this instance has observed, or that a peer tells.
    :param now_seconds: Time of receipt.
    :returns: Those that were not known, or not with this mark.
    """
    changed = [end for end in told if _merge(quarantine, end, now_seconds)]
    for fingerprint in dict.fromkeys(end.fingerprint for end in changed):
        _update(quarantine, fingerprint)
    return changed


def record_survival(
    quarantine: Quarantine,
    fingerprint: Fingerprint,
    service: str,
    now_seconds: float,
) -> list[TargetEnd]:
    """Record that a target has run a request to its reply.

    :param quarantine: Requests under which targets ended.
    :param fingerprint: Fingerprint of the request.
    :param service: Service of the target.
    :param now_seconds: Time of the reply.
    :returns: The ends that this clears or narrows.
    """
    record = quarantine.records.get(fingerprint)
    if record is None:
        return []
    raised = [
        _describe(
            fingerprint,
            incarnation,
            end,
            Mark.CLEARED if end.service == service else Mark.NARROWED,
            now_seconds,
        )
        for incarnation, end in record.ends.items()
    ]
    return merge_ends(quarantine, raised, now_seconds)


def clear(
    quarantine: Quarantine, fingerprint: Fingerprint, now_seconds: float
) -> list[TargetEnd]:
    """Clear a request, as an operator asks for.

    :param quarantine: Requests under which targets ended.
    :param fingerprint: Fingerprint of the request.
    :param now_seconds: Current time.
    :returns: The ends that this clears.
    """
    record = quarantine.records.get(fingerprint)
    if record is None:
        return []
    cleared = [
        _describe(fingerprint, incarnation, end, Mark.CLEARED, now_seconds)
        for incarnation, end in record.ends.items()
    ]
    return merge_ends(quarantine, cleared, now_seconds)


def refute(
    quarantine: Quarantine,
    incarnation: TargetIncarnation,
    opened_seconds: float,
    written_seconds: float,
    now_seconds: float,
) -> list[TargetEnd]:
    """Clear the ends of a target that has replied since.

    Only a connection from before the end shows that it is still the same
    process: a target may start again under its identifier.

    :param quarantine: Requests under which targets ended.
    :param incarnation: Start of the target that replied.
    :param opened_seconds: Time at which the connection was opened.
    :param written_seconds: Time at which the request was written.
    :param now_seconds: Time of the reply.
    :returns: The ends that this clears.
    """
    ended_seconds = quarantine.ended_seconds.get(incarnation)
    if ended_seconds is None:
        return []
    was_open = opened_seconds < ended_seconds - REFUTATION_MARGIN_SECONDS
    is_later = written_seconds > ended_seconds + REFUTATION_MARGIN_SECONDS
    if not was_open or not is_later:
        return []
    quarantine.ended_seconds.pop(incarnation)
    cleared = [
        _describe(fingerprint, incarnation, end, Mark.CLEARED, now_seconds)
        for fingerprint, record in quarantine.records.items()
        for other, end in record.ends.items()
        if other == incarnation
    ]
    return merge_ends(quarantine, cleared, now_seconds)


def list_ends(
    quarantine: Quarantine, now_seconds: float
) -> tuple[TargetEnd, ...]:
    """List all ends, for a peer that may know none.

    :param quarantine: Requests under which targets ended.
    :param now_seconds: Current time.
    :returns: The ends, cleared ones too: the peer may still count them.  At
        most :data:`MAX_TOLD_ENDS`, of the latest requests.
    """
    ends = [
        _describe(fingerprint, incarnation, end, end.mark, now_seconds)
        for fingerprint, record in quarantine.records.items()
        for incarnation, end in record.ends.items()
    ]
    return tuple(ends[-MAX_TOLD_ENDS:])


def prune(quarantine: Quarantine, now_seconds: float) -> None:
    """Forget ends of long ago.

    :param quarantine: Requests under which targets ended.
    :param now_seconds: Current time.
    """
    if now_seconds - quarantine.pruned_seconds < PRUNE_INTERVAL_SECONDS:
        return
    quarantine.pruned_seconds = now_seconds
    for fingerprint, record in tuple(quarantine.records.items()):
        for incarnation, end in tuple(record.ends.items()):
            if now_seconds - end.ended_seconds > _keep_seconds(end.mark):
                record.ends.pop(incarnation)
        _update(quarantine, fingerprint)
        if not record.ends:
            quarantine.records.pop(fingerprint)


def _keep_seconds(mark: Mark) -> float:
    return KEEP_CLEARED_SECONDS if mark is Mark.CLEARED else KEEP_SECONDS


def _merge(quarantine: Quarantine, told: TargetEnd, now_seconds: float) -> bool:
    if told.age_seconds > _keep_seconds(told.mark):
        return False
    record = quarantine.records.get(told.fingerprint) or Record()
    incarnation = TargetIncarnation(told.target, told.born_ms)
    known = record.ends.get(incarnation)
    if known is not None and known.mark >= told.mark:
        return False
    if known is None:
        known = End(told.service, now_seconds - told.age_seconds)
        put_latest(record.ends, incarnation, known, MAX_ENDS_PER_REQUEST)
    known.mark = told.mark
    if told.mark is not Mark.CLEARED:
        put_latest(
            quarantine.ended_seconds,
            incarnation,
            known.ended_seconds,
            MAX_INCARNATIONS,
        )
    put_latest(quarantine.records, told.fingerprint, record, MAX_REQUESTS)
    return True


def _update(quarantine: Quarantine, fingerprint: Fingerprint) -> None:
    record = quarantine.records.get(fingerprint)
    if record is not None:
        record.standing = _assess(record)


def _assess(record: Record) -> Standing:
    counted = tuple(counted_ends(record))
    if not counted:
        return Standing.CLEAR
    by_service = Counter(end.service for end in counted)
    suspect_count = sum(end.mark is Mark.SUSPECT for end in counted)
    if max(suspect_count, *by_service.values()) >= ENDS_BEFORE_BLOCK:
        return Standing.BLOCKED
    return Standing.SUSPECT


def _describe(
    fingerprint: Fingerprint,
    incarnation: TargetIncarnation,
    end: End,
    mark: Mark,
    now_seconds: float,
) -> TargetEnd:
    age_seconds = max(0.0, now_seconds - end.ended_seconds)
    return TargetEnd(
        fingerprint,
        *incarnation,
        end.service,
        mark,
        min(MAX_AGE_SECONDS, age_seconds),
    )
