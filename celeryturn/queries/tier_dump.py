"""The state of one instance that serves published routes."""

from typing import NamedTuple

from celeryturn.decisions import directory, membership
from celeryturn.decisions.replicas import Replica, decayed_slowness
from celeryturn.forwarding import shared_state as tiers
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.queries.dump import Bound


class StoreDump(NamedTuple):
    """How far the platform's store was followed."""

    is_lost: bool
    age_seconds: float
    revision: int
    peer_revision: int
    failed_count: int


class ReplicaDump(NamedTuple):
    """What is believed of one target."""

    address: str
    availability_zone: str
    is_draining: bool
    pending_count: int
    connection_count: int
    idle_count: int
    slowness: float
    failure_share: float
    blocked_seconds: float
    running_count: int
    waiting_count: int
    slot_count: int


class RoutedServiceDump(NamedTuple):
    """What is held of one service."""

    extra_load_tokens: float
    extra_count: int
    targets: dict[str, ReplicaDump]


class TierDump(NamedTuple):
    """State of one instance; every table with its bound."""

    instance: str
    availability_zone: str
    incarnation: int
    is_ready: bool
    is_leaving: bool
    table_version: int
    store: StoreDump
    under_way_count: int
    services: dict[str, RoutedServiceDump]
    members: dict[str, membership.Member]
    live_count: int
    tables: dict[str, Bound]


def dump_tier(tier: SharedState) -> TierDump:
    """Dump the state of this process.

    :param tier: The tier.
    :returns: Its state.
    """
    instance = tier.instance
    members = instance.membership
    names = sorted(
        tier.directory.replicas.keys() | tier.extra_load_buckets.keys()
    )
    return TierDump(
        instance=instance.settings.instance,
        availability_zone=instance.settings.availability_zone,
        incarnation=members.own.incarnation,
        is_ready=instance.is_ready,
        is_leaving=instance.is_leaving,
        table_version=tiers.table_version(tier),
        store=_store(tier),
        under_way_count=len(tier.in_flight),
        services={name: _service(tier, name) for name in names},
        members=dict(sorted(members.members.items())),
        live_count=membership.live_count(members),
        tables={
            'targets': Bound(
                len(tier.directory.services), directory.MAX_TARGETS
            ),
            'members': Bound(len(members.members), membership.MAX_MEMBERS),
        },
    )


def _store(tier: SharedState) -> StoreDump:
    progress = tier.progress
    return StoreDump(
        is_lost=progress.is_lost,
        age_seconds=tiers.now() - progress.last_contact_seconds,
        revision=progress.revision,
        peer_revision=progress.peer_revision,
        failed_count=progress.failed_count,
    )


def _service(tier: SharedState, name: str) -> RoutedServiceDump:
    budget = tier.extra_load_buckets.get(name)
    replicas = tier.directory.replicas.get(name, {})
    return RoutedServiceDump(
        extra_load_tokens=budget.tokens if budget else 0.0,
        extra_count=budget.extra_count if budget else 0,
        targets={
            target: _replica(tier, replica)
            for target, replica in sorted(replicas.items())
        },
    )


def _replica(tier: SharedState, replica: Replica) -> ReplicaDump:
    entry = replica.entry
    pool = tier.pools.get(entry.target)
    now_seconds = tiers.now()
    return ReplicaDump(
        address=f'{entry.address}:{entry.port}',
        availability_zone=entry.zone,
        is_draining=entry.is_draining,
        pending_count=len(replica.pending),
        connection_count=pool.held_count if pool else 0,
        idle_count=len(pool.idle) if pool else 0,
        slowness=decayed_slowness(replica, now_seconds),
        failure_share=replica.failure_share,
        blocked_seconds=max(0.0, replica.blocked_until_seconds - now_seconds),
        running_count=replica.load.running,
        waiting_count=replica.load.waiting,
        slot_count=replica.load.slots,
    )
