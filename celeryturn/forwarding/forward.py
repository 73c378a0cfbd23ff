"""Answer one caller's request by its route."""

import math
from collections.abc import Callable
from typing import Final, TypeAlias

from celeryturn.decisions import directory, retry_after, splitting
from celeryturn.decisions.caller_timeouts import (
    CallerTimeouts,
    elapsed_seconds,
    observe_timeout,
)
from celeryturn.decisions.legs import Plan, ShardedRequest
from celeryturn.decisions.replies import AttemptOutcome, TargetReply
from celeryturn.decisions.route_table import Route, match_route
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.forwarding import shared_state as tiers
from celeryturn.forwarding.request_log import tell_request
from celeryturn.forwarding.runner import Runner, Work, has_run
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.http.messages import HttpReply, HttpRequest, header
from celeryturn.platform import wire

WAY_BACK_SECONDS: Final = 0.012
ANSWER_SECONDS: Final = 0.005
ROUNDING: Final = 1e-9
Count: TypeAlias = Callable[[Runner, int], None]


async def forward(
    tier: SharedState, request: HttpRequest, count: Count
) -> HttpReply:
    """Forward a request to the targets of its route.

    :param tier: The tier.
    :param request: The caller's whole request.
    :param count: Gets how it went, and the status of the answer.
    :returns: The reply.
    :raises CeleryturnError: When there is no success and no target's own
        failure to pass on.
    """
    started_seconds = tiers.now()
    route = _route(tier, request)
    _require_serving(tier)
    plan = _plan(tier, request, route, started_seconds)
    outgoing = request._replace(headers=wire.forwarded_headers(request.headers))
    runner = Runner(tier, Work(outgoing, route, plan))
    tier.in_flight.add(runner)
    try:
        state = await runner.run()
    finally:
        tier.in_flight.discard(runner)
    reply = _success(route, runner, state)
    outcome = _failure(route, runner) if reply is None else reply
    status = _status(outcome)
    count(runner, status)
    tell_request(tier, request, runner, status)
    if isinstance(outcome, CeleryturnError):
        raise outcome
    return outcome


def _status(outcome: HttpReply | CeleryturnError) -> int:
    if isinstance(outcome, CeleryturnError):
        return outcome.answer.status
    return outcome.status


def _route(tier: SharedState, request: HttpRequest) -> Route:
    if tier.table is None:
        raise _not_configured(tier)
    host = header(request.headers, 'host') or ''
    path = request.url.partition('?')[0]
    route = match_route(tier.table, host, path)
    if route is None:
        raise CeleryturnError(
            Kind.NO_ROUTE,
            f'{host}{path} has no route in version {tier.table.version}',
        )
    return route


def _not_configured(tier: SharedState) -> CeleryturnError:
    progress = tier.progress
    passed_seconds = tiers.now() - progress.last_contact_seconds
    return CeleryturnError(
        Kind.NOT_CONFIGURED,
        'no routes are known yet',
        retry_after_seconds=retry_after.outage_retry_seconds(
            passed_seconds,
            tier.instance.random(),
            is_failing=progress.is_lost,
        ),
    )


def _require_serving(tier: SharedState) -> None:
    if tier.is_refusing:
        raise CeleryturnError(Kind.LEAVING, 'this instance is about to end')


def _plan(
    tier: SharedState,
    request: HttpRequest,
    route: Route,
    started_seconds: float,
) -> Plan:
    remaining = wire.remaining_seconds(request)
    wait_seconds = route.timeout_seconds
    passed_seconds = 0.0
    if remaining is not None:
        wait_seconds = min(wait_seconds, remaining)
        passed_seconds = _passed_seconds(tier, route, remaining)
    services = _services(tier, route)
    return Plan(
        services=services,
        min_success_count=_least_count(route),
        is_idempotent=route.is_idempotent,
        attempt_limit=route.attempt_limit,
        started_seconds=started_seconds,
        due_seconds=started_seconds
        + route.objective_seconds
        - passed_seconds
        - WAY_BACK_SECONDS,
        deadline_seconds=started_seconds + wait_seconds - ANSWER_SECONDS,
    )


def _passed_seconds(tier: SharedState, route: Route, remaining: float) -> float:
    waits = tier.caller_timeouts.setdefault(route.name, CallerTimeouts())
    observe_timeout(waits, remaining)
    return elapsed_seconds(waits, remaining, route.objective_seconds)


def _services(tier: SharedState, route: Route) -> tuple[str, ...]:
    if route.gather is not None:
        return route.gather.shards
    random = tier.instance.random()
    return (splitting.choose_service(tier.splitter, route, random),)


def _least_count(route: Route) -> int:
    if route.gather is None:
        return 1
    share = route.gather.min_share * len(route.gather.shards)
    return max(1, math.ceil(share - ROUNDING))


def _success(
    route: Route, runner: Runner, state: ShardedRequest
) -> HttpReply | None:
    parts = _parts(state)
    if len(parts) < state.plan.min_success_count:
        return None
    if route.gather is None:
        return wire.caller_reply(runner.replies[parts[0].signature])
    return wire.gathered_reply(
        parts, len(state.legs), route.gather.record_count
    )


def _parts(state: ShardedRequest) -> list[TargetReply]:
    return [
        leg.reply
        for leg in state.legs
        if leg.reply is not None
        and leg.reply.attempt_outcome is AttemptOutcome.SUCCEEDED
    ]


def _no_target(runner: Runner) -> CeleryturnError:
    tier = runner.tier
    plan = runner.work.plan
    now_seconds = tiers.now()
    usual = runner.usual(now_seconds)
    rooms_seconds = (
        retry_after.seconds_until_capacity(
            directory.serving(tier.directory, service), usual, now_seconds
        )
        for service in plan.services
    )
    return CeleryturnError(
        Kind.NO_TARGET,
        'no target took the request',
        retry_after_seconds=retry_after.capacity_retry_seconds(
            rooms_seconds, plan.min_success_count, tier.instance.random()
        ),
    )


def _failure(route: Route, runner: Runner) -> HttpReply | CeleryturnError:
    state = runner.state
    if not has_run(runner):
        return _no_target(runner)
    is_over = tiers.now() >= state.plan.deadline_seconds
    if is_over:
        return CeleryturnError(Kind.TIMED_OUT, 'no answer in time')
    if route.gather is not None:
        return CeleryturnError(
            Kind.COVERAGE_TOO_LOW,
            f'{state.success_count} of {len(state.legs)} shards',
        )
    reply = state.legs[0].reply
    if reply is not None:
        return wire.caller_reply(runner.replies[reply.signature])
    return CeleryturnError(Kind.REPLY_LOST, 'the reply of the target was lost')
