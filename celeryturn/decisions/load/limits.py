"""Admission of sub-requests to one target.

A concurrency limit bounds the sub-requests in flight to this instance's share
of the target's connections.  Urgent and sweep sub-requests wait in separate
queues.
"""

import enum
from collections import deque
from typing import Final, NamedTuple

from celeryturn.decisions.targets.latency_estimate import (
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
    """Urgency classes of sub-requests.

    Searches are ``SWEEP``, and all other requests are ``URGENT``.  Sweep
    sub-requests never starve urgent ones.
    """

    URGENT = 0
    SWEEP = 1


class QueuedRequest(NamedTuple):
    """A sub-request that waits for admission.

    :param ticket: Identifies the sub-request to the code that offered it.
    :param deadline_seconds: Time after which a reply is no longer useful.
    """

    ticket: int
    deadline_seconds: float


class AdmissionResult(enum.Enum):
    """Result of offering a sub-request for admission."""

    SEND = 'send'
    WAIT = 'wait'
    REFUSE = 'refuse'


class Gate:
    """Admission state of one target.

    :param share: Maximum number of connections that this instance may hold to
        the target.
    :param limit: Adaptive concurrency limit, at most the share.
    :param in_flight: Sub-requests that are admitted and not yet finished.
    :param latency: Latency estimate of the target, used to adapt the limit.
    :param urgent_since_sweep_count: Urgent sub-requests dequeued since the
        last sweep sub-request.
    :param urgent_queue: Waiting urgent sub-requests, oldest first.
    :param sweep_queue: Waiting sweep sub-requests, oldest first.
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
    """Return this instance's equal share of a target's connections.

    :param connections: Maximum number of connections that the target accepts,
        summed over all instances.
    :param live_count: Largest recent count of live instances.
    :returns: Number of connections, at least one.
    """
    return max(1, connections // max(1, live_count))


def set_share(gate: Gate, share: int) -> None:
    """Apply a new share and lower the limit to it if necessary.

    :param gate: Admission state of the target.
    :param share: Maximum number of connections that this instance may hold.
    """
    if share != gate.share:
        gate.share = share
        gate.limit = min(gate.limit, float(share))


def offer(
    gate: Gate, urgency: Urgency, queued_request: QueuedRequest
) -> AdmissionResult:
    """Admit, queue or refuse a sub-request.

    :param gate: Admission state of the target.
    :param urgency: Urgency class of the sub-request.
    :param queued_request: Entry to append if the sub-request has to wait.
    :returns: The result; a refused sub-request has not been sent.
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
    """Remove a waiting sub-request from its queue.

    :param gate: Admission state of the target.
    :param ticket: Ticket of the sub-request.
    :returns: Whether the sub-request was still waiting.
    """
    for queue in (gate.urgent_queue, gate.sweep_queue):
        for queued_request in queue:
            if queued_request.ticket == ticket:
                queue.remove(queued_request)
                return True
    return False


def release(gate: Gate, now_seconds: float) -> list[QueuedRequest]:
    """Finish one admitted sub-request and admit waiting ones.

    Waiting sub-requests that can no longer get a reply by their deadline are
    dropped, because they would take a slot from one that can.

    :param gate: Admission state of the target.
    :param now_seconds: Time at which the sub-request ended.
    :returns: Sub-requests to send now.  Urgent ones come first, but one
        sweep sub-request follows every ``MAX_URGENT_PER_SWEEP`` urgent ones.
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
    """Lower the limit after the target shed load.

    :param gate: Admission state of the target.
    """
    gate.limit = max(MIN_LIMIT, gate.limit * SHED_BACKOFF_FACTOR)


def on_reply(gate: Gate, latency_seconds: float, now_seconds: float) -> None:
    """Adapt the limit to the latency of the target.

    A target whose replies take much longer than its recent minimum is
    queueing.  More sub-requests in flight would only wait in the queue of the
    target, which does not distinguish urgency classes.

    :param gate: Admission state of the target.
    :param latency_seconds: Time from sending the request until the reply is
        complete.
    :param now_seconds: Time of the reply.
    """
    observe_latency(gate.latency, latency_seconds, now_seconds)
    if is_queueing(gate.latency):
        gate.limit = max(MIN_LIMIT, gate.limit * QUEUEING_BACKOFF_FACTOR)
    else:
        gate.limit = min(float(gate.share), gate.limit + 1 / gate.limit)


def expected_reply_seconds(gate: Gate, urgency: Urgency) -> float:
    """Estimate the time to a reply for a new sub-request, including queueing.

    :param gate: Admission state of the target.
    :param urgency: Urgency class of the sub-request.
    :returns: Seconds until the reply.
    """
    ahead_count = len(gate.urgent_queue)
    if urgency is Urgency.SWEEP:
        ahead_count += len(gate.sweep_queue)
    if not _has_capacity(gate, urgency):
        ahead_count += 1
    return gate.latency.latency_seconds * (1 + ahead_count / gate.limit)


def waiting_count(gate: Gate) -> int:
    """Return the number of waiting sub-requests.

    :param gate: Admission state of the target.
    :returns: Waiting sub-requests of both classes.
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
        # One place is reserved for urgent sub-requests, so that sweep
        # sub-requests cannot use the whole limit.
        whole_limit -= 1
    return gate.in_flight < whole_limit
