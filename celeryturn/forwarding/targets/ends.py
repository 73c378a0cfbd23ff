"""Find out whether targets whose replies were lost have ended."""

import asyncio
import enum
from collections.abc import Callable
from typing import Final

from celeryturn.decisions.request.lost_replies import (
    LostReply,
    describe_ends,
    has_restarted,
    keep_unresolved,
)
from celeryturn.decisions.targets.departures import (
    TargetIncarnation,
    is_leaving,
)
from celeryturn.decisions.targets.directory import serving_replicas
from celeryturn.decisions.targets.replicas import Replica
from celeryturn.events import TARGET_ENDED, log
from celeryturn.forwarding.operations.limited_log import may_log
from celeryturn.forwarding.request.suspect_requests import report_ends
from celeryturn.forwarding.shared_state import SharedState, now
from celeryturn.forwarding.targets.examinations import Examination, LinksCheck
from celeryturn.forwarding.targets.pool_access import (
    find_pool,
    keep_connection,
)
from celeryturn.forwarding.targets.pools import has_open_idle
from celeryturn.http.client import Connection

# All connections of a target that ends break off within this time.
SETTLE_SECONDS: Final = 0.002
PROBE_TIMEOUT_SECONDS: Final = 0.25
OTHER_TARGET_COUNT: Final = 3
# Many targets that end together are judged by one check.
LINKS_CHECK_SECONDS: Final = 0.05
MAX_LOGGED_FINGERPRINTS: Final = 8


class Finding(enum.Enum):
    """What connections show of a target."""

    RUNS = 'runs'
    ENDED = 'ended'
    UNKNOWN = 'unknown'


def examine(
    shared: SharedState,
    replica: Replica,
    lost: LostReply,
    on_known: Callable[[], None],
) -> None:
    """Find out whether a target has ended, since a reply of it was lost.

    If it has, all requests whose replies it owed are reported.

    :param shared: Shared state of the instance.
    :param replica: The target.
    :param lost: The lost reply.
    :param on_known: Called when it is known, or when it cannot be.
    """
    examinations = shared.route_states.examinations
    incarnation = _incarnation(replica)
    running = examinations.running.get(incarnation)
    if running is None:
        running = Examination(replica, [], [])
        examinations.running[incarnation] = running
        examinations.queue.put_nowait(running)
    running.replies.append(lost)
    running.callbacks.append(on_known)


async def examine_targets(shared: SharedState) -> None:
    """Examine targets until cancelled.

    :param shared: Shared state of the instance.
    """
    async with asyncio.TaskGroup() as group:
        while True:
            examination = await shared.route_states.examinations.queue.get()
            group.create_task(_examine(shared, examination))


async def _examine(shared: SharedState, examination: Examination) -> None:
    incarnation = _incarnation(examination.replica)
    try:
        finding = await _find_out(shared, examination.replica)
    finally:
        shared.route_states.examinations.running.pop(incarnation, None)
    ends = describe_ends(incarnation, examination.replies)
    if finding is Finding.ENDED:
        _log_end(shared, incarnation, examination)
        report_ends(shared, ends)
    elif finding is Finding.UNKNOWN:
        keep_unresolved(
            shared.route_states.examinations.unresolved, ends, now()
        )
    for callback in examination.callbacks:
        callback()


async def _find_out(shared: SharedState, replica: Replica) -> Finding:
    await asyncio.sleep(SETTLE_SECONDS)
    if _is_leaving(shared, replica):
        return Finding.RUNS
    if _has_restarted(shared, replica):
        return Finding.ENDED
    pool = find_pool(shared, replica)
    if pool is not None and has_open_idle(pool):
        return Finding.RUNS
    try:
        connection = await _connect(shared, replica)
    except ConnectionRefusedError:
        return await _judge_refusal(shared, replica)
    except OSError:
        return Finding.UNKNOWN
    keep_connection(shared, replica, connection)
    # The connection may lead to a later start that became known meanwhile.
    return Finding.ENDED if _has_restarted(shared, replica) else Finding.RUNS


def _is_leaving(shared: SharedState, replica: Replica) -> bool:
    # A target that leaves ends as planned, whatever it runs.
    known = shared.directory.departures
    return replica.entry.is_draining or is_leaving(known, _incarnation(replica))


def _has_restarted(shared: SharedState, replica: Replica) -> bool:
    return has_restarted(shared.directory, _incarnation(replica))


async def _judge_refusal(shared: SharedState, replica: Replica) -> Finding:
    # If no target can be reached, the links of this instance may be to blame.
    examinations = shared.route_states.examinations
    async with examinations.links_lock:
        age_seconds = now() - examinations.links_check.checked_seconds
        if age_seconds > LINKS_CHECK_SECONDS:
            is_reached = await _reaches_another(shared, replica)
            examinations.links_check = LinksCheck(now(), is_reached)
    is_reached = examinations.links_check.is_reached
    return Finding.ENDED if is_reached else Finding.UNKNOWN


async def _reaches_another(shared: SharedState, replica: Replica) -> bool:
    others = _choose_others(shared, replica)
    reached = await asyncio.gather(
        *(_accepts(shared, other) for other in others)
    )
    return any(reached)


def _choose_others(shared: SharedState, replica: Replica) -> list[Replica]:
    others = [
        other
        for service in shared.directory.replicas
        for other in serving_replicas(shared.directory, service)
        if other is not replica
    ]
    offset = int(shared.instance.random() * len(others))
    rotated = others[offset:] + others[:offset]
    # The one that was heard last is the most likely to accept.
    rotated.sort(key=lambda other: other.last_reply_seconds, reverse=True)
    return rotated[:OTHER_TARGET_COUNT]


async def _accepts(shared: SharedState, replica: Replica) -> bool:
    try:
        connection = await _connect(shared, replica)
    except OSError:
        return False
    keep_connection(shared, replica, connection)
    return True


async def _connect(shared: SharedState, replica: Replica) -> Connection:
    entry = replica.entry
    async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
        return await shared.target_connections.connect(
            entry.address, entry.port, PROBE_TIMEOUT_SECONDS
        )


def _incarnation(replica: Replica) -> TargetIncarnation:
    return TargetIncarnation(replica.entry.target, replica.entry.born_ms)


def _log_end(
    shared: SharedState,
    incarnation: TargetIncarnation,
    examination: Examination,
) -> None:
    if not may_log(shared, is_important=True):
        return
    fingerprints = {lost.fingerprint.hex() for lost in examination.replies}
    log(
        TARGET_ENDED,
        target=incarnation.target,
        born_ms=incarnation.born_ms,
        request_count=len(examination.replies),
        fingerprints=sorted(fingerprints)[:MAX_LOGGED_FINGERPRINTS],
    )
