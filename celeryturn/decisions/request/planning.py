"""Plan a query at admission: pin configuration, index and snapshot."""

import enum
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from celeryturn.decisions.configuration.document import (
    Index,
    ServiceDocument,
    serving_index,
    shard_of,
)
from celeryturn.decisions.load.limits import Urgency
from celeryturn.decisions.targets.views import (
    TargetView,
    can_receive_work,
    has_fresh_snapshot_report,
)
from celeryturn.errors import CeleryturnError, Kind


class QueryKind(enum.StrEnum):
    """Kinds of read requests that callers send."""

    SEARCH = 'search'
    QUICKCHECK = 'quickcheck'
    RECORD = 'record'


class QueryRequest(NamedTuple):
    """A read request of a caller.

    :param kind: Kind of the read request.
    :param service: Name of the service.
    :param key: Record key, or site of a quick-check; empty if the request is
        not limited to the shard of a key.
    :param text: Text that the records must contain.
    :param shards: Shards to read; empty for all.  Ignored if there is a key.
    :param limit_count: Maximum number of records in the answer.
    :param deadline_seconds: Maximum time that the caller waits, relative to
        admission.
    """

    kind: QueryKind
    service: str
    key: str
    text: str
    shards: tuple[str, ...]
    limit_count: int
    deadline_seconds: float


class SnapshotChoice(NamedTuple):
    """The snapshot that a new query reads.

    :param snapshot: Number of the snapshot.
    :param is_guess: Whether there is no recent information about which
        snapshots the targets hold.
    """

    snapshot: int
    is_guess: bool


class QueryPlan(NamedTuple):
    """Values pinned at admission, common to all sub-requests of a query.

    :param request: The request of the caller.
    :param urgency: Urgency class for the admission to each target.
    :param configuration_version: Version of the service's document.
    :param pinned_index: The index version to read, with its partition map.
    :param snapshot: The snapshot that all sub-requests read.
    :param is_guess: Whether the snapshot has to be probed on one shard first.
    :param shards: Names of the shards that the answer needs.
    :param priority: Whether the service prefers coverage or latency.
    :param enough_coverage: Fraction of shards from which the query may stop
        early.
    :param extra_load_share: Hedges and retries that are allowed, as a fraction
        of the needed sub-requests.
    :param started_seconds: Time of admission.
    :param deadline_seconds: Time by which the answer must be returned.
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
    """Pin everything that the answer depends on.

    :param document: Current configuration of the service.
    :param request: The request of the caller.
    :param choice: The snapshot to read.
    :param now_seconds: Time of admission.
    :returns: The plan.
    :raises CeleryturnError: ``unknown_shard`` if the request names a shard that
        the index does not have.
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

    Shards without a recent report are ignored.  If no shard has a recent
    report, the choice is a guess.

    :param index: The index version to read.
    :param views: Known state of each target.
    :param now_seconds: Current time.
    :returns: A snapshot that is not older than the published one.
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
    """Return whether a target may hold a snapshot, by its last report.

    :param view: Known state of the target.
    :param snapshot: The snapshot to look for.
    :param now_seconds: Current time.
    :returns: Whether the target may hold the snapshot; also true if there is
        no recent report.
    """
    if not has_fresh_snapshot_report(view, now_seconds):
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
            and can_receive_work(views[name])
            and has_fresh_snapshot_report(views[name], now_seconds)
        ),
        default=0,
    )
