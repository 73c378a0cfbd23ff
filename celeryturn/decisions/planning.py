"""Plan a query once, at admission: configuration, index version, snapshot."""

import enum
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from celeryturn.decisions.document import (
    Index,
    ServiceDocument,
    serving_index,
    shard_of,
)
from celeryturn.decisions.limits import Urgency
from celeryturn.decisions.views import (
    TargetView,
    knows_snapshots,
    may_get_work,
)
from celeryturn.errors import CeleryturnError, Kind


class QueryKind(enum.StrEnum):
    """The read requests that callers make."""

    SEARCH = 'search'
    QUICKCHECK = 'quickcheck'
    RECORD = 'record'


class QueryRequest(NamedTuple):
    """What a caller asks.

    :param kind: Which read request.
    :param service: Name of the service.
    :param key: Record key, or site of a quick-check; empty for all shards.
    :param text: Text that records must contain.
    :param shards: Shards to read; empty for all that the key needs.
    :param limit_count: Most records wanted.
    :param deadline_seconds: Longest wait the caller accepts, relative.
    """

    kind: QueryKind
    service: str
    key: str
    text: str
    shards: tuple[str, ...]
    limit_count: int
    deadline_seconds: float


class SnapshotChoice(NamedTuple):
    """The snapshot a new query reads.

    :param snapshot: Its number.
    :param is_guess: Whether nothing recent is known of what targets hold.
    """

    snapshot: int
    is_guess: bool


class QueryPlan(NamedTuple):
    """What every sub-request of a query carries, pinned at admission.

    :param request: What the caller asked.
    :param urgency: Class at the targets' gates.
    :param configuration_version: Version of the service's document.
    :param pinned_index: Index version with its partition map.
    :param snapshot: The one snapshot that is read.
    :param is_guess: Whether one target is to be asked for it first.
    :param shards: Names of the shards that the answer needs.
    :param priority: What the service weighs most.
    :param enough_coverage: Share of shards from which it may stop early.
    :param extra_load_share: Hedges and retries as a share of needed load.
    :param started_seconds: Time of admission.
    :param deadline_seconds: Time at which the answer is due.
    """

    request: QueryRequest
    urgency: Urgency
    configuration_version: int
    pinned_index: Index
    snapshot: int
    is_guess: bool
    shards: tuple[str, ...]
    priority: str
    enough_coverage: float
    extra_load_share: float
    started_seconds: float
    deadline_seconds: float


def plan_query(
    document: ServiceDocument,
    request: QueryRequest,
    choice: SnapshotChoice,
    now_seconds: float,
) -> QueryPlan:
    """Pin everything that an answer depends on.

    :param document: The service's configuration in force.
    :param request: What the caller asked.
    :param choice: The snapshot to read.
    :param now_seconds: Time of admission.
    :returns: The plan.
    :raises CeleryturnError: ``unknown_shard``.
    """
    index = serving_index(document)
    allowed_seconds = min(request.deadline_seconds, document.deadline_seconds)
    urgency = Urgency.SWEEP
    if request.kind is not QueryKind.SEARCH:
        urgency = Urgency.URGENT
    return QueryPlan(
        request=request,
        urgency=urgency,
        configuration_version=document.version,
        pinned_index=index,
        snapshot=choice.snapshot,
        is_guess=choice.is_guess,
        shards=_required_shards(index, request),
        priority=document.priority,
        enough_coverage=document.enough_coverage,
        extra_load_share=document.extra_load_share,
        started_seconds=now_seconds,
        deadline_seconds=now_seconds + allowed_seconds,
    )


def _required_shards(index: Index, request: QueryRequest) -> tuple[str, ...]:
    if request.key:
        return (shard_of(index, request.key),)
    unknown = [name for name in request.shards if name not in index.shards]
    if unknown:
        raise CeleryturnError(
            Kind.UNKNOWN_SHARD,
            f'index {index.version} has no shard {", ".join(unknown)}',
        )
    return tuple(dict.fromkeys(request.shards)) or tuple(index.shards)


def choose_snapshot(
    index: Index, views: Mapping[str, TargetView], now_seconds: float
) -> SnapshotChoice:
    """Choose the newest snapshot that every shard is known to hold.

    Shards of which nothing recent is known are left out of the choice; where
    nothing recent is known at all, the choice is a guess.

    :param index: The index version that is read.
    :param views: What is believed of each target.
    :param now_seconds: Time of the choice.
    :returns: A snapshot at or above the one published.
    """
    known = [
        newest
        for shard in index.shards.values()
        if (
            newest := _newest_reported_snapshot(
                shard.replicas, views, now_seconds
            )
        )
    ]
    if known:
        return SnapshotChoice(max(index.snapshot, min(known)), is_guess=False)
    newest_reported = max(
        (view.report.newest_snapshot for view in views.values()), default=0
    )
    return SnapshotChoice(max(index.snapshot, newest_reported), is_guess=True)


def may_hold_snapshot(
    view: TargetView, snapshot: int, now_seconds: float
) -> bool:
    """Tell whether a target may hold a snapshot, by what it last said.

    :param view: What is believed of the target.
    :param snapshot: The snapshot in question.
    :param now_seconds: Time of the question.
    :returns: True also where nothing recent is known.
    """
    if not knows_snapshots(view, now_seconds):
        return True
    report = view.report
    return report.oldest_snapshot <= snapshot <= report.newest_snapshot


def _newest_reported_snapshot(
    replicas: Iterable[str],
    views: Mapping[str, TargetView],
    now_seconds: float,
) -> int:
    return max(
        (
            views[name].report.newest_snapshot
            for name in replicas
            if name in views
            and may_get_work(views[name])
            and knows_snapshots(views[name], now_seconds)
        ),
        default=0,
    )
