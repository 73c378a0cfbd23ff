"""Replies to refused requests."""

from typing import Final

from celeryturn.errors import CeleryturnError
from celeryturn.http.messages import Headers, HttpReply, json_reply

MIN_RETRY_AFTER_SECONDS: Final = 1


def refusal_reply(error: CeleryturnError) -> HttpReply:
    """Build the reply to a refused request.

    :param error: The refusal.
    :returns: A reply that reports whether the request was run, as far as
        this is known, and after what time to retry.
    """
    answer = error.answer
    body = {
        'error': {
            'kind': str(error.kind),
            'code': answer.code,
            'detail': error.detail,
            'advice': answer.advice,
            'run': str(answer.run),
            'retry_after_seconds': answer.retry_after_seconds,
            'faults': error.faults,
        },
    }
    headers: Headers = ()
    if answer.retry_after_seconds:
        seconds = max(MIN_RETRY_AFTER_SECONDS, answer.retry_after_seconds)
        headers = (('retry-after', str(int(seconds))),)
    return json_reply(answer.status, body, headers)
