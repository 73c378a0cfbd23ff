"""Clients that do what the pages say of them."""

import asyncio
import time
from typing import Final, NamedTuple

from review.support.addresses import ADDRESS
from review.support.messages import (
    Reply,
    Request,
    encode_request,
    read_reply,
)

CONNECT_SECONDS: Final = 1.0
POLL_SECONDS: Final = 0.05
OK: Final = 200


class Answered(NamedTuple):
    """What a client saw of one attempt.

    :param attempt: Id of the attempt.
    :param sent_seconds: Time at which it was sent.
    :param took_seconds: Time from the send to the answer, or to its absence.
    :param reply: The answer, or ``None`` if there was none.
    """

    attempt: str
    sent_seconds: float
    took_seconds: float
    reply: Reply | None

    @property
    def status(self) -> int:
        """Status of the answer; zero if there was none."""
        return self.reply.status if self.reply else 0


async def ask(
    port: int,
    request: Request,
    wait_seconds: float,
    encoded: bytes | None = None,
) -> Answered:
    """Send one attempt on a new connection and wait for its answer.

    :param port: Port of the instance.
    :param request: The request, with its attempt id.
    :param wait_seconds: How long to wait.
    :param encoded: Bytes to send, if not the request with a length.
    :returns: What was seen.
    """
    started_seconds = time.monotonic()
    reply = None
    try:
        async with asyncio.timeout(wait_seconds):
            reply = await _exchange(port, encoded or encode_request(request))
    except (OSError, EOFError):
        reply = None
    return Answered(
        request.headers['x-attempt-id'],
        started_seconds,
        time.monotonic() - started_seconds,
        reply,
    )


async def wait_for_status(port: int, path: str, timeout_seconds: float) -> bool:
    """Wait until a path is answered with 200.

    :param port: Port of the instance.
    :param path: The path.
    :param timeout_seconds: How long to wait.
    :returns: Whether it was.
    """
    until_seconds = time.monotonic() + timeout_seconds
    request = Request('GET', path, {'host': 'x', 'x-attempt-id': 'wait'})
    while time.monotonic() < until_seconds:
        answered = await ask(port, request, CONNECT_SECONDS)
        if answered.status == OK:
            return True
        await asyncio.sleep(POLL_SECONDS)
    return False


async def _exchange(port: int, encoded: bytes) -> Reply:
    reader, writer = await asyncio.open_connection(ADDRESS, port)
    try:
        writer.write(encoded)
        return await read_reply(reader)
    finally:
        writer.close()
