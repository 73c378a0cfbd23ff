"""Merge the replies of a query into one answer with its true coverage."""

from collections.abc import Iterator
from typing import Final

from celeryturn.decisions.messages import (
    Coverage,
    Lacking,
    Load,
    QueryAnswer,
    Record,
)
from celeryturn.decisions.course import QueryState, ShardProgress

NO_REPLICA: Final = 'no_replica'
NOT_IN_TIME: Final = 'not_in_time'


def merge(query: QueryState, now_seconds: float) -> QueryAnswer:
    """Build the answer from the replies that were taken in.

    :param query: A finished query.
    :param now_seconds: Time of the merge.
    :returns: The answer; its coverage counts only what was merged.
    """
    plan = query.plan
    records = _merge_records(query)
    limit = plan.ask.limit_count
    return QueryAnswer(
        service=plan.ask.service,
        kind=plan.ask.kind,
        snapshot=plan.snapshot,
        index_version=plan.partition.version,
        configuration_version=plan.configuration_version,
        coverage=cover(query),
        records=records[:limit],
        is_truncated=len(records) > limit,
        load=Load(len(plan.shards), query.sent_count),
        elapsed_seconds=now_seconds - plan.started_seconds,
    )


def cover(query: QueryState) -> Coverage:
    """State which shards were merged, and why the others were not.

    :param query: A finished query.
    :returns: Coverage by shard.
    """
    included = []
    lacking = []
    for shard, progress in query.progress.items():
        if progress.reply is None:
            lacking.append(Lacking(shard, _reason(progress)))
        else:
            included.append(shard)
    return Coverage(tuple(included), tuple(lacking), not lacking)


def _merge_records(query: QueryState) -> list[Record]:
    chosen: dict[str, Record] = {}
    for record in _readable_records(query):
        known = chosen.get(record['key'])
        if known is None or _is_newer(record, known):
            chosen[record['key']] = record
    return sorted(chosen.values(), key=_by_start)


def _readable_records(query: QueryState) -> Iterator[Record]:
    newest_allowed = query.plan.partition.schema_version
    for progress in query.progress.values():
        if progress.reply is None:
            continue
        for record in progress.reply.records:
            if record['schema_version'] <= newest_allowed:
                yield record


def _is_newer(record: Record, known: Record) -> bool:
    return record['schema_version'] > known['schema_version']


def _by_start(record: Record) -> tuple[int, str]:
    return record['starts_at_seconds'], record['key']


def _reason(progress: ShardProgress) -> str:
    if progress.failure is not None:
        return progress.failure.value
    return NOT_IN_TIME if progress.tried else NO_REPLICA
