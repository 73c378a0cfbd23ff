"""Answers to requests for addresses and for the readiness."""

from typing import Final

from celeryturn.decisions.fleet.advice import advise_zone
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.platform import wire

MAX_KEEP_SECONDS: Final = 2.0
SINGLE_KEEP_SECONDS: Final = 0.5
OK: Final = 200


def answer_advice(shared: SharedState, request: HttpRequest) -> HttpReply:
    """Answer a caller's request for the addresses of instances.

    :param shared: Shared state of the instance.
    :param request: Request of the caller to the directory port.
    :returns: A reply with the addresses to connect to.
    :raises CeleryturnError: ``unknown_path`` for any other request,
        ``not_configured`` while the instance is not ready.
    """
    zone = wire.read_requested_zone(request)
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
    if len(addresses) == 1:
        # An instance that has just started may not know its peers yet.
        keep_seconds = min(keep_seconds, SINGLE_KEEP_SECONDS)
    return wire.advice_reply(addresses, keep_seconds)


def answer_readiness(shared: SharedState, request: HttpRequest) -> HttpReply:
    """Answer the platform's request for the readiness of this instance.

    :param shared: Shared state of the instance.
    :param request: Request of the platform to the readiness port.
    :returns: An empty reply if the instance is ready.
    :raises CeleryturnError: ``leaving`` or ``not_configured`` if the instance
        is not ready, ``unknown_path`` for any other request.
    """
    if not wire.is_readiness_request(request):
        raise _unknown_path_error(request)
    instance = shared.instance
    if instance.is_leaving:
        raise CeleryturnError(Kind.LEAVING, 'the instance is shutting down')
    if not instance.is_ready:
        raise CeleryturnError(
            Kind.NOT_CONFIGURED, 'the instance is not ready yet'
        )
    return HttpReply(OK)


def _unknown_path_error(request: HttpRequest) -> CeleryturnError:
    return CeleryturnError(
        Kind.UNKNOWN_PATH, f'{request.url} is not a known path'
    )
