"""Forward the request of a caller to the targets of its route."""

import math
from collections.abc import Callable
from typing import Final, NamedTuple, TypeAlias

from celeryturn.decisions.request import retry_after, splitting
from celeryturn.decisions.request.caller_timeouts import (
    CallerTimeouts,
    elapsed_seconds,
    observe_timeout,
)
from celeryturn.decisions.request.fingerprint import (
    Fingerprint,
    compute_fingerprint,
)
from celeryturn.decisions.request.legs import Plan, ShardedRequest
from celeryturn.decisions.request.replies import AttemptOutcome, TargetReply
from celeryturn.decisions.request.route_table import Route, match_route
from celeryturn.decisions.targets import directory
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.forwarding import shared_state
from celeryturn.forwarding.handover import serve_by_peer, should_hand_over
from celeryturn.forwarding.request_log import log_request
from celeryturn.forwarding.runner import RequestContext, Runner, may_have_run
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.http.messages import HttpReply, HttpRequest, header
from celeryturn.platform import wire

RETURN_PATH_SECONDS: Final = 0.012
ANSWER_RESERVE_SECONDS: Final = 0.005
ROUNDING_TOLERANCE: Final = 1e-9
OnForwarded: TypeAlias = Callable[[Runner, int], None]


class Origin(NamedTuple):
    """Where a request comes from.

    :param waited_seconds: Time since it arrived from the caller.
    :param is_relayed: Whether it is served for a peer, which must not be asked
        in turn.
    """

    waited_seconds: float = 0.0
    is_relayed: bool = False


OWN_CALLER: Final = Origin()


async def forward(
    shared: SharedState,
    request: HttpRequest,
    on_forwarded: OnForwarded,
    origin: Origin = OWN_CALLER,
) -> HttpReply:
    """Forward a request to the targets of its route.

    While no target can be reached, a peer is asked to do so.

    :param shared: Shared state of the instance.
    :param request: The complete request of the caller.
    :param on_forwarded: Called with the finished request and the status of
        its answer.
    :param origin: Where the request comes from.
    :returns: The reply to the caller.
    :raises CeleryturnError: If the request cannot be forwarded, or if it did
        not succeed and there is no failure reply of a target to pass on.
    """
    started_seconds = shared_state.now() - origin.waited_seconds
    route = _find_route(shared, request)
    _require_accepting_requests(shared)
    plan = _build_plan(shared, request, route, started_seconds)
    if not origin.is_relayed and should_hand_over(shared, plan):
        return await serve_by_peer(shared, request, plan)
    outgoing = request._replace(headers=wire.forwarded_headers(request.headers))
    context = RequestContext(
        outgoing, route, plan, _fingerprint(request), origin.is_relayed
    )
    runner = Runner(shared, context)
    return await _run(runner, request, on_forwarded)


async def _run(
    runner: Runner, request: HttpRequest, on_forwarded: OnForwarded
) -> HttpReply:
    shared = runner.shared
    route = runner.context.route
    shared.in_flight.add(runner)
    try:
        state = await runner.run()
    finally:
        shared.in_flight.discard(runner)
    if runner.is_withdrawn:
        return await serve_by_peer(
            shared, request, state.plan, may_have_run=may_have_run(runner)
        )
    reply = _success_reply(route, runner, state)
    outcome = _failure_outcome(route, runner) if reply is None else reply
    status = _status(outcome)
    on_forwarded(runner, status)
    log_request(shared, request, runner, status)
    if isinstance(outcome, CeleryturnError):
        raise outcome
    return outcome


def _status(outcome: HttpReply | CeleryturnError) -> int:
    if isinstance(outcome, CeleryturnError):
        return outcome.answer.status
    return outcome.status


def _find_route(shared: SharedState, request: HttpRequest) -> Route:
    if shared.table is None:
        raise _not_configured_error(shared)
    host = header(request.headers, 'host') or ''
    path = request.url.partition('?')[0]
    route = match_route(shared.table, host, path)
    if route is None:
        raise CeleryturnError(
            Kind.NO_ROUTE,
            f'{host}{path} matches no route of version {shared.table.version}',
        )
    return route


def _fingerprint(request: HttpRequest) -> Fingerprint:
    host = header(request.headers, 'host') or ''
    return compute_fingerprint(request.method, host, request.url, request.body)


def _not_configured_error(shared: SharedState) -> CeleryturnError:
    progress = shared.progress
    since_contact_seconds = shared_state.now() - progress.last_contact_seconds
    return CeleryturnError(
        Kind.NOT_CONFIGURED,
        'no routes have been received yet',
        retry_after_seconds=retry_after.outage_retry_seconds(
            since_contact_seconds,
            shared.instance.random(),
            is_failing=progress.is_lost,
        ),
    )


def _require_accepting_requests(shared: SharedState) -> None:
    if shared.is_refusing:
        raise CeleryturnError(
            Kind.LEAVING, 'the instance is shutting down; use another one'
        )


def _build_plan(
    shared: SharedState,
    request: HttpRequest,
    route: Route,
    started_seconds: float,
) -> Plan:
    remaining_seconds = wire.read_remaining_seconds(request)
    max_wait_seconds = route.timeout_seconds
    caller_elapsed_seconds = 0.0
    if remaining_seconds is None:
        text = wire.ignored_remaining_text(request)
        attempt_id = wire.read_attempt_id(request)
        shared_state.log_ignored_header(shared, attempt_id, text)
    else:
        max_wait_seconds = min(max_wait_seconds, remaining_seconds)
        caller_elapsed_seconds = _caller_elapsed_seconds(
            shared, route, remaining_seconds
        )
    services = _choose_services(shared, route)
    return Plan(
        services=services,
        min_success_count=_min_success_count(route),
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


def _min_success_count(route: Route) -> int:
    if route.gather is None:
        return 1
    min_count = route.gather.min_share * len(route.gather.shards)
    return max(1, math.ceil(min_count - ROUNDING_TOLERANCE))


def _success_reply(
    route: Route, runner: Runner, state: ShardedRequest
) -> HttpReply | None:
    successful = _successful_replies(state)
    if len(successful) < state.plan.min_success_count:
        return None
    if route.gather is None:
        return wire.caller_reply(runner.replies[successful[0].signature])
    return wire.gathered_reply(
        successful, len(state.legs), route.gather.record_count
    )


def _successful_replies(state: ShardedRequest) -> list[TargetReply]:
    return [
        leg.reply
        for leg in state.legs
        if leg.reply is not None
        and leg.reply.attempt_outcome is AttemptOutcome.SUCCEEDED
    ]


def _no_target_error(runner: Runner) -> CeleryturnError:
    shared = runner.shared
    plan = runner.context.plan
    now_seconds = shared_state.now()
    expected_latency = runner.expected_latency(now_seconds)
    serving = [
        directory.serving_replicas(shared.directory, service)
        for service in plan.services
    ]
    capacity_seconds = retry_after.capacity_retry_seconds(
        (
            retry_after.seconds_until_capacity(
                replicas, expected_latency, now_seconds
            )
            for replicas in serving
        ),
        plan.min_success_count,
        shared.instance.random(),
    )
    wanted_seconds = retry_after.wanted_retry_seconds(
        (
            retry_after.seconds_until_wanted(replicas, now_seconds)
            for replicas in serving
        ),
        plan.min_success_count,
        shared.instance.random(),
    )
    return CeleryturnError(
        Kind.NO_TARGET,
        'no target accepted the request',
        retry_after_seconds=None
        if capacity_seconds is None
        else max(capacity_seconds, wanted_seconds),
    )


def _failure_outcome(
    route: Route, runner: Runner
) -> HttpReply | CeleryturnError:
    state = runner.state
    if not may_have_run(runner):
        return _no_target_error(runner)
    is_deadline_passed = shared_state.now() >= state.plan.deadline_seconds
    if is_deadline_passed:
        return CeleryturnError(
            Kind.TIMED_OUT, 'the deadline passed before the request succeeded'
        )
    if route.gather is not None:
        return CeleryturnError(
            Kind.COVERAGE_TOO_LOW,
            f'{state.success_count} of {len(state.legs)} shards succeeded,'
            ' too few for an answer',
        )
    reply = state.legs[0].reply
    if reply is not None:
        return wire.caller_reply(runner.replies[reply.signature])
    return CeleryturnError(
        Kind.REPLY_LOST,
        'no usable reply from a target; the request may have run',
    )
