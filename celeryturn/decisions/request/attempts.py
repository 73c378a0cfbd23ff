"""Single steps of a request: choose a target, send, settle a leg, finish."""

from collections.abc import Sequence

from celeryturn.decisions.request.legs import (
    Actions,
    Attempt,
    Cancel,
    Finish,
    Leg,
    Plan,
    Send,
    ShardedRequest,
    View,
)
from celeryturn.decisions.request.missing import list_untried
from celeryturn.decisions.request.pacing import with_early_stall
from celeryturn.decisions.targets.choice import (
    choose_probed,
    choose_replica,
    prefer_trusted,
)
from celeryturn.decisions.targets.cold_targets import prefer_warm
from celeryturn.decisions.targets.replicas import Replica, record_send
from celeryturn.decisions.targets.told_health import record_probe
from celeryturn.decisions.targets.zone_estimates import Situation
from celeryturn.decisions.targets.zone_share import (
    choose_by_zone,
    record_first_sent,
    record_sent,
    step,
)


def choose(
    request: ShardedRequest, position: int, view: View
) -> Replica | None:
    """Choose the target of the next attempt of a leg.

    Hedges and retries go to cold targets only if no warm one is available.

    :param request: Request of the leg.
    :param position: Index of the leg.
    :param view: Inputs of the decision.
    :returns: A target that the leg was not sent to, or None if there is none
        that accepts requests.
    """
    service = request.plan.services[position]
    has_tried = bool(request.legs[position].send_count)
    is_extra_load_low = view.is_extra_load_low(service)
    situation = _situation(
        request.plan, view, is_extra_load_low=is_extra_load_low
    )
    candidates: Sequence[Replica] = list_untried(request, position, view)
    if has_tried:
        candidates = prefer_warm(candidates, view.now_seconds)
    elif request.plan.is_idempotent:
        # If it fails, the request goes to another target as extra load.
        probed = choose_probed(
            candidates,
            view.now_seconds,
            is_extra_load_low=is_extra_load_low,
        )
        if probed is not None:
            return probed
    if view.zone_share is None:
        return choose_replica(
            candidates,
            situation.expected_latency,
            view.zone,
            view.now_seconds,
            view.random(),
        )
    zone_share = view.zone_share(service)
    step(zone_share, view.serving(service), situation)
    candidates = prefer_trusted(candidates, view.now_seconds)
    return choose_by_zone(zone_share, candidates, situation, view.random())


def send(
    request: ShardedRequest, position: int, replica: Replica, view: View
) -> Send:
    """Send an attempt of a leg.

    :param request: Request of the leg.
    :param position: Index of the leg.
    :param replica: Target of the attempt.
    :param view: Inputs of the decision.
    :returns: The action.
    """
    leg = request.legs[position]
    request.send_count += 1
    attempt = Attempt(request.send_count, position, replica, view.now_seconds)
    leg.attempts[attempt.number] = attempt
    _record_zone(leg, replica, view)
    leg.tried_targets.add(replica.entry.target)
    leg.send_count += 1
    leg.retry_at_seconds = 0.0
    record_send(replica, view.now_seconds)
    record_probe(replica.told, view.now_seconds)
    leg.missing_resource = None
    leg.hedge_at_seconds = view.now_seconds + view.hedge_delay_seconds
    request.in_flight[attempt.number] = position
    return Send(attempt)


def settle(request: ShardedRequest, leg: Leg) -> None:
    """Record that no further attempt of a leg is sent.

    :param request: Request of the leg.
    :param leg: The leg.
    """
    leg.is_settled = True
    leg.is_held = False
    leg.retry_at_seconds = 0.0
    request.unsettled_count -= 1


def is_decided(request: ShardedRequest) -> bool:
    """Return whether the outcome of a request cannot change any more.

    :param request: Request to assess.
    :returns: Whether all its legs are settled, or too few are left for a
        success.
    """
    if not request.unsettled_count:
        return True
    # A request that can no longer succeed is answered at once.
    max_success_count = request.success_count + request.unsettled_count
    return max_success_count < request.plan.min_success_count


def cancel_all(request: ShardedRequest, leg: Leg) -> Actions:
    """Cancel the attempts of a leg that are in flight.

    :param request: Request of the leg.
    :param leg: The leg.
    :returns: The actions.
    """
    actions: Actions = []
    for attempt in leg.attempts.values():
        request.in_flight.pop(attempt.number, None)
        actions.append(Cancel(attempt))
    leg.attempts.clear()
    return actions


def finish(request: ShardedRequest) -> Actions:
    """End a request, and cancel what is in flight.

    :param request: Request to end.
    :returns: The actions.
    """
    actions: Actions = []
    for leg in request.legs:
        actions.extend(cancel_all(request, leg))
    request.is_finished = True
    actions.append(Finish())
    return actions


def _situation(plan: Plan, view: View, *, is_extra_load_low: bool) -> Situation:
    expected_latency = view.expected_latency
    if is_extra_load_low:
        # Without extra load, a request to a paused target cannot be hedged,
        # so a pause is assumed earlier.
        expected_latency = with_early_stall(expected_latency)
    return Situation(
        expected_latency,
        view.zone,
        view.now_seconds,
        plan.due_seconds - view.now_seconds,
    )


def _record_zone(leg: Leg, replica: Replica, view: View) -> None:
    if view.zone_share is None:
        return
    zone_share = view.zone_share(replica.entry.service)
    if not leg.send_count:
        record_first_sent(zone_share, replica, view.zone)
    record_sent(zone_share, replica, view.zone, view.now_seconds)
