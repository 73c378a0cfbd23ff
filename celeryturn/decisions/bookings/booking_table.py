"""Table of recent booking ids, so that each booking is sent at most once."""

from collections import OrderedDict
from typing import Final

from celeryturn.errors import Kind

MAX_BOOKINGS: Final = 10_000
IN_FLIGHT: Final = 'in_flight'


class BookingTable:
    """Outcomes of bookings by id, bounded in size.

    :param in_flight: Identifiers of bookings that are being sent.
    :param outcomes: Outcome of each booking that has ended; oldest first.
        When the table is full, the oldest outcome is dropped.
    """

    __slots__ = ('in_flight', 'outcomes')

    def __init__(self) -> None:
        self.in_flight: set[str] = set()
        self.outcomes: OrderedDict[str, str] = OrderedDict()


def earlier_outcome(table: BookingTable, booking_id: str) -> str | None:
    """Return the recorded outcome of a booking id.

    :param table: Booking table of the instance.
    :param booking_id: Booking identifier chosen by the caller.
    :returns: The outcome or ``in_flight``; ``None`` if the booking may be
        sent.
    """
    if booking_id in table.in_flight:
        return IN_FLIGHT
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


def begin(table: BookingTable, booking_id: str) -> bool:
    """Record that a booking is being sent.

    :param table: Booking table of the instance.
    :param booking_id: Booking identifier chosen by the caller.
    :returns: Whether the booking may be sent.  It may not if the table is full
        of bookings in flight: without its identifier, a repetition could not
        be detected.
    """
    if len(table.in_flight) >= MAX_BOOKINGS:
        return False
    table.in_flight.add(booking_id)
    _drop_oldest(table)
    return True


def finish(table: BookingTable, booking_id: str, outcome: str) -> None:
    """Record the outcome of a booking.

    A booking that was certainly not run is removed from the table, so that
    the caller may send it again.

    :param table: Booking table of the instance.
    :param booking_id: Booking identifier chosen by the caller.
    :param outcome: Outcome of the booking; ``not_run`` removes the entry.
    """
    table.in_flight.discard(booking_id)
    if outcome != 'not_run':
        table.outcomes[booking_id] = outcome


def count(table: BookingTable) -> int:
    """Return the number of bookings in the table.

    :param table: Booking table of the instance.
    :returns: Bookings in flight and bookings that have ended.
    """
    return len(table.in_flight) + len(table.outcomes)


def _drop_oldest(table: BookingTable) -> None:
    while count(table) > MAX_BOOKINGS and table.outcomes:
        table.outcomes.popitem(last=False)
