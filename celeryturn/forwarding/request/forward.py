"""Forward the request of a caller to the targets of its route."""

from collections.abc import Callable
from typing import Final, NamedTuple, TypeAlias

from celeryturn.decisions.request import retry_after
from celeryturn.decisions.request.fingerprint import (
    Fingerprint,
    compute_fingerprint,
)
from celeryturn.decisions.request.legs import ShardedRequest
from celeryturn.decisions.request.replies import AttemptOutcome, TargetReply
from celeryturn.decisions.request.route_table import Route, match_route
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.forwarding import shared_state
from celeryturn.forwarding.request.context import RequestContext
from celeryturn.forwarding.request.failures import failure_outcome
from celeryturn.forwarding.request.gathering import gather_reply
from celeryturn.forwarding.request.handover import (
    serve_by_peer,
    should_hand_over,
)
from celeryturn.forwarding.request.plan import build_plan
from celeryturn.forwarding.request.request_log import log_request
from celeryturn.forwarding.request.runner import Runner, may_have_run
from celeryturn.forwarding.request.suspect_requests import require_allowed
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.http.messages import HttpReply, HttpRequest, header
from celeryturn.platform import wire

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
    host = header(request.headers, 'host') or ''
    route = find_route(shared, host, request.url.partition('?')[0])
    _require_accepting_requests(shared)
    fingerprint = _fingerprint(request)
    is_trial = require_allowed(shared, fingerprint, route.timeout_seconds)
    plan = build_plan(shared, request, route, started_seconds)
    plan = plan._replace(is_trial=is_trial)
    if not origin.is_relayed and should_hand_over(shared, plan):
        return await serve_by_peer(shared, request, plan)
    outgoing = request._replace(headers=wire.forwarded_headers(request.headers))
    context = RequestContext(
        outgoing, route, plan, fingerprint, origin.is_relayed
    )
    runner = Runner(shared, context)
    return await _run(runner, request, on_forwarded)


def find_route(shared: SharedState, host: str, path: str) -> Route:
    """Find the route of a request.

    :param shared: Shared state of the instance.
    :param host: Host that the caller names.
    :param path: Path without its query string.
    :returns: The route.
    :raises CeleryturnError: ``not_configured`` without routes, ``no_route`` if
        none matches.
    """
    if shared.table is None:
        raise _not_configured_error(shared)
    route = match_route(shared.table, host, path)
    if route is None:
        raise CeleryturnError(
            Kind.NO_ROUTE,
            f'{host}{path} matches no route of version {shared.table.version}',
        )
    return route


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
    reply = await _success_reply(route, runner, state)
    outcome = failure_outcome(route, runner) if reply is None else reply
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


async def _success_reply(
    route: Route, runner: Runner, state: ShardedRequest
) -> HttpReply | None:
    successful = _successful_replies(state)
    if len(successful) < state.plan.min_success_count:
        return None
    if route.gather is None:
        return wire.caller_reply(runner.replies[successful[0].signature])
    return await gather_reply(
        successful, len(state.legs), route.gather.record_count
    )


def _successful_replies(state: ShardedRequest) -> list[TargetReply]:
    return [
        leg.reply
        for leg in state.legs
        if leg.reply is not None
        and leg.reply.attempt_outcome is AttemptOutcome.SUCCEEDED
    ]
