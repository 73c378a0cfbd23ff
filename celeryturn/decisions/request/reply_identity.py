"""Which request a reply on a connection belongs to.

A target may reply twice to a request, and the second reply arrives where the
reply to the next request on the connection is expected.  What a reply says,
success, failure or that the request was not run, holds only for the request
that it belongs to.

=================  ==============================  =======================
reply identifies   target has identified a reply   belongs to the request
=================  ==============================  =======================
this request       either                          yes
another request    either                          no
no request         yes                             no
no request         no                              yes
=================  ==============================  =======================

A target that never identifies its replies is believed, since nothing else could
be concluded from them.
"""


class IdentifierUse:
    """Whether a target identifies its replies.

    :param is_seen: Whether any reply of the target named a request.
    """

    __slots__ = ('is_seen',)

    def __init__(self) -> None:
        self.is_seen = False


def observe_identifier(use: IdentifierUse, reply_id: str | None) -> None:
    """Record whether a reply names a request.

    :param use: What is known of the target.
    :param reply_id: Identifier in the reply, or ``None`` if there is none.
    """
    use.is_seen = use.is_seen or reply_id is not None


def belongs_to_request(
    use: IdentifierUse, reply_id: str | None, request_id: str
) -> bool:
    """Return whether a reply belongs to the request that waits for one.

    :param use: What is known of the target.
    :param reply_id: Identifier in the reply, or ``None`` if there is none.
    :param request_id: Identifier of the request; empty if it has none, so that
        no reply can name it.
    :returns: Whether the reply may be used; otherwise it is skipped.
    """
    if reply_id is not None:
        return reply_id == request_id
    return not (use.is_seen and request_id)
