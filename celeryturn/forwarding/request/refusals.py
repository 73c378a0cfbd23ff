"""Replies to callers whose requests were refused or failed."""

import msgspec

from celeryturn.errors import CeleryturnError
from celeryturn.http.messages import Headers, HttpReply
from celeryturn.platform import wire


def refusal_reply(error: CeleryturnError) -> HttpReply:
    """Build the reply to a request that was refused or failed.

    :param error: Why the request was refused or failed.
    :returns: A reply that states whether the request was run, as far as this
        is known.
    """
    answer = error.answer
    headers: Headers = (('content-type', 'application/json'),)
    if error.retry_after_seconds:
        retry_after = wire.retry_after_headers(error.retry_after_seconds)
        headers = (*headers, *retry_after)
    body = msgspec.json.encode(
        {'error': str(error.kind), 'code': answer.code, 'run': str(answer.run)}
    )
    return HttpReply(answer.status, headers, body)
