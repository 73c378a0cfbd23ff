"""Requests and replies as plain data."""

from typing import NamedTuple, TypeAlias
from urllib.parse import parse_qsl, urlsplit

import msgspec

from celeryturn.schema import encode

Headers: TypeAlias = tuple[tuple[str, str], ...]


class HttpRequest(NamedTuple):
    """A whole request.

    :param method: Upper-case method.
    :param url: Path with its query string.
    :param headers: Names in lower case.
    :param body: The body, possibly empty.
    """

    method: str
    url: str
    headers: Headers = ()
    body: bytes = b''


class HttpReply(NamedTuple):
    """A whole reply.

    :param status: HTTP status.
    :param headers: Names in lower case.
    :param body: The body, possibly empty.
    """

    status: int
    headers: Headers = ()
    body: bytes = b''


def json_reply(
    status: int, payload: object, headers: Headers = ()
) -> HttpReply:
    """Build a reply with a JSON body.

    :param status: HTTP status.
    :param payload: Named tuples, mappings, lists and scalars.
    :param headers: Further headers.
    :returns: The reply.
    """
    content_type = ('content-type', 'application/json')
    return HttpReply(
        status, (content_type, *headers), msgspec.json.encode(encode(payload))
    )


def header(headers: Headers, name: str) -> str | None:
    """Look a header up.

    :param headers: Names in lower case.
    :param name: Name in lower case.
    :returns: The first that has the name.
    """
    for header_name, text in headers:
        if header_name == name:
            return text
    return None


def split_url(url: str) -> tuple[str, dict[str, str]]:
    """Split a request's URL.

    :param url: Path with its query string.
    :returns: The path, and the fields of the query string.
    """
    parts = urlsplit(url)
    return parts.path, dict(parse_qsl(parts.query))
