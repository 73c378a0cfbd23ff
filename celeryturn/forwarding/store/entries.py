"""Decoding of the entries of targets, a bounded number in each turn."""

import asyncio
from collections.abc import Iterable
from typing import Final

from celeryturn.decisions.targets.replicas import TargetEntry
from celeryturn.errors import CeleryturnError
from celeryturn.events import ENTRY_UNUSABLE, log
from celeryturn.platform.documents import TARGETS_PREFIX, decode_entry
from celeryturn.platform.store import Change

# Entries that are decoded in one turn of the event loop.
BATCH_ENTRIES: Final = 256
# Unusable entries of one response that are named in the log.
MAX_LOGGED_ENTRIES: Final = 32
# The detail of a log line quotes the entry, which other writers may write.
MAX_DETAIL_CHARACTERS: Final = 300


async def decode_entries(changes: Iterable[Change]) -> dict[str, TargetEntry]:
    """Decode the last entry of each target among some changes.

    :param changes: Changes of any keys, the oldest first.
    :returns: The usable entries by identifier of the target.
    """
    latest = {
        change.key.removeprefix(TARGETS_PREFIX): change.body
        for change in changes
        if change.key.startswith(TARGETS_PREFIX)
    }
    bodies = {
        target: body for target, body in latest.items() if body is not None
    }
    entries: dict[str, TargetEntry] = {}
    faults: dict[str, CeleryturnError] = {}
    for number, (target, body) in enumerate(bodies.items(), start=1):
        try:
            entries[target] = decode_entry(target, body)
        except CeleryturnError as error:
            faults[target] = error
        if not number % BATCH_ENTRIES:
            await asyncio.sleep(0)
    _log_faults(faults)
    return entries


def _log_faults(faults: dict[str, CeleryturnError]) -> None:
    named = list(faults.items())[:MAX_LOGGED_ENTRIES]
    for target, error in named:
        detail = error.detail[:MAX_DETAIL_CHARACTERS]
        log(ENTRY_UNUSABLE, target=target, detail=detail)
    further_count = len(faults) - len(named)
    if further_count:
        detail = f'{further_count} further entries cannot be decoded'
        log(ENTRY_UNUSABLE, target='', detail=detail)
