"""What the command-line tool asks of instances."""

from typing import Any, Final

import msgspec

from celeryturn.errors import CeleryturnError, Fault, Kind
from celeryturn.http.client import fetch
from celeryturn.http.messages import HttpReply, HttpRequest

REQUEST_TIMEOUT_SECONDS: Final = 10.0
FIRST_ERROR_STATUS: Final = 400


async def send_request(
    endpoint: str, method: str, url: str, body: object = None
) -> Any:
    """Ask one instance.

    :param endpoint: ``ADDRESS:PORT`` of its callers' interface.
    :param method: HTTP method.
    :param url: Path with its query string.
    :param body: What to send as JSON, if anything.
    :returns: The decoded answer.
    :raises CeleryturnError: The instance's refusal, or ``unreachable``.
    """
    address, port = split_endpoint(endpoint)
    encoded = b'' if body is None else msgspec.json.encode(body)
    request = HttpRequest(method, url, body=encoded)
    try:
        reply = await fetch(address, port, request, REQUEST_TIMEOUT_SECONDS)
    except OSError as error:
        detail = str(error) or 'no answer in time'
        raise CeleryturnError(
            Kind.UNREACHABLE, f'{endpoint}: {detail}'
        ) from error
    return _decode(endpoint, reply)


def split_endpoint(endpoint: str) -> tuple[str, int]:
    """Split ``ADDRESS:PORT``.

    :param endpoint: What the user typed.
    :returns: Address and port.
    :raises CeleryturnError: ``bad_request``.
    """
    address, _, port = str(endpoint).rpartition(':')
    if not address or not port.isdecimal():
        raise CeleryturnError(
            Kind.BAD_REQUEST, f'--at takes ADDRESS:PORT, got {endpoint!r}'
        )
    return address.strip('[]'), int(port)


def _decode(endpoint: str, reply: HttpReply) -> Any:
    try:
        answer = msgspec.json.decode(reply.body)
    except msgspec.DecodeError as error:
        raise CeleryturnError(
            Kind.UNREACHABLE, f'{endpoint}: no JSON in the answer'
        ) from error
    if reply.status >= FIRST_ERROR_STATUS:
        raise _build_error(endpoint, answer)
    return answer


def _build_error(endpoint: str, answer: Any) -> CeleryturnError:
    try:
        return _parse_error(answer['error'])
    except (KeyError, TypeError, ValueError):
        return CeleryturnError(
            Kind.UNREACHABLE, f'{endpoint}: not an answer of celeryturn'
        )


def _parse_error(body: Any) -> CeleryturnError:
    faults = tuple(
        Fault(fault['path'], fault['expected']) for fault in body['faults']
    )
    detail = f'{body["detail"]} (run: {body["run"]}; {body["advice"]})'
    return CeleryturnError(Kind(body['kind']), detail, faults)
