"""Perform the actions that are decided for one forwarded request."""

import asyncio
from typing import Final, NamedTuple

from celeryturn.decisions.request import legs, sharded
from celeryturn.decisions.request.fingerprint import Fingerprint
from celeryturn.decisions.request.pacing import (
    estimate_latency,
    hedge_delay_seconds,
)
from celeryturn.decisions.request.replies import AttemptOutcome, TargetReply
from celeryturn.decisions.request.route_table import Route
from celeryturn.decisions.targets import (
    directory,
    latency,
    reachability,
    replicas,
)
from celeryturn.forwarding import extra_load_access, shared_state
from celeryturn.forwarding.leaving_targets import announce_leaving
from celeryturn.forwarding.pools import (
    Exchange,
    NotSentError,
    Outcome,
    WithdrawnError,
    cancel,
    drop_idle,
    reject_waiting,
    submit,
)
from celeryturn.forwarding.request_rates import observe_rate
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.forwarding.target_pools import get_pool
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.http.reply_memory import REPLY_MEMORY, hold, release
from celeryturn.platform import wire
from celeryturn.timer import Timer

DROP_IDLE_STALL_FACTOR: Final = 3.0
RELAYED_RANK: Final = 0.5
MIN_TIMER_SECONDS: Final = 0.0005


class RequestContext(NamedTuple):
    """Request of a caller with its route and plan.

    :param request: Request to send, without the headers that depend on the
        target and the attempt.
    :param route: Route of the request.
    :param plan: Parameters of the request, fixed at its admission.
    :param fingerprint: Fingerprint of the request, equal each time that it is
        sent.
    :param is_relayed: Whether it is served for a peer; it then waits behind the
        requests of own callers of the same priority.
    """

    request: HttpRequest
    route: Route
    plan: legs.Plan
    fingerprint: Fingerprint
    is_relayed: bool = False


class AttemptRecord:
    """Record of one attempt, for logs and metrics.

    :param leg_position: Index of its leg in the request.
    :param target: Identifier of the target.
    :param sent_seconds: Time at which the send was decided.
    :param ended_seconds: Time at which the attempt ended; zero if it is in
        flight or was cancelled.
    :param outcome: Value of the :class:`AttemptOutcome`, or ``given up`` if
        the attempt has not ended or was cancelled.
    """

    __slots__ = (
        'ended_seconds',
        'leg_position',
        'outcome',
        'sent_seconds',
        'target',
    )

    def __init__(self, attempt: legs.Attempt) -> None:
        self.leg_position = attempt.leg_position
        self.target = attempt.replica.entry.target
        self.sent_seconds = attempt.sent_seconds
        self.ended_seconds = 0.0
        self.outcome = 'given up'


class Runner:
    """Runs one forwarded request by performing the decided actions.

    :param shared: Shared state of the instance.
    :param context: The request, its route and its plan.
    :param state: Progress of the request.
    :param replies: Complete replies by signature, to be passed on unchanged;
        only filled for a request with a single leg.
    :param exchanges: Exchanges in flight by number of the attempt.
    :param history: Records of all attempts by number.
    :param is_withdrawn: Whether it was ended so that a peer serves it.
    :param held_bytes: Size of the replies that are kept until the end.
    :param has_cancelled: Whether an attempt was cancelled after it had been
        written to a connection.
    """

    __slots__ = (
        '_done',
        '_timer',
        'context',
        'exchanges',
        'has_cancelled',
        'held_bytes',
        'history',
        'is_withdrawn',
        'replies',
        'shared',
        'state',
    )

    def __init__(self, shared: SharedState, context: RequestContext) -> None:
        self.shared = shared
        self.context = context
        self.state = legs.ShardedRequest(context.plan)
        self.replies: dict[str, HttpReply] = {}
        self.exchanges: dict[int, Exchange] = {}
        self.history: dict[int, AttemptRecord] = {}
        self.has_cancelled = False
        self.is_withdrawn = False
        self.held_bytes = 0
        self._timer = Timer()
        self._done: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    async def run(self) -> legs.ShardedRequest:
        """Run the request to its end.

        If this is cancelled, all attempts in flight are cancelled.

        :returns: Final state of the request.
        """
        for service in self.context.plan.services:
            extra_load_access.earn_extra_load(self.shared, service)
        try:
            self._apply(sharded.begin(self.state, self._view()))
            await self._done
        finally:
            self._close()
        return self.state

    def stop(self) -> None:
        """End the request with the replies received so far."""
        self._apply(sharded.abandon(self.state))

    def withdraw(self) -> None:
        """End the request, so that a peer serves it from the beginning."""
        self.is_withdrawn = True
        self.stop()

    def expected_latency(self, now_seconds: float) -> replicas.ExpectedLatency:
        """Estimate the expected latencies of the route.

        :param now_seconds: Current time.
        :returns: Typical and slow latency, and the time without a response
            that suggests a stall.
        """
        return estimate_latency(
            self._latency_window(now_seconds),
            self.context.route.objective_seconds,
            now_seconds,
        )

    def _apply(self, actions: legs.Actions) -> None:
        for action in actions:
            match action:
                case legs.Send(attempt):
                    self._send(attempt)
                case legs.Cancel(attempt):
                    self._cancel(attempt)
                case legs.Wake(at_seconds):
                    self._schedule_wake(at_seconds)
                case legs.Finish():
                    self._finish()

    def _close(self) -> None:
        self._timer.disarm()
        self._apply(sharded.abandon(self.state))
        release(REPLY_MEMORY, self.held_bytes)

    def _finish(self) -> None:
        self._timer.disarm()
        if not self._done.done():
            self._done.set_result(None)

    def _schedule_wake(self, at_seconds: float) -> None:
        delay_seconds = max(MIN_TIMER_SECONDS, at_seconds - shared_state.now())
        self._timer.arm(delay_seconds, self._on_wake)

    def _on_wake(self) -> None:
        self._apply(sharded.on_wake(self.state, self._view()))

    def _send(self, attempt: legs.Attempt) -> None:
        target = attempt.replica.entry.target
        plan = self.context.plan

        def make_request() -> HttpRequest:
            remaining_seconds = plan.deadline_seconds - shared_state.now()
            return wire.target_request(
                self.context.request, target, remaining_seconds
            )

        def on_end(exchange: Exchange, outcome: Outcome) -> None:
            self._on_end(attempt, exchange, outcome)

        exchange = Exchange(
            self.context.route.priority
            + RELAYED_RANK * self.context.is_relayed,
            make_request,
            on_end,
            lambda reply: wire.is_reply_to(reply, self.context.request),
        )
        self.exchanges[attempt.number] = exchange
        self.history[attempt.number] = AttemptRecord(attempt)
        attempt.replica.pending[id(exchange)] = shared_state.now()
        self.shared.fleet_share.busyness.sent_count += 1
        submit(get_pool(self.shared, attempt.replica), exchange)

    def _cancel(self, attempt: legs.Attempt) -> None:
        exchange = self.exchanges.pop(attempt.number, None)
        if exchange is None or exchange.is_ended:
            return
        replica = attempt.replica
        replica.pending.pop(id(exchange), None)
        pool = get_pool(self.shared, replica)
        cancel(pool, exchange)
        reachability.observe_unanswered(
            replica, attempt.sent_seconds, shared_state.now()
        )
        if not exchange.written_seconds:
            return
        self.has_cancelled = True
        now_seconds = shared_state.now()
        expected_latency = self.expected_latency(now_seconds)
        waited_seconds = now_seconds - exchange.written_seconds
        replicas.observe_no_response(
            replica, waited_seconds, expected_latency, now_seconds
        )
        if (
            waited_seconds
            > DROP_IDLE_STALL_FACTOR * expected_latency.stall_seconds
        ):
            # Established connections may remain without any response while
            # new ones work.
            drop_idle(pool, exchange.written_seconds)

    def _on_end(
        self, attempt: legs.Attempt, exchange: Exchange, outcome: Outcome
    ) -> None:
        self.exchanges.pop(attempt.number, None)
        replica = attempt.replica
        replica.pending.pop(id(exchange), None)
        reply = self._read_reply(attempt, outcome)
        record = self.history[attempt.number]
        record.ended_seconds = shared_state.now()
        record.outcome = reply.attempt_outcome.value
        if not isinstance(outcome, WithdrawnError):
            self._observe_reply(replica, exchange, reply)
        view = self._view()
        self._apply(sharded.on_reply(self.state, attempt.number, reply, view))

    def _read_reply(
        self, attempt: legs.Attempt, outcome: Outcome
    ) -> TargetReply:
        if isinstance(outcome, NotSentError):
            return TargetReply(AttemptOutcome.NOT_SENT)
        if isinstance(outcome, Exception):
            return TargetReply(AttemptOutcome.LOST)
        reply = wire.read_reply(outcome)
        self.held_bytes += len(reply.body)
        hold(REPLY_MEMORY, len(reply.body))
        for text in wire.ignored_reply_texts(outcome):
            target = attempt.replica.entry.target
            shared_state.log_ignored_header(self.shared, target, text)
        shared_state.log_unknown_headers(
            self.shared,
            attempt.replica.entry.target,
            wire.unknown_reply_headers(outcome),
        )
        if len(self.context.plan.services) == 1:
            self.replies[reply.signature] = outcome
        return reply

    def _observe_reply(
        self, replica: replicas.Replica, exchange: Exchange, reply: TargetReply
    ) -> None:
        now_seconds = shared_state.now()
        if reply.attempt_outcome in _BROKEN_OUTCOMES:
            reachability.observe_connection_failure(replica, now_seconds)
        self._observe_refusal(replica, reply, now_seconds)
        if reply.attempt_outcome in _VALID_OUTCOMES:
            observe_rate(
                self.shared,
                replica,
                reply.rate_limit_per_second,
                exchange.written_seconds,
            )
        if reply.load is not None:
            replicas.observe_load(replica, reply.load, now_seconds)
        if reply.attempt_outcome in _RESPONSE_OUTCOMES:
            replicas.observe_response(replica, now_seconds)
        if reply.attempt_outcome is AttemptOutcome.SUCCEEDED:
            waited_seconds = now_seconds - exchange.written_seconds
            expected_latency = self.expected_latency(now_seconds)
            replicas.observe_latency(
                replica, waited_seconds, expected_latency, now_seconds
            )
            window = self._latency_window(now_seconds)
            latency.record(window, waited_seconds, now_seconds)
        elif reply.attempt_outcome in _UNREACHABLE_OUTCOMES:
            replicas.observe_unreachable(replica, now_seconds)
        else:
            replicas.observe_failure(replica, now_seconds)

    def _observe_refusal(
        self, replica: replicas.Replica, reply: TargetReply, now_seconds: float
    ) -> None:
        # The reply of another target at the address says nothing about this
        # one.
        if reply.attempt_outcome is AttemptOutcome.WRONG_TARGET:
            return
        if reply.is_leaving:
            announce_leaving(self.shared, replica)
        if reply.retry_after_seconds:
            replicas.observe_retry_after(
                replica, reply.retry_after_seconds, now_seconds
            )
            reject_waiting(get_pool(self.shared, replica))

    def _latency_window(self, now_seconds: float) -> latency.LatencyWindow:
        latencies = self.shared.route_states.latencies
        name = self.context.route.name
        window = latencies.get(name)
        if window is None:
            window = latency.LatencyWindow(now_seconds)
            latencies[name] = window
        return window

    def _hedge_delay_seconds(
        self, expected_latency: replicas.ExpectedLatency
    ) -> float:
        remaining_seconds = self.context.plan.due_seconds - shared_state.now()
        return hedge_delay_seconds(expected_latency, remaining_seconds)

    def _view(self) -> legs.View:
        shared = self.shared
        now_seconds = shared_state.now()
        expected_latency = self.expected_latency(now_seconds)
        return legs.View(
            now_seconds=now_seconds,
            serving=lambda name: directory.serving_replicas(
                shared.directory, name
            ),
            expected_latency=expected_latency,
            hedge_delay_seconds=self._hedge_delay_seconds(expected_latency),
            zone=shared.instance.settings.availability_zone,
            random=shared.instance.random,
            spend=lambda name, share: extra_load_access.spend_extra_load(
                shared, name, share
            ),
            is_extra_load_low=lambda name: extra_load_access.is_extra_load_low(
                shared, name
            ),
        )


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


def may_have_run(runner: Runner) -> bool:
    """Return whether any target may have run the request.

    :param runner: Runner of the request, which has ended.
    :returns: False only if the request is known not to have run.
    """
    return runner.has_cancelled or sharded.may_have_run(runner.state)
