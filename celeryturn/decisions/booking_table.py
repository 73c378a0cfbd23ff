"""Table of recent booking ids, so that each booking is sent at most once."""

from collections import OrderedDict
from typing import Final

from celeryturn.errors import Kind

MAX_BOOKINGS: Final = 10_000
IN_FLIGHT: Final = 'in_flight'


class BookingTable:
    """Outcomes of bookings by id, bounded in size.

    :param outcomes: Outcome of each booking, or ``in_flight``; oldest first.
        When the table is full, the oldest entry is dropped.
    """

    __slots__ = ('outcomes',)

    def __init__(self) -> None:
        self.outcomes: OrderedDict[str, str] = OrderedDict()


def earlier_outcome(table: BookingTable, booking_id: str) -> str | None:
    """Return the recorded outcome of a booking id.

    :param table: Booking table of the instance.
    :param booking_id: Booking identifier chosen by the caller.
    :returns: The outcome or ``in_flight``; ``None`` if the booking may be
        sent.
    """
    return table.outcomes.get(booking_id)


def duplicate_kind(outcome: str) -> Kind:
    """Return the error kind for a booking id that was already sent.

    :param outcome: Recorded outcome of the id.
    :returns: ``booking_unsettled`` while the outcome is not known, otherwise
        ``duplicate_booking``.
    """
    if outcome in {IN_FLIGHT, str(Kind.OUTCOME_UNKNOWN)}:
        return Kind.BOOKING_UNSETTLED
    return Kind.DUPLICATE_BOOKING


def begin(table: BookingTable, booking_id: str) -> None:
    """Record that a booking is being sent.

    :param table: Booking table of the instance.
    :param booking_id: Booking identifier chosen by the caller.
    """
    table.outcomes[booking_id] = IN_FLIGHT
    if len(table.outcomes) > MAX_BOOKINGS:
        table.outcomes.popitem(last=False)


def finish(table: BookingTable, booking_id: str, outcome: str) -> None:
    """Record the outcome of a booking.

    A booking that was certainly not run is removed from the table, so that
    the caller may send it again.

    :param table: Booking table of the instance.
    :param booking_id: Booking identifier chosen by the caller.
    :param outcome: Outcome of the booking; ``not_run`` removes the entry.
    """
    if outcome == 'not_run':
        table.outcomes.pop(booking_id, None)
    else:
        table.outcomes[booking_id] = outcome
