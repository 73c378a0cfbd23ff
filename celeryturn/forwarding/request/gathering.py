"""Merging of the replies of several shards, a bounded part in each turn."""

import asyncio
import heapq
import itertools
from collections.abc import Iterable, Sequence
from typing import Final

from celeryturn.decisions.request.replies import TargetReply
from celeryturn.http.messages import HttpReply
from celeryturn.http.reply_memory import REPLY_MEMORY, hold, release
from celeryturn.platform import wire

# Records that are merged in one turn of the event loop, unless an answer has
# more.
BATCH_RECORDS: Final = 4096


async def gather_reply(
    parts: Sequence[TargetReply], shard_count: int, record_count: int
) -> HttpReply:
    """Build the reply to a caller from the replies of several shards.

    :param parts: Replies of different shards.
    :param shard_count: Number of shards of the request.
    :param record_count: Maximum number of records to return; the greatest
        are kept.
    :returns: The reply to the caller.
    """
    size_bytes = sum(len(part.body) for part in parts)
    hold(REPLY_MEMORY, size_bytes)
    try:
        body = await merge_greatest((part.body for part in parts), record_count)
    finally:
        release(REPLY_MEMORY, size_bytes)
    return wire.gathered_reply(parts, shard_count, body)


async def merge_greatest(bodies: Iterable[bytes], record_count: int) -> bytes:
    """Merge unordered records.

    :param bodies: Concatenated records.
    :param record_count: Maximum number of records to keep.
    :returns: The greatest records in descending order; duplicates are kept.
    """
    batch_count = max(BATCH_RECORDS, record_count)
    records = wire.read_records(bodies)
    greatest: list[bytes] = []
    batch = list(itertools.islice(records, batch_count))
    while batch:
        greatest = heapq.nlargest(record_count, greatest + batch)
        if len(batch) == batch_count:
            await asyncio.sleep(0)
        batch = list(itertools.islice(records, batch_count))
    return b''.join(greatest)
