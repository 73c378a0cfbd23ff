"""State that the parts of a forwarding instance share."""

from typing import Final, Protocol

from celeryturn.clock import boottime_seconds
from celeryturn.decisions.load.fleet_share import FleetShare
from celeryturn.decisions.load.line_budget import LineBudget
from celeryturn.decisions.request.route_table import (
    RouteTable,
    is_newer,
    service_names_of,
)
from celeryturn.decisions.targets.directory import Directory
from celeryturn.decisions.targets.reachability import TargetLinks
from celeryturn.decisions.targets.shared_health import Reporter
from celeryturn.errors import CeleryturnError
from celeryturn.events import NOT_ADOPTED, TABLE_ADOPTED, log
from celeryturn.forwarding.callbacks import Callbacks
from celeryturn.forwarding.route_states import RouteStates
from celeryturn.forwarding.settings import ForwardingSettings
from celeryturn.forwarding.store.progress import StoreProgress
from celeryturn.forwarding.targets.connections import TargetConnections
from celeryturn.forwarding.targets.pools import Pool
from celeryturn.forwarding.targets.restarts import make_discarder
from celeryturn.instance import Instance
from celeryturn.platform.documents import decode_table

MAX_UNKNOWN_HEADERS: Final = 64


class Stoppable(Protocol):
    """A request that can be ended early."""

    def stop(self) -> None:
        """End the request with the replies received so far."""


class LogState:
    """Rate limit of log lines, and counts of what may not be logged.

    :param line_budget: Rate limit of log lines.
    :param ignored_header_count: Headers of callers and targets that were
        ignored, since they hold no valid number.
    :param unknown_headers: Names of headers of targets that this build does
        not know, at most :data:`MAX_UNKNOWN_HEADERS`.
    """

    __slots__ = ('ignored_header_count', 'line_budget', 'unknown_headers')

    def __init__(self, now_seconds: float) -> None:
        self.line_budget = LineBudget(now_seconds)
        self.ignored_header_count = 0
        self.unknown_headers: set[str] = set()


class SharedState:
    """State that the parts of a forwarding instance share.

    :param settings: Settings of the instance.
    :param instance: Membership, metrics and life cycle.
    :param table: Current routes; ``None`` until they are known.
    :param table_body: The current routes as they were published, for peers.
    :param directory: Known targets and their observed state.
    :param pools: Connection pools by target.
    :param target_connections: Connections of all pools together.
    :param links: Whether this instance reaches its targets at all.
    :param fleet_share: Share of this instance in the limits of the targets.
    :param route_states: What is observed of each route.
    :param callbacks: Callbacks on adopted tables and on leaving targets.
    :param in_flight: Requests that are being forwarded.
    :param is_refusing: Whether new requests are refused without being run.
    :param progress: Progress of reading the store.
    :param log_state: Rate limit of log lines and what they count.
    """

    def __init__(
        self, settings: ForwardingSettings, instance: Instance
    ) -> None:
        self.settings = settings
        self.instance = instance
        self.table: RouteTable | None = None
        self.table_body = b''
        self.pools: dict[str, Pool] = {}
        self.directory = Directory(make_discarder(self.pools))
        self.target_connections = TargetConnections()
        self.links = TargetLinks(now())
        self.fleet_share = FleetShare(instance.membership, now())
        self.route_states = RouteStates(now(), _own_reporter(instance))
        self.callbacks = Callbacks()
        self.in_flight: set[Stoppable] = set()
        self.is_refusing = False
        self.progress = StoreProgress(now())
        self.log_state = LogState(now())


def adopt_table(shared: SharedState, body: bytes, source: str) -> bool:
    """Adopt published routes if they are newer than the current ones.

    A table that cannot be decoded is logged and ignored.

    :param shared: Shared state of the instance.
    :param body: The routes as they were published.
    :param source: Where the routes came from, for the log.
    :returns: Whether the routes were adopted.
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
    _drop_removed_services(shared, table)
    for callback in shared.callbacks.adopted:
        callback(table)
    report_progress(shared)
    return True


def _drop_removed_services(shared: SharedState, table: RouteTable) -> None:
    service_names: set[str] = set()
    for host_routes in table.routes.values():
        service_names.update(*map(service_names_of, host_routes))
    zone_shares = shared.route_states.zone_shares
    for name in zone_shares.keys() - service_names:
        zone_shares.pop(name)


def report_progress(shared: SharedState) -> None:
    """Call back since this instance knows more of the store.

    :param shared: Shared state of the instance.
    """
    for callback in shared.callbacks.progressed:
        callback()


def _own_reporter(instance: Instance) -> Reporter:
    settings = instance.settings
    return Reporter(settings.instance, settings.availability_zone)


def _drop_removed_routes(shared: SharedState, table: RouteTable) -> None:
    route_names = {
        route.name
        for host_routes in table.routes.values()
        for route in host_routes
    }
    for by_route in (
        shared.route_states.latencies,
        shared.route_states.caller_timeouts,
        shared.route_states.splitter.credits,
    ):
        for name in by_route.keys() - route_names:
            by_route.pop(name)


def table_version(shared: SharedState) -> int:
    """Return the version of the current routes.

    :param shared: Shared state of the instance.
    :returns: The version; zero if there are no routes.
    """
    return shared.table.version if shared.table else 0


def now() -> float:
    """Read the clock that all parts of a forwarding instance use.

    :returns: Seconds since an arbitrary point.
    """
    return boottime_seconds()
