"""Parameters of a forwarded request, fixed at its admission."""

import math
from typing import Final

from celeryturn.decisions.request import splitting
from celeryturn.decisions.request.caller_timeouts import (
    CallerTimeouts,
    elapsed_seconds,
    observe_timeout,
)
from celeryturn.decisions.request.legs import Plan
from celeryturn.decisions.request.route_table import Route
from celeryturn.forwarding.operations.limited_log import log_ignored_header
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.http.messages import HttpRequest
from celeryturn.platform import wire

RETURN_PATH_SECONDS: Final = 0.012
ANSWER_RESERVE_SECONDS: Final = 0.005
ROUNDING_TOLERANCE: Final = 1e-9


def build_plan(
    shared: SharedState,
    request: HttpRequest,
    route: Route,
    started_seconds: float,
) -> Plan:
    """Fix the parameters of a request.

    :param shared: Shared state of the instance.
    :param request: Request of the caller.
    :param route: Its route.
    :param started_seconds: Time at which it arrived from the caller.
    :returns: The plan.
    """
    remaining_seconds = wire.read_remaining_seconds(request)
    max_wait_seconds = route.timeout_seconds
    caller_elapsed_seconds = 0.0
    if remaining_seconds is None:
        text = wire.ignored_remaining_text(request)
        attempt_id = wire.read_attempt_id(request)
        log_ignored_header(shared, attempt_id, text)
    else:
        max_wait_seconds = min(max_wait_seconds, remaining_seconds)
        caller_elapsed_seconds = _caller_elapsed_seconds(
            shared, route, remaining_seconds
        )
    services = _choose_services(shared, route)
    return Plan(
        services=services,
        min_success_count=min_success_count(route),
        is_idempotent=route.is_idempotent,
        attempt_limit=route.attempt_limit,
        started_seconds=started_seconds,
        due_seconds=started_seconds
        + route.objective_seconds
        - caller_elapsed_seconds
        - RETURN_PATH_SECONDS,
        deadline_seconds=started_seconds
        + max_wait_seconds
        - ANSWER_RESERVE_SECONDS,
    )


def _caller_elapsed_seconds(
    shared: SharedState, route: Route, remaining_seconds: float
) -> float:
    caller_timeouts = shared.route_states.caller_timeouts.setdefault(
        route.name, CallerTimeouts()
    )
    observe_timeout(caller_timeouts, remaining_seconds)
    return elapsed_seconds(
        caller_timeouts, remaining_seconds, route.objective_seconds
    )


def _choose_services(shared: SharedState, route: Route) -> tuple[str, ...]:
    if route.gather is not None:
        return route.gather.shards
    random_fraction = shared.instance.random()
    return (
        splitting.choose_service(
            shared.route_states.splitter, route, random_fraction
        ),
    )


def min_success_count(route: Route) -> int:
    """Return how many services must reply to a request of a route.

    :param route: The route.
    :returns: Number of legs that must succeed, at least one.
    """
    if route.gather is None:
        return 1
    min_count = route.gather.min_share * len(route.gather.shards)
    return max(1, math.ceil(min_count - ROUNDING_TOLERANCE))
