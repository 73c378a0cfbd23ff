"""Received bytes, passed to a parser in pieces."""

from collections.abc import Callable
from typing import Final

import h11

# A head is parsed in one step, so that its lines bound the work on it.
MAX_HEAD_LINES: Final = 1024
HEAD_PIECE_BYTES: Final = 2048
BODY_PIECE_BYTES: Final = 16_384
_TOO_LARGE_HEAD_STATUS: Final = 431
_STATES_BEFORE_HEAD: Final = frozenset((h11.IDLE, h11.SEND_RESPONSE))
HEADS: Final = (h11.Request, h11.InformationalResponse, h11.Response)


class IncomingBytes:
    """Received bytes of one connection, and their parser.

    :param machine: The parser.
    :param received: Bytes that the parser has not been given yet.
    :param is_end_received: Whether the end of the data follows them.
    :param head_line_count: Lines of the current head that the parser has been
        given, without those of the last piece.
    """

    __slots__ = (
        '_make_machine',
        'head_line_count',
        'is_end_received',
        'machine',
        'received',
    )

    def __init__(self, make_machine: Callable[[], h11.Connection]) -> None:
        self._make_machine = make_machine
        self.machine = make_machine()
        self.received = b''
        self.is_end_received = False
        self.head_line_count = 0

    def restart(self) -> None:
        """Parse what follows the last message with a new parser."""
        trailing_bytes, is_ended = self.machine.trailing_data
        self.machine = self._make_machine()
        self.received = trailing_bytes + self.received
        self.is_end_received = self.is_end_received or is_ended


def unparsed_size(incoming: IncomingBytes) -> int:
    """Return the size of what is not parsed yet.

    :param incoming: The received bytes, also those that the parser has.
    :returns: Size in bytes.
    """
    trailing_bytes, _ = incoming.machine.trailing_data
    return len(trailing_bytes) + len(incoming.received)


def next_event(incoming: IncomingBytes) -> object:
    """Return the next event of the parser.

    :param incoming: The received bytes.
    :returns: The event, ``h11.NEED_DATA`` if all bytes are parsed.
    :raises h11.RemoteProtocolError: If the bytes are not valid HTTP, or a head
        has more than about :data:`MAX_HEAD_LINES` lines.
    """
    event: object = incoming.machine.next_event()
    while event is h11.NEED_DATA and _feed(incoming):
        event = incoming.machine.next_event()
    if isinstance(event, HEADS):
        incoming.head_line_count = 0
    return event


def _feed(incoming: IncomingBytes) -> bool:
    if incoming.received:
        _feed_piece(incoming)
    elif incoming.is_end_received:
        incoming.is_end_received = False
        incoming.machine.receive_data(b'')
    else:
        return False
    return True


def _feed_piece(incoming: IncomingBytes) -> None:
    is_before_head = incoming.machine.their_state in _STATES_BEFORE_HEAD
    size_bytes = HEAD_PIECE_BYTES if is_before_head else BODY_PIECE_BYTES
    piece = incoming.received[:size_bytes]
    incoming.received = incoming.received[size_bytes:]
    if is_before_head:
        _count_head_lines(incoming, piece)
    incoming.machine.receive_data(piece)


def _count_head_lines(incoming: IncomingBytes, piece: bytes) -> None:
    # The lines of the last piece are not compared, since a body may follow in
    # it.
    if incoming.head_line_count > MAX_HEAD_LINES:
        raise h11.RemoteProtocolError(
            f'head has more than {MAX_HEAD_LINES} lines',
            error_status_hint=_TOO_LARGE_HEAD_STATUS,
        )
    incoming.head_line_count += piece.count(b'\n')
