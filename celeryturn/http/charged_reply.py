"""Connections that are charged for the reply that they receive."""

import h11

from celeryturn.clients.account import CLIENT_ACCOUNT, HEADER_BYTES
from celeryturn.clients.buffers import SYSTEM_BUFFER_FACTOR
from celeryturn.http.exchange_errors import ExchangeError
from celeryturn.http.incoming_bytes import unparsed_size
from celeryturn.http.incoming_reply import IncomingReply
from celeryturn.http.reply_memory import REPLY_MEMORY, drop, resize
from celeryturn.http.sliced_reads import SlicedReads
from celeryturn.http.turn_scheduler import Slice
from celeryturn.http.unsent_bytes import UNREAD_REQUESTS


class ChargedReply(SlicedReads):
    """Charges what is held of a reply to the account of the process.

    A subclass states whether it is receiving a reply.

    :param is_open: Whether the transport is open and may be used.
    :param may_give_way: Whether replies on it may be dropped since others need
        the room.
    """

    def __init__(self) -> None:
        super().__init__(UNREAD_REQUESTS, _make_machine)
        self.is_open = False
        self.may_give_way = True
        self._incoming = IncomingReply()
        self._fault: ExchangeError | None = None

    def give_way(self) -> None:
        """Discard what was received; the exchange fails in a later turn."""
        self._fault = ExchangeError('replies take too much memory together')
        self.is_open = False
        self._bytes.received = b''
        self._discard()
        self._abort()

    def _is_receiving(self) -> bool:
        """Return whether a reply is awaited that is not complete."""
        raise NotImplementedError

    def _parse(self) -> None:
        super()._parse()
        if self._is_waiting:
            self._charge()

    def _parse_slice(self) -> Slice:
        parsed = super()._parse_slice()
        self._charge()
        return parsed

    def _charge(self) -> None:
        # Most replies are complete after the first slice.
        if not self._is_receiving():
            return
        size_bytes = self._held_bytes()
        if size_bytes and not resize(REPLY_MEMORY, self, size_bytes):
            self.give_way()

    def _held_bytes(self) -> int:
        incoming = self._incoming
        size_bytes = len(incoming.body) + unparsed_size(self._bytes)
        if self._is_waiting:
            # What arrives is read at once, unless reading is paused.
            buffer_bytes = CLIENT_ACCOUNT.target_buffer_bytes
            size_bytes += SYSTEM_BUFFER_FACTOR * buffer_bytes
        return size_bytes + HEADER_BYTES * incoming.header_count

    def _discard(self) -> None:
        self._incoming.body.clear()
        self._incoming.header_count = 0
        drop(REPLY_MEMORY, self)


def _make_machine() -> h11.Connection:
    return h11.Connection(h11.CLIENT)
