"""Answers that take long, one in each turn of the event loop."""

import asyncio

from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.http.server import RequestHandler


def one_each_turn(answer: RequestHandler) -> RequestHandler:
    """Limit a handler to one request in each turn of the event loop.

    Metrics and state take milliseconds in a large fleet.  Hundreds of them in
    one turn would hold up all other requests.

    :param answer: The handler, which does not wait.
    :returns: The handler that answers waiting requests in turn.
    """
    is_free = asyncio.Lock()

    async def answer_in_turn(request: HttpRequest) -> HttpReply:
        async with is_free:
            await asyncio.sleep(0)
            return await answer(request)

    return answer_in_turn
