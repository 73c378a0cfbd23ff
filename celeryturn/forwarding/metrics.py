"""Metrics of forwarded requests, in the usual text format."""

from typing import Final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from celeryturn.decisions import extra_load, membership
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.forwarding import shared_state as tiers
from celeryturn.forwarding.runner import Runner
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.metrics import LATENCY_BUCKETS_SECONDS

METRICS_PATH: Final = '/metrics'
OK: Final = 200
MOST_ROUTES: Final = 256
OTHER_ROUTE: Final = 'other'


class Measures:
    """The collectors of one instance.

    :param registry: Holds them all.
    :param answers: Forwarded requests, by route, status and completeness.
    :param latency: Seconds from admission to the answer, by route.
    :param attempts: Requests to targets, by service and outcome.
    :param refusals: Requests answered without a target's reply, by kind.
    :param levels: Gauges, set when they are read.
    """

    def __init__(self) -> None:
        self.registry = Registry()
        self.answers = Counter(
            'celeryturn_forwarded_total',
            'Forwarded requests by route, status and completeness',
            registry=self.registry,
        )
        self.latency = Histogram(
            'celeryturn_forwarded_seconds',
            'From admission to the answer',
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
            'Requests answered without a reply of a target, by kind',
            registry=self.registry,
        )
        self.levels = {
            name: Gauge(f'celeryturn_{name}', text, registry=self.registry)
            for name, text in _LEVELS
        }
        self._routes: set[str] = set()

    def answer(self, tier: SharedState, request: HttpRequest) -> HttpReply:
        """Answer a reader of metrics.

        :param tier: The tier.
        :param request: What it asks.
        :returns: All collectors as text.
        :raises CeleryturnError: ``unknown_path``.
        """
        if request.url != METRICS_PATH:
            raise CeleryturnError(
                Kind.UNKNOWN_PATH, f'only {METRICS_PATH} and /v1/state'
            )
        _set_levels(tier, self.levels)
        rendered, headers = render(self.registry, ['text/plain'])
        kind = ('content-type', headers['Content-Type'])
        return HttpReply(OK, (kind,), rendered)

    def route_label(self, route: str) -> str:
        """Bound the number of labels.

        :param route: Name of a route.
        :returns: The name, or one for all that came late.
        """
        if route not in self._routes and len(self._routes) >= MOST_ROUTES:
            return OTHER_ROUTE
        self._routes.add(route)
        return route


_LEVELS: Final = (
    ('table_version', 'Version of the routes in force'),
    ('store_age_seconds', 'Since the store last answered'),
    ('targets', 'Targets by service and whether they drain'),
    ('target_connections', 'Connections to targets by service'),
    ('extra_load_left', 'Extra requests that may be sent now, by service'),
    ('requests_under_way', 'Requests that are being forwarded'),
    ('instances', 'Instances by what is believed of them'),
    ('log_lines_dropped', 'Log lines left out since they were last told'),
)


def count_request(measures: Measures, runner: Runner, status: int) -> None:
    """Count a request that was forwarded.

    :param measures: The collectors.
    :param runner: How it went.
    :param status: Status of the answer.
    """
    state = runner.state
    route = measures.route_label(runner.work.route.name)
    is_whole = state.success_count == len(state.legs)
    measures.answers.inc(
        {
            'route': route,
            'status': str(status),
            'complete': str(is_whole).lower(),
        }
    )
    elapsed_seconds = tiers.now() - state.plan.started_seconds
    measures.latency.observe({'route': route}, elapsed_seconds)
    for past in runner.history.values():
        service = state.plan.services[past.leg]
        measures.attempts.inc({'service': service, 'outcome': past.outcome})


def _set_levels(tier: SharedState, levels: dict[str, Gauge]) -> None:
    age_seconds = tiers.now() - tier.progress.last_contact_seconds
    levels['table_version'].set({}, tiers.table_version(tier))
    levels['store_age_seconds'].set({}, age_seconds)
    levels['requests_under_way'].set({}, len(tier.in_flight))
    levels['log_lines_dropped'].set({}, tier.line_budget.dropped_count)
    for service, replicas in tier.directory.replicas.items():
        draining = sum(rep.entry.is_draining for rep in replicas.values())
        _set(levels, 'targets', draining, service=service, draining='true')
        serving = len(replicas) - draining
        _set(levels, 'targets', serving, service=service, draining='false')
        held = sum(
            tier.pools[target].held_count
            for target in replicas
            if target in tier.pools
        )
        _set(levels, 'target_connections', held, service=service)
    for name, budget in tier.extra_load_buckets.items():
        _set(levels, 'extra_load_left', _left(budget), service=name)
    _set_instances(tier, levels)


def _set_instances(tier: SharedState, levels: dict[str, Gauge]) -> None:
    members = tier.instance.membership.members.values()
    for status in membership.Status:
        count = sum(member.status is status for member in members)
        _set(levels, 'instances', count, status=str(status))


def _set(
    levels: dict[str, Gauge], name: str, level: float, **labels: str
) -> None:
    levels[name].set(labels, level)


def _left(budget: extra_load.ExtraLoadBucket) -> float:
    return budget.tokens
