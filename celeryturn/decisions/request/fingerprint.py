"""Fingerprint of a request: the same each time and at each instance."""

import hashlib
from typing import Annotated, Final, TypeAlias

import msgspec

FINGERPRINT_BYTES: Final = 16
LENGTH_BYTES: Final = 8

Fingerprint: TypeAlias = Annotated[
    bytes,
    msgspec.Meta(min_length=FINGERPRINT_BYTES, max_length=FINGERPRINT_BYTES),
]


def compute_fingerprint(
    method: str, host: str, url: str, body: bytes
) -> Fingerprint:
    """Compute the fingerprint of a request.

    It covers what a caller repeats.  Headers are left out, since some differ
    between two attempts at the same request.

    :param method: Method in upper case.
    :param host: Host that the request names.
    :param url: Path with its query string.
    :param body: The body, possibly empty.
    :returns: A cryptographic hash, so that nobody can make another request
        with the same one.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for field in (method.encode(), host.lower().encode(), url.encode(), body):
        # The length keeps two fields from being taken for other two.
        digest.update(len(field).to_bytes(LENGTH_BYTES, 'big'))
        digest.update(field)
    return digest.digest()
