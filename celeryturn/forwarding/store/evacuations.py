"""Application of the evacuations of zones that the store holds."""

from collections.abc import Iterator

from celeryturn.decisions.store_position import StorePosition
from celeryturn.decisions.targets.evacuations import ZoneChange
from celeryturn.errors import CeleryturnError
from celeryturn.events import NOT_ADOPTED, log
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.forwarding.targets.evacuated_zones import (
    STORE_SOURCE,
    record_read,
    record_watched,
)
from celeryturn.platform.documents import EVACUATIONS_PREFIX, decode_zone
from celeryturn.platform.store import Changes


def apply_read_zones(shared: SharedState, read: Changes) -> None:
    """Apply a read of all evacuations.

    :param shared: Shared state of the instance.
    :param read: All keys of the prefix that contains them, possibly others.
    """
    record_read(shared, tuple(_decode_zones(read)), read.position)


def apply_watched_zones(shared: SharedState, changes: Changes) -> None:
    """Apply the evacuations among what changed since a position.

    :param shared: Shared state of the instance.
    :param changes: Changes of any keys, the oldest first.
    """
    zone_changes = tuple(_decode_zones(changes))
    if zone_changes:
        record_watched(shared, zone_changes)


def _decode_zones(changes: Changes) -> Iterator[ZoneChange]:
    era = changes.position.era
    for change in changes.changes:
        if not change.key.startswith(EVACUATIONS_PREFIX):
            continue
        try:
            zone = decode_zone(change.key)
        except CeleryturnError as error:
            log(NOT_ADOPTED, source=STORE_SOURCE, detail=error.detail)
        else:
            yield ZoneChange(
                zone,
                is_evacuated=change.body is not None,
                position=StorePosition(era, change.revision),
            )
