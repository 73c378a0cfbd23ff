"""A backend in a process of its own, which gets into trouble on SIGUSR1.

From then on each answer has a body without end, in small chunks, until the
caller closes the connection.
"""

import asyncio
import signal
import sys
from typing import Final

from review.support.backends import Backend
from review.support.messages import Request

CHUNKS_PER_WRITE: Final = 2000


async def _answer_without_end(
    request: Request, writer: asyncio.StreamWriter, chunk_bytes: int
) -> None:
    lines = (
        'HTTP/1.1 200 OK',
        f'x-attempt-id: {request.headers["x-attempt-id"]}',
        'transfer-encoding: chunked',
        '',
        '',
    )
    writer.write('\r\n'.join(lines).encode())
    chunk = b'%x\r\n%b\r\n' % (chunk_bytes, b'x' * chunk_bytes)
    while True:
        writer.write(chunk * CHUNKS_PER_WRITE)
        await writer.drain()


async def _serve(identifier: str, service: str, chunk_bytes: int) -> None:
    backend = Backend(identifier, service, 'zone-a')
    await backend.start()

    async def misbehave(request: Request, writer: asyncio.StreamWriter) -> None:
        await _answer_without_end(request, writer, chunk_bytes)

    def begin_trouble() -> None:
        backend.before_run = misbehave

    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, begin_trouble)
    sys.stdout.write(f'{backend.port}\n')
    sys.stdout.flush()
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(_serve(sys.argv[1], sys.argv[2], int(sys.argv[3])))
