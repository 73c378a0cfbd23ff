"""Record what the end of an exchange shows of its target."""

from typing import Final

from celeryturn.decisions.request.legs import Attempt
from celeryturn.decisions.request.pacing import estimate_latency
from celeryturn.decisions.request.replies import AttemptOutcome, TargetReply
from celeryturn.decisions.request.route_table import Route
from celeryturn.decisions.targets import latency, reachability, replicas
from celeryturn.forwarding.shared_state import SharedState, now
from celeryturn.forwarding.targets.cold_targets import observe_cold
from celeryturn.forwarding.targets.exchanges import Exchange
from celeryturn.forwarding.targets.leaving import announce_leaving
from celeryturn.forwarding.targets.pool_access import find_pool
from celeryturn.forwarding.targets.pools import drop_idle, reject_waiting
from celeryturn.forwarding.targets.request_rates import observe_rate
from celeryturn.forwarding.targets.shared_health import (
    observe_outcome,
    observe_silence,
    observe_success,
    observe_wait,
)

DROP_IDLE_STALL_FACTOR: Final = 3.0
# A success is observed together with its latency.
_RESPONSE_OUTCOMES: Final = frozenset(
    (AttemptOutcome.FAILED, AttemptOutcome.SHED, AttemptOutcome.UNUSABLE)
)
# Replies that the target itself made, complete and unspoiled.
_VALID_OUTCOMES: Final = frozenset(
    (AttemptOutcome.SUCCEEDED, AttemptOutcome.FAILED, AttemptOutcome.SHED)
)
# The connection could not be opened, or broke off.
_BROKEN_OUTCOMES: Final = frozenset(
    (AttemptOutcome.NOT_SENT, AttemptOutcome.LOST)
)
# No process or another target listens at the address of the target.
_UNREACHABLE_OUTCOMES: Final = frozenset(
    (AttemptOutcome.NOT_SENT, AttemptOutcome.WRONG_TARGET)
)


def get_expected_latency(
    shared: SharedState, route: Route
) -> replicas.ExpectedLatency:
    """Estimate the expected latencies of a route.

    :param shared: Shared state of the instance.
    :param route: The route.
    :returns: Typical and slow latency, and the time without a response that
        suggests a stall.
    """
    now_seconds = now()
    return estimate_latency(
        _latency_window(shared, route), route.objective_seconds, now_seconds
    )


def peek_expected_latency(
    shared: SharedState, route: Route
) -> replicas.ExpectedLatency:
    """Estimate the expected latencies of a route without changing any state.

    :param shared: Shared state of the instance.
    :param route: The route.
    :returns: As :func:`get_expected_latency`.
    """
    window = shared.route_states.latencies.get(route.name)
    return estimate_latency(
        latency.LatencyWindow(now())
        if window is None
        else latency.peek_window(window),
        route.objective_seconds,
        now(),
    )


def observe_reply(
    shared: SharedState,
    route: Route,
    replica: replicas.Replica,
    exchange: Exchange,
    reply: TargetReply,
) -> None:
    """Record the end of an exchange.

    :param shared: Shared state of the instance.
    :param route: Route of the request.
    :param replica: The target.
    :param exchange: The exchange, which has ended.
    :param reply: Its reply, or a substitute with the outcome if there was none.
    """
    now_seconds = now()
    outcome = reply.attempt_outcome
    if outcome in _BROKEN_OUTCOMES:
        reachability.observe_connection_failure(replica, now_seconds)
    _observe_refusal(shared, replica, reply)
    if outcome in _VALID_OUTCOMES:
        _observe_statements(shared, replica, exchange, reply)
    _observe_state(shared, replica, reply)
    if outcome in _RESPONSE_OUTCOMES:
        replicas.observe_response(replica, now_seconds)
    if outcome is AttemptOutcome.SUCCEEDED:
        _observe_latency(shared, route, replica, exchange)
    elif outcome in _UNREACHABLE_OUTCOMES:
        replicas.observe_unreachable(replica, now_seconds)
    else:
        replicas.observe_failure(replica, now_seconds)


def observe_cancelled(
    shared: SharedState,
    route: Route,
    attempt: Attempt,
    exchange: Exchange,
) -> None:
    """Record that an exchange was cancelled without a reply.

    :param shared: Shared state of the instance.
    :param route: Route of the request.
    :param attempt: The attempt.
    :param exchange: Its exchange.
    """
    replica = attempt.replica
    now_seconds = now()
    reachability.observe_unanswered(replica, attempt.sent_seconds, now_seconds)
    if not exchange.written_seconds:
        return
    expected_latency = get_expected_latency(shared, route)
    waited_seconds = now_seconds - exchange.written_seconds
    _observe_wait(shared, replica, waited_seconds, expected_latency)
    if waited_seconds > DROP_IDLE_STALL_FACTOR * expected_latency.stall_seconds:
        # Established connections may remain without any response while new
        # ones work.
        pool = find_pool(shared, replica)
        if pool is not None:
            drop_idle(pool, exchange.written_seconds)


def _observe_state(
    shared: SharedState, replica: replicas.Replica, reply: TargetReply
) -> None:
    observe_outcome(shared, replica, reply.attempt_outcome)
    if reply.load is not None:
        replicas.observe_load(replica, reply.load, now())


def _observe_wait(
    shared: SharedState,
    replica: replicas.Replica,
    waited_seconds: float,
    expected_latency: replicas.ExpectedLatency,
) -> None:
    now_seconds = now()
    observe_wait(shared, replica, waited_seconds, expected_latency)
    if replicas.shows_silence(
        replica, waited_seconds, expected_latency, now_seconds
    ):
        observe_silence(shared, replica)
    replicas.observe_no_response(
        replica, waited_seconds, expected_latency, now_seconds
    )


def _observe_latency(
    shared: SharedState,
    route: Route,
    replica: replicas.Replica,
    exchange: Exchange,
) -> None:
    now_seconds = now()
    waited_seconds = now_seconds - exchange.written_seconds
    expected_latency = get_expected_latency(shared, route)
    replicas.observe_latency(
        replica, waited_seconds, expected_latency, now_seconds
    )
    observe_success(shared, replica, waited_seconds, expected_latency)
    latency.record(_latency_window(shared, route), waited_seconds, now_seconds)


def _observe_statements(
    shared: SharedState,
    replica: replicas.Replica,
    exchange: Exchange,
    reply: TargetReply,
) -> None:
    observe_rate(
        shared,
        replica,
        reply.rate_limit_per_second,
        exchange.written_seconds,
    )
    observe_cold(shared, replica, reply.cold_seconds)


def _observe_refusal(
    shared: SharedState, replica: replicas.Replica, reply: TargetReply
) -> None:
    # The reply of another target at the address says nothing about this one.
    if reply.attempt_outcome is AttemptOutcome.WRONG_TARGET:
        return
    if reply.is_leaving:
        announce_leaving(shared, replica)
    if reply.retry_after_seconds:
        replicas.observe_retry_after(replica, reply.retry_after_seconds, now())
        pool = find_pool(shared, replica)
        if pool is not None:
            reject_waiting(pool)


def _latency_window(shared: SharedState, route: Route) -> latency.LatencyWindow:
    latencies = shared.route_states.latencies
    window = latencies.get(route.name)
    if window is None:
        window = latency.LatencyWindow(now())
        latencies[route.name] = window
    return window
