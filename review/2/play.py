"""One backend of six answers with a body without end, in small chunks."""

import asyncio
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from review.support.backends import Backend
from review.support.clients import Answered, ask
from review.support.deployment import HOST, Deployment, main, route
from review.support.instances import REPOSITORY
from review.support.judging import judge
from review.support.messages import Request

PROGRAM: Final = 'review.support.troubled_backend'
CHUNK_BYTES: Final = 1
# The rates of the site at one of its nine machines, about.
INTERVAL_SECONDS: Final = 0.05
HISTORY_EVERY: Final = 4
REQUEST_COUNT: Final = 400
TROUBLE_AT: Final = 40
LIMIT_SECONDS: Final = 1.0
HISTORY_LIMIT_MS: Final = 5000
HISTORY_BYTES: Final = 300
WAIT_SECONDS: Final = 4.0
HISTORY_WAIT_SECONDS: Final = 6.0


async def _play(deployment: Deployment) -> bool:
    await deployment.start_backends('history', 2)
    await deployment.start_backends('seats', 3)
    async with _troubled_backend(deployment) as process:
        deployment.publish(
            1,
            [
                route(
                    '/history/',
                    'history',
                    Kind='unsafe',
                    TimeoutMs=HISTORY_LIMIT_MS,
                ),
                route('/seats/', 'seats'),
            ],
        )
        await deployment.start_instances(2)
        answers = await _ask_steadily(deployment, process)
    for answered in answers:
        deployment.note(
            f'{answered.attempt}: {answered.status} after'
            f' {answered.took_seconds:.3f} s'
        )
    verdict = judge(answers, LIMIT_SECONDS)
    deployment.note(f'requests to the sound service: {verdict}')
    return verdict.has_held


@asynccontextmanager
async def _troubled_backend(
    deployment: Deployment,
) -> AsyncIterator[asyncio.subprocess.Process]:
    backend = Backend('i-history-9', 'history', 'zone-a')
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        PROGRAM,
        backend.identifier,
        backend.service,
        str(CHUNK_BYTES),
        cwd=REPOSITORY,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        backend.port = await _read_port(process)
        backend.register(deployment.store)
        yield process
    finally:
        process.kill()
        await process.wait()


async def _read_port(process: asyncio.subprocess.Process) -> int:
    assert process.stdout is not None
    return int(await process.stdout.readline())


async def _ask_steadily(
    deployment: Deployment, process: asyncio.subprocess.Process
) -> list[Answered]:
    port = deployment.instances[0].ports['front']
    asked = []
    histories = []
    for number in range(REQUEST_COUNT):
        if number == TROUBLE_AT and deployment.has_trouble:
            process.send_signal(signal.SIGUSR1)
            deployment.note('the backend i-history-9 gets into trouble')
        seat = Request('GET', f'/seats/{number}', _headers('seat', number))
        asked.append(asyncio.create_task(ask(port, seat, WAIT_SECONDS)))
        if number % HISTORY_EVERY == 0:
            history = Request(
                'POST',
                f'/history/{number}',
                _headers('history', number),
                bytes(HISTORY_BYTES),
            )
            histories.append(
                asyncio.create_task(ask(port, history, HISTORY_WAIT_SECONDS))
            )
        await asyncio.sleep(INTERVAL_SECONDS)
    await asyncio.gather(*histories)
    return await asyncio.gather(*asked)


def _headers(kind: str, number: int) -> dict[str, str]:
    return {
        'host': HOST,
        'x-attempt-id': f'{kind}-{number}',
        'x-deadline-remaining': str(HISTORY_LIMIT_MS),
    }


if __name__ == '__main__':
    main(_play)
