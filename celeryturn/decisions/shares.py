"""This instance's share of the connections that a target accepts."""

from collections.abc import Sequence
from typing import Final

USABLE_SHARE: Final = 0.85
NEAR_SHARE: Final = 0.6


def connection_share(
    limit: int, target_zone: str, own_zone: str, zones: Sequence[str]
) -> int:
    """Work out how many connections an instance may hold to a target.

    Instances of the target's zone send it most of its requests and get most
    of its connections.  Some are left over, for the moments in which
    instances believe different things.

    :param limit: Connections that the target accepts in all.
    :param target_zone: Availability zone of the target.
    :param own_zone: Availability zone of this instance.
    :param zones: Zone of every instance believed live, this one's included.
    :returns: At least one.
    """
    usable = limit * USABLE_SHARE
    near_count = sum(zone == target_zone for zone in zones)
    far_count = len(zones) - near_count
    if not near_count or not far_count:
        return max(1, int(usable / max(1, len(zones))))
    is_near = own_zone == target_zone
    part = NEAR_SHARE if is_near else 1 - NEAR_SHARE
    count = near_count if is_near else far_count
    return max(1, int(usable * part / count))
