"""Memory that a request takes until it has ended."""

from typing import Final

from celeryturn.clients.account import make_room
from celeryturn.decisions.request.replies import TargetReply
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.forwarding.request.context import RequestContext
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.http.reply_memory import REPLY_MEMORY, hold, release

# An attempt at one of the services of a request, without its body and reply.
ATTEMPT_BYTES: Final = 2048


def reserve_copies(shared: SharedState, context: RequestContext) -> int:
    """Reserve memory for what is written to the services of a request.

    A request that is the only one in flight is served, however many services
    it is written to.

    :param shared: Shared state of the instance; the request is in flight.
    :param context: The request, its route and its plan.
    :returns: Size in bytes.
    :raises CeleryturnError: ``overloaded`` if there is no room.
    """
    copy_bytes = ATTEMPT_BYTES + len(context.request.body)
    size_bytes = copy_bytes * len(context.plan.services)
    has_room = make_room(REPLY_MEMORY.account, size_bytes, size_bytes)
    if not has_room and len(shared.in_flight) > 1:
        raise CeleryturnError(
            Kind.OVERLOADED, 'no memory is left for the request'
        )
    hold(REPLY_MEMORY, size_bytes)
    return size_bytes


def hold_reply(reply: TargetReply) -> int:
    """Record a reply that is kept until its request has ended.

    :param reply: The reply.
    :returns: Size of its body in bytes.
    """
    hold(REPLY_MEMORY, len(reply.body))
    return len(reply.body)


def release_request(held_bytes: int) -> None:
    """Release what a request has reserved and held.

    :param held_bytes: Size in bytes.
    """
    release(REPLY_MEMORY, held_bytes)
