"""Whether a booking may be written, asked again right before the write."""

from typing import Final, NamedTuple

from celeryturn.decisions.document import (
    Home,
    ServiceDocument,
    serving_index,
    shard_of,
)
from celeryturn.errors import Kind

CLOCK_MARGIN_SECONDS: Final = 1.0


class BookingPlan(NamedTuple):
    """Where a booking is to be written.

    :param booking_id: The caller's identifier.
    :param service: Name of the service.
    :param key: Key of the record.
    :param shard: Shard of the record at admission.
    :param target: The home that was believed at admission.
    :param epoch: The home's epoch at admission.
    :param deadline_seconds: Time after which it must not be written.
    """

    booking_id: str
    service: str
    key: str
    shard: str
    target: str
    epoch: int
    deadline_seconds: float


class KnownState(NamedTuple):
    """What an instance believes at the moment of a decision.

    :param document: Configuration of the service in force.
    :param confirmed_seconds: When that configuration was last known to be
        the newest.
    :param is_target_leaving: Whether the home's target is leaving.
    """

    document: ServiceDocument
    confirmed_seconds: float
    is_target_leaving: bool


class SendProgress(NamedTuple):
    """How far the sending of a booking came.

    :param is_written: Whether any byte may have left.
    :param is_reported_not_run: Whether the target itself said it was not run.
    """

    is_written: bool
    is_reported_not_run: bool


def max_configuration_age_seconds(document: ServiceDocument) -> float:
    """Work out how old a belief may be for a booking to be written.

    A home stays held for the dwell before it moves.  A booking that is
    written within this bound of a confirmed belief ends, by its deadline,
    before another home can have taken over.

    :param document: Configuration of the service.
    :returns: The bound in seconds.
    """
    reserved_seconds = document.booking_deadline_seconds + CLOCK_MARGIN_SECONDS
    return document.dwell_seconds - reserved_seconds


def write_refusal_kind(
    plan: BookingPlan, known_state: KnownState, now_seconds: float
) -> Kind | None:
    """Decide right before the write whether it must not happen.

    :param plan: The booking, as planned at admission.
    :param known_state: What is believed now.
    :param now_seconds: A clock reading taken just now.
    :returns: Why it must not be written, or ``None`` when it may.
    """
    if now_seconds >= plan.deadline_seconds:
        return Kind.DEADLINE_PASSED
    # The key's shard is looked up anew: a repartition may have moved it.
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
    """Name what is known when no usable answer came.

    :param progress: How far the sending came.
    :returns: A kind that says *not run* only where that is certain.
    """
    if progress.is_reported_not_run or not progress.is_written:
        return Kind.TARGET_UNAVAILABLE
    return Kind.OUTCOME_UNKNOWN
