"""Observations of targets, which instances tell each other."""

import itertools
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Final

from celeryturn.decisions.fleet.membership import Status
from celeryturn.decisions.request.replies import AttemptOutcome
from celeryturn.decisions.targets import observation_rate, shared_health
from celeryturn.decisions.targets.directory import find_replica
from celeryturn.decisions.targets.health_batches import (
    seconds_until_batch,
    spend_batch,
)
from celeryturn.decisions.targets.health_outbox import take_batch
from celeryturn.decisions.targets.health_reports import (
    AVOIDED_STATES,
    BAD_STATES,
    HealthState,
    TargetReport,
    list_reports,
)
from celeryturn.decisions.targets.replicas import (
    ExpectedLatency,
    Replica,
    record_wait,
    relative_latency,
)
from celeryturn.decisions.targets.report_budget import fit_to_targets
from celeryturn.decisions.targets.shared_health import Change
from celeryturn.events import TARGET_REPORTED, TARGET_SOUND, log
from celeryturn.forwarding.operations.limited_log import may_log
from celeryturn.forwarding.shared_state import SharedState, now

_SILENT_OUTCOMES: Final = frozenset((AttemptOutcome.NOT_SENT,))
# The caller's request may be the cause of a reply that reports a failure.
_LOST_OUTCOMES: Final = frozenset(
    (AttemptOutcome.LOST, AttemptOutcome.UNUSABLE)
)


def observe_outcome(
    shared: SharedState, replica: Replica, outcome: AttemptOutcome
) -> None:
    """Record how an exchange without a success ended.

    :param shared: Shared state of the instance.
    :param replica: The target.
    :param outcome: Outcome of the attempt.
    """
    is_lost = outcome in _LOST_OUTCOMES
    if is_lost or outcome in _SILENT_OUTCOMES:
        _observe_no_reply(shared, replica, is_lost=is_lost)


def observe_silence(shared: SharedState, replica: Replica) -> None:
    """Record that a target did not respond within the stall time.

    :param shared: Shared state of the instance.
    :param replica: The target.
    """
    _observe_no_reply(shared, replica, is_lost=False)


def observe_success(
    shared: SharedState,
    replica: Replica,
    latency_seconds: float,
    expected_latency: ExpectedLatency,
) -> None:
    """Record a complete reply.

    :param shared: Shared state of the instance.
    :param replica: The target.
    :param latency_seconds: Time from the send to the complete reply.
    :param expected_latency: Expected latencies of the route.
    """
    exchange = shared.route_states.health
    exchange.rate.reply_count += 1
    exchange.stall_seconds[replica.entry.service] = (
        expected_latency.stall_seconds
    )
    slowness = relative_latency(latency_seconds, expected_latency)
    shared_health.observe_reply(exchange.shared, replica, slowness, now())
    _schedule(shared)


def observe_wait(
    shared: SharedState,
    replica: Replica,
    waited_seconds: float,
    expected_latency: ExpectedLatency,
) -> None:
    """Record a request that was cancelled before its reply.

    :param shared: Shared state of the instance.
    :param replica: The target.
    :param waited_seconds: Time from the send to the cancellation.
    :param expected_latency: Expected latencies of the route.
    """
    slowness = record_wait(replica, waited_seconds, expected_latency, now())
    health = shared.route_states.health.shared
    shared_health.observe_wait(health, replica, slowness, now())
    _schedule(shared)


def merge_reports(
    shared: SharedState, reports: Iterable[TargetReport], source: str
) -> None:
    """Record what a peer reports, and tell the other peers what is new.

    :param shared: Shared state of the instance.
    :param reports: The reports.
    :param source: Name of the peer.
    """
    health = shared.route_states.health.shared
    if shared_health.merge_reports(health, reports, source, now()):
        _schedule(shared)


def list_known_reports(shared: SharedState) -> tuple[TargetReport, ...]:
    """List the known reports, for a peer on a new link.

    :param shared: Shared state of the instance.
    :returns: The reports.
    """
    health = shared.route_states.health.shared
    return tuple(list_reports(health.records, now()))


def update_health(shared: SharedState) -> None:
    """Look for targets that stall, and let verdicts end.

    :param shared: Shared state of the instance.
    """
    exchange = shared.route_states.health
    known = exchange.shared
    observation_rate.update(exchange.rate, _used_target_count(shared), now())
    fit_to_targets(known.budget, len(shared.directory.services))
    is_idle = not known.records and not known.applied
    known.zones = _live_zones(shared) if is_idle else known.zones
    for replica in tuple(_stalled(shared)):
        observe_silence(shared, replica)
    for service in exchange.stall_seconds.keys() - shared.directory.replicas:
        exchange.stall_seconds.pop(service)
    if not is_idle:
        _refresh(shared)
        _schedule(shared)


def withdraw_reports(shared: SharedState) -> None:
    """Withdraw what this instance reported while its own links were lost.

    :param shared: Shared state of the instance.
    """
    health = shared.route_states.health.shared
    shared_health.withdraw(health, shared.directory, now())
    _schedule(shared)


def count_reported(shared: SharedState) -> int:
    """Count the targets that any instance reports as bad.

    :param shared: Shared state of the instance.
    :returns: Their number, whether or not there is a verdict.
    """
    records = shared.route_states.health.shared.records
    return sum(
        any(
            observed.state in BAD_STATES
            for observed in record.observed.values()
        )
        for record in records.values()
    )


def verdict_counts(shared: SharedState) -> Counter[HealthState]:
    """Count the targets with a verdict that applies to this instance.

    :param shared: Shared state of the instance.
    :returns: Number of targets by state.
    """
    applied = shared.route_states.health.shared.applied
    replicas = (find_replica(shared.directory, name) for name in applied)
    return Counter(
        replica.told.verdict.state
        for replica in replicas
        if replica is not None and replica.told is not None
    )


def _observe_no_reply(
    shared: SharedState, replica: Replica, *, is_lost: bool
) -> None:
    # What fails while the links are lost says nothing about the target.
    if shared.links.is_lost:
        return
    health = shared.route_states.health.shared
    if not shared_health.is_shared(health):
        # Others may have joined since this was last determined.
        health.zones = _live_zones(shared)
    shared_health.observe_no_reply(health, replica, now(), is_lost=is_lost)
    _schedule(shared)


def _stalled(shared: SharedState) -> Iterator[Replica]:
    now_seconds = now()
    stall_seconds = shared.route_states.health.stall_seconds
    for service, limit_seconds in stall_seconds.items():
        for replica in shared.directory.replicas.get(service, {}).values():
            since_seconds = now_seconds - limit_seconds
            if _is_stalled(replica, since_seconds):
                yield replica


def _is_stalled(replica: Replica, since_seconds: float) -> bool:
    if replica.evidence.state in AVOIDED_STATES:
        return False
    oldest_seconds = next(iter(replica.pending.values()), since_seconds)
    return max(oldest_seconds, replica.last_reply_seconds) < since_seconds


def _schedule(shared: SharedState) -> None:
    exchange = shared.route_states.health
    if exchange.is_due or not exchange.shared.outbox:
        return
    exchange.is_due = True
    delay_seconds = seconds_until_batch(exchange.budget, now())
    exchange.timer.arm(delay_seconds, _flusher(shared))


def _flusher(shared: SharedState) -> Callable[[], None]:
    def flush() -> None:
        exchange = shared.route_states.health
        exchange.is_due = False
        _refresh(shared)
        batch = tuple(take_batch(exchange.shared.outbox, now()))
        if batch:
            spend_batch(exchange.budget, now())
            for callback in shared.callbacks.targets_reported:
                callback(batch)
        _schedule(shared)

    return flush


def _refresh(shared: SharedState) -> None:
    changes = shared_health.refresh(
        shared.route_states.health.shared,
        shared.directory,
        _live_zones(shared),
        now(),
    )
    for change in changes:
        if may_log(shared, is_important=True):
            _log_change(change)


def _used_target_count(shared: SharedState) -> int:
    replicas = shared.directory.replicas
    services = shared.route_states.health.stall_seconds
    return sum(len(replicas.get(service, {})) for service in services)


def _live_zones(shared: SharedState) -> dict[str, str]:
    known = shared.instance.membership
    others = known.members.values()
    zones = {
        member.instance: member.availability_zone
        for member in itertools.chain(others, (known.own,))
        if member.status is Status.ALIVE
    }
    rate = shared.route_states.health.rate
    return zones if observation_rate.may_share(rate, len(zones)) else {}


def _log_change(change: Change) -> None:
    target, verdict = change
    if verdict is None:
        log(TARGET_SOUND, target=target)
        return
    log(
        TARGET_REPORTED,
        target=target,
        state=verdict.state.name.lower(),
        zone=verdict.zone,
        slowness=verdict.slowness,
    )
