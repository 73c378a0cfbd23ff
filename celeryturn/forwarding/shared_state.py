"""The state by which one instance serves published routes."""

import asyncio
from collections.abc import Callable
from typing import Protocol, TypeAlias

from celeryturn.clock import running_seconds
from celeryturn.decisions import extra_load, membership
from celeryturn.decisions.caller_timeouts import CallerTimeouts
from celeryturn.decisions.connection_shares import connection_share
from celeryturn.decisions.directory import Directory
from celeryturn.decisions.entry_history import EntryHistory
from celeryturn.decisions.latency import LatencyWindow
from celeryturn.decisions.line_budget import LineBudget
from celeryturn.decisions.replicas import Replica
from celeryturn.decisions.route_table import RouteTable, is_newer
from celeryturn.decisions.splitting import Splitter
from celeryturn.errors import CeleryturnError
from celeryturn.events import NOT_ADOPTED, TABLE_ADOPTED, log
from celeryturn.forwarding.pools import Pool, close_pool, drop_idle
from celeryturn.forwarding.settings import ForwardingSettings
from celeryturn.instance import Instance
from celeryturn.platform.documents import decode_table

OnAdopted: TypeAlias = Callable[[RouteTable], None]


class StoreProgress:
    """How far the platform's store was followed.

    :param revision: Up to here nothing was missed; zero before a whole read.
    :param is_lost: Whether the last call failed.
    :param last_contact_seconds: When it last answered; before that, the start
        of this instance.
    :param failed_count: Calls in a row that failed, up to a bound.
    :param peer_ahead: Set when a peer has been further for too long.
    :param peer_revision: Up to here the list of targets was heard of peers.
    :param last_peer_request_seconds: When a peer was last asked for it.
    :param history: When the entries of the list changed.
    """

    __slots__ = (
        'last_peer_request_seconds',
        'failed_count',
        'last_contact_seconds',
        'history',
        'is_lost',
        'peer_ahead',
        'peer_revision',
        'revision',
    )

    def __init__(self, started_seconds: float = 0.0) -> None:
        self.revision = 0
        self.is_lost = False
        self.last_contact_seconds = started_seconds
        self.failed_count = 0
        self.peer_ahead = asyncio.Event()
        self.peer_revision = 0
        self.history = EntryHistory()
        self.last_peer_request_seconds = 0.0

    @property
    def target_list_revision(self) -> int:
        """Revision up to which the list of targets is known."""
        return max(self.revision, self.peer_revision)


class Stoppable(Protocol):
    """A request that can be ended with what is there."""

    def stop(self) -> None:
        """End it."""


class SharedState:
    """What the parts of a forwarding instance share.

    :param settings: Its settings.
    :param instance: Membership, metrics and life cycle.
    :param table: Routes in force; ``None`` until they are known.
    :param table_body: The routes as they were published, for peers.
    :param directory: The targets.
    :param pools: Connections, by target.
    :param extra_load_buckets: Extra load, by service.
    :param latencies: Observed latencies of targets, by route.
    :param splitter: State of split routes.
    :param caller_timeouts: How long callers wait, by route.
    :param on_adopted: Called with every table that comes in force.
    :param in_flight: Requests that are being forwarded.
    :param is_refusing: Whether new requests are refused as not run.
    :param progress: How far the store was followed.
    :param line_budget: Log lines that may be written.
    """

    def __init__(
        self, settings: ForwardingSettings, instance: Instance
    ) -> None:
        self.settings = settings
        self.instance = instance
        self.table: RouteTable | None = None
        self.table_body = b''
        self.directory = Directory()
        self.pools: dict[str, Pool] = {}
        self.extra_load_buckets: dict[str, extra_load.ExtraLoadBucket] = {}
        self.latencies: dict[str, LatencyWindow] = {}
        self.splitter = Splitter()
        self.caller_timeouts: dict[str, CallerTimeouts] = {}
        self.on_adopted: list[OnAdopted] = []
        self.in_flight: set[Stoppable] = set()
        self.is_refusing = False
        self.progress = StoreProgress(now())
        self.line_budget = LineBudget(now())


def adopt_table(shared: SharedState, body: bytes, source: str) -> bool:
    """Put published routes in force if they are newer.

    :param shared: Shared state of the instance.
    :param body: As they were published.
    :param source: Where they came from, for the log.
    :returns: Whether they are in force now and were not before.
    """
    try:
        table = decode_table(body)
    except CeleryturnError as error:
        log(NOT_ADOPTED, source=source, detail=str(error))
        return False
    if not is_newer(table, shared.table):
        return False
    shared.table = table
    shared.table_body = body
    log(TABLE_ADOPTED, version=table.version, source=source)
    _drop_removed_routes(shared, table)
    for callback in shared.on_adopted:
        callback(table)
    return True


def _drop_removed_routes(shared: SharedState, table: RouteTable) -> None:
    route_names = {
        route.name
        for host_routes in table.routes.values()
        for route in host_routes
    }
    for by_route in (
        shared.latencies,
        shared.caller_timeouts,
        shared.splitter.credits,
    ):
        for name in by_route.keys() - route_names:
            by_route.pop(name)


def table_version(shared: SharedState) -> int:
    """Read the version of the routes in force.

    :param shared: Shared state of the instance.
    :returns: The version; zero while there is none.
    """
    return shared.table.version if shared.table else 0


def fleet_count(shared: SharedState) -> int:
    """Count the instances that share limits and budgets.

    :param shared: Shared state of the instance.
    :returns: A cautious figure while peers are not known yet.
    """
    count = membership.live_count(shared.instance.membership)
    return extra_load.DEFAULT_FLEET_COUNT if count < 2 else count


def get_bucket(shared: SharedState, service: str) -> extra_load.ExtraLoadBucket:
    """Find the budget of a service.

    :param shared: Shared state of the instance.
    :param service: Name of the service.
    :returns: This instance's part.
    """
    bucket = shared.extra_load_buckets.get(service)
    if bucket is None:
        bucket = extra_load.ExtraLoadBucket(get_allowance(shared))
        shared.extra_load_buckets[service] = bucket
    return bucket


def earn_extra_load(shared: SharedState, service: str) -> None:
    """Credit a service for a needed request.

    :param shared: Shared state of the instance.
    :param service: Name of the service.
    """
    extra_load.earn(get_bucket(shared, service), get_allowance(shared), now())


def spend_extra_load(
    shared: SharedState, service: str, reserve_share: float
) -> bool:
    """Take from the budget of a service for an extra request.

    :param shared: Shared state of the instance.
    :param service: Name of the service.
    :param reserve_share: Share of what may be saved up that must be left.
    :returns: Whether it may be sent.
    """
    bucket = get_bucket(shared, service)
    reserve = reserve_share * extra_load.capacity(bucket, get_allowance(shared))
    return extra_load.spend(bucket, reserve)


def is_extra_load_low(shared: SharedState, service: str) -> bool:
    """Tell whether extra requests to a service may soon not be possible.

    :param shared: Shared state of the instance.
    :param service: Name of the service.
    :returns: Whether little of its budget is left.
    """
    return extra_load.is_short(
        get_bucket(shared, service), get_allowance(shared)
    )


def get_allowance(shared: SharedState) -> extra_load.Allowance:
    """Tell this instance's part of the extra load.

    :param shared: Shared state of the instance.
    :returns: The bounds and how many instances share them.
    """
    return extra_load.Allowance(shared.settings.extra_load, fleet_count(shared))


def get_pool(shared: SharedState, replica: Replica) -> Pool:
    """Find the connections to a target.

    :param shared: Shared state of the instance.
    :param replica: The target.
    :returns: Its pool, with this instance's present share.
    """
    entry = replica.entry
    pool = shared.pools.get(entry.target)
    endpoint = (entry.address, entry.port)
    if pool is None or (pool.address, pool.port) != endpoint:
        if pool is not None:
            close_pool(pool)
        pool = Pool(entry.address, entry.port, 0)
        shared.pools[entry.target] = pool
    pool.share = _compute_share(shared, replica)
    return pool


def prune_pools(shared: SharedState, before_seconds: float) -> None:
    """Close connections that are not needed.

    A target counts those of a machine that lost power until it finds out;
    the fewer are kept, the more it accepts after that.

    :param shared: Shared state of the instance.
    :param before_seconds: Idle ones that were last used before this time
        are closed, and all to targets that are gone.
    """
    for target, pool in tuple(shared.pools.items()):
        if target in shared.directory.services:
            drop_idle(pool, before_seconds)
        else:
            close_pool(shared.pools.pop(target))


def now() -> float:
    """Read the clock that all of the tier goes by.

    :returns: Seconds.
    """
    return running_seconds()


def _compute_share(shared: SharedState, replica: Replica) -> int:
    table = shared.table
    service = replica.entry.service
    limit = table.connection_limits.get(service, 0) if table else 0
    members = shared.instance.membership.members.values()
    zones = [
        member.availability_zone
        for member in members
        if member.status in membership.COUNTED_STATUSES
    ]
    return connection_share(
        limit,
        replica.entry.zone,
        shared.instance.settings.availability_zone,
        zones,
    )
