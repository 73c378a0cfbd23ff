"""Tables that keep a bounded number of entries, the latest ones."""

from typing import TypeVar

KeyT = TypeVar('KeyT')
EntryT = TypeVar('EntryT')


def put_latest(
    table: dict[KeyT, EntryT], key: KeyT, entry: EntryT, max_count: int
) -> EntryT | None:
    """Add an entry as the latest one, or move it there.

    :param table: The table, the oldest entry first.
    :param key: Key of the entry.
    :param entry: The entry.
    :param max_count: Maximum number of entries.
    :returns: The oldest entry, if it was dropped to make room.
    """
    table.pop(key, None)
    table[key] = entry
    if len(table) <= max_count:
        return None
    return table.pop(next(iter(table)))
