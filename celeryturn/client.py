"""HTTP client of the command-line tool for requests to instances."""

from typing import Any, Final

import msgspec

from celeryturn.errors import CeleryturnError, Fault, Kind
from celeryturn.http.client import fetch
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.number_text import read_endpoint
from celeryturn.schema import UNREADABLE_ERRORS

REQUEST_TIMEOUT_SECONDS: Final = 10.0
FIRST_ERROR_STATUS: Final = 400


async def send_request(
    endpoint: str, method: str, url: str, body: object = None
) -> Any:
    """Send one request to an instance.

    :param endpoint: ``ADDRESS:PORT`` of the callers' interface of the instance.
    :param method: HTTP method.
    :param url: Path with its query string.
    :param body: Value to send as JSON; no body is sent for ``None``.
    :returns: The decoded JSON answer.
    :raises CeleryturnError: The error that the instance returned, or
        ``unreachable`` when there is no valid answer.
    """
    address, port = split_endpoint(endpoint)
    encoded = b'' if body is None else msgspec.json.encode(body)
    request = HttpRequest(method, url, body=encoded)
    try:
        reply = await fetch(address, port, request, REQUEST_TIMEOUT_SECONDS)
    except OSError as error:
        detail = str(error) or 'the request timed out'
        raise CeleryturnError(
            Kind.UNREACHABLE, f'{endpoint}: {detail}'
        ) from error
    return _decode(endpoint, reply)


def split_endpoint(endpoint: str) -> tuple[str, int]:
    """Split ``ADDRESS:PORT``.

    :param endpoint: Value of ``--at``.
    :returns: Address and port.
    :raises CeleryturnError: ``bad_request`` when it is not ADDRESS:PORT.
    """
    parts = read_endpoint(str(endpoint))
    if parts is None:
        raise CeleryturnError(
            Kind.BAD_REQUEST, f'--at must be ADDRESS:PORT, got {endpoint!r}'
        )
    address, port = parts
    return address.strip('[]'), port


def _decode(endpoint: str, reply: HttpReply) -> Any:
    try:
        answer = msgspec.json.decode(reply.body)
    except UNREADABLE_ERRORS as error:
        raise CeleryturnError(
            Kind.UNREACHABLE, f'{endpoint}: the answer is not valid JSON'
        ) from error
    if reply.status >= FIRST_ERROR_STATUS:
        raise _build_error(endpoint, answer)
    return answer


def _build_error(endpoint: str, answer: Any) -> CeleryturnError:
    try:
        return _parse_error(answer['error'])
    except (KeyError, TypeError, ValueError):
        return CeleryturnError(
            Kind.UNREACHABLE,
            f'{endpoint}: the error answer has an unknown format',
        )


def _parse_error(body: Any) -> CeleryturnError:
    faults = tuple(
        Fault(fault['path'], fault['expected']) for fault in body['faults']
    )
    detail = f'{body["detail"]} (run: {body["run"]}; {body["advice"]})'
    return CeleryturnError(Kind(body['kind']), detail, faults)
