"""Replies of targets and answers to callers."""

from typing import NamedTuple, TypedDict

from celeryturn.decisions.views import Report


class Record(TypedDict):
    """One record, as targets hold it and callers see it.

    :param key: Key; what stands before the first slash is its site.
    :param schema_version: Schema version of this form of the record.
    :param starts_at_seconds: Start of the slot, seconds of Unix time.
    :param free_count: Places that are free.
    :param text: What a person reads.
    """

    key: str
    schema_version: int
    starts_at_seconds: int
    free_count: int
    text: str


class Reply(NamedTuple):
    """A target's reply to a sub-request.

    :param service: The service it belongs to.
    :param shard: The shard it covers.
    :param index_version: Index version that was read.
    :param snapshot: Snapshot that was read.
    :param records: What was found.
    :param report: What the target said of itself.
    """

    service: str
    shard: str
    index_version: int
    snapshot: int
    records: list[Record]
    report: Report


class MissingShard(NamedTuple):
    """A shard that an answer lacks.

    :param shard: Its name.
    :param reason: Why.
    """

    shard: str
    reason: str


class Coverage(NamedTuple):
    """What an answer covers, computed from what was merged.

    :param included: Shards whose records are in.
    :param lacking: Shards that are not, each with a reason.
    :param is_complete: Whether nothing is lacking.
    """

    included: tuple[str, ...]
    lacking: tuple[MissingShard, ...]
    is_complete: bool


class Load(NamedTuple):
    """What an answer cost.

    :param needed_count: Sub-requests that one try a shard would need.
    :param sent_count: Sub-requests that were sent.
    """

    needed_count: int
    sent_count: int


class QueryAnswer(NamedTuple):
    """A whole answer to a caller's read request.

    :param service: Name of the service.
    :param kind: Which read request.
    :param snapshot: The one snapshot it comes from.
    :param index_version: Index version that was read.
    :param configuration_version: Configuration it was planned under.
    :param coverage: What it covers.
    :param records: The records, ordered by start and key.
    :param is_truncated: Whether more records matched than were wanted.
    :param load: What it cost.
    :param elapsed_seconds: From admission to the merge.
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
