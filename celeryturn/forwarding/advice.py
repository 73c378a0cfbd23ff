"""Which addresses callers are told to use."""

from typing import Final

from celeryturn.decisions.advice import advise_zone
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.platform import wire

MAX_KEEP_SECONDS: Final = 2.0
OK: Final = 200


def answer_advice(shared: SharedState, request: HttpRequest) -> HttpReply:
    """Tell a caller where to connect.

    :param shared: Shared state of the instance.
    :param request: What the caller asks the directory.
    :returns: The reply.
    :raises CeleryturnError: ``unknown_path``, or ``not_configured`` while
        peers are not known yet.
    """
    zone = wire.advised_zone(request)
    if zone is None:
        raise _unknown_path_error(request)
    instance = shared.instance
    if not instance.is_ready:
        raise CeleryturnError(Kind.NOT_CONFIGURED, 'peers are not known yet')
    members = advise_zone(instance.membership.members.values(), zone)
    addresses = [
        f'{member.address}:{member.callers_port}' for member in members
    ]
    keep_seconds = min(
        MAX_KEEP_SECONDS, shared.settings.grace.advice_keep_seconds
    )
    return wire.advice_reply(addresses, keep_seconds)


def answer_readiness(shared: SharedState, request: HttpRequest) -> HttpReply:
    """Tell the platform whether this instance is ready.

    :param shared: Shared state of the instance.
    :param request: What the platform asks.
    :returns: An empty reply while it is ready.
    :raises CeleryturnError: When it is not.
    """
    if not wire.is_ready_question(request):
        raise _unknown_path_error(request)
    instance = shared.instance
    if instance.is_leaving:
        raise CeleryturnError(Kind.LEAVING, 'a graceful shutdown began')
    if not instance.is_ready:
        raise CeleryturnError(Kind.NOT_CONFIGURED, 'no routes are known yet')
    return HttpReply(OK)


def _unknown_path_error(request: HttpRequest) -> CeleryturnError:
    return CeleryturnError(Kind.UNKNOWN_PATH, f'{request.url} is not answered')
