"""Requests to single targets and their outcomes."""

from collections.abc import Callable
from typing import TypeAlias

from celeryturn.decisions.request.reply_identity import IdentifierUse
from celeryturn.http.client import Connection
from celeryturn.http.messages import HttpReply, HttpRequest

Outcome: TypeAlias = HttpReply | Exception
MakeRequest: TypeAlias = Callable[[], HttpRequest]
# Returns whether a reply belongs to the request, given what is known of how its
# target identifies replies.
ReplyCheck: TypeAlias = Callable[[IdentifierUse, HttpReply], bool]
# Returns whether a request may be written to its target now.
WriteCheck: TypeAlias = Callable[[], bool]


def _always() -> bool:
    return True


class NotSentError(ConnectionError):
    """The request was not sent, since no connection could be opened."""


class WithdrawnError(NotSentError):
    """The request was not sent, since the target must get no further ones."""


class Exchange:
    """Request to one target and its reply.

    :param priority: Priority among waiting requests; the lowest number is sent
        first.
    :param make_request: Builds the request right before it is written.
    :param on_end: Called exactly once with the outcome, unless the exchange
        is cancelled.
    :param accepts: Returns whether a reply belongs to the request.
    :param may_write: Called right before the request is written; if it returns
        false, the request ends as not sent.
    :param connection: Connection that the request was written to, while the
        exchange is in flight; None otherwise.
    :param opened_seconds: Time at which that connection was opened.
    :param written_seconds: Time at which the request was written; zero before.
    :param is_ended: Whether the exchange has an outcome or was cancelled.
    """

    __slots__ = (
        'accepts',
        'connection',
        'is_ended',
        'may_write',
        'make_request',
        'on_end',
        'opened_seconds',
        'priority',
        'written_seconds',
    )

    def __init__(
        self,
        priority: float,
        make_request: MakeRequest,
        on_end: Callable[['Exchange', Outcome], None],
        accepts: ReplyCheck,
    ) -> None:
        self.priority = priority
        self.make_request = make_request
        self.on_end = on_end
        self.accepts = accepts
        self.may_write: WriteCheck = _always
        self.connection: Connection | None = None
        self.opened_seconds = 0.0
        self.written_seconds = 0.0
        self.is_ended = False
