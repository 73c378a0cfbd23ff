"""Reasons that rule a target out, each with the predicate that decides.

A further reason needs one entry in :class:`Reason` and one predicate.
"""

import enum
from collections.abc import Callable
from typing import Final, TypeAlias

from celeryturn.decisions.load.cold_share import cold_ready_at_seconds
from celeryturn.decisions.load.request_rate import ready_at_seconds
from celeryturn.decisions.targets import directory
from celeryturn.decisions.targets.choice import told_penalty_seconds
from celeryturn.decisions.targets.evacuations import is_evacuated
from celeryturn.decisions.targets.replicas import Replica
from celeryturn.forwarding.shared_state import SharedState


class Reason(enum.StrEnum):
    """What rules a target out."""

    DRAINING = 'draining'
    LEAVING = 'leaving'
    EVACUATED = 'in an evacuated zone'
    BLOCKED = 'blocked after failures'
    RETRY_TIME = 'asked for a retry time'
    RATE = 'over its stated request rate'
    COLD = 'cold, without a share of its requests'
    REPORTED = 'reported as bad by several instances'


Predicate: TypeAlias = Callable[[SharedState, Replica, float], bool]


def _is_draining(
    _shared: SharedState, replica: Replica, _now_seconds: float
) -> bool:
    return replica.entry.is_draining


def _is_leaving(
    shared: SharedState, replica: Replica, _now_seconds: float
) -> bool:
    is_departing = directory.is_departing(shared.directory, replica.entry)
    return is_departing and not replica.entry.is_draining


def _is_evacuated(
    shared: SharedState, replica: Replica, _now_seconds: float
) -> bool:
    return is_evacuated(shared.directory.evacuations, replica.entry.zone)


def _is_blocked(
    _shared: SharedState, replica: Replica, now_seconds: float
) -> bool:
    return replica.blocked_until_seconds > now_seconds


def _has_retry_time(
    _shared: SharedState, replica: Replica, now_seconds: float
) -> bool:
    return replica.retry_at_seconds > now_seconds


def _is_over_rate(
    _shared: SharedState, replica: Replica, now_seconds: float
) -> bool:
    return ready_at_seconds(replica.rate_limit) > now_seconds


def _lacks_cold_share(
    _shared: SharedState, replica: Replica, now_seconds: float
) -> bool:
    return cold_ready_at_seconds(replica.cold) > now_seconds


def _is_reported(
    _shared: SharedState, replica: Replica, now_seconds: float
) -> bool:
    # It is used only if no other target is left.
    return told_penalty_seconds(replica, now_seconds) > 0


# Each reason that rules a target out, with what decides that it applies.
_PREDICATES: Final[tuple[tuple[Reason, Predicate], ...]] = (
    (Reason.DRAINING, _is_draining),
    (Reason.LEAVING, _is_leaving),
    (Reason.EVACUATED, _is_evacuated),
    (Reason.BLOCKED, _is_blocked),
    (Reason.RETRY_TIME, _has_retry_time),
    (Reason.RATE, _is_over_rate),
    (Reason.COLD, _lacks_cold_share),
    (Reason.REPORTED, _is_reported),
)


def ruling_out(
    shared: SharedState, replica: Replica, now_seconds: float
) -> tuple[Reason, ...]:
    """List the reasons that rule a target out.

    :param shared: Shared state of the instance, which is not changed.
    :param replica: Target to assess.
    :param now_seconds: Current time.
    :returns: The reasons; empty if the target may be chosen.
    """
    return tuple(
        reason
        for reason, applies in _PREDICATES
        if applies(shared, replica, now_seconds)
    )
