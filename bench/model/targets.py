"""Modelled targets: slots, queues, pauses, speeds, and spells of trouble."""

import math
import random
from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple, TypeAlias

from bench.model.events import Clock
from celeryturn.decisions.replicas import Load
from celeryturn.decisions.replies import AttemptOutcome, TargetReply

Reply: TypeAlias = Callable[[TargetReply], None]

SAME_ZONE_SECONDS: Final = 0.0001
OTHER_ZONE_SECONDS: Final = 0.0009
CONNECT_SECONDS: Final = 0.006


class Spell(NamedTuple):
    """A time in which a target is in trouble.

    :param kind: ``slow``, ``dark``, ``refused``, ``shed`` or ``lose``.
    :param start_seconds: When it begins.
    :param end_seconds: When it is over.
    :param factor: Times as slow, or the share of requests that is hit.
    """

    kind: str
    start_seconds: float
    end_seconds: float
    factor: float = 1.0


class TargetShape(NamedTuple):
    """What targets of a service have in common.

    :param slot_count: Requests worked on at once.
    :param queue_count: Requests that wait beside them.
    :param pause_seconds: Length of a pause.
    :param pause_every_seconds: Time from one pause to the next.
    """

    slot_count: int = 5
    queue_count: int = 30
    pause_seconds: float = 0.25
    pause_every_seconds: float = 6.0


class Job:
    """One request at a target.

    :param request: Identifier of the request.
    :param work_seconds: Time that it takes on a sound target.
    :param reply: Gets the reply, unless the job was dropped.
    :param is_dropped: Whether nobody waits for it any more.
    """

    __slots__ = ('is_dropped', 'reply', 'request', 'work_seconds')

    def __init__(self, request: int, work_seconds: float, reply: Reply) -> None:
        self.request = request
        self.work_seconds = work_seconds
        self.reply = reply
        self.is_dropped = False


class ModelTarget:
    """One target.

    :param name: Its identifier.
    :param zone: Its availability zone.
    :param speed: Times as long as the usual target.
    :param spells: Its times of trouble.
    :param draining_seconds: When it says that it leaves.
    :param runs: Requests that it began to work on, with the time.
    """

    def __init__(
        self,
        clock: Clock,
        shape: TargetShape,
        name: str,
        zone: str,
        chance: random.Random,
    ) -> None:
        self.name = name
        self.zone = zone
        self.speed = 1.0
        self.spells: list[Spell] = []
        self.draining_seconds = math.inf
        self.runs: list[tuple[int, float]] = []
        self._clock = clock
        self._shape = shape
        self._chance = chance
        self._phase_seconds = chance.random() * shape.pause_every_seconds
        self._running = 0
        self._queue: deque[Job] = deque()

    def offer(self, job: Job) -> None:
        """Take a request in.

        :param job: The request.
        """
        if self._in_spell('dark'):
            return
        if self._in_spell('refused'):
            job.reply(TargetReply(AttemptOutcome.NOT_SENT))
        elif self._is_full() or self._is_hit('shed'):
            job.reply(TargetReply(AttemptOutcome.SHED, load=self._load()))
        elif self._running < self._shape.slot_count:
            self._start(job)
        else:
            self._queue.append(job)

    def _start(self, job: Job) -> None:
        self._running += 1
        now_seconds = self._clock.now_seconds
        self.runs.append((job.request, now_seconds))
        slow = self._in_spell('slow')
        factor = slow.factor if slow else 1.0
        work_seconds = job.work_seconds * self.speed * factor
        end_seconds = self._end_seconds(now_seconds, work_seconds)
        self._clock.at(end_seconds, lambda: self._end(job))

    def _end(self, job: Job) -> None:
        self._running -= 1
        while self._queue and self._running < self._shape.slot_count:
            waiting = self._queue.popleft()
            if not waiting.is_dropped:
                self._start(waiting)
        if job.is_dropped or self._in_spell('dark'):
            return
        verdict = (
            AttemptOutcome.LOST
            if self._is_hit('lose')
            else AttemptOutcome.SUCCEEDED
        )
        job.reply(TargetReply(verdict, self.name, load=self._load()))

    def _end_seconds(self, start_seconds: float, work_seconds: float) -> float:
        # Work stands still during pauses.
        shape = self._shape
        if not shape.pause_seconds:
            return start_seconds + work_seconds
        at_seconds = start_seconds
        left_seconds = work_seconds
        while True:
            into = (at_seconds + self._phase_seconds) % (
                shape.pause_every_seconds
            )
            until_pause = shape.pause_every_seconds - shape.pause_seconds - into
            if until_pause >= left_seconds:
                return at_seconds + left_seconds
            left_seconds -= max(0.0, until_pause)
            at_seconds += shape.pause_every_seconds - into

    def _load(self) -> Load:
        return Load(self._running, len(self._queue), self._shape.slot_count)

    def _is_full(self) -> bool:
        return len(self._queue) >= self._shape.queue_count

    def _is_hit(self, kind: str) -> bool:
        spell = self._in_spell(kind)
        return spell is not None and self._chance.random() < spell.factor

    def _in_spell(self, kind: str) -> Spell | None:
        now_seconds = self._clock.now_seconds
        for spell in self.spells:
            is_now = spell.start_seconds <= now_seconds < spell.end_seconds
            if spell.kind == kind and is_now:
                return spell
        return None


def trip_seconds(zone: str, other: str) -> float:
    """Work out how long a message takes one way.

    :param zone: Where it leaves.
    :param other: Where it arrives.
    :returns: Seconds.
    """
    return SAME_ZONE_SECONDS if zone == other else OTHER_ZONE_SECONDS
