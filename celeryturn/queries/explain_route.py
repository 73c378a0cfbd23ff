"""Explain what would happen to a request of a published route.

The answers come from the functions that decide on requests.  Nothing is sent
to a target, and no state is changed.
"""

import enum
from collections.abc import Iterable
from typing import Final, NamedTuple

from celeryturn.decisions.request import retry_after
from celeryturn.decisions.request.fingerprint import compute_fingerprint
from celeryturn.decisions.request.route_table import Route, service_names_of
from celeryturn.decisions.targets import directory, reachability
from celeryturn.decisions.targets.choice import cost_seconds, expected_seconds
from celeryturn.decisions.targets.replicas import (
    ExpectedLatency,
    Replica,
    available_at_seconds,
)
from celeryturn.decisions.targets.zone_estimates import (
    Situation,
    is_urgent,
    usable_by_place,
)
from celeryturn.decisions.targets.zone_share import (
    ZoneShare,
    leaving_targets,
)
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.forwarding import shared_state
from celeryturn.forwarding.request.forward import find_route
from celeryturn.forwarding.request.plan import (
    RETURN_PATH_SECONDS,
    min_success_count,
)
from celeryturn.forwarding.request.suspect_requests import refused_seconds
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.forwarding.targets.observations import peek_expected_latency
from celeryturn.http.messages import HttpRequest, split_url
from celeryturn.queries.route_reasons import Reason, ruling_out

EXPLAIN_PATH: Final = '/v1/explain'
MEAN_RANDOM_FRACTION: Final = 0.5


class Outcome(enum.StrEnum):
    """What would happen to the request."""

    ADMITTED = 'admitted'
    REFUSED = 'refused'
    SERVED_BY_PEER = 'served by a peer'


class LeaveReason(enum.StrEnum):
    """What makes a request leave the zone, or stay."""

    COST = 'lowest cost is in another zone'
    NO_HOME = 'no usable target in the own zone'
    URGENT = 'expected too late from the own zone'
    SHARE = 'share of the requests that may leave'
    STAYS = 'stays in the own zone'
    NO_TARGET = 'no usable target'


class TargetReason(NamedTuple):
    """One target of a service.

    :param target: Identifier of the target.
    :param availability_zone: Availability zone of the target.
    :param expected_seconds: Estimated latency of one more request.
    :param cost_seconds: Expected latency and penalties; the lowest is chosen.
    :param reasons: What rules the target out; empty if it may be chosen.
    """

    target: str
    availability_zone: str
    expected_seconds: float
    cost_seconds: float
    reasons: tuple[Reason, ...]


class ServiceReason(NamedTuple):
    """How one service or shard of the route would be used.

    :param service: Name of the service.
    :param leaving: What makes the request leave the zone, or that it stays.
    :param targets: Targets by cost; those that are ruled out are last.
    """

    service: str
    leaving: LeaveReason
    targets: tuple[TargetReason, ...]


class RouteExplanation(NamedTuple):
    """What would happen to a request.

    :param route: Name of the route.
    :param version: Version of the routes.
    :param outcome: Whether it would be admitted, refused or served by a peer.
    :param detail: Why it would be refused; empty otherwise.
    :param retry_after_seconds: Retry time of the refusal without its random
        part; ``None`` if there is none.
    :param services: Services or shards of the route.
    """

    route: str
    version: int
    outcome: str
    detail: str
    retry_after_seconds: float | None
    services: tuple[ServiceReason, ...]


class _Inputs(NamedTuple):
    shared: SharedState
    route: Route
    expected_latency: ExpectedLatency
    now_seconds: float


class _Verdict(NamedTuple):
    outcome: Outcome
    detail: str = ''
    retry_after_seconds: float | None = None


def is_explain_request(request: HttpRequest) -> bool:
    """Return whether a request asks to explain a route.

    :param request: The received request.
    :returns: Whether its method and path are those of this query.
    """
    path, _ = split_url(request.url)
    return request.method == 'GET' and path == EXPLAIN_PATH


def run_explain_request(
    shared: SharedState, request: HttpRequest
) -> RouteExplanation:
    """Explain the request whose host and path an operator names.

    :param shared: Shared state of the instance.
    :param request: Request of the operator.
    :returns: The explanation.
    :raises CeleryturnError: ``bad_request`` if host or path are missing,
        ``not_configured`` or ``no_route`` as for the request itself.
    """
    _, query = split_url(request.url)
    host = query.get('host', '')
    path = query.get('path', '')
    if not host or not path.startswith('/'):
        raise CeleryturnError(
            Kind.BAD_REQUEST, 'host and path are needed; the path begins with /'
        )
    return explain_route(shared, host, path)


def explain_route(
    shared: SharedState, host: str, path: str
) -> RouteExplanation:
    """Explain what would happen to a ``GET`` request without a body.

    :param shared: Shared state of the instance.
    :param host: Host that the caller names.
    :param path: Path of the request.
    :returns: The explanation.
    :raises CeleryturnError: ``not_configured`` or ``no_route``.
    """
    route = find_route(shared, host, path.partition('?')[0])
    inputs = _Inputs(
        shared,
        route,
        peek_expected_latency(shared, route),
        shared_state.now(),
    )
    fingerprint = compute_fingerprint('GET', host, path, b'')
    refused = refused_seconds(shared, fingerprint)
    outcome, detail, retry_seconds = _explain_outcome(inputs, refused)
    return RouteExplanation(
        route=route.name,
        version=shared_state.table_version(shared),
        outcome=outcome,
        detail=detail,
        retry_after_seconds=retry_seconds,
        services=tuple(
            _explain_service(inputs, name) for name in service_names_of(route)
        ),
    )


def _explain_outcome(
    inputs: _Inputs, refused_after_seconds: float | None
) -> _Verdict:
    shared = inputs.shared
    if shared.is_refusing:
        return _Verdict(Outcome.REFUSED, str(Kind.LEAVING))
    if refused_after_seconds is not None:
        return _Verdict(
            Outcome.REFUSED, str(Kind.ENDS_TARGETS), refused_after_seconds
        )
    needed_count = min_success_count(inputs.route)
    if not reachability.can_serve_here(
        shared.links, _serving(inputs), needed_count, inputs.now_seconds
    ):
        return _Verdict(Outcome.SERVED_BY_PEER)
    if _usable_count(inputs) < needed_count:
        return _Verdict(
            Outcome.REFUSED, str(Kind.NO_TARGET), _retry_seconds(inputs)
        )
    return _Verdict(Outcome.ADMITTED)


def _usable_count(inputs: _Inputs) -> int:
    return sum(
        any(
            available_at_seconds(replica) <= inputs.now_seconds
            for replica in replicas
        )
        for replicas in _serving(inputs)
    )


def _serving(inputs: _Inputs) -> list[list[Replica]]:
    return [
        directory.serving_replicas(inputs.shared.directory, name)
        for name in service_names_of(inputs.route)
    ]


def _retry_seconds(inputs: _Inputs) -> float | None:
    return retry_after.no_target_retry_seconds(
        _serving(inputs),
        inputs.expected_latency,
        min_success_count(inputs.route),
        inputs.now_seconds,
        lambda: MEAN_RANDOM_FRACTION,
    )


def _explain_service(inputs: _Inputs, name: str) -> ServiceReason:
    known = inputs.shared.directory.replicas.get(name, {})
    targets = [_explain_target(inputs, replica) for replica in known.values()]
    targets.sort(key=lambda target: (bool(target.reasons), target.cost_seconds))
    return ServiceReason(
        name, _leave_reason(inputs, name, targets), tuple(targets)
    )


def _explain_target(inputs: _Inputs, replica: Replica) -> TargetReason:
    shared, _, expected_latency, now_seconds = inputs
    return TargetReason(
        replica.entry.target,
        replica.entry.zone,
        expected_seconds(replica, expected_latency, now_seconds),
        cost_seconds(replica, expected_latency, _own_zone(inputs), now_seconds),
        ruling_out(shared, replica, now_seconds),
    )


def _leave_reason(
    inputs: _Inputs, name: str, targets: Iterable[TargetReason]
) -> LeaveReason:
    usable = [target for target in targets if not target.reasons]
    own_zone = _own_zone(inputs)
    if all(target.availability_zone != own_zone for target in usable):
        return LeaveReason.NO_HOME if usable else LeaveReason.NO_TARGET
    zone_share = inputs.shared.route_states.zone_shares.get(name, ZoneShare())
    if zone_share.is_short:
        return _share_reason(inputs, name, zone_share)
    if usable[0].availability_zone != own_zone:
        return LeaveReason.COST
    return LeaveReason.STAYS


def _share_reason(
    inputs: _Inputs, name: str, zone_share: ZoneShare
) -> LeaveReason:
    situation = Situation(
        inputs.expected_latency,
        _own_zone(inputs),
        inputs.now_seconds,
        inputs.route.objective_seconds - RETURN_PATH_SECONDS,
    )
    replicas = directory.serving_replicas(inputs.shared.directory, name)
    zones = usable_by_place(replicas, situation)
    if not leaving_targets(zone_share, zones, situation):
        return LeaveReason.STAYS
    if zones.home and is_urgent(zones, zone_share.loads, situation):
        return LeaveReason.URGENT
    return LeaveReason.SHARE


def _own_zone(inputs: _Inputs) -> str:
    return inputs.shared.instance.settings.availability_zone
