"""Admission to one target: a share of its connections, kinds kept apart."""

import enum
from collections import deque
from typing import Final, NamedTuple

LEAST_LIMIT: Final = 1.0
SHED_FACTOR: Final = 0.7
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
    :param urgent: Urgent sub-requests held back, oldest first.
    :param sweeps: Sweep sub-requests held back, oldest first.
    """

    __slots__ = ('in_flight', 'limit', 'share', 'sweeps', 'urgent')

    def __init__(self, share: int) -> None:
        self.share = share
        self.limit = float(share)
        self.in_flight = 0
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

    :param gate: The target's gate.
    :param now_seconds: Time of the end.
    :returns: Sub-requests to send now, urgent ones first.
    """
    gate.in_flight = max(0, gate.in_flight - 1)
    admitted = []
    for urgency in Urgency:
        line = _line(gate, urgency)
        while line and _has_room(gate, urgency):
            waiting = line.popleft()
            if waiting.deadline_seconds > now_seconds:
                gate.in_flight += 1
                admitted.append(waiting)
    return admitted


def on_shed(gate: Gate) -> None:
    """Lower the limit: the target shed load.

    :param gate: The target's gate.
    """
    gate.limit = max(LEAST_LIMIT, gate.limit * SHED_FACTOR)


def on_success(gate: Gate) -> None:
    """Raise the limit a little, up to the share.

    :param gate: The target's gate.
    """
    gate.limit = min(float(gate.share), gate.limit + 1 / gate.limit)


def waiting_count(gate: Gate) -> int:
    """Count what is held back.

    :param gate: The target's gate.
    :returns: Sub-requests of both classes.
    """
    return len(gate.urgent) + len(gate.sweeps)


def _line(gate: Gate, urgency: Urgency) -> deque[Waiting]:
    return gate.urgent if urgency is Urgency.URGENT else gate.sweeps


def _has_room(gate: Gate, urgency: Urgency) -> bool:
    whole_limit = int(gate.limit)
    if urgency is Urgency.SWEEP and whole_limit > 1:
        # One place stays free, so that a sweep cannot fill the target.
        whole_limit -= 1
    return gate.in_flight < whole_limit
