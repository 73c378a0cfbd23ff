"""Let a blocked request be sent again, as an operator asks for."""

from typing import Final, NamedTuple

from celeryturn.decisions.request.fingerprint import (
    FINGERPRINT_BYTES,
    Fingerprint,
)
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.forwarding.request.suspect_requests import clear_request
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.http.messages import HttpRequest, split_url

CLEAR_PATH: Final = '/v1/clear-request'


class ClearedRequest(NamedTuple):
    """Answer to an operator who clears a request.

    :param fingerprint: Fingerprint of the request.
    :param cleared_count: Number of ends that counted against it; zero if the
        instance knew of none.
    """

    fingerprint: str
    cleared_count: int


def is_clear_request(request: HttpRequest) -> bool:
    """Return whether a request is that of an operator who clears another one.

    :param request: The received request.
    :returns: Whether its method and path are those of this command.
    """
    path, _ = split_url(request.url)
    return request.method == 'POST' and path == CLEAR_PATH


def run_clear_request(
    shared: SharedState, request: HttpRequest
) -> ClearedRequest:
    """Clear the request whose fingerprint an operator names.

    :param shared: Shared state of the instance.
    :param request: Request of the operator.
    :returns: The answer.
    :raises CeleryturnError: ``bad_request`` if it names no fingerprint.
    """
    _, query = split_url(request.url)
    text = query.get('fingerprint', '')
    fingerprint = _parse_fingerprint(text)
    return ClearedRequest(text, clear_request(shared, fingerprint))


def _parse_fingerprint(text: str) -> Fingerprint:
    try:
        fingerprint = bytes.fromhex(text)
    except ValueError:
        fingerprint = b''
    if len(fingerprint) != FINGERPRINT_BYTES:
        raise CeleryturnError(
            Kind.BAD_REQUEST,
            f'fingerprint must have {2 * FINGERPRINT_BYTES} hexadecimal digits,'
            ' as in the log lines of the request',
        )
    return fingerprint
