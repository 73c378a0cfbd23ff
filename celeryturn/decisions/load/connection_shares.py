"""This instance's share of the connections that a target accepts."""

from collections.abc import Sequence
from typing import Final

USABLE_SHARE: Final = 0.85
SAME_ZONE_SHARE: Final = 0.6


def connection_share(
    limit: int,
    target_zone: str,
    own_zone: str,
    zones: Sequence[str],
    *,
    is_any_zone_evacuated: bool = False,
) -> int:
    """Return how many connections an instance may hold to a target.

    Instances in the zone of the target send it most of its requests and get
    most of its connections.  Some connections stay unassigned, for the times
    when instances have different views of which instances are live.

    While a zone is evacuated, its instances send all their requests to other
    zones, so that all instances get the same number.

    :param limit: Total connections that the target accepts.
    :param target_zone: Availability zone of the target.
    :param own_zone: Availability zone of this instance.
    :param zones: Zone of every instance assumed live, including this one.
    :param is_any_zone_evacuated: Whether the targets of any zone get no
        requests.
    :returns: Number of connections, at least one.
    """
    usable_count = limit * USABLE_SHARE
    same_zone_count = sum(zone == target_zone for zone in zones)
    other_zone_count = len(zones) - same_zone_count
    has_one_kind = not same_zone_count or not other_zone_count
    if has_one_kind or is_any_zone_evacuated:
        return max(1, int(usable_count / max(1, len(zones))))
    is_same_zone = own_zone == target_zone
    zone_ratio = SAME_ZONE_SHARE if is_same_zone else 1 - SAME_ZONE_SHARE
    sharing_count = same_zone_count if is_same_zone else other_zone_count
    return max(1, int(usable_count * zone_ratio / sharing_count))
