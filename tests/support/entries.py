"""Target entries for scenarios."""

from typing import Any

from celeryturn.decisions.targets.replicas import TargetEntry


def make_entry(target: str, **fields: Any) -> TargetEntry:
    """Make the entry of a target, with fields that replace the defaults."""
    entry = TargetEntry(
        target=target,
        service='s',
        address='10.0.0.1',
        port=80,
        zone='near',
        slot_count=4,
        is_draining=False,
        cold_seconds=0,
        born_ms=1,
        sequence=1,
    )
    return entry._replace(**fields)
