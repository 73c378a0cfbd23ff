"""Targets that are examined, since replies of theirs were lost."""

import asyncio
import math
from collections.abc import Callable
from typing import NamedTuple

from celeryturn.decisions.request.lost_replies import (
    LostReply,
    UnresolvedTable,
)
from celeryturn.decisions.targets.departures import TargetIncarnation
from celeryturn.decisions.targets.replicas import Replica


class LinksCheck(NamedTuple):
    """Whether another target was reached while one refused a connection.

    :param checked_seconds: Time at which this was found out.
    :param is_reached: Whether one accepted a connection.
    """

    checked_seconds: float
    is_reached: bool


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
    :param links_lock: Held while it is found out whether any other target can
        be reached.
    :param links_check: What was found last.
    """

    __slots__ = (
        'links_check',
        'links_lock',
        'queue',
        'running',
        'unresolved',
    )

    def __init__(self) -> None:
        self.running: dict[TargetIncarnation, Examination] = {}
        self.queue: asyncio.Queue[Examination] = asyncio.Queue()
        self.unresolved: UnresolvedTable = {}
        self.links_lock = asyncio.Lock()
        self.links_check = LinksCheck(-math.inf, is_reached=False)
