"""Headers, statuses and bodies of the platform's HTTP messages.

Callers, targets and the platform exchange them with this instance.
"""

import math
import struct
from collections.abc import Iterable, Iterator, Sequence
from typing import Final

import msgspec

from celeryturn.decisions.request.replies import AttemptOutcome, TargetReply
from celeryturn.decisions.targets.replicas import Load
from celeryturn.http.messages import (
    Headers,
    HttpReply,
    HttpRequest,
    header,
    split_url,
)
from celeryturn.number_text import read_count, read_decimal

READINESS_PATH: Final = '/v1/readiness'
RESOLVE_PATH: Final = '/v1/resolve'
RECORD_BYTES: Final = 16
MILLISECONDS_PER_SECOND: Final = 1000
MAX_REMAINING_MS: Final = 86_400_000.0
MAX_LOAD_FIGURE: Final = 1_000_000
MAX_RETRY_AFTER_SECONDS: Final = 1e12
MAX_RATE_PER_SECOND: Final = 1e9

ATTEMPT_ID_HEADER: Final = 'x-attempt-id'
# Remaining time in milliseconds, not a point in time.
DEADLINE_HEADER: Final = 'x-deadline-remaining'
SIGNATURE_HEADER: Final = 'x-response-stamp'
TARGET_HEADER: Final = 'x-target-instance'
LOAD_HEADER: Final = 'x-server-load'
# Announces the departure of the target, whatever the reply is about.
LEAVING_HEADER: Final = 'server-leaving'
# Requests a second that the target takes from all instances together; named
# only while it is in need.
RATE_LIMIT_HEADER: Final = 'server-limit'
# Remaining time in milliseconds for which the target is cold.
COLD_HEADER: Final = 'x-cold-remaining-ms'
RETRY_AFTER_HEADER: Final = 'retry-after'
# Its presence means that the target did not run the request; its value has no
# meaning.
NOT_RUN_HEADER: Final = 'x-not-executed'
PART_SIGNATURES_HEADER: Final = 'x-part-stamps'
MISSING_COUNT_HEADER: Final = 'x-missing-parts'

_HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# Headers of a target's reply that this build decodes, or passes on without a
# meaning of its own.
KNOWN_REPLY_HEADERS: Final = frozenset(
    (
        ATTEMPT_ID_HEADER,
        SIGNATURE_HEADER,
        LOAD_HEADER,
        LEAVING_HEADER,
        RATE_LIMIT_HEADER,
        COLD_HEADER,
        RETRY_AFTER_HEADER,
        NOT_RUN_HEADER,
        'connection',
        'content-encoding',
        'content-length',
        'content-type',
        'date',
        'keep-alive',
        'server',
        'transfer-encoding',
    )
)
_OVERWRITTEN_HEADERS: Final = frozenset((DEADLINE_HEADER, TARGET_HEADER))
MAX_LOAD_FIGURE_COUNT: Final = 4
_LOAD_FIGURE_COUNTS: Final = frozenset((3, MAX_LOAD_FIGURE_COUNT))
_RECORD: Final = struct.Struct(f'{RECORD_BYTES}s')
_INTERNAL_HEADERS: Final = frozenset(
    (LOAD_HEADER, LEAVING_HEADER, RATE_LIMIT_HEADER, COLD_HEADER)
)
_WRONG_TARGET_STATUS: Final = 421
_OK_STATUS: Final = 200
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
_UNAVAILABLE_STATUS: Final = 503
_LEAVING_TEXT: Final = '1'
_STATUS_CLASS_SIZE: Final = 100
_SUCCESS_STATUS_CLASS: Final = 2


def read_remaining_seconds(request: HttpRequest) -> float | None:
    """Read how long the caller waits for a reply.

    :param request: A caller's request.
    :returns: Seconds from the arrival of the request, or ``None`` if the
        request does not state a valid number.
    """
    text = header(request.headers, DEADLINE_HEADER)
    if text is None:
        return None
    remaining_ms = read_decimal(text, MAX_REMAINING_MS)
    if remaining_ms is None:
        return None
    return remaining_ms / MILLISECONDS_PER_SECOND


def ignored_remaining_text(request: HttpRequest) -> str | None:
    """Return the text of a remaining time that is not a valid number.

    :param request: A caller's request for which
        :func:`read_remaining_seconds` returned ``None``.
    :returns: The text of the header, or ``None`` if there is no header.
    """
    return header(request.headers, DEADLINE_HEADER)


def read_attempt_id(request: HttpRequest) -> str:
    """Read the attempt identifier of a caller's request.

    :param request: A caller's request.
    :returns: The identifier, or an empty string if there is none.
    """
    return header(request.headers, ATTEMPT_ID_HEADER) or ''


def forwarded_headers(headers: Headers) -> Headers:
    """Select the headers to pass on to targets or back to callers.

    :param headers: Headers as received.
    :returns: The headers without hop-by-hop headers and without those that
        this instance sets itself.
    """
    connection_header = header(headers, 'connection') or ''
    connection_options = {
        name.strip().lower() for name in connection_header.split(',')
    }
    dropped = _HOP_BY_HOP_HEADERS | _OVERWRITTEN_HEADERS | connection_options
    return tuple(pair for pair in headers if pair[0] not in dropped)


def target_request(
    request: HttpRequest, target: str, remaining_seconds: float
) -> HttpRequest:
    """Build the request to one target.

    :param request: The caller's request, with only the headers to pass on.
    :param target: Identifier of the target.
    :param remaining_seconds: Seconds after which a reply is no longer useful.
    :returns: The request to send.
    """
    headers = (
        *request.headers,
        (
            DEADLINE_HEADER,
            str(max(1, int(remaining_seconds * MILLISECONDS_PER_SECOND))),
        ),
        (TARGET_HEADER, target),
    )
    return request._replace(headers=headers)


def read_reply_id(reply: HttpReply) -> str | None:
    """Read the attempt identifier of a target's reply.

    :param reply: Reply received on a connection.
    :returns: The identifier, or ``None`` if there is none.
    """
    return header(reply.headers, ATTEMPT_ID_HEADER)


def read_reply(reply: HttpReply) -> TargetReply:
    """Decode a complete reply of a target.

    :param reply: The reply.
    :returns: What decisions use of the reply.
    """
    signature = header(reply.headers, SIGNATURE_HEADER) or ''
    return TargetReply(
        attempt_outcome=_classify_reply(reply, signature),
        signature=signature,
        body=reply.body,
        load=_parse_load(header(reply.headers, LOAD_HEADER)),
        is_leaving=header(reply.headers, LEAVING_HEADER) == _LEAVING_TEXT,
        retry_after_seconds=_parse_retry_after(reply) or 0.0,
        rate_limit_per_second=_parse_rate_limit(reply),
        cold_seconds=_parse_cold_seconds(reply) or 0.0,
    )


def ignored_reply_texts(reply: HttpReply) -> list[str]:
    """List the headers of a reply that hold no valid number.

    :param reply: A reply of a target.
    :returns: The texts of the headers that were ignored.
    """
    ignored = []
    load_text = header(reply.headers, LOAD_HEADER)
    if load_text is not None and _parse_load(load_text) is None:
        ignored.append(load_text)
    if _is_pause_request(reply) and _parse_retry_after(reply) is None:
        ignored.append(header(reply.headers, RETRY_AFTER_HEADER) or '')
    if _parse_rate_limit(reply) is None:
        ignored.append(header(reply.headers, RATE_LIMIT_HEADER) or '')
    if _parse_cold_seconds(reply) is None:
        ignored.append(header(reply.headers, COLD_HEADER) or '')
    return ignored


def unknown_reply_headers(reply: HttpReply) -> set[str]:
    """List the headers of a reply that this build does not know.

    :param reply: A reply of a target.
    :returns: Their names.
    """
    return {name for name, _ in reply.headers} - KNOWN_REPLY_HEADERS


def caller_reply(reply: HttpReply) -> HttpReply:
    """Build the reply to a caller from a target's reply.

    :param reply: A reply with the target's signature.
    :returns: A reply with the status, body and signature unchanged.
    """
    headers = tuple(
        pair
        for pair in forwarded_headers(reply.headers)
        if pair[0] not in _INTERNAL_HEADERS
    )
    return reply._replace(headers=headers)


def gathered_reply(
    parts: Sequence[TargetReply], shard_count: int, body: bytes
) -> HttpReply:
    """Assemble the reply to a caller from the replies of several shards.

    :param parts: Replies of different shards.
    :param shard_count: Number of shards of the request.
    :param body: The greatest records of the replies.
    :returns: The reply to the caller.
    """
    signatures = ', '.join(part.signature for part in parts)
    missing_count = shard_count - len(parts)
    headers = (
        (PART_SIGNATURES_HEADER, signatures),
        (MISSING_COUNT_HEADER, str(missing_count)),
    )
    return HttpReply(_OK_STATUS, headers, body)


def read_records(bodies: Iterable[bytes]) -> Iterator[bytes]:
    """Read the records of replies.

    :param bodies: Concatenated records of ``RECORD_BYTES`` bytes each; a
        shorter remainder is ignored.
    :returns: The records in the order in which they are found.
    """
    return (
        fields[0]
        for body in bodies
        for fields in _RECORD.iter_unpack(_whole_records(body))
    )


def _whole_records(body: bytes) -> bytes:
    return body[: len(body) - len(body) % RECORD_BYTES]


def promises_not_run(reply: HttpReply) -> bool:
    """Return whether an answer promises that the request was not run.

    :param reply: An answer to a caller.
    :returns: Whether its status is such a promise.
    """
    return reply.status in _NOT_RUN_STATUSES


def retry_after_headers(retry_after_seconds: float) -> Headers:
    """Build the header that states when to retry a request that was not run.

    :param retry_after_seconds: Time in seconds, possibly fractional.
    :returns: The header.
    """
    return (('retry-after', f'{retry_after_seconds:.3f}'),)


def read_requested_zone(request: HttpRequest) -> str | None:
    """Read the availability zone of a request for addresses.

    :param request: A request to the directory.
    :returns: The zone, possibly empty, or ``None`` if the request is not for
        addresses.
    """
    path, query = split_url(request.url)
    return query.get('Zone', '') if path == RESOLVE_PATH else None


def is_readiness_request(request: HttpRequest) -> bool:
    """Check whether a request is the platform's readiness check.

    :param request: The received request.
    :returns: Whether its path is that of the readiness check.
    """
    path, _ = split_url(request.url)
    return path == READINESS_PATH


def advice_reply(addresses: list[str], keep_seconds: float) -> HttpReply:
    """Build the reply that advises a caller which addresses to use.

    :param addresses: ``IP:PORT`` of instances, in any order.
    :param keep_seconds: Time for which the caller may keep the addresses.
    :returns: The reply.
    """
    body = msgspec.json.encode({'addrs': addresses, 'ttl_s': keep_seconds})
    return HttpReply(_OK_STATUS, (('content-type', 'application/json'),), body)


def _classify_reply(reply: HttpReply, signature: str) -> AttemptOutcome:
    if reply.status == _WRONG_TARGET_STATUS:
        return AttemptOutcome.WRONG_TARGET
    if header(reply.headers, NOT_RUN_HEADER) is not None:
        return AttemptOutcome.SHED
    if not signature or header(reply.headers, 'content-encoding') is not None:
        return AttemptOutcome.UNUSABLE
    if reply.status // _STATUS_CLASS_SIZE == _SUCCESS_STATUS_CLASS:
        return AttemptOutcome.SUCCEEDED
    return AttemptOutcome.FAILED


def _is_pause_request(reply: HttpReply) -> bool:
    is_unavailable = reply.status == _UNAVAILABLE_STATUS
    return (
        is_unavailable and header(reply.headers, RETRY_AFTER_HEADER) is not None
    )


def _parse_retry_after(reply: HttpReply) -> float | None:
    # The platform's targets state seconds, never a date.
    if not _is_pause_request(reply):
        return None
    text = header(reply.headers, RETRY_AFTER_HEADER) or ''
    return read_decimal(text, MAX_RETRY_AFTER_SECONDS)


def _parse_rate_limit(reply: HttpReply) -> float | None:
    text = header(reply.headers, RATE_LIMIT_HEADER)
    if text is None:
        return math.inf
    return read_decimal(text, MAX_RATE_PER_SECOND)


def _parse_cold_seconds(reply: HttpReply) -> float | None:
    text = header(reply.headers, COLD_HEADER)
    if text is None:
        return 0.0
    remaining_ms = read_decimal(text, MAX_REMAINING_MS)
    if remaining_ms is None:
        return None
    return remaining_ms / MILLISECONDS_PER_SECOND


def _parse_load(text: str | None) -> Load | None:
    if text is None:
        return None
    figures = [
        read_count(part.strip(), MAX_LOAD_FIGURE)
        for part in text.split(',', MAX_LOAD_FIGURE_COUNT)
    ]
    known_figures = [figure for figure in figures if figure is not None]
    if len(known_figures) != len(figures):
        return None
    if len(figures) not in _LOAD_FIGURE_COUNTS:
        return None
    # Some targets add how long work takes on their machine at this moment,
    # which their latencies show as well.
    running, waiting, slots = known_figures[: len(Load._fields)]
    return Load(running, waiting, max(1, slots))
