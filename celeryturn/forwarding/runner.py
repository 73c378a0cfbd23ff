"""Carry out what is decided about one request."""

import asyncio
from typing import Final, NamedTuple

from celeryturn.decisions import (
    directory,
    latency,
    legs,
    replicas,
    sharded,
)
from celeryturn.decisions.pacing import estimate_latency, hedge_after_seconds
from celeryturn.decisions.replies import AttemptOutcome, TargetReply
from celeryturn.decisions.route_table import Route
from celeryturn.forwarding import shared_state as tiers
from celeryturn.forwarding.pools import (
    Exchange,
    NotSentError,
    Outcome,
    cancel,
    drop_idle,
    submit,
)
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.platform import wire
from celeryturn.timer import Timer

SILENT_FACTOR: Final = 3.0
LEAST_TIMER_SECONDS: Final = 0.0005


class Work(NamedTuple):
    """One request with what it needs to be sent.

    :param request: What goes to targets, but for what names one of them.
    :param route: Its route.
    :param plan: What is pinned for it.
    """

    request: HttpRequest
    route: Route
    plan: legs.Plan


class Past:
    """One attempt, for the log.

    :param leg: Position of its leg.
    :param target: Identifier of the target.
    :param sent_seconds: When it was decided on.
    :param ended_seconds: When its reply was in; zero where none came.
    :param outcome: How it ended.
    """

    __slots__ = ('ended_seconds', 'leg', 'outcome', 'sent_seconds', 'target')

    def __init__(self, attempt: legs.Attempt) -> None:
        self.leg = attempt.leg_position
        self.target = attempt.replica.entry.target
        self.sent_seconds = attempt.sent_seconds
        self.ended_seconds = 0.0
        self.outcome = 'given up'


class Runner:
    """One request under way.

    :param tier: The tier.
    :param work: The request.
    :param state: How far it has come.
    :param replies: Whole replies by signature, to be passed on as they are.
    :param exchanges: What is under way, by attempt.
    :param history: Every attempt, by number.
    :param has_cancelled: Whether a request was given up after its write.
    """

    __slots__ = (
        '_done',
        '_timer',
        'exchanges',
        'has_cancelled',
        'history',
        'replies',
        'state',
        'tier',
        'work',
    )

    def __init__(self, tier: SharedState, work: Work) -> None:
        self.tier = tier
        self.work = work
        self.state = legs.ShardedRequest(work.plan)
        self.replies: dict[str, HttpReply] = {}
        self.exchanges: dict[int, Exchange] = {}
        self.history: dict[int, Past] = {}
        self.has_cancelled = False
        self._timer = Timer()
        self._done: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    async def run(self) -> legs.ShardedRequest:
        """Carry the request out; cancelled when its caller goes.

        :returns: How far it has come.
        """
        for service in self.work.plan.services:
            tiers.earn_extra_load(self.tier, service)
        try:
            self._apply(sharded.begin(self.state, self._view()))
            await self._done
        finally:
            self._timer.disarm()
            self._apply(sharded.abandon(self.state))
        return self.state

    def stop(self) -> None:
        """End the request with what is there."""
        self._apply(sharded.abandon(self.state))

    def usual(self, now_seconds: float) -> replicas.ExpectedLatency:
        """Tell what is usual for the route.

        :param now_seconds: Time of the question.
        :returns: Latencies that are usual, slow and suspicious.
        """
        return estimate_latency(
            self._window(now_seconds),
            self.work.route.objective_seconds,
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
                    self._arm(at_seconds)
                case legs.Finish():
                    self._finish()

    def _finish(self) -> None:
        self._timer.disarm()
        if not self._done.done():
            self._done.set_result(None)

    def _arm(self, at_seconds: float) -> None:
        wait_seconds = max(LEAST_TIMER_SECONDS, at_seconds - tiers.now())
        self._timer.arm(wait_seconds, self._wake)

    def _wake(self) -> None:
        self._apply(sharded.on_wake(self.state, self._view()))

    def _send(self, attempt: legs.Attempt) -> None:
        target = attempt.replica.entry.target
        plan = self.work.plan

        def make_request() -> HttpRequest:
            remaining = plan.deadline_seconds - tiers.now()
            return wire.target_request(self.work.request, target, remaining)

        def on_end(exchange: Exchange, outcome: Outcome) -> None:
            self._end(attempt, exchange, outcome)

        exchange = Exchange(
            self.work.route.priority,
            make_request,
            on_end,
            lambda reply: wire.is_reply_to(reply, self.work.request),
        )
        self.exchanges[attempt.number] = exchange
        self.history[attempt.number] = Past(attempt)
        attempt.replica.pending[id(exchange)] = tiers.now()
        submit(tiers.get_pool(self.tier, attempt.replica), exchange)

    def _cancel(self, attempt: legs.Attempt) -> None:
        exchange = self.exchanges.pop(attempt.number, None)
        if exchange is None or exchange.is_ended:
            return
        replica = attempt.replica
        replica.pending.pop(id(exchange), None)
        pool = tiers.get_pool(self.tier, replica)
        cancel(pool, exchange)
        if not exchange.written_seconds:
            return
        self.has_cancelled = True
        now_seconds = tiers.now()
        usual = self.usual(now_seconds)
        waited_seconds = now_seconds - exchange.written_seconds
        replicas.observe_no_response(
            replica, waited_seconds, usual, now_seconds
        )
        if waited_seconds > SILENT_FACTOR * usual.stall_seconds:
            # Kept connections may be silent for good while new ones work.
            drop_idle(pool, exchange.written_seconds)

    def _end(
        self, attempt: legs.Attempt, exchange: Exchange, outcome: Outcome
    ) -> None:
        self.exchanges.pop(attempt.number, None)
        replica = attempt.replica
        replica.pending.pop(id(exchange), None)
        reply = self._read(attempt, outcome)
        past = self.history[attempt.number]
        past.ended_seconds = tiers.now()
        past.outcome = reply.attempt_outcome.value
        self._observe(replica, exchange, reply)
        view = self._view()
        self._apply(sharded.on_reply(self.state, attempt.number, reply, view))

    def _read(self, attempt: legs.Attempt, outcome: Outcome) -> TargetReply:
        if isinstance(outcome, NotSentError):
            return TargetReply(AttemptOutcome.NOT_SENT)
        if isinstance(outcome, Exception):
            return TargetReply(AttemptOutcome.LOST)
        reply = wire.read_reply(outcome)
        if len(self.work.plan.services) == 1:
            self.replies[reply.signature] = outcome
        return reply

    def _observe(
        self,
        replica: replicas.Replica,
        exchange: Exchange,
        reply: TargetReply,
    ) -> None:
        now_seconds = tiers.now()
        if reply.load is not None:
            replicas.observe_load(replica, reply.load, now_seconds)
        if reply.attempt_outcome is AttemptOutcome.SUCCEEDED:
            waited_seconds = now_seconds - exchange.written_seconds
            usual = self.usual(now_seconds)
            replicas.observe_latency(
                replica, waited_seconds, usual, now_seconds
            )
            window = self._window(now_seconds)
            latency.record(window, waited_seconds, now_seconds)
        elif reply.attempt_outcome in _ELSEWHERE:
            replicas.observe_unreachable(replica, now_seconds)
        else:
            replicas.observe_failure(replica, now_seconds)

    def _window(self, now_seconds: float) -> latency.LatencyWindow:
        latencies = self.tier.latencies
        name = self.work.route.name
        window = latencies.get(name)
        if window is None:
            window = latency.LatencyWindow(now_seconds)
            latencies[name] = window
        return window

    def _hedge_after_seconds(self, usual: replicas.ExpectedLatency) -> float:
        left_seconds = self.work.plan.due_seconds - tiers.now()
        return hedge_after_seconds(usual, left_seconds)

    def _view(self) -> legs.View:
        tier = self.tier
        now_seconds = tiers.now()
        usual = self.usual(now_seconds)
        return legs.View(
            now_seconds=now_seconds,
            serving=lambda name: directory.serving(tier.directory, name),
            expected_latency=usual,
            hedge_after_seconds=self._hedge_after_seconds(usual),
            zone=tier.instance.settings.availability_zone,
            random=tier.instance.random,
            spend=lambda name, share: tiers.spend_extra_load(tier, name, share),
            is_extra_load_low=lambda name: tiers.is_extra_load_low(tier, name),
        )


# Nothing listens at its address, or another target does.
_ELSEWHERE: Final = frozenset(
    (AttemptOutcome.NOT_SENT, AttemptOutcome.WRONG_TARGET)
)


def has_run(runner: Runner) -> bool:
    """Tell whether a target may have run a request.

    :param runner: The request, ended.
    :returns: False only where it surely did not run.
    """
    return runner.has_cancelled or sharded.may_have_run(runner.state)
