"""Backends run bookings and then answer some of them with 503."""

import asyncio
from pathlib import Path
from typing import Final

from review.support_2.backend import Reply
from review.support_2.messages import Message, encode
from review.support_2.world import HOST, World, make_route, run_case

SERVICE: Final = 'tally-book'
BACKEND_COUNT: Final = 7
REQUEST_COUNT: Final = 120
GAP_SECONDS: Final = 0.05
# One backend in seven fails four in ten of its requests.
FAILED_TENTHS: Final = 4
TENTHS: Final = 10
UNAVAILABLE: Final = 503
# These statuses promise that a request has not run and never will.
PROMISES: Final = frozenset((408, 421, 429, 503))


class FailingBackend:
    """Behaviour of a backend that fails part of its requests.

    :param count: Requests so far.
    """

    def __init__(self) -> None:
        self.count = 0

    def choose(self, _request: Message) -> Reply:
        """Choose how the next request is answered."""
        self.count += 1
        is_failed = self.count % TENTHS < FAILED_TENTHS
        return Reply(UNAVAILABLE) if is_failed else Reply()


async def play(world: World) -> list[str]:
    """Send bookings, and compare what was answered with what was run."""
    await world.start({SERVICE: BACKEND_COUNT}, instance_count=1)
    await world.start_instances([make_route('book', SERVICE, Kind='unsafe')])
    if world.has_trouble:
        world.backends[0].behaviour = FailingBackend().choose
    for number in range(REQUEST_COUNT):
        await _book(world, f'booking-{number}')
        await asyncio.sleep(GAP_SECONDS)
    return _judge(world)


async def _book(world: World, attempt: str) -> None:
    headers = {
        'Host': HOST,
        'X-Attempt-Id': attempt,
        'X-Deadline-Remaining': '6000',
    }
    request = encode('POST /book/drum HTTP/1.1', headers, attempt.encode())
    world.record.add('sent', attempt)
    answer = await world.exchange(world.instances[0], request)
    world.record.add('answered', attempt, answer.status, answer.head)


def _judge(world: World) -> list[str]:
    events = world.record.events
    run = {event.details[0] for event in events if event.kind == 'runs'}
    answers = [event.details for event in events if event.kind == 'answered']
    return [
        f'{attempt} was answered {status} and has run'
        for attempt, status, _ in answers
        if status in PROMISES and attempt in run
    ]


if __name__ == '__main__':
    run_case(play, Path(__file__).parent)
