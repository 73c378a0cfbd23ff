"""What the command-line tool asks of instances."""

from typing import Any, Final

import msgspec

from celeryturn.errors import CeleryturnError, Fault, Kind
from celeryturn.http.client import fetch
from celeryturn.http.messages import HttpReply, HttpRequest

CALL_SECONDS: Final = 10.0
FIRST_ERROR_STATUS: Final = 400


async def ask(place: str, method: str, url: str, body: object = None) -> Any:
    """Ask one instance.

    :param place: ``ADDRESS:PORT`` of its callers' interface.
    :param method: HTTP method.
    :param url: Path with its query string.
    :param body: What to send as JSON, if anything.
    :returns: The decoded answer.
    :raises CeleryturnError: The instance's refusal, or ``unreachable``.
    """
    address, port = split_place(place)
    encoded = b'' if body is None else msgspec.json.encode(body)
    request = HttpRequest(method, url, body=encoded)
    try:
        reply = await fetch(address, port, request, CALL_SECONDS)
    except OSError as error:
        detail = str(error) or 'no answer in time'
        raise CeleryturnError(Kind.UNREACHABLE, f'{place}: {detail}') from error
    return _decode(place, reply)


def split_place(place: str) -> tuple[str, int]:
    """Split ``ADDRESS:PORT``.

    :param place: What the user typed.
    :returns: Address and port.
    :raises CeleryturnError: ``bad_request``.
    """
    address, _, port = str(place).rpartition(':')
    if not address or not port.isdecimal():
        raise CeleryturnError(
            Kind.BAD_REQUEST, f'--at takes ADDRESS:PORT, got {place!r}'
        )
    return address.strip('[]'), int(port)


def _decode(place: str, reply: HttpReply) -> Any:
    try:
        answer = msgspec.json.decode(reply.body)
    except msgspec.DecodeError as error:
        raise CeleryturnError(
            Kind.UNREACHABLE, f'{place}: no JSON in the answer'
        ) from error
    if reply.status >= FIRST_ERROR_STATUS:
        raise _refusal(place, answer)
    return answer


def _refusal(place: str, answer: Any) -> CeleryturnError:
    try:
        return _told_error(answer['error'])
    except (KeyError, TypeError, ValueError):
        return CeleryturnError(
            Kind.UNREACHABLE, f'{place}: not an answer of celeryturn'
        )


def _told_error(told: Any) -> CeleryturnError:
    faults = tuple(
        Fault(fault['path'], fault['expected']) for fault in told['faults']
    )
    detail = f'{told["detail"]} (run: {told["run"]}; {told["advice"]})'
    return CeleryturnError(Kind(told['kind']), detail, faults)
