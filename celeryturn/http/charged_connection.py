"""Connections of clients that are charged for what they hold."""

import asyncio
from collections.abc import Callable
from typing import Final

import h11

from celeryturn.clients.account import (
    CLIENT_ACCOUNT,
    CONNECTION_BYTES,
    SEND_BUFFER_BYTES,
    Holding,
    begin_answer,
    close_holding,
    make_room,
    open_holding,
    record_slow_read,
    resize,
    wait_for_client,
)
from celeryturn.clients.buffers import SYSTEM_BUFFER_FACTOR
from celeryturn.http.sliced_reads import SlicedReads
from celeryturn.http.turn_scheduler import Slice
from celeryturn.http.unsent_bytes import (
    UNREAD_ANSWER_SECONDS,
    UNREAD_ANSWERS,
    record_unsent,
)
from celeryturn.timer import Timer

# Checks for progress, before an answer of which nothing is read is abandoned.
READ_CHECK_COUNT: Final = 40
# Checks until a client has begun to read, if it reads bit by bit.
BEGIN_CHECK_COUNT: Final = 4


class ChargedConnection(SlicedReads):
    """Charges a connection to the account of the process.

    A connection that has to give way is closed, and so is one whose client has
    read nothing of its answer for :data:`UNREAD_ANSWER_SECONDS`.  A subclass
    states what it holds beside its answer.

    :param make_machine: Builds the parser.
    """

    def __init__(self, make_machine: Callable[[], h11.Connection]) -> None:
        super().__init__(UNREAD_ANSWERS, make_machine)
        self._holding = Holding(self._give_way)
        self._unread_timer = Timer()
        self._stalled_check_count = 0
        self._unsent_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and add the connection to the account."""
        super().connection_made(transport)
        open_holding(CLIENT_ACCOUNT, self._holding)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection held."""
        super().connection_lost(exc)
        self._discard()

    def pause_writing(self) -> None:
        """Stop reading, because the client does not read its answer."""
        super().pause_writing()
        self._stalled_check_count = 0
        self._unsent_bytes = 0
        self._schedule_read_check()
        self._update_reading()
        begin_answer(CLIENT_ACCOUNT, self._holding)

    def resume_writing(self) -> None:
        """Read again, because the answer was read."""
        super().resume_writing()
        self._unread_timer.disarm()
        self._update_reading()
        wait_for_client(CLIENT_ACCOUNT, self._holding)
        self._resize()

    def _may_read(self) -> bool:
        return not self._is_unread and super()._may_read()

    def _parse_slice(self) -> Slice:
        parsed = super()._parse_slice()
        self._charge()
        return parsed

    def _held_bytes(self) -> int:
        """Return the size of what the connection holds beside its answer."""
        raise NotImplementedError

    def _refuse(self) -> None:
        """Answer a request that is not complete, if there is one."""
        raise NotImplementedError

    def _discard(self) -> None:
        """Discard all that the connection holds."""
        self._unread_timer.disarm()
        self._bytes.received = b''
        record_unsent(UNREAD_ANSWERS, id(self), 0)
        close_holding(CLIENT_ACCOUNT, self._holding)

    def _charge(self) -> bool:
        """Charge what the connection holds, and close it if there is no room.

        :returns: Whether it is still open.
        """
        holding = self._holding
        if not holding.is_open:
            return False
        self._resize()
        has_room = make_room(CLIENT_ACCOUNT, holding.size_bytes, kept=holding)
        if not has_room:
            self._give_way()
        return has_room

    def _resize(self) -> None:
        """Record the size of what the connection holds."""
        size_bytes = (
            CONNECTION_BYTES
            + self._held_bytes()
            + UNREAD_ANSWERS.held.get(id(self), 0)
            + self._system_bytes()
        )
        resize(CLIENT_ACCOUNT, self._holding, size_bytes)

    def _system_bytes(self) -> int:
        # What arrives is read at once, unless reading is paused.
        if self._is_unread:
            size_bytes = SEND_BUFFER_BYTES + CLIENT_ACCOUNT.receive_buffer_bytes
        elif self._is_waiting:
            size_bytes = CLIENT_ACCOUNT.receive_buffer_bytes
        else:
            return 0
        return SYSTEM_BUFFER_FACTOR * size_bytes

    def _give_way(self) -> None:
        if self._is_unread:
            UNREAD_ANSWERS.abandoned_count += 1
        else:
            self._refuse()
        self._abort()
        self._discard()

    def _schedule_read_check(self) -> None:
        interval_seconds = UNREAD_ANSWER_SECONDS / READ_CHECK_COUNT
        self._unread_timer.arm(interval_seconds, self._check_read)

    def _check_read(self) -> None:
        if self._transport is None:
            return
        size_bytes = self._transport.get_write_buffer_size()
        self._stalled_check_count += 1
        if size_bytes < self._unsent_bytes:
            self._stalled_check_count = 0
            record_unsent(UNREAD_ANSWERS, id(self), size_bytes)
            record_slow_read(CLIENT_ACCOUNT, self._holding)
            self._resize()
        elif self._stalled_check_count == BEGIN_CHECK_COUNT:
            wait_for_client(CLIENT_ACCOUNT, self._holding)
        # The first check only sees what the buffers of the system have taken.
        self._unsent_bytes = size_bytes
        if self._stalled_check_count < READ_CHECK_COUNT:
            self._schedule_read_check()
        else:
            self._give_way()
