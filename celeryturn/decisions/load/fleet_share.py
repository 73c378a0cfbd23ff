"""Share of one instance in the limits of the targets.

The connections that a target accepts and the extra load on it are shared by
the instances that send it requests.
"""

import math
from typing import Final, NamedTuple

from celeryturn.decisions.fleet.advice import preferred_members
from celeryturn.decisions.fleet.membership import (
    COUNTED_STATUSES,
    Membership,
    live_count,
)
from celeryturn.decisions.load.busyness import Busyness
from celeryturn.decisions.load.extra_load import (
    DEFAULT_FLEET_COUNT,
    ExtraLoadBucket,
)
from celeryturn.decisions.load.request_rate import Senders, possible_senders

REFRESH_SECONDS: Final = 0.25


class Sharing(NamedTuple):
    """Instances that share the limits of the targets with this one.

    :param zones: Availability zone of each of them, including this one.
    :param fleet_count: Number of instances to divide the extra load by.
    """

    zones: tuple[str, ...]
    fleet_count: int


class FleetShare:
    """Share of one instance in the limits of the targets.

    :param buckets: Token buckets for extra requests by service.
    :param busyness: Rate of the sub-requests that this instance sends.
    :param sharing: Instances that share the limits.
    :param computed_seconds: Time at which these were last determined.
    :param senders: Instances that share the request rates of targets.
    :param senders_seconds: Time at which these were last determined.
    :param started_seconds: Time of the start of this instance.
    """

    __slots__ = (
        'buckets',
        'busyness',
        'computed_seconds',
        'senders',
        'senders_seconds',
        'sharing',
        'started_seconds',
    )

    def __init__(self, membership: Membership, now_seconds: float) -> None:
        self.buckets: dict[str, ExtraLoadBucket] = {}
        self.busyness = Busyness(now_seconds)
        self.sharing = compute_sharing(membership)
        self.computed_seconds = now_seconds
        self.senders = possible_senders(membership, now_seconds)
        self.senders_seconds = now_seconds
        self.started_seconds = now_seconds


def get_sharing(
    fleet_share: FleetShare, membership: Membership, now_seconds: float
) -> Sharing:
    """Return the instances that share the limits of the targets.

    :param fleet_share: Share of this instance.
    :param membership: The membership table of this instance.
    :param now_seconds: Current time.
    :returns: The instances, determined at most :data:`REFRESH_SECONDS` ago.
    """
    if now_seconds - fleet_share.computed_seconds > REFRESH_SECONDS:
        fleet_share.sharing = compute_sharing(membership)
        fleet_share.computed_seconds = now_seconds
    return fleet_share.sharing


def get_senders(
    fleet_share: FleetShare, membership: Membership, now_seconds: float
) -> Senders:
    """Return the instances that share the request rates that targets state.

    :param fleet_share: Share of this instance.
    :param membership: The membership table of this instance.
    :param now_seconds: Current time.
    :returns: The instances, determined at most :data:`REFRESH_SECONDS` ago;
        the same object as before while they do not change.
    """
    if now_seconds - fleet_share.senders_seconds > REFRESH_SECONDS:
        senders = possible_senders(membership, now_seconds)
        if senders != fleet_share.senders:
            fleet_share.senders = senders
        fleet_share.senders_seconds = now_seconds
    return fleet_share.senders


def compute_sharing(membership: Membership) -> Sharing:
    """Determine the instances that share the limits of the targets.

    If callers are advised of some instances only, these share the limits among
    themselves.  All others share them with the whole fleet: they need few
    connections and few extra requests.

    :param membership: The membership table of this instance.
    :returns: The instances, and a conservative number of them.
    """
    counted = [
        member
        for member in membership.members.values()
        if member.status in COUNTED_STATUSES
    ]
    preferred = preferred_members(counted)
    is_preferred = any(
        member.instance == membership.own.instance for member in preferred
    )
    sharing = preferred if is_preferred else counted
    return Sharing(
        zones=tuple(member.availability_zone for member in sharing),
        fleet_count=_fleet_count(membership, len(sharing) / len(counted)),
    )


def _fleet_count(membership: Membership, sharing_ratio: float) -> int:
    count = live_count(membership)
    if count < 2:
        return DEFAULT_FLEET_COUNT
    return math.ceil(sharing_ratio * count)
