"""Connections that parse what they receive in slices of bounded work."""

from collections.abc import Callable
from typing import ClassVar, Final

import h11

from celeryturn.bounded_reads import BoundedReads
from celeryturn.events import INTERNAL_FAULT, log
from celeryturn.http.counted_writes import CountedWrites
from celeryturn.http.incoming_bytes import HEADS, IncomingBytes, next_event
from celeryturn.http.turn_scheduler import (
    SLICE_UNITS,
    TURN_SCHEDULER,
    Slice,
    run_or_queue,
)
from celeryturn.http.unsent_bytes import UnsentBytes

HEADERS_PER_UNIT: Final = 4
# Bounds the memory of connections that wait for their next slice.
READ_BYTES: Final = 65_536
_LAST_SLICE: Final = Slice(1, has_more=False)


class SlicedReads(CountedWrites, BoundedReads):
    """Passes received bytes to a parser, a bounded part in each turn.

    Nothing more is read from the connection while a part waits for a later
    turn.  A subclass handles the events of the parser.

    :param unsent: Where unsent bytes are counted.
    :param make_machine: Builds the parser.
    """

    read_buffer: ClassVar = memoryview(bytearray(READ_BYTES))

    def __init__(
        self, unsent: UnsentBytes, make_machine: Callable[[], h11.Connection]
    ) -> None:
        super().__init__(unsent)
        self._bytes = IncomingBytes(make_machine)
        self._is_waiting = False

    def connection_lost(self, exc: Exception | None) -> None:
        """Discard what was not parsed."""
        super().connection_lost(exc)
        self._bytes.received = b''

    def _receive(self, chunk: bytes) -> None:
        self._bytes.received += chunk
        self._parse()

    def _receive_end(self) -> None:
        self._bytes.is_end_received = True
        self._parse()

    def _parse(self) -> None:
        if not self._is_waiting:
            is_waiting = run_or_queue(TURN_SCHEDULER, self._parse_slice)
            self._set_waiting(is_waiting=is_waiting)

    def _may_parse(self) -> bool:
        """Return whether further events are of use now."""
        return self._transport is not None and not self._transport.is_closing()

    def _may_read(self) -> bool:
        """Return whether more should be read from the connection."""
        return not self._is_waiting

    def _handle_event(self, event: object) -> bool:
        """Handle an event of the parser.

        :param event: The event.
        :returns: Whether to go on with the next event.
        """
        raise NotImplementedError

    def _handle_violation(self, error: h11.RemoteProtocolError) -> None:
        """Handle received bytes that violate the protocol.

        :param error: The violation.
        """
        raise NotImplementedError

    def _set_waiting(self, *, is_waiting: bool) -> None:
        # Most reads are parsed at once and change nothing.
        if is_waiting != self._is_waiting:
            self._is_waiting = is_waiting
            self._update_reading()

    def _update_reading(self) -> None:
        if self._transport is None:
            return
        if self._may_read():
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _parse_slice(self) -> Slice:
        try:
            parsed = self._handle_events()
        except h11.RemoteProtocolError as error:
            self._handle_violation(error)
            parsed = _LAST_SLICE
        except Exception as fault:
            # Other connections have slices in this turn, too.
            log(INTERNAL_FAULT, detail=repr(fault))
            self._abort()
            parsed = _LAST_SLICE
        self._set_waiting(is_waiting=parsed.has_more)
        return parsed

    def _handle_events(self) -> Slice:
        unit_count = 0
        has_more = self._may_parse()
        while has_more and unit_count < SLICE_UNITS:
            event = next_event(self._bytes)
            unit_count += _count_units(event)
            has_more = event is not h11.NEED_DATA and self._handle_event(event)
        return Slice(unit_count, has_more)


def _count_units(event: object) -> int:
    if isinstance(event, HEADS):
        return 1 + len(event.headers) // HEADERS_PER_UNIT
    return 1
