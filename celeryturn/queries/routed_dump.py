"""Dump of the state of an instance that serves published routes."""

from typing import NamedTuple

from celeryturn.decisions.fleet import membership
from celeryturn.decisions.load.cold_share import (
    cold_share_count,
    is_limited,
    remaining_cold_seconds,
)
from celeryturn.decisions.load.request_rate import active_limit
from celeryturn.decisions.request import quarantine
from celeryturn.decisions.request.trials import retry_after_seconds
from celeryturn.decisions.store_position import StorePosition
from celeryturn.decisions.targets import (
    directory,
    evacuations,
    health_reports,
)
from celeryturn.decisions.targets.replicas import Replica, decayed_slowness
from celeryturn.decisions.targets.zone_share import ZoneShare
from celeryturn.forwarding import shared_state
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.queries.dump import Bound


class StoreDump(NamedTuple):
    """Progress of reading the store of the platform.

    :param is_lost: Whether the last call to the store failed.
    :param age_seconds: Seconds since the store last responded, or since the
        start of the instance if it has not responded.
    :param position: Position up to which no change of the targets was missed;
        the revision is zero before all of them are known.
    :param newest_age_seconds: Seconds since this was known to be the newest
        position.
    :param relies_on_peers: Whether delegates follow the store for this
        instance.
    :param failed_count: Number of consecutive failed calls, up to a maximum.
    """

    is_lost: bool
    age_seconds: float
    position: StorePosition
    newest_age_seconds: float
    relies_on_peers: bool
    failed_count: int


class ReplicaDump(NamedTuple):
    """Known state of one target.

    :param address: IP address and TCP port.
    :param availability_zone: Availability zone of the target.
    :param is_draining: Whether the target is about to leave.
    :param pending_count: Number of requests that this instance has waiting
        for a connection or in flight.
    :param connection_count: Number of connections that are open or being
        opened.
    :param idle_count: Number of idle connections.
    :param slowness: Latency relative to the typical latency of the route.
    :param failure_share: Exponential moving average of the fraction of failed
        requests.
    :param blocked_seconds: Seconds until requests are sent again; zero if the
        target is not blocked.
    :param reported_state: State by the reports of several instances, as it
        applies to this one; empty if there is none.
    :param is_prober: Whether this instance tries whether that still holds.
    :param rate_limit_per_second: Requests a second that the target takes from
        all instances; ``None`` if it states no limit.
    :param rate_share_per_second: Share of this instance in that limit; zero if
        there is no limit, or no share.
    :param cold_seconds: Seconds for which the target is still cold; zero if it
        is warm.
    :param cold_share_per_second: Most requests that this instance sends it in
        any second while it is cold; ``None`` if nothing limits them.
    :param running_count: Last reported number of requests being processed.
    :param waiting_count: Last reported number of requests in the queue.
    :param slot_count: Last reported maximum number of requests processed
        concurrently.
    """

    address: str
    availability_zone: str
    is_draining: bool
    pending_count: int
    connection_count: int
    idle_count: int
    slowness: float
    failure_share: float
    blocked_seconds: float
    reported_state: str
    is_prober: bool
    rate_limit_per_second: float | None
    rate_share_per_second: float
    cold_seconds: float
    cold_share_per_second: float | None
    running_count: int
    waiting_count: int
    slot_count: int


class ZoneShareDump(NamedTuple):
    """Requests to one service that leave the availability zone.

    :param is_short: Whether the own zone is short of capacity.
    :param share: Fraction of the requests that may leave.
    :param recent_share: Fraction of the recent requests that left.
    :param own_zone_count: Attempts sent to targets in the own zone.
    :param other_zone_count: Attempts sent to targets in other zones.
    """

    is_short: bool
    share: float
    recent_share: float
    own_zone_count: int
    other_zone_count: int


class RoutedServiceDump(NamedTuple):
    """Known state of one service.

    :param extra_load_tokens: Number of extra requests that may be sent now.
    :param extra_count: Number of extra requests sent since the start.
    :param zone_share: Requests that leave the zone.
    :param targets: Known targets by identifier.
    """

    extra_load_tokens: float
    extra_count: int
    zone_share: ZoneShareDump
    targets: dict[str, ReplicaDump]


class SuspectRequestDump(NamedTuple):
    """A request under which targets ended.

    :param standing: How it may be sent.
    :param targets: Identifiers of the targets whose ends count.
    :param last_end_seconds: Time since the last end.
    :param trial_in_seconds: Time until an instance tries it again; ``None``
        unless it is blocked.
    :param refused_count: Number of times that this instance refused it.
    """

    standing: str
    targets: list[str]
    last_end_seconds: float
    trial_in_seconds: float | None
    refused_count: int


class RoutedStateDump(NamedTuple):
    """State of one instance that serves published routes.

    :param instance: Name of the instance.
    :param availability_zone: Availability zone of the instance.
    :param incarnation: Number that distinguishes the starts of the instance.
    :param is_ready: Whether the instance serves callers.
    :param is_leaving: Whether a graceful shutdown has begun.
    :param reaches_targets: Whether it can open connections to targets.
    :param table_version: Version of the current routes; zero if there are
        none.
    :param store: Progress of reading the store.
    :param evacuated_zones: Zones whose targets get no requests, with the
        position of the request for it in the store.
    :param under_way_count: Number of requests in flight.
    :param services: State of each service by name.
    :param suspect_requests: Requests under which targets ended, by fingerprint.
    :param members: Known instances by name.
    :param live_count: Largest recent number of instances that share limits.
    :param tables: Size and bound of each table by name.
    """

    instance: str
    availability_zone: str
    incarnation: int
    is_ready: bool
    is_leaving: bool
    reaches_targets: bool
    table_version: int
    store: StoreDump
    evacuated_zones: dict[str, StorePosition]
    under_way_count: int
    services: dict[str, RoutedServiceDump]
    suspect_requests: dict[str, SuspectRequestDump]
    members: dict[str, membership.Member]
    live_count: int
    tables: dict[str, Bound]


def dump_routed_state(shared: SharedState) -> RoutedStateDump:
    """Dump the state of an instance that serves published routes.

    :param shared: Shared state of the instance.
    :returns: The dump.
    """
    instance = shared.instance
    members = instance.membership
    names = sorted(
        shared.directory.replicas.keys() | shared.fleet_share.buckets.keys()
    )
    return RoutedStateDump(
        instance=instance.settings.instance,
        availability_zone=instance.settings.availability_zone,
        incarnation=members.own.incarnation,
        is_ready=instance.is_ready,
        is_leaving=instance.is_leaving,
        reaches_targets=not shared.links.is_lost,
        table_version=shared_state.table_version(shared),
        store=_dump_store(shared),
        evacuated_zones=_dump_evacuations(shared.directory.evacuations),
        under_way_count=len(shared.in_flight),
        services={name: _dump_service(shared, name) for name in names},
        suspect_requests=_dump_suspects(shared.route_states.quarantine),
        members=dict(sorted(members.members.items())),
        live_count=membership.live_count(members),
        tables={
            'targets': Bound(
                len(shared.directory.services), directory.MAX_TARGETS
            ),
            'zones': Bound(
                len(shared.directory.evacuations.changes),
                evacuations.MAX_ZONES,
            ),
            'members': Bound(len(members.members), membership.MAX_MEMBERS),
            'reported_targets': Bound(
                len(shared.route_states.health.shared.records),
                health_reports.MAX_REPORTED_TARGETS,
            ),
            'suspect_requests': Bound(
                len(shared.route_states.quarantine.records),
                quarantine.MAX_REQUESTS,
            ),
        },
    )


def _dump_evacuations(
    known: evacuations.Evacuations,
) -> dict[str, StorePosition]:
    return {zone: known.changes[zone].position for zone in sorted(known.zones)}


def _dump_suspects(
    known: quarantine.Quarantine,
) -> dict[str, SuspectRequestDump]:
    return {
        fingerprint.hex(): _dump_suspect(record)
        for fingerprint, record in known.records.items()
        if record.standing is not quarantine.Standing.CLEAR
    }


def _dump_suspect(record: quarantine.Record) -> SuspectRequestDump:
    now_seconds = shared_state.now()
    is_blocked = record.standing is quarantine.Standing.BLOCKED
    counted = tuple(quarantine.counted_ends(record))
    return SuspectRequestDump(
        standing=record.standing.value,
        targets=quarantine.counted_targets(record),
        last_end_seconds=now_seconds
        - max(end.ended_seconds for end in counted),
        trial_in_seconds=retry_after_seconds(record, now_seconds)
        if is_blocked
        else None,
        refused_count=record.refused_count,
    )


def _dump_store(shared: SharedState) -> StoreDump:
    progress = shared.progress
    return StoreDump(
        is_lost=progress.is_lost,
        age_seconds=shared_state.now() - progress.last_contact_seconds,
        position=progress.position,
        newest_age_seconds=shared_state.now() - progress.newest_seconds,
        relies_on_peers=progress.relies_on_peers,
        failed_count=progress.failed_count,
    )


def _dump_service(shared: SharedState, name: str) -> RoutedServiceDump:
    bucket = shared.fleet_share.buckets.get(name)
    replicas = shared.directory.replicas.get(name, {})
    return RoutedServiceDump(
        extra_load_tokens=bucket.tokens if bucket else 0.0,
        extra_count=bucket.extra_count if bucket else 0,
        zone_share=_dump_zone_share(
            shared.route_states.zone_shares.get(name, ZoneShare())
        ),
        targets={
            target: _dump_replica(shared, replica)
            for target, replica in sorted(replicas.items())
        },
    )


def _dump_zone_share(zone_share: ZoneShare) -> ZoneShareDump:
    return ZoneShareDump(
        is_short=zone_share.is_short,
        share=zone_share.share,
        recent_share=zone_share.recent_share,
        own_zone_count=zone_share.own_zone_count,
        other_zone_count=zone_share.other_zone_count,
    )


def _dump_replica(shared: SharedState, replica: Replica) -> ReplicaDump:
    entry = replica.entry
    pool = shared.pools.get(entry.target)
    now_seconds = shared_state.now()
    limit = active_limit(replica.rate_limit)
    told = replica.told
    return ReplicaDump(
        address=f'{entry.address}:{entry.port}',
        availability_zone=entry.zone,
        is_draining=entry.is_draining,
        pending_count=len(replica.pending),
        connection_count=pool.connection_count if pool else 0,
        idle_count=len(pool.idle) if pool else 0,
        slowness=decayed_slowness(replica, now_seconds),
        failure_share=replica.failure_share,
        blocked_seconds=max(0.0, replica.blocked_until_seconds - now_seconds),
        reported_state=told.verdict.state.name.lower() if told else '',
        is_prober=told is not None and told.is_prober,
        rate_limit_per_second=limit.limit_per_second if limit else None,
        rate_share_per_second=limit.share.rate_per_second if limit else 0.0,
        cold_seconds=remaining_cold_seconds(replica.cold, now_seconds),
        cold_share_per_second=cold_share_count(replica.cold.share)
        if is_limited(replica.cold, now_seconds)
        else None,
        running_count=replica.load_report.load.running,
        waiting_count=replica.load_report.load.waiting,
        slot_count=replica.load_report.load.slots,
    )
