"""Requests under which targets ended: refuse them, and exchange with peers."""

from collections.abc import Iterable
from typing import Final

from celeryturn.decisions.request import quarantine, trials
from celeryturn.decisions.request.fingerprint import Fingerprint
from celeryturn.decisions.request.lost_replies import (
    forget_survived,
    take_resolved,
)
from celeryturn.decisions.request.quarantine import (
    Record,
    Standing,
    TargetEnd,
    find_standing,
)
from celeryturn.decisions.request.replies import SURVIVED, AttemptOutcome
from celeryturn.decisions.targets.departures import TargetIncarnation
from celeryturn.decisions.targets.replicas import Replica
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.events import REQUEST_STANDING, log
from celeryturn.forwarding.operations.limited_log import may_log
from celeryturn.forwarding.shared_state import SharedState, now
from celeryturn.forwarding.targets.exchanges import Exchange

OWN_OBSERVATION: Final = ''
OPERATOR: Final = 'operator'
# The target itself has replied.
_REPLIED: Final = SURVIVED | {AttemptOutcome.SHED}


def require_allowed(
    shared: SharedState, fingerprint: Fingerprint, trial_seconds: float
) -> bool:
    """Refuse a request that ends targets, except for a trial of it.

    :param shared: Shared state of the instance.
    :param fingerprint: Fingerprint of the request.
    :param trial_seconds: Time that a trial may take.
    :returns: Whether this request is a trial.
    :raises CeleryturnError: ``ends_targets`` if it may not be sent.
    """
    record = shared.route_states.quarantine.records.get(fingerprint)
    if record is None or record.standing is not Standing.BLOCKED:
        return False
    now_seconds = now()
    if _begin_trial(shared, fingerprint, record, now_seconds + trial_seconds):
        return True
    record.refused_count += 1
    raise CeleryturnError(
        Kind.ENDS_TARGETS,
        f'{len(tuple(quarantine.counted_ends(record)))} targets ended under the'
        f' request with fingerprint {fingerprint.hex()}',
        retry_after_seconds=trials.retry_after_seconds(record, now_seconds),
    )


def _begin_trial(
    shared: SharedState,
    fingerprint: Fingerprint,
    record: Record,
    until_seconds: float,
) -> bool:
    if not _may_try(shared, fingerprint, record):
        return False
    record.trial_until_seconds = until_seconds
    return True


def _may_try(
    shared: SharedState, fingerprint: Fingerprint, record: Record
) -> bool:
    if not trials.is_trial_due(record, now()):
        return False
    known = shared.instance.membership
    return trials.makes_trial(known.own, known.members.values(), fingerprint)


def refused_seconds(
    shared: SharedState, fingerprint: Fingerprint
) -> float | None:
    """Return the retry time of a request that ends targets.

    :param shared: Shared state of the instance, which is not changed.
    :param fingerprint: Fingerprint of the request.
    :returns: Seconds; ``None`` if :func:`require_allowed` would not refuse it.
    """
    record = shared.route_states.quarantine.records.get(fingerprint)
    if record is None or record.standing is not Standing.BLOCKED:
        return None
    if _may_try(shared, fingerprint, record):
        return None
    return trials.retry_after_seconds(record, now())


def report_ends(shared: SharedState, ends: Iterable[TargetEnd]) -> None:
    """Record ends that this instance has observed, and tell the peers.

    :param shared: Shared state of the instance.
    :param ends: The ends.
    """
    _tell(shared, merge_ends(shared, ends, OWN_OBSERVATION))


def report_resolved(shared: SharedState) -> None:
    """Record the ends that the list of targets confirms; forget old ones.

    :param shared: Shared state of the instance.
    """
    unresolved = shared.route_states.examinations.unresolved
    if unresolved:
        report_ends(shared, take_resolved(unresolved, shared.directory, now()))
    quarantine.prune(shared.route_states.quarantine, now())


def merge_ends(
    shared: SharedState, ends: Iterable[TargetEnd], source: str
) -> list[TargetEnd]:
    """Record ends.

    :param shared: Shared state of the instance.
    :param ends: Ends that were observed, or that a peer tells.
    :param source: Name of the peer, for the log; empty for none.
    :returns: Those that were not known, or not with this mark.
    """
    told = tuple(ends)
    before = {
        end.fingerprint: find_standing(
            shared.route_states.quarantine, end.fingerprint
        )
        for end in told
    }
    changed = quarantine.merge_ends(shared.route_states.quarantine, told, now())
    for fingerprint, standing in before.items():
        _log_change(shared, fingerprint, standing, source)
    return changed


def clear_request(shared: SharedState, fingerprint: Fingerprint) -> int:
    """Let a request be sent again, here and at all peers.

    :param shared: Shared state of the instance.
    :param fingerprint: Fingerprint of the request.
    :returns: Number of ends that counted against it.
    """
    known = shared.route_states.quarantine
    cleared = quarantine.clear(known, fingerprint, now())
    _tell(shared, cleared)
    if cleared:
        log(
            REQUEST_STANDING,
            fingerprint=fingerprint.hex(),
            standing=Standing.CLEAR.value,
            targets=[],
            source=OPERATOR,
            refused_count=known.records[fingerprint].refused_count,
        )
    return len(cleared)


def observe_survival(
    shared: SharedState,
    fingerprint: Fingerprint,
    replica: Replica,
    exchange: Exchange,
    outcome: AttemptOutcome,
) -> None:
    """Record what a reply shows: its target runs, and may have survived.

    :param shared: Shared state of the instance.
    :param fingerprint: Fingerprint of the request.
    :param replica: Target that replied.
    :param exchange: The exchange, which has ended.
    :param outcome: Outcome of the attempt.
    """
    if outcome not in _REPLIED:
        return
    known = shared.route_states.quarantine
    entry = replica.entry
    if outcome in SURVIVED and shared.route_states.examinations.unresolved:
        forget_survived(
            shared.route_states.examinations.unresolved,
            fingerprint,
            entry.service,
        )
    if not known.records:
        return
    cleared = quarantine.refute(
        known,
        TargetIncarnation(entry.target, entry.born_ms),
        exchange.opened_seconds,
        exchange.written_seconds,
        now(),
    )
    if outcome in SURVIVED:
        cleared.extend(
            quarantine.record_survival(known, fingerprint, entry.service, now())
        )
    _tell(shared, cleared)


def list_ends(shared: SharedState) -> tuple[TargetEnd, ...]:
    """List the known ends, for a peer on a new link.

    :param shared: Shared state of the instance.
    :returns: The ends.
    """
    return quarantine.list_ends(shared.route_states.quarantine, now())


def _tell(shared: SharedState, changed: list[TargetEnd]) -> None:
    if changed:
        for callback in shared.callbacks.ends_reported:
            callback(tuple(changed))


def _log_change(
    shared: SharedState,
    fingerprint: Fingerprint,
    before: Standing,
    source: str,
) -> None:
    record = shared.route_states.quarantine.records.get(fingerprint)
    if record is None or record.standing is before:
        return
    is_blocked = record.standing is Standing.BLOCKED
    if is_blocked or may_log(shared, is_important=True):
        log(
            REQUEST_STANDING,
            fingerprint=fingerprint.hex(),
            standing=record.standing.value,
            targets=quarantine.counted_targets(record),
            source=source,
            refused_count=record.refused_count,
        )
