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
from celeryturn.decisions.views import TargetView, may_get_work
from celeryturn.errors import CeleryturnError, Kind


class QueryKind(enum.StrEnum):
    """The read requests that callers make."""

    SEARCH = 'search'
    QUICKCHECK = 'quickcheck'
    RECORD = 'record'


class Ask(NamedTuple):
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


class QueryPlan(NamedTuple):
    """What every sub-request of a query carries, pinned at admission.

    :param ask: What the caller asked.
    :param urgency: Class at the targets' gates.
    :param configuration_version: Version of the service's document.
    :param partition: Index version with its partition map.
    :param snapshot: The one snapshot that is read.
    :param shards: Names of the shards that the answer needs.
    :param priority: What the service weighs most.
    :param enough_coverage: Share of shards from which it may stop early.
    :param extra_load_share: Hedges and retries as a share of needed load.
    :param started_seconds: Time of admission.
    :param deadline_seconds: Time at which the answer is due.
    """

    ask: Ask
    urgency: Urgency
    configuration_version: int
    partition: Index
    snapshot: int
    shards: tuple[str, ...]
    priority: str
    enough_coverage: float
    extra_load_share: float
    started_seconds: float
    deadline_seconds: float


def plan_query(
    document: ServiceDocument, ask: Ask, snapshot: int, now_seconds: float
) -> QueryPlan:
    """Pin everything that an answer depends on.

    :param document: The service's configuration in force.
    :param ask: What the caller asked.
    :param snapshot: The snapshot to read.
    :param now_seconds: Time of admission.
    :returns: The plan.
    :raises CeleryturnError: ``unknown_shard``.
    """
    index = serving_index(document)
    allowed_seconds = min(ask.deadline_seconds, document.deadline_seconds)
    urgency = Urgency.SWEEP
    if ask.kind is not QueryKind.SEARCH:
        urgency = Urgency.URGENT
    return QueryPlan(
        ask=ask,
        urgency=urgency,
        configuration_version=document.version,
        partition=index,
        snapshot=snapshot,
        shards=_shards(index, ask),
        priority=document.priority,
        enough_coverage=document.enough_coverage,
        extra_load_share=document.extra_load_share,
        started_seconds=now_seconds,
        deadline_seconds=now_seconds + allowed_seconds,
    )


def _shards(index: Index, ask: Ask) -> tuple[str, ...]:
    if ask.key:
        return (shard_of(index, ask.key),)
    unknown = [name for name in ask.shards if name not in index.shards]
    if unknown:
        raise CeleryturnError(
            Kind.UNKNOWN_SHARD,
            f'index {index.version} has no shard {", ".join(unknown)}',
        )
    return tuple(dict.fromkeys(ask.shards)) or tuple(index.shards)


def newest_common_snapshot(
    index: Index, views: Mapping[str, TargetView], above: int = 0
) -> int:
    """Choose the newest snapshot that every shard is known to hold.

    :param index: The index version that is read.
    :param views: What is believed of each target.
    :param above: A snapshot that turned out to be gone, if any.
    :returns: A snapshot at or above the one published.
    """
    newest_of_shards = (
        _newest(shard.replicas, views) for shard in index.shards.values()
    )
    common = min((newest for newest in newest_of_shards if newest), default=0)
    return max(index.snapshot, common, above)


def holds(view: TargetView, snapshot: int) -> bool:
    """Tell whether a target may hold a snapshot, by what it last said.

    :param view: What is believed of the target.
    :param snapshot: The snapshot in question.
    :returns: True also where nothing is known.
    """
    report = view.report
    if not report.newest_snapshot:
        return True
    return report.oldest_snapshot <= snapshot <= report.newest_snapshot


def _newest(replicas: Iterable[str], views: Mapping[str, TargetView]) -> int:
    return max(
        (
            views[name].report.newest_snapshot
            for name in replicas
            if name in views and may_get_work(views[name])
        ),
        default=0,
    )
