"""How a refusal of a forwarded request is told to its caller."""

import msgspec

from celeryturn.errors import CeleryturnError
from celeryturn.http.messages import Headers, HttpReply
from celeryturn.platform import wire


def refusal_reply(error: CeleryturnError) -> HttpReply:
    """Build the reply to a request that is refused or failed.

    :param error: The refusal.
    :returns: A reply that says what is known about whether it was run.
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
