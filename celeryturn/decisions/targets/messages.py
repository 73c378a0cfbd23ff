"""Replies of targets and answers to callers."""

from typing import NamedTuple, TypedDict

from celeryturn.decisions.targets.views import Report


class Record(TypedDict):
    """One record, as targets store it and callers receive it.

    :param key: Key of the record; the part before the first slash is its
        site.
    :param schema_version: Schema version of this representation of the record.
    :param starts_at_seconds: Start of the slot, in seconds of Unix time.
    :param free_count: Number of free places.
    :param text: Human-readable text.
    """

    key: str
    schema_version: int
    starts_at_seconds: int
    free_count: int
    text: str


class Reply(NamedTuple):
    """A target's reply to a sub-request.

    :param service: Name of the service.
    :param shard: Name of the shard that was read.
    :param index_version: Index version that was read.
    :param snapshot: Snapshot that was read.
    :param records: Records that were found.
    :param report: State that the target reported about itself.
    """

    service: str
    shard: str
    index_version: int
    snapshot: int
    records: list[Record]
    report: Report


class MissingShard(NamedTuple):
    """A shard that is missing from an answer.

    :param shard: Name of the shard.
    :param reason: Why the shard is missing.
    """

    shard: str
    reason: str


class Coverage(NamedTuple):
    """Coverage of an answer, computed from the merged replies.

    :param included: Shards whose records are in the answer.
    :param lacking: Shards that are missing, each with a reason.
    :param is_complete: Whether no shard is missing.
    """

    included: tuple[str, ...]
    lacking: tuple[MissingShard, ...]
    is_complete: bool


class Load(NamedTuple):
    """Number of sub-requests for one answer.

    :param needed_count: Sub-requests needed with one attempt per shard.
    :param sent_count: Sub-requests that were sent in total.
    """

    needed_count: int
    sent_count: int


class QueryAnswer(NamedTuple):
    """The answer to a read request of a caller.

    :param service: Name of the service.
    :param kind: Kind of the read request.
    :param snapshot: The snapshot that all records come from.
    :param index_version: Index version that was read.
    :param configuration_version: Version of the configuration that the query
        was planned with.
    :param coverage: Shards that are included and missing.
    :param records: The records, ordered by start and key.
    :param is_truncated: Whether more records matched than the request allows.
    :param load: Sub-requests that were needed and sent.
    :param elapsed_seconds: Time from admission to the merge.
    """

    service: str
    kind: str
    snapshot: int
    index_version: int
    configuration_version: int
    coverage: Coverage
    records: list[Record]
    is_truncated: bool
    load: Load
    elapsed_seconds: float
