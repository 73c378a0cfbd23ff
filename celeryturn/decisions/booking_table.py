"""Booking identifiers this instance has seen, so that one is sent once."""

from collections import OrderedDict
from typing import Final

from celeryturn.errors import Kind

MAX_BOOKINGS: Final = 10_000
IN_FLIGHT: Final = 'in_flight'


class BookingTable:
    """Outcomes by booking id, oldest first; the oldest is dropped.

    :param outcomes: Outcome of each booking, or ``in_flight``.
    """

    __slots__ = ('outcomes',)

    def __init__(self) -> None:
        self.outcomes: OrderedDict[str, str] = OrderedDict()


def earlier_outcome(table: BookingTable, booking_id: str) -> str | None:
    """Look up what became of a booking id.

    :param table: The instance's table.
    :param booking_id: The caller's identifier.
    :returns: Its outcome, or ``None`` when it may be sent.
    """
    return table.outcomes.get(booking_id)


def duplicate_kind(outcome: str) -> Kind:
    """Name the refusal of an id that was sent before.

    :param outcome: What became of it.
    :returns: A kind that says of the id what is known: run, or unknown.
    """
    if outcome in {IN_FLIGHT, str(Kind.OUTCOME_UNKNOWN)}:
        return Kind.BOOKING_UNSETTLED
    return Kind.DUPLICATE_BOOKING


def begin(table: BookingTable, booking_id: str) -> None:
    """Note that a booking is being sent.

    :param table: The instance's table.
    :param booking_id: The caller's identifier.
    """
    table.outcomes[booking_id] = IN_FLIGHT
    if len(table.outcomes) > MAX_BOOKINGS:
        table.outcomes.popitem(last=False)


def finish(table: BookingTable, booking_id: str, outcome: str) -> None:
    """Note what became of a booking.

    One that certainly was not run is forgotten, so that the caller may
    send it again.

    :param table: The instance's table.
    :param booking_id: The caller's identifier.
    :param outcome: Its outcome; ``not_run`` forgets it.
    """
    if outcome == 'not_run':
        table.outcomes.pop(booking_id, None)
    else:
        table.outcomes[booking_id] = outcome
