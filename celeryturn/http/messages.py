"""HTTP requests and replies as plain data."""

from collections.abc import Iterable
from typing import Final, NamedTuple, TypeAlias
from urllib.parse import parse_qsl, urlsplit

import msgspec

from celeryturn.schema import encode

Headers: TypeAlias = tuple[tuple[str, str], ...]
HeaderBytes: TypeAlias = tuple[bytes, bytes]

HEADER_ENCODING: Final = 'latin-1'


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


def encode_headers(headers: Iterable[tuple[str, str]]) -> list[HeaderBytes]:
    """Encode headers with the bytes they were received with.

    :param headers: Pairs of name and value.
    :returns: Pairs of bytes.
    """
    return [
        (name.encode(HEADER_ENCODING), text.encode(HEADER_ENCODING))
        for name, text in headers
    ]


def decode_headers(headers: Iterable[HeaderBytes]) -> Headers:
    """Decode received headers; any byte is accepted.

    :param headers: Pairs of bytes.
    :returns: Pairs of name and value.
    """
    return tuple(
        (name.decode(HEADER_ENCODING), text.decode(HEADER_ENCODING))
        for name, text in headers
    )


def split_url(url: str) -> tuple[str, dict[str, str]]:
    """Split the URL of a request.

    :param url: Path with its query string.
    :returns: The path and the fields of the query string; the whole text as
        the path if it is not a valid URL.
    """
    try:
        parts = urlsplit(url)
    except ValueError:
        return url, {}
    return parts.path, dict(parse_qsl(parts.query))
