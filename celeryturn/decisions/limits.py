"""Admission to one target: a share of its connections, kinds kept apart."""

import enum
from collections import deque
from typing import Final, NamedTuple

from celeryturn.decisions.pace import Pace, is_queueing, observe_pace

LEAST_LIMIT: Final = 1.0
SHED_FACTOR: Final = 0.7
QUEUEING_FACTOR: Final = 0.85
URGENT_TURNS: Final = 1
MOST_WAITING: Final = 256


class Urgency(enum.IntEnum):
    """Classes of sub-requests; a sweep never starves an urgent one."""

    URGENT = 0
    SWEEP = 1


class Waiting(NamedTuple):
    """A sub-request held back.

    :param ticket: Identifies it to whoever offered it.
    :param deadline_seconds: After this time it is of no use.
    """

    ticket: int
    deadline_seconds: float


class Verdict(enum.Enum):
    """What becomes of an offered sub-request."""

    SEND = 'send'
    WAIT = 'wait'
    REFUSE = 'refuse'


class Gate:
    """The admission state of one target.

    :param share: Most connections this instance may hold to it.
    :param limit: Adapted concurrency, at most the share.
    :param in_flight: Sub-requests admitted and not ended.
    :param pace: How fast the target replies, by which the limit is adapted.
    :param urgent_turns: Urgent ones sent since a sweep had its turn.
    :param urgent: Urgent sub-requests held back, oldest first.
    :param sweeps: Sweep sub-requests held back, oldest first.
    """

    __slots__ = (
        'in_flight',
        'limit',
        'pace',
        'share',
        'sweeps',
        'urgent',
        'urgent_turns',
    )

    def __init__(self, share: int) -> None:
        self.share = share
        self.limit = float(share)
        self.in_flight = 0
        self.pace = Pace()
        self.urgent_turns = 0
        self.urgent: deque[Waiting] = deque()
        self.sweeps: deque[Waiting] = deque()


def share_of(connections: int, live_count: int) -> int:
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


def offer(gate: Gate, urgency: Urgency, waiting: Waiting) -> Verdict:
    """Admit a sub-request, hold it back or refuse it.

    :param gate: The target's gate.
    :param urgency: Its class.
    :param waiting: What to remember when it is held back.
    :returns: What becomes of it; when refused it has not been sent.
    """
    if _has_room(gate, urgency):
        gate.in_flight += 1
        return Verdict.SEND
    line = _line(gate, urgency)
    if len(line) >= MOST_WAITING:
        return Verdict.REFUSE
    line.append(waiting)
    return Verdict.WAIT


def withdraw(gate: Gate, ticket: int) -> bool:
    """Take back a sub-request that was held back.

    :param gate: The target's gate.
    :param ticket: Which.
    :returns: Whether it was still waiting.
    """
    for line in (gate.urgent, gate.sweeps):
        for waiting in line:
            if waiting.ticket == ticket:
                line.remove(waiting)
                return True
    return False


def release(gate: Gate, now_seconds: float) -> list[Waiting]:
    """End one admitted sub-request and admit those that follow.

    What could not be replied to by its deadline any more is left out: it
    would take a slot from one that can.

    :param gate: The target's gate.
    :param now_seconds: Time of the end.
    :returns: Sub-requests to send now, urgent ones first, but a sweep's one
        after every few of them.
    """
    gate.in_flight = max(0, gate.in_flight - 1)
    admitted: list[Waiting] = []
    waiting = _next_waiting(gate, now_seconds)
    while waiting is not None:
        gate.in_flight += 1
        admitted.append(waiting)
        waiting = _next_waiting(gate, now_seconds)
    return admitted


def on_shed(gate: Gate) -> None:
    """Lower the limit: the target shed load.

    :param gate: The target's gate.
    """
    gate.limit = max(LEAST_LIMIT, gate.limit * SHED_FACTOR)


def on_reply(gate: Gate, latency_seconds: float, now_seconds: float) -> None:
    """Adapt the limit to how fast the target replies.

    A target whose replies take much longer than they did is queueing: more
    in flight would only wait there, where kinds are not told apart.

    :param gate: The target's gate.
    :param latency_seconds: From send to whole reply.
    :param now_seconds: Time of the reply.
    """
    observe_pace(gate.pace, latency_seconds, now_seconds)
    if is_queueing(gate.pace):
        gate.limit = max(LEAST_LIMIT, gate.limit * QUEUEING_FACTOR)
    else:
        gate.limit = min(float(gate.share), gate.limit + 1 / gate.limit)


def expected_wait_seconds(gate: Gate, urgency: Urgency) -> float:
    """Estimate how long a new sub-request would take, waiting included.

    :param gate: The target's gate.
    :param urgency: Its class.
    :returns: Seconds until its reply.
    """
    ahead = len(gate.urgent)
    if urgency is Urgency.SWEEP:
        ahead += len(gate.sweeps)
    if not _has_room(gate, urgency):
        ahead += 1
    return gate.pace.latency_seconds * (1 + ahead / gate.limit)


def waiting_count(gate: Gate) -> int:
    """Count what is held back.

    :param gate: The target's gate.
    :returns: Sub-requests of both classes.
    """
    return len(gate.urgent) + len(gate.sweeps)


def _next_waiting(gate: Gate, now_seconds: float) -> Waiting | None:
    useful_seconds = now_seconds + gate.pace.base_seconds
    for urgency in _turns(gate):
        line = _line(gate, urgency)
        while line and _has_room(gate, urgency):
            waiting = line.popleft()
            if waiting.deadline_seconds > useful_seconds:
                _count_turn(gate, urgency)
                return waiting
    return None


def _turns(gate: Gate) -> tuple[Urgency, ...]:
    if gate.urgent_turns >= URGENT_TURNS:
        return (Urgency.SWEEP, Urgency.URGENT)
    return (Urgency.URGENT, Urgency.SWEEP)


def _count_turn(gate: Gate, urgency: Urgency) -> None:
    is_urgent = urgency is Urgency.URGENT
    gate.urgent_turns = gate.urgent_turns + 1 if is_urgent else 0


def _line(gate: Gate, urgency: Urgency) -> deque[Waiting]:
    return gate.urgent if urgency is Urgency.URGENT else gate.sweeps


def _has_room(gate: Gate, urgency: Urgency) -> bool:
    whole_limit = int(gate.limit)
    if urgency is Urgency.SWEEP and whole_limit > 1:
        # One place stays free, so that a sweep cannot fill the target.
        whole_limit -= 1
    return gate.in_flight < whole_limit
