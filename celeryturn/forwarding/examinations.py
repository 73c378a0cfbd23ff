"""Targets that are examined, since replies of theirs were lost."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from celeryturn.decisions.request.lost_replies import (
    LostReply,
    UnresolvedTable,
)
from celeryturn.decisions.targets.departures import TargetIncarnation
from celeryturn.decisions.targets.replicas import Replica


class Examination(NamedTuple):
    """A target, until it is known whether it has ended.

    :param replica: The target.
    :param replies: The replies of it that were lost.
    :param callbacks: Called when it is known, or when it cannot be.
    """

    replica: Replica
    replies: list[LostReply]
    callbacks: list[Callable[[], None]]


class Examinations:
    """Targets that are examined.

    :param running: Examinations by start of the target.
    :param queue: Examinations that have not begun.
    :param unresolved: Ends of targets of which connections show nothing.
    """

    __slots__ = ('queue', 'running', 'unresolved')

    def __init__(self) -> None:
        self.running: dict[TargetIncarnation, Examination] = {}
        self.queue: asyncio.Queue[Examination] = asyncio.Queue()
        self.unresolved: UnresolvedTable = {}
