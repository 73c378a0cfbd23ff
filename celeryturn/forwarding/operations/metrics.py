"""Metrics of forwarded requests, in the Prometheus text format."""

from collections import Counter as Counts
from typing import Final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from celeryturn.decisions.fleet import membership
from celeryturn.decisions.load import extra_load
from celeryturn.decisions.load.request_rate import active_limit
from celeryturn.decisions.request.quarantine import Quarantine, Standing
from celeryturn.decisions.targets.replicas import Replica
from celeryturn.decisions.targets.zone_share import ZoneShare
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.forwarding import shared_state
from celeryturn.forwarding.request.runner import Runner
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.forwarding.targets.links import assess_contact
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.metrics import LATENCY_BUCKETS_SECONDS
from celeryturn.traffic import Traffic

METRICS_PATH: Final = '/metrics'
OK: Final = 200
MAX_ROUTE_LABEL_COUNT: Final = 256
OTHER_ROUTE: Final = 'other'


class ForwardingMetrics:
    """Metric collectors of one instance.

    :param registry: Registry of all collectors.
    :param forwarded: Forwarded requests by route, status and completeness.
    :param latency: Seconds from admission to the answer by route.
    :param attempts: Requests to targets by service and outcome.
    :param refusals: Requests answered without a reply of a target by kind.
    :param gauges: Gauges by name, updated whenever the metrics are read.
    """

    def __init__(self) -> None:
        self.registry = Registry()
        self.forwarded = Counter(
            'celeryturn_forwarded_total',
            'Forwarded requests by route, status and completeness',
            registry=self.registry,
        )
        self.latency = Histogram(
            'celeryturn_forwarded_seconds',
            'Seconds from admission to the answer',
            registry=self.registry,
            buckets=list(LATENCY_BUCKETS_SECONDS),
        )
        self.attempts = Counter(
            'celeryturn_attempts_total',
            'Requests to targets by service and outcome',
            registry=self.registry,
        )
        self.refusals = Counter(
            'celeryturn_forward_refusals_total',
            'Requests answered without a reply of a target by kind',
            registry=self.registry,
        )
        self.gauges = {
            name: Gauge(f'celeryturn_{name}', text, registry=self.registry)
            for name, text in _GAUGES
        }
        self._routes: set[str] = set()

    def answer(self, shared: SharedState, request: HttpRequest) -> HttpReply:
        """Answer a request for the metrics.

        :param shared: Shared state of the instance.
        :param request: Request to the metrics port.
        :returns: All metrics as text.
        :raises CeleryturnError: ``unknown_path`` for any other path.
        """
        if request.url != METRICS_PATH:
            raise CeleryturnError(
                Kind.UNKNOWN_PATH, f'use {METRICS_PATH} or /v1/state'
            )
        _set_gauges(shared, self.gauges)
        _set_traffic(shared.instance.metrics.traffic, self.gauges)
        rendered, headers = render(self.registry, ['text/plain'])
        content_type = ('content-type', headers['Content-Type'])
        return HttpReply(OK, (content_type,), rendered)

    def route_label(self, route: str) -> str:
        """Return the label of a route and limit the number of labels.

        :param route: Name of the route.
        :returns: The name; :data:`OTHER_ROUTE` for every new route after
            :data:`MAX_ROUTE_LABEL_COUNT` routes.
        """
        if (
            route not in self._routes
            and len(self._routes) >= MAX_ROUTE_LABEL_COUNT
        ):
            return OTHER_ROUTE
        self._routes.add(route)
        return route


_GAUGES: Final = (
    ('table_version', 'Version of the current routes'),
    ('store_age_seconds', 'Seconds since the store last responded'),
    ('targets', 'Targets by service and whether they are draining'),
    ('links_lost', 'Whether this instance reaches no target'),
    ('targets_heard', 'Targets that responded within the last second'),
    ('targets_silent', 'Targets that did not respond to what was sent last'),
    ('rate_limited_targets', 'Targets that state a request rate by service'),
    (
        'suspect_requests',
        'Requests under which targets ended, by how they may be sent',
    ),
    ('target_connections', 'Connections to targets by service'),
    ('extra_load_left', 'Extra requests that may be sent now by service'),
    (
        'zone_share',
        'Share of the requests to a service that may leave the zone',
    ),
    ('zone_short', 'Whether the own zone is short of capacity by service'),
    (
        'zone_attempts',
        'Requests to targets by service and whether these are in the own zone',
    ),
    ('requests_under_way', 'Requests that are being forwarded'),
    ('instances', 'Instances by status in the membership table'),
    ('peer_messages', 'Messages sent to peers by type and destination'),
    ('peer_bytes', 'Size of these messages in bytes'),
    ('store_calls', 'Calls to the store by kind'),
    (
        'headers_ignored',
        'Headers of callers and targets that hold no valid number',
    ),
    (
        'headers_unknown',
        'Names of headers of targets that this build does not know',
    ),
    (
        'log_lines_dropped',
        'Log lines dropped since their number was last logged',
    ),
)


def count_request(
    collectors: ForwardingMetrics, runner: Runner, status: int
) -> None:
    """Record a forwarded request in the metrics.

    :param collectors: Metric collectors of the instance.
    :param runner: The finished request.
    :param status: Status of the answer.
    """
    state = runner.state
    route = collectors.route_label(runner.context.route.name)
    is_complete = state.success_count == len(state.legs)
    collectors.forwarded.inc(
        {
            'route': route,
            'status': str(status),
            'complete': str(is_complete).lower(),
        }
    )
    elapsed_seconds = shared_state.now() - state.plan.started_seconds
    collectors.latency.observe({'route': route}, elapsed_seconds)
    for record in runner.history.values():
        service = state.plan.services[record.leg_position]
        collectors.attempts.inc({'service': service, 'outcome': record.outcome})


def _set_gauges(shared: SharedState, gauges: dict[str, Gauge]) -> None:
    age_seconds = shared_state.now() - shared.progress.newest_seconds
    gauges['table_version'].set({}, shared_state.table_version(shared))
    gauges['store_age_seconds'].set({}, age_seconds)
    gauges['requests_under_way'].set({}, len(shared.in_flight))
    _set_log_gauges(shared.log_state, gauges)
    _set_links(shared, gauges)
    _set_standings(shared.route_states.quarantine, gauges)
    for service, replicas in shared.directory.replicas.items():
        _set_service(shared, gauges, service, replicas)
    for name, bucket in shared.fleet_share.buckets.items():
        _set_gauge(
            gauges, 'extra_load_left', _remaining_tokens(bucket), service=name
        )
    _set_instances(shared, gauges)


def _set_zone_share(
    gauges: dict[str, Gauge], service: str, zone_share: ZoneShare
) -> None:
    counts = {
        'own': zone_share.own_zone_count,
        'other': zone_share.other_zone_count,
    }
    _set_gauge(gauges, 'zone_share', zone_share.share, service=service)
    _set_gauge(gauges, 'zone_short', zone_share.is_short, service=service)
    for zone, count in counts.items():
        _set_gauge(gauges, 'zone_attempts', count, service=service, zone=zone)


def _set_service(
    shared: SharedState,
    gauges: dict[str, Gauge],
    service: str,
    replicas: dict[str, Replica],
) -> None:
    draining_count = sum(
        replica.entry.is_draining for replica in replicas.values()
    )
    limited_count = sum(
        active_limit(replica.rate_limit) is not None
        for replica in replicas.values()
    )
    connection_count = sum(
        shared.pools[target].connection_count
        for target in replicas
        if target in shared.pools
    )
    serving_count = len(replicas) - draining_count
    _set_gauge(
        gauges, 'targets', draining_count, service=service, draining='true'
    )
    _set_gauge(
        gauges, 'targets', serving_count, service=service, draining='false'
    )
    _set_gauge(gauges, 'rate_limited_targets', limited_count, service=service)
    _set_gauge(gauges, 'target_connections', connection_count, service=service)
    zone_share = shared.route_states.zone_shares.get(service)
    if zone_share is not None:
        _set_zone_share(gauges, service, zone_share)


def _set_links(shared: SharedState, gauges: dict[str, Gauge]) -> None:
    contact = assess_contact(shared)
    gauges['links_lost'].set({}, int(shared.links.is_lost))
    gauges['targets_heard'].set({}, contact.heard_count)
    gauges['targets_silent'].set({}, contact.silent_count)


def _set_standings(quarantine: Quarantine, gauges: dict[str, Gauge]) -> None:
    counts = Counts(record.standing for record in quarantine.records.values())
    for standing in (Standing.SUSPECT, Standing.BLOCKED):
        _set_gauge(
            gauges,
            'suspect_requests',
            counts[standing],
            standing=standing.value,
        )


def _set_log_gauges(
    log_state: shared_state.LogState, gauges: dict[str, Gauge]
) -> None:
    gauges['log_lines_dropped'].set({}, log_state.line_budget.dropped_count)
    gauges['headers_ignored'].set({}, log_state.ignored_header_count)
    gauges['headers_unknown'].set({}, len(log_state.unknown_headers))


def _set_instances(shared: SharedState, gauges: dict[str, Gauge]) -> None:
    members = shared.instance.membership.members.values()
    for status in membership.Status:
        count = sum(member.status is status for member in members)
        _set_gauge(gauges, 'instances', count, status=str(status))


def _set_traffic(traffic: Traffic, gauges: dict[str, Gauge]) -> None:
    for kind, message_count in traffic.peer_messages.items():
        labels = kind._asdict()
        gauges['peer_messages'].set(labels, message_count)
        gauges['peer_bytes'].set(labels, traffic.peer_bytes[kind])
    for call, call_count in traffic.store_calls.items():
        gauges['store_calls'].set({'kind': call}, call_count)


def _set_gauge(
    gauges: dict[str, Gauge], name: str, number: float, **labels: str
) -> None:
    gauges[name].set(labels, number)


def _remaining_tokens(bucket: extra_load.ExtraLoadBucket) -> float:
    return bucket.tokens
