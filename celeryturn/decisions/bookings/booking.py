"""Checks whether a booking may be written.

They are made at admission and again right before the write.
"""

from typing import Final, NamedTuple

from celeryturn.decisions.configuration.document import (
    Home,
    ServiceDocument,
    serving_index,
    shard_of,
)
from celeryturn.errors import Kind

CLOCK_MARGIN_SECONDS: Final = 1.0


class BookingPlan(NamedTuple):
    """The target and deadline of a booking, as planned at admission.

    :param booking_id: Booking identifier chosen by the caller.
    :param service: Name of the service.
    :param key: Key of the record.
    :param shard: Shard of the record at admission.
    :param target: Target of the shard's home at admission.
    :param epoch: Epoch of the home at admission.
    :param deadline_seconds: Time from which the booking must not be written.
    """

    booking_id: str
    service: str
    key: str
    shard: str
    target: str
    epoch: int
    deadline_seconds: float


class KnownState(NamedTuple):
    """State known to an instance when it decides on a write.

    :param document: Current configuration of the service.
    :param confirmed_seconds: Time at which that configuration was last known
        to be the newest.
    :param is_target_leaving: Whether the home's target is leaving.
    """

    document: ServiceDocument
    confirmed_seconds: float
    is_target_leaving: bool


class SendProgress(NamedTuple):
    """Progress of sending a booking.

    :param is_written: Whether any byte may have been sent.
    :param is_reported_not_run: Whether the target reported that it did not
        run the booking.
    """

    is_written: bool
    is_reported_not_run: bool


def max_configuration_age_seconds(document: ServiceDocument) -> float:
    """Return the maximum age of a configuration at a write.

    A home remains held for the dwell before it moves.  A booking that is
    written within the returned time after its configuration was confirmed
    therefore ends, by its deadline, before another home can take over.

    :param document: Configuration of the service.
    :returns: The maximum age in seconds.
    """
    reserved_seconds = document.booking_deadline_seconds + CLOCK_MARGIN_SECONDS
    return document.dwell_seconds - reserved_seconds


def write_refusal_kind(
    plan: BookingPlan, known_state: KnownState, now_seconds: float
) -> Kind | None:
    """Return the reason why a booking must not be written, if any.

    :param plan: The booking as planned at admission.
    :param known_state: State known to this instance now.
    :param now_seconds: Current time, from a fresh clock reading.
    :returns: The reason for the refusal, or ``None`` if the booking may be
        written.
    """
    if now_seconds >= plan.deadline_seconds:
        return Kind.DEADLINE_PASSED
    # Look up the shard again: a repartition may have moved the key.
    shard = shard_of(serving_index(known_state.document), plan.key)
    home = known_state.document.homes.get(shard)
    if home is None:
        return Kind.NO_HOME
    age_seconds = now_seconds - known_state.confirmed_seconds
    if age_seconds > max_configuration_age_seconds(known_state.document):
        return Kind.STALE_CONFIGURATION
    return _home_refusal_kind(plan, home, known_state)


def _home_refusal_kind(
    plan: BookingPlan, home: Home, known_state: KnownState
) -> Kind | None:
    if home.step == 'held':
        return Kind.HOME_HELD
    if (home.target, home.epoch) != (plan.target, plan.epoch):
        return Kind.HOME_HELD
    if known_state.is_target_leaving:
        return Kind.TARGET_UNAVAILABLE
    return None


def failure_kind(progress: SendProgress) -> Kind:
    """Return the error kind of a booking without a usable reply.

    :param progress: Progress of sending the booking.
    :returns: A kind that means *not run* only if that is certain, otherwise
        ``outcome_unknown``.
    """
    if progress.is_reported_not_run or not progress.is_written:
        return Kind.TARGET_UNAVAILABLE
    return Kind.OUTCOME_UNKNOWN
