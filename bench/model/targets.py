"""Simulated targets with slots, queues, pauses, work times and faults."""

import math
import random
from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple, TypeAlias

from bench.model.clock import Clock
from celeryturn.decisions.request.replies import AttemptOutcome, TargetReply
from celeryturn.decisions.targets.replicas import Load

ReplyCallback: TypeAlias = Callable[[TargetReply], None]

SAME_ZONE_SECONDS: Final = 0.0001
OTHER_ZONE_SECONDS: Final = 0.0009
CONNECT_SECONDS: Final = 0.006


class FaultPeriod(NamedTuple):
    """A period in which a target has a fault.

    :param kind: ``slow`` (work takes longer), ``dark`` (no response),
        ``refused`` (not accepted), ``shed`` (load shedding) or ``lose``
        (reply lost after the work).
    :param start_seconds: Start of the period.
    :param end_seconds: End of the period, exclusive.
    :param factor: For ``slow``, the factor on the work time; for ``shed`` and
        ``lose``, the fraction of requests affected; otherwise unused.
    """

    kind: str
    start_seconds: float
    end_seconds: float
    factor: float = 1.0


class TargetParameters(NamedTuple):
    """Parameters that all targets share.

    :param slot_count: Maximum number of requests processed at once.
    :param max_queue_count: Maximum number of further requests in the queue.
    :param pause_seconds: Length of a pause, in which no work is done.
    :param pause_interval_seconds: Time from the start of one pause to the next.
    """

    slot_count: int = 5
    max_queue_count: int = 30
    pause_seconds: float = 0.25
    pause_interval_seconds: float = 6.0


class Job:
    """One attempt of a request at a target.

    :param request_number: Number of the request.
    :param work_seconds: Processing time on a healthy target.
    :param reply: Called with the reply, unless the job was cancelled.
    :param is_sent: Whether it was sent to the target; it waits for a
        connection before.
    :param is_cancelled: Whether the instance no longer waits for the reply.
    """

    __slots__ = (
        'is_cancelled',
        'is_sent',
        'reply',
        'request_number',
        'work_seconds',
    )

    def __init__(
        self, request_number: int, work_seconds: float, reply: ReplyCallback
    ) -> None:
        self.request_number = request_number
        self.work_seconds = work_seconds
        self.reply = reply
        self.is_sent = False
        self.is_cancelled = False


class ModelTarget:
    """One simulated target.

    :param name: Identifier of the target.
    :param zone: Availability zone of the target.
    :param work_time_factor: Factor on the work time of each job; 1 is typical.
    :param fault_periods: Periods in which the target has a fault.
    :param drain_start_seconds: Time at which the target starts to drain.
    :param runs: Number and start time of each request that it started.
    """

    def __init__(
        self,
        clock: Clock,
        target_parameters: TargetParameters,
        name: str,
        zone: str,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.zone = zone
        self.work_time_factor = 1.0
        self.fault_periods: list[FaultPeriod] = []
        self.drain_start_seconds = math.inf
        self.runs: list[tuple[int, float]] = []
        self._clock = clock
        self._target_parameters = target_parameters
        self._rng = rng
        self._pause_phase_seconds = (
            rng.random() * target_parameters.pause_interval_seconds
        )
        self._running_count = 0
        self._queue: deque[Job] = deque()

    def receive(self, job: Job) -> None:
        """Receive a job: start, queue, reject or ignore it.

        :param job: The job.
        """
        if self._find_fault('dark'):
            return
        if self._find_fault('refused'):
            job.reply(TargetReply(AttemptOutcome.NOT_SENT))
        elif self._is_full() or self._is_affected('shed'):
            job.reply(TargetReply(AttemptOutcome.SHED, load=self._get_load()))
        elif self._running_count < self._target_parameters.slot_count:
            self._start(job)
        else:
            self._queue.append(job)

    def _start(self, job: Job) -> None:
        self._running_count += 1
        now_seconds = self._clock.now_seconds
        self.runs.append((job.request_number, now_seconds))
        slow_period = self._find_fault('slow')
        factor = slow_period.factor if slow_period else 1.0
        work_seconds = job.work_seconds * self.work_time_factor * factor
        end_seconds = self._compute_end_seconds(now_seconds, work_seconds)
        self._clock.call_at(end_seconds, lambda: self._complete(job))

    def _complete(self, job: Job) -> None:
        self._running_count -= 1
        while (
            self._queue
            and self._running_count < self._target_parameters.slot_count
        ):
            next_job = self._queue.popleft()
            if not next_job.is_cancelled:
                self._start(next_job)
        if job.is_cancelled or self._find_fault('dark'):
            return
        attempt_outcome = (
            AttemptOutcome.LOST
            if self._is_affected('lose')
            else AttemptOutcome.SUCCEEDED
        )
        job.reply(
            TargetReply(attempt_outcome, self.name, load=self._get_load())
        )

    def _compute_end_seconds(
        self, start_seconds: float, work_seconds: float
    ) -> float:
        # Work is stalled during pauses.
        target_parameters = self._target_parameters
        if not target_parameters.pause_seconds:
            return start_seconds + work_seconds
        at_seconds = start_seconds
        remaining_seconds = work_seconds
        while True:
            position_seconds = (at_seconds + self._pause_phase_seconds) % (
                target_parameters.pause_interval_seconds
            )
            until_pause_seconds = (
                target_parameters.pause_interval_seconds
                - target_parameters.pause_seconds
                - position_seconds
            )
            if until_pause_seconds >= remaining_seconds:
                return at_seconds + remaining_seconds
            remaining_seconds -= max(0.0, until_pause_seconds)
            at_seconds += (
                target_parameters.pause_interval_seconds - position_seconds
            )

    def _get_load(self) -> Load:
        return Load(
            self._running_count,
            len(self._queue),
            self._target_parameters.slot_count,
        )

    def _is_full(self) -> bool:
        return len(self._queue) >= self._target_parameters.max_queue_count

    def _is_affected(self, kind: str) -> bool:
        period = self._find_fault(kind)
        return period is not None and self._rng.random() < period.factor

    def _find_fault(self, kind: str) -> FaultPeriod | None:
        now_seconds = self._clock.now_seconds
        for period in self.fault_periods:
            is_active = period.start_seconds <= now_seconds < period.end_seconds
            if period.kind == kind and is_active:
                return period
        return None


def network_delay_seconds(from_zone: str, to_zone: str) -> float:
    """Compute the one-way network delay of a message.

    :param from_zone: Availability zone of the sender.
    :param to_zone: Availability zone of the receiver.
    :returns: Delay in seconds.
    """
    return SAME_ZONE_SECONDS if from_zone == to_zone else OTHER_ZONE_SECONDS
