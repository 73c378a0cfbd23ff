"""Bounded reception of one reply."""

from typing import Final, NamedTuple

MAX_STATUS: Final = 599
MAX_REPLY_BYTES: Final = 4_000_000
# Late replies to earlier requests, and interim responses, before the reply.
MAX_PRECEDING_REPLIES: Final = 16


class ReplyFault(NamedTuple):
    """Why a reply must not be received any further, or is none.

    :param detail: Description for the log.
    :param is_too_large: Whether its body exceeds :data:`MAX_REPLY_BYTES`.
    """

    detail: str
    is_too_large: bool = False


class IncomingReply:
    """Reply that is being received.

    :param body: The body so far.
    :param header_count: Number of its headers, once they are complete.
    :param preceding_count: Replies that were skipped before this one.
    """

    __slots__ = ('body', 'header_count', 'preceding_count')

    def __init__(self) -> None:
        # One object for each chunk would take many times the memory of a
        # small one.
        self.body = bytearray()
        self.header_count = 0
        self.preceding_count = 0


def check_status(status: int) -> ReplyFault | None:
    """Check that HTTP allows a status.

    :param status: Status of a reply, which is not below the range, since the
        parser rejects that.
    :returns: Why the reply is none, or ``None``.
    """
    if status > MAX_STATUS:
        return ReplyFault(f'{status} is not an HTTP status')
    return None


def append_chunk(incoming: IncomingReply, chunk: bytes) -> ReplyFault | None:
    """Append a chunk of the body.

    :param incoming: The reply.
    :param chunk: The chunk.
    :returns: Why the reply must not be received any further, or ``None``.
    """
    incoming.body += chunk
    if len(incoming.body) > MAX_REPLY_BYTES:
        detail = f'reply is larger than {MAX_REPLY_BYTES} bytes'
        return ReplyFault(detail, is_too_large=True)
    return None


def count_preceding(incoming: IncomingReply) -> ReplyFault | None:
    """Count a reply that precedes the expected one.

    :param incoming: The expected reply.
    :returns: Why no further bytes must be received, or ``None``.
    """
    incoming.preceding_count += 1
    if incoming.preceding_count > MAX_PRECEDING_REPLIES:
        return ReplyFault(
            f'more than {MAX_PRECEDING_REPLIES} replies before this one'
        )
    return None
