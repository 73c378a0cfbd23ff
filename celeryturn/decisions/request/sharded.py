"""Decisions on a request to one service or to each of several shards.

A sharded request has a leg for each shard, any other request has a single
leg.  Functions take an event and the time at which it happened, and return
the actions to perform.  No function blocks.
"""

from typing import Final

from celeryturn.decisions.request.attempts import (
    cancel_all,
    choose,
    finish,
    is_decided,
    send,
    settle,
)
from celeryturn.decisions.request.canary import (
    advance,
    hold,
    may_hedge,
    may_send_again,
    needs_canary,
    record_outcome,
)
from celeryturn.decisions.request.legs import (
    Actions,
    Leg,
    MissingResource,
    ShardedRequest,
    View,
    Wake,
)
from celeryturn.decisions.request.missing import find_missing, record_missing
from celeryturn.decisions.request.replies import (
    NOT_RUN,
    AttemptOutcome,
    TargetReply,
)
from celeryturn.decisions.request.waiting import (
    RETRY_INTERVAL_SECONDS,
    due_positions,
    is_waiting,
    may_wait,
    wait,
)

MAX_SENDS_PER_LEG: Final = 4
HEDGE_RESERVE_SHARE: Final = 0.1
# A hedge that only adds a part to an answer leaves these tokens to requests
# that cannot be answered without theirs.
OPTIONAL_RESERVE_SHARE: Final = 0.5


def begin(request: ShardedRequest, view: View) -> Actions:
    """Send the first attempt of each leg.

    The request ends without any send if fewer legs have a target than must
    succeed.  If targets have ended under it before, one leg is sent first.

    :param request: New request.
    :param view: Inputs of the decision.
    :returns: Actions to perform.
    """
    chosen = [
        choose(request, position, view) for position in range(len(request.legs))
    ]
    record_missing(request, chosen, view)
    if (
        sum(choice is not None for choice in chosen)
        < request.plan.min_success_count
    ):
        return finish(request)
    if needs_canary(request, view):
        hold(request)
        return advance(request, view, _send_next)
    actions: Actions = []
    for position, replica in enumerate(chosen):
        if replica is None:
            settle(request, request.legs[position])
        else:
            actions.append(send(request, position, replica, view))
    actions.append(Wake(_next_wake_seconds(request, view)))
    return actions


def on_reply(
    request: ShardedRequest, number: int, reply: TargetReply, view: View
) -> Actions:
    """Record the outcome of an attempt.

    :param request: Request of the attempt.
    :param number: Number of the attempt.
    :param reply: Reply, or a substitute with the outcome if there was none.
    :param view: Inputs of the decision.
    :returns: Actions to perform; none for an attempt that is no longer in
        flight.
    """
    position = request.in_flight.pop(number, None)
    if position is None or request.is_finished:
        return []
    leg = request.legs[position]
    attempt = leg.attempts.pop(number)
    record_outcome(request, reply.attempt_outcome)
    if reply.attempt_outcome is AttemptOutcome.SUCCEEDED:
        return _succeed(request, leg, reply, view)
    leg.last_outcome = reply.attempt_outcome
    if reply.attempt_outcome not in NOT_RUN:
        leg.possible_run_count += 1
    if reply.attempt_outcome is AttemptOutcome.SHED:
        leg.shed_by.add(attempt.replica.entry.target)
    if reply.attempt_outcome is AttemptOutcome.FAILED:
        leg.reply = reply
    if reply.may_have_ended:
        request.unverified.add(number)
    actions = _retry_or_settle(request, position, view)
    return [*actions, *_advance(request, view)]


def on_verified(request: ShardedRequest, number: int, view: View) -> Actions:
    """Go on once it is known whether the target of an attempt has ended.

    :param request: Request of the attempt.
    :param number: Number of the attempt, which ended without a reply.
    :param view: Inputs of the decision.
    :returns: Actions to perform.
    """
    request.unverified.discard(number)
    return advance(request, view, _send_next)


def on_wake(request: ShardedRequest, view: View) -> Actions:
    """Send the hedges that are due, or end a request whose time is up.

    :param request: Request to wake.
    :param view: Inputs of the decision.
    :returns: Actions to perform.
    """
    if request.is_finished:
        return []
    if _is_time_up(request, view.now_seconds):
        return finish(request)
    actions = _retry_waiting(request, view)
    if request.is_finished:
        return actions
    for position, leg in enumerate(request.legs):
        if _may_hedge(request, leg, view, view.now_seconds):
            actions.extend(_hedge(request, position, view))
    actions.append(Wake(_next_wake_seconds(request, view)))
    return actions


def abandon(request: ShardedRequest) -> Actions:
    """End a request early, such as when its caller has disconnected.

    :param request: Request to end.
    :returns: Actions to perform.
    """
    return [] if request.is_finished else finish(request)


def may_have_run(request: ShardedRequest) -> bool:
    """Return whether any target may have run the request.

    :param request: Request to check.
    :returns: False only if every attempt that ended is known not to have run.
        Cancelled attempts are not considered: the calling code must check
        whether they were written to a connection.
    """
    return any(leg.possible_run_count or leg.reply for leg in request.legs)


def _succeed(
    request: ShardedRequest, leg: Leg, reply: TargetReply, view: View
) -> Actions:
    leg.reply = reply
    leg.last_outcome = AttemptOutcome.SUCCEEDED
    request.success_count += 1
    actions = cancel_all(request, leg)
    settle(request, leg)
    if not request.unsettled_count or _is_time_up(request, view.now_seconds):
        return [*actions, *finish(request)]
    return [*actions, *_advance(request, view)]


def _advance(request: ShardedRequest, view: View) -> Actions:
    return advance(request, view, _send_next)


def _retry_waiting(request: ShardedRequest, view: View) -> Actions:
    actions: Actions = []
    for position in due_positions(request, view.now_seconds):
        actions.extend(_retry_or_settle(request, position, view))
        if request.is_finished:
            break
    return actions


def _retry_or_settle(
    request: ShardedRequest, position: int, view: View
) -> Actions:
    leg = request.legs[position]
    if leg.attempts:
        return []
    if _may_retry(request, leg) and _must_hold(request, view):
        leg.is_held = True
        return []
    actions = _send_next(request, position, view)
    if actions:
        return actions
    if _may_retry(request, leg) and may_wait(request, leg, view.now_seconds):
        wait(leg, view.now_seconds)
        return [Wake(_next_wake_seconds(request, view))]
    settle(request, leg)
    return finish(request) if is_decided(request) else []


def _must_hold(request: ShardedRequest, view: View) -> bool:
    return needs_canary(request, view) or not may_send_again(request, view)


def _send_next(request: ShardedRequest, position: int, view: View) -> Actions:
    leg = request.legs[position]
    is_retry = bool(leg.send_count)
    if is_retry and not _may_retry(request, leg):
        leg.missing_resource = MissingResource.ATTEMPTS
        return []
    replica = choose(request, position, view)
    if replica is not None and (
        not is_retry or _spend_for_retry(request, position, view)
    ):
        return [
            send(request, position, replica, view),
            Wake(_next_wake_seconds(request, view)),
        ]
    leg.missing_resource = find_missing(request, position, replica, view)
    return []


def _may_retry(request: ShardedRequest, leg: Leg) -> bool:
    if leg.send_count >= MAX_SENDS_PER_LEG:
        return False
    has_run = leg.possible_run_count > 0
    if has_run and not request.plan.is_idempotent:
        return False
    return leg.possible_run_count < request.plan.attempt_limit


def _spend_for_retry(
    request: ShardedRequest, position: int, view: View
) -> bool:
    if request.legs[position].last_outcome is AttemptOutcome.NOT_SENT:
        return True
    return view.spend(request.plan.services[position], 0)


def _may_hedge(
    request: ShardedRequest, leg: Leg, view: View, at_seconds: float
) -> bool:
    plan = request.plan
    is_allowed = (
        plan.is_idempotent and leg.possible_run_count + 1 < plan.attempt_limit
    )
    if not is_allowed or leg.is_settled or not may_hedge(request, view):
        return False
    return len(leg.attempts) == 1 and at_seconds >= leg.hedge_at_seconds


def _hedge(request: ShardedRequest, position: int, view: View) -> Actions:
    leg = request.legs[position]
    replica = choose(request, position, view)
    service = request.plan.services[position]
    if replica is not None and view.spend(service, _reserve_share(request)):
        return [send(request, position, replica, view)]
    leg.missing_resource = find_missing(request, position, replica, view)
    leg.hedge_at_seconds = view.now_seconds + RETRY_INTERVAL_SECONDS
    return []


def _reserve_share(request: ShardedRequest) -> float:
    is_optional = request.success_count >= request.plan.min_success_count
    return OPTIONAL_RESERVE_SHARE if is_optional else HEDGE_RESERVE_SHARE


def _is_time_up(request: ShardedRequest, now_seconds: float) -> bool:
    if now_seconds >= request.plan.deadline_seconds:
        return True
    is_late = now_seconds >= request.plan.due_seconds
    return is_late and request.success_count >= request.plan.min_success_count


def _next_wake_seconds(request: ShardedRequest, view: View) -> float:
    plan = request.plan
    times = [plan.deadline_seconds]
    if view.now_seconds < plan.due_seconds:
        times.append(plan.due_seconds)
    for leg in request.legs:
        if _may_hedge(request, leg, view, leg.hedge_at_seconds):
            times.append(leg.hedge_at_seconds)
        if is_waiting(leg):
            times.append(leg.retry_at_seconds)
    return max(view.now_seconds, min(times))
