"""HTTP requests and replies as plain data."""

from typing import NamedTuple, TypeAlias
from urllib.parse import parse_qsl, urlsplit

import msgspec

from celeryturn.schema import encode

Headers: TypeAlias = tuple[tuple[str, str], ...]


class HttpRequest(NamedTuple):
    """A complete request.

    :param method: Method in upper case.
    :param url: Path with its query string.
    :param headers: Pairs of name, in lower case, and value.
    :param body: The body, possibly empty.
    """

    method: str
    url: str
    headers: Headers = ()
    body: bytes = b''


class HttpReply(NamedTuple):
    """A complete reply.

    :param status: HTTP status.
    :param headers: Pairs of name, in lower case, and value.
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
    :param payload: Content of the body; consists of named tuples, mappings,
        lists and scalars.
    :param headers: Additional headers.
    :returns: The reply.
    """
    content_type = ('content-type', 'application/json')
    return HttpReply(
        status, (content_type, *headers), msgspec.json.encode(encode(payload))
    )


def header(headers: Headers, name: str) -> str | None:
    """Look up a header.

    :param headers: Pairs of name, in lower case, and value.
    :param name: Name in lower case.
    :returns: Value of the first header with that name; ``None`` if there is
        none.
    """
    for header_name, text in headers:
        if header_name == name:
            return text
    return None


def split_url(url: str) -> tuple[str, dict[str, str]]:
    """Split the URL of a request.

    :param url: Path with its query string.
    :returns: The path and the fields of the query string.
    """
    parts = urlsplit(url)
    return parts.path, dict(parse_qsl(parts.query))
