"""Merge the replies of a query into one answer and compute its coverage."""

from collections.abc import Iterator
from typing import Final

from celeryturn.decisions.request.course import QueryState, ShardProgress
from celeryturn.decisions.targets.messages import (
    Coverage,
    Load,
    MissingShard,
    QueryAnswer,
    Record,
)

NO_REPLICA: Final = 'no_replica'
NOT_IN_TIME: Final = 'not_in_time'


def merge(query: QueryState, now_seconds: float) -> QueryAnswer:
    """Build the answer from the recorded replies.

    :param query: A finished query.
    :param now_seconds: Current time.
    :returns: The answer; its coverage counts only shards that were merged.
    """
    plan = query.plan
    records = _merge_records(query)
    limit = plan.request.limit_count
    return QueryAnswer(
        service=plan.request.service,
        kind=plan.request.kind,
        snapshot=plan.snapshot,
        index_version=plan.pinned_index.version,
        configuration_version=plan.configuration_version,
        coverage=compute_coverage(query),
        records=records[:limit],
        is_truncated=len(records) > limit,
        load=Load(len(plan.shards), query.sent_count),
        elapsed_seconds=now_seconds - plan.started_seconds,
    )


def compute_coverage(query: QueryState) -> Coverage:
    """List the merged shards, and the reason for each missing one.

    :param query: A finished query.
    :returns: Coverage by shard.
    """
    included = []
    lacking = []
    for shard, progress in query.progress.items():
        if progress.reply is None:
            lacking.append(MissingShard(shard, _missing_reason(progress)))
        else:
            included.append(shard)
    return Coverage(tuple(included), tuple(lacking), not lacking)


def _merge_records(query: QueryState) -> list[Record]:
    merged: dict[str, Record] = {}
    for record in _readable_records(query):
        existing = merged.get(record['key'])
        if existing is None or _is_newer(record, existing):
            merged[record['key']] = record
    return sorted(merged.values(), key=_by_start)


def _readable_records(query: QueryState) -> Iterator[Record]:
    max_schema_version = query.plan.pinned_index.schema_version
    for progress in query.progress.values():
        if progress.reply is None:
            continue
        for record in progress.reply.records:
            if record['schema_version'] <= max_schema_version:
                yield record


def _is_newer(record: Record, existing: Record) -> bool:
    return record['schema_version'] > existing['schema_version']


def _by_start(record: Record) -> tuple[int, str]:
    return record['starts_at_seconds'], record['key']


def _missing_reason(progress: ShardProgress) -> str:
    if progress.failure is not None:
        return progress.failure.value
    return NOT_IN_TIME if progress.tried_targets else NO_REPLICA
