"""Perform the actions that are decided for one forwarded request."""

import asyncio
from typing import Final

from celeryturn.decisions.request import legs, sharded
from celeryturn.decisions.request.lost_replies import LostReply
from celeryturn.decisions.request.replies import TargetReply
from celeryturn.decisions.request.reply_identity import (
    IdentifierUse,
    belongs_to_request,
    observe_identifier,
)
from celeryturn.forwarding import shared_state
from celeryturn.forwarding.request import extra_load_access
from celeryturn.forwarding.request.context import (
    AttemptRecord,
    RequestContext,
)
from celeryturn.forwarding.request.outcomes import read_outcome
from celeryturn.forwarding.request.request_memory import (
    hold_reply,
    release_request,
    reserve_copies,
)
from celeryturn.forwarding.request.suspect_requests import observe_survival
from celeryturn.forwarding.request.view import make_view
from celeryturn.forwarding.targets.ends import examine
from celeryturn.forwarding.targets.exchanges import (
    Exchange,
    Outcome,
    WithdrawnError,
)
from celeryturn.forwarding.targets.observations import (
    observe_cancelled,
    observe_reply,
)
from celeryturn.forwarding.targets.submissions import (
    Submission,
    cancel,
    prepare,
    record_end,
    start,
)
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.platform import wire
from celeryturn.timer import Timer

RELAYED_RANK: Final = 0.5
MIN_TIMER_SECONDS: Final = 0.0005


class Runner:
    """Runs one forwarded request by performing the decided actions.

    :param shared: Shared state of the instance.
    :param context: The request, its route and its plan.
    :param state: Progress of the request.
    :param replies: Complete replies by signature, to be passed on unchanged;
        only filled for a request with a single leg.
    :param submissions: Exchanges in flight, each with its pool, by number of
        the attempt.
    :param history: Records of all attempts by number.
    :param is_withdrawn: Whether it was ended so that a peer serves it.
    :param held_bytes: Size of what is kept until the end: what is written to
        the services, and the replies.
    :param has_cancelled: Whether an attempt was cancelled after it had been
        written to a connection.
    """

    __slots__ = (
        '_done',
        '_timer',
        'context',
        'has_cancelled',
        'held_bytes',
        'history',
        'is_withdrawn',
        'replies',
        'shared',
        'state',
        'submissions',
    )

    def __init__(
        self, shared: shared_state.SharedState, context: RequestContext
    ) -> None:
        self.shared = shared
        self.context = context
        self.state = legs.ShardedRequest(context.plan)
        self.replies: dict[str, HttpReply] = {}
        self.submissions: dict[int, Submission] = {}
        self.history: dict[int, AttemptRecord] = {}
        self.has_cancelled = False
        self.is_withdrawn = False
        self.held_bytes = 0
        self._timer = Timer()
        self._done: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def is_single(self) -> bool:
        """Whether the request has a single leg."""
        return len(self.context.plan.services) == 1

    async def run(self) -> legs.ShardedRequest:
        """Run the request to its end.

        If this is cancelled, all attempts in flight are cancelled.

        :returns: Final state of the request.
        :raises CeleryturnError: ``overloaded`` if there is no memory for it.
        """
        self.held_bytes = reserve_copies(self.shared, self.context)
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
        release_request(self.held_bytes)

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
            self._accepts,
        )
        submission = prepare(self.shared, attempt.replica, exchange)
        self.submissions[attempt.number] = submission
        self.history[attempt.number] = AttemptRecord(attempt)
        start(submission)

    def _accepts(self, use: IdentifierUse, reply: HttpReply) -> bool:
        reply_id = wire.read_reply_id(reply)
        request_id = wire.read_attempt_id(self.context.request)
        is_own = belongs_to_request(use, reply_id, request_id)
        observe_identifier(use, reply_id)
        return is_own

    def _cancel(self, attempt: legs.Attempt) -> None:
        submission = self.submissions.pop(attempt.number, None)
        if submission is None or submission.exchange.is_ended:
            return
        cancel(submission)
        exchange = submission.exchange
        observe_cancelled(self.shared, self.context.route, attempt, exchange)
        if exchange.written_seconds:
            self.has_cancelled = True

    def _on_end(
        self, attempt: legs.Attempt, exchange: Exchange, outcome: Outcome
    ) -> None:
        self.submissions.pop(attempt.number, None)
        replica = attempt.replica
        record_end(replica, exchange)
        reply = self._read_reply(attempt, outcome)
        record = self.history[attempt.number]
        record.ended_seconds = shared_state.now()
        record.outcome = reply.attempt_outcome.value
        if not isinstance(outcome, WithdrawnError):
            self._observe(attempt, exchange, reply)
        if reply.may_have_ended:
            self._examine(attempt)
        view = self._view()
        self._apply(sharded.on_reply(self.state, attempt.number, reply, view))

    def _observe(
        self, attempt: legs.Attempt, exchange: Exchange, reply: TargetReply
    ) -> None:
        context = self.context
        replica = attempt.replica
        observe_reply(self.shared, context.route, replica, exchange, reply)
        observe_survival(
            self.shared,
            context.fingerprint,
            replica,
            exchange,
            reply.attempt_outcome,
        )

    def _examine(self, attempt: legs.Attempt) -> None:
        replica = attempt.replica
        lost = LostReply(
            self.context.fingerprint,
            replica.entry.service,
            self.state,
            attempt.leg_position,
        )

        def on_known() -> None:
            view = self._view()
            self._apply(sharded.on_verified(self.state, attempt.number, view))

        examine(self.shared, replica, lost, on_known)

    def _read_reply(
        self, attempt: legs.Attempt, outcome: Outcome
    ) -> TargetReply:
        target = attempt.replica.entry.target
        reply = read_outcome(self.shared, target, outcome)
        self.held_bytes += hold_reply(reply)
        if isinstance(outcome, HttpReply) and self.is_single:
            self.replies[reply.signature] = outcome
        return reply

    def _view(self) -> legs.View:
        context = self.context
        return make_view(
            self.shared, context.route, context.plan, context.fingerprint
        )


def may_have_run(runner: Runner) -> bool:
    """Return whether any target may have run the request.

    :param runner: Runner of the request, which has ended.
    :returns: False only if the request is known not to have run.
    """
    return runner.has_cancelled or sharded.may_have_run(runner.state)
