"""Messages with which an instance lets a peer serve a caller's request."""

from typing import Annotated, Final, NamedTuple, TypeAlias

import msgspec

from celeryturn.units import AgeSeconds, Count

MIN_STATUS: Final = 100
MAX_STATUS: Final = 599
Status: TypeAlias = Annotated[int, msgspec.Meta(ge=MIN_STATUS, le=MAX_STATUS)]


class HandoverTerms(NamedTuple):
    """What a peer needs to know besides the request itself.

    :param table_version: Version of the routes of the sender; a peer with
        older ones declines.
    :param waited_seconds: Time since the request arrived from the caller.
    """

    table_version: Count
    waited_seconds: AgeSeconds


class Handover(NamedTuple):
    """A request of a caller that the receiver is asked to serve.

    :param number: Number of the request among those of the sender.
    :param terms: What the receiver needs to know besides the request.
    :param method: Method in upper case.
    :param url: Path with its query string.
    :param headers: Pairs of name, in lower case, and value.
    :param body: The body, possibly empty.
    """

    number: Count
    terms: HandoverTerms
    method: str
    url: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class HandoverReply(NamedTuple):
    """The reply to the caller.

    :param number: Number of the request.
    :param status: HTTP status.
    :param headers: Pairs of name, in lower case, and value.
    :param body: The body, possibly empty.
    """

    number: Count
    status: Status
    headers: tuple[tuple[str, str], ...]
    body: bytes


class HandoverDecline(NamedTuple):
    """The receiver does not serve the request, which was not run.

    :param number: Number of the request.
    """

    number: Count


class HandoverCancel(NamedTuple):
    """The sender does not wait for the reply any longer.

    :param number: Number of the request.
    """

    number: Count


HandoverMessage: TypeAlias = (
    Handover | HandoverReply | HandoverDecline | HandoverCancel
)
