"""Admission to one target: a share of its connections, kinds kept apart."""

import enum
from collections import deque
from typing import Final, NamedTuple

from celeryturn.decisions.latency_estimate import (
    LatencyEstimate,
    is_queueing,
    observe_latency,
)

MIN_LIMIT: Final = 1.0
SHED_BACKOFF_FACTOR: Final = 0.7
QUEUEING_BACKOFF_FACTOR: Final = 0.85
MAX_URGENT_PER_SWEEP: Final = 1
MAX_WAITING_COUNT: Final = 256


class Urgency(enum.IntEnum):
    """Classes of sub-requests; a sweep never starves an urgent one."""

    URGENT = 0
    SWEEP = 1


class QueuedRequest(NamedTuple):
    """A sub-request held back.

    :param ticket: Identifies it to whoever offered it.
    :param deadline_seconds: After this time it is of no use.
    """

    ticket: int
    deadline_seconds: float


class AdmissionResult(enum.Enum):
    """What becomes of an offered sub-request."""

    SEND = 'send'
    WAIT = 'wait'
    REFUSE = 'refuse'


class Gate:
    """The admission state of one target.

    :param share: Most connections this instance may hold to it.
    :param limit: Adapted concurrency, at most the share.
    :param in_flight: Sub-requests admitted and not ended.
    :param latency: How fast the target replies, by which the limit is adapted.
    :param urgent_since_sweep_count: Urgent ones sent since the last sweep.
    :param urgent_queue: Urgent sub-requests held back, oldest first.
    :param sweep_queue: Sweep sub-requests held back, oldest first.
    """

    __slots__ = (
        'in_flight',
        'latency',
        'limit',
        'share',
        'sweep_queue',
        'urgent_queue',
        'urgent_since_sweep_count',
    )

    def __init__(self, share: int) -> None:
        self.share = share
        self.limit = float(share)
        self.in_flight = 0
        self.latency = LatencyEstimate()
        self.urgent_since_sweep_count = 0
        self.urgent_queue: deque[QueuedRequest] = deque()
        self.sweep_queue: deque[QueuedRequest] = deque()


def equal_share(connections: int, live_count: int) -> int:
    """Work out this instance's share of a target's connections.

    :param connections: Connections the target accepts in all.
    :param live_count: Largest recent count of live instances.
    :returns: At least one.
    """
    return max(1, connections // max(1, live_count))


def set_share(gate: Gate, share: int) -> None:
    """Put a new share in force.

    :param gate: The target's gate.
    :param share: Most connections this instance may hold.
    """
    if share != gate.share:
        gate.share = share
        gate.limit = min(gate.limit, float(share))


def offer(
    gate: Gate, urgency: Urgency, queued_request: QueuedRequest
) -> AdmissionResult:
    """Admit a sub-request, hold it back or refuse it.

    :param gate: The target's gate.
    :param urgency: Its class.
    :param queued_request: What to remember when it is held back.
    :returns: What becomes of it; when refused it has not been sent.
    """
    if _has_capacity(gate, urgency):
        gate.in_flight += 1
        return AdmissionResult.SEND
    queue = _queue_of(gate, urgency)
    if len(queue) >= MAX_WAITING_COUNT:
        return AdmissionResult.REFUSE
    queue.append(queued_request)
    return AdmissionResult.WAIT


def withdraw(gate: Gate, ticket: int) -> bool:
    """Take back a sub-request that was held back.

    :param gate: The target's gate.
    :param ticket: Which.
    :returns: Whether it was still waiting.
    """
    for queue in (gate.urgent_queue, gate.sweep_queue):
        for queued_request in queue:
            if queued_request.ticket == ticket:
                queue.remove(queued_request)
                return True
    return False


def release(gate: Gate, now_seconds: float) -> list[QueuedRequest]:
    """End one admitted sub-request and admit those that follow.

    What could not be replied to by its deadline any more is left out: it
    would take a slot from one that can.

    :param gate: The target's gate.
    :param now_seconds: Time of the end.
    :returns: Sub-requests to send now, urgent ones first, but a sweep's one
        after every few of them.
    """
    gate.in_flight = max(0, gate.in_flight - 1)
    admitted: list[QueuedRequest] = []
    queued_request = _dequeue(gate, now_seconds)
    while queued_request is not None:
        gate.in_flight += 1
        admitted.append(queued_request)
        queued_request = _dequeue(gate, now_seconds)
    return admitted


def on_shed(gate: Gate) -> None:
    """Lower the limit: the target shed load.

    :param gate: The target's gate.
    """
    gate.limit = max(MIN_LIMIT, gate.limit * SHED_BACKOFF_FACTOR)


def on_reply(gate: Gate, latency_seconds: float, now_seconds: float) -> None:
    """Adapt the limit to how fast the target replies.

    A target whose replies take much longer than they did is queueing: more
    in flight would only wait there, where kinds are not told apart.

    :param gate: The target's gate.
    :param latency_seconds: From send to whole reply.
    :param now_seconds: Time of the reply.
    """
    observe_latency(gate.latency, latency_seconds, now_seconds)
    if is_queueing(gate.latency):
        gate.limit = max(MIN_LIMIT, gate.limit * QUEUEING_BACKOFF_FACTOR)
    else:
        gate.limit = min(float(gate.share), gate.limit + 1 / gate.limit)


def expected_reply_seconds(gate: Gate, urgency: Urgency) -> float:
    """Estimate how long a new sub-request would take, waiting included.

    :param gate: The target's gate.
    :param urgency: Its class.
    :returns: Seconds until its reply.
    """
    ahead_count = len(gate.urgent_queue)
    if urgency is Urgency.SWEEP:
        ahead_count += len(gate.sweep_queue)
    if not _has_capacity(gate, urgency):
        ahead_count += 1
    return gate.latency.latency_seconds * (1 + ahead_count / gate.limit)


def waiting_count(gate: Gate) -> int:
    """Count what is held back.

    :param gate: The target's gate.
    :returns: Sub-requests of both classes.
    """
    return len(gate.urgent_queue) + len(gate.sweep_queue)


def _dequeue(gate: Gate, now_seconds: float) -> QueuedRequest | None:
    earliest_reply_seconds = now_seconds + gate.latency.baseline_seconds
    for urgency in _dequeue_order(gate):
        queue = _queue_of(gate, urgency)
        while queue and _has_capacity(gate, urgency):
            queued_request = queue.popleft()
            if queued_request.deadline_seconds > earliest_reply_seconds:
                _record_dequeue(gate, urgency)
                return queued_request
    return None


def _dequeue_order(gate: Gate) -> tuple[Urgency, ...]:
    if gate.urgent_since_sweep_count >= MAX_URGENT_PER_SWEEP:
        return (Urgency.SWEEP, Urgency.URGENT)
    return (Urgency.URGENT, Urgency.SWEEP)


def _record_dequeue(gate: Gate, urgency: Urgency) -> None:
    is_urgent = urgency is Urgency.URGENT
    gate.urgent_since_sweep_count = (
        gate.urgent_since_sweep_count + 1 if is_urgent else 0
    )


def _queue_of(gate: Gate, urgency: Urgency) -> deque[QueuedRequest]:
    return gate.urgent_queue if urgency is Urgency.URGENT else gate.sweep_queue


def _has_capacity(gate: Gate, urgency: Urgency) -> bool:
    whole_limit = int(gate.limit)
    if urgency is Urgency.SWEEP and whole_limit > 1:
        # One place stays free, so that a sweep cannot fill the target.
        whole_limit -= 1
    return gate.in_flight < whole_limit
