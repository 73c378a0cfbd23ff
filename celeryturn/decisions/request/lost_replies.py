"""Lost replies, and whether the targets that owed them have ended.

A connection that breaks off before the reply may mean that the target has
ended, or only that the connection or the reply was lost.  Where no connection
shows which, the list of targets does later: it names another start of the
target, or the target no longer.
"""

from typing import Final, NamedTuple, TypeAlias

from celeryturn.decisions.bounded_table import put_latest
from celeryturn.decisions.request.fingerprint import Fingerprint
from celeryturn.decisions.request.legs import ShardedRequest
from celeryturn.decisions.request.quarantine import Mark, TargetEnd
from celeryturn.decisions.targets.departures import (
    TargetIncarnation,
    is_leaving,
)
from celeryturn.decisions.targets.directory import Directory, find_replica

MAX_UNRESOLVED: Final = 512
MAX_ENDS_PER_TARGET: Final = 64
UNRESOLVED_SECONDS: Final = 15.0


class LostReply(NamedTuple):
    """A reply that was lost.

    :param fingerprint: Fingerprint of the request.
    :param service: Service of the target.
    :param request: State of the request.
    :param leg_position: Index of the leg in the request.
    """

    fingerprint: Fingerprint
    service: str
    request: ShardedRequest
    leg_position: int


class Unresolved(NamedTuple):
    """Requests whose replies one start of a target owed.

    :param ends: What its end would say of them.
    :param lost_seconds: Time at which the replies were lost.
    """

    ends: tuple[TargetEnd, ...]
    lost_seconds: float


UnresolvedTable: TypeAlias = dict[TargetIncarnation, Unresolved]


def describe_ends(
    incarnation: TargetIncarnation, replies: list[LostReply]
) -> tuple[TargetEnd, ...]:
    """Describe what the end of a target says of the requests it was running.

    :param incarnation: Start of the target.
    :param replies: The replies that it owed.
    :returns: An end for each request, except for those that another target of
        the service has survived meanwhile.
    """
    return tuple(
        TargetEnd(
            lost.fingerprint,
            *incarnation,
            lost.service,
            Mark.NARROWED if lost.request.has_survived else Mark.SUSPECT,
            0.0,
        )
        for lost in replies
        if lost.request.legs[lost.leg_position].reply is None
    )


def keep_unresolved(
    table: UnresolvedTable, ends: tuple[TargetEnd, ...], now_seconds: float
) -> None:
    """Keep ends until the list of targets shows whether they are any.

    :param table: Unresolved ends by start of the target; the oldest are
        dropped beyond :data:`MAX_UNRESOLVED` targets, and beyond
        :data:`MAX_ENDS_PER_TARGET` ends of a target.
    :param ends: What the end of one target would say.
    :param now_seconds: Time at which the replies were lost.
    """
    if not ends:
        return
    incarnation = TargetIncarnation(ends[0].target, ends[0].born_ms)
    known = table.get(incarnation)
    if known is not None:
        ends = (*known.ends, *ends)
    unresolved = Unresolved(ends[-MAX_ENDS_PER_TARGET:], now_seconds)
    put_latest(table, incarnation, unresolved, MAX_UNRESOLVED)


def forget_survived(
    table: UnresolvedTable, fingerprint: Fingerprint, service: str
) -> None:
    """Forget the unresolved ends of a request that a target has survived.

    :param table: Unresolved ends by start of the target.
    :param fingerprint: Fingerprint of the request.
    :param service: Service of the target that survived it.
    """
    for incarnation, unresolved in tuple(table.items()):
        kept = tuple(
            end
            for end in unresolved.ends
            if (end.fingerprint, end.service) != (fingerprint, service)
        )
        table[incarnation] = unresolved._replace(ends=kept)


def take_resolved(
    table: UnresolvedTable, directory: Directory, now_seconds: float
) -> list[TargetEnd]:
    """Take the ends that the list of targets confirms; drop old ones.

    :param table: Unresolved ends by start of the target.
    :param directory: Known targets.
    :param now_seconds: Current time.
    :returns: Ends of targets that have ended.
    """
    resolved: list[TargetEnd] = []
    for incarnation, unresolved in tuple(table.items()):
        age_seconds = now_seconds - unresolved.lost_seconds
        if has_ended(directory, incarnation):
            resolved.extend(
                end._replace(age_seconds=age_seconds)
                for end in table.pop(incarnation).ends
            )
        elif age_seconds > UNRESOLVED_SECONDS:
            table.pop(incarnation)
    return resolved


def has_ended(directory: Directory, incarnation: TargetIncarnation) -> bool:
    """Return whether the list of targets shows that a target has ended.

    :param directory: Known targets.
    :param incarnation: Start of the target.
    :returns: Whether it has started again since, or is no longer listed without
        having announced its departure.
    """
    if find_replica(directory, incarnation.target) is None:
        return not is_leaving(directory.departures, incarnation)
    return has_restarted(directory, incarnation)


def has_restarted(directory: Directory, incarnation: TargetIncarnation) -> bool:
    """Return whether the list of targets shows a later start of a target.

    :param directory: Known targets.
    :param incarnation: Start of the target.
    :returns: Whether it has started again since.
    """
    replica = find_replica(directory, incarnation.target)
    return replica is not None and replica.entry.born_ms > incarnation.born_ms
