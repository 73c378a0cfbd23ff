"""Send a request that may end its targets to one of them at a time.

Legs whose next attempt might end another target are held.  Once a target has
survived the request, they are all sent; until then one of them is.
"""

from collections.abc import Callable, Iterator
from typing import TypeAlias

from celeryturn.decisions.request.attempts import finish, is_decided, settle
from celeryturn.decisions.request.legs import (
    Actions,
    Leg,
    ShardedRequest,
    View,
)
from celeryturn.decisions.request.quarantine import Standing
from celeryturn.decisions.request.replies import SURVIVED, AttemptOutcome

# Sends the next attempt of the leg at a position; no actions if there is none.
SendNext: TypeAlias = Callable[[ShardedRequest, int, View], Actions]


def needs_canary(request: ShardedRequest, view: View) -> bool:
    """Return whether the next attempt may be sent only beside no other one.

    :param request: Request to assess.
    :param view: Inputs of the decision.
    :returns: Whether targets may have ended under it, and none has survived it.
        A single lost reply is no such sign.
    """
    if request.has_survived:
        return False
    return view.standing is not Standing.CLEAR or request.lost_count > 1


def may_send_again(request: ShardedRequest, view: View) -> bool:
    """Return whether any further attempt may be sent.

    :param request: Request to assess.
    :param view: Inputs of the decision.
    :returns: Whether the request is not blocked, or is the trial of a blocked
        one that no target has run yet.
    """
    if view.standing is not Standing.BLOCKED:
        return True
    return request.plan.is_trial and not any(
        leg.possible_run_count for leg in request.legs
    )


def may_hedge(request: ShardedRequest, view: View) -> bool:
    """Return whether a leg may be sent to a second target beside the first.

    :param request: Request to assess.
    :param view: Inputs of the decision.
    :returns: Whether nothing suggests that the request ends targets.
    """
    if view.standing is not Standing.CLEAR:
        return False
    return request.has_survived or not request.lost_count


def hold(request: ShardedRequest) -> None:
    """Hold all legs before the first attempt.

    :param request: New request.
    """
    for leg in request.legs:
        leg.is_held = True


def advance(
    request: ShardedRequest, view: View, send_next: SendNext
) -> Actions:
    """Send, settle or go on holding the legs that are held.

    :param request: The request.
    :param view: Inputs of the decision.
    :param send_next: Sends the next attempt of a leg.
    :returns: Actions to perform.
    """
    held = [leg for leg in request.legs if leg.is_held]
    if not held or request.is_finished:
        return []
    may_send = may_send_again(request, view)
    if may_send and _is_safe(request, view):
        return _release(request, view, send_next)
    # What is in flight may survive yet.
    if request.in_flight:
        return []
    if not may_send:
        return _settle_all(request, held)
    # Whether targets have ended is known in a moment.
    if request.unverified:
        return []
    return _send_canary(request, view, send_next)


def _is_safe(request: ShardedRequest, view: View) -> bool:
    if request.has_survived:
        return True
    return view.standing is Standing.CLEAR and not request.unverified


def _settle_all(request: ShardedRequest, held: list[Leg]) -> Actions:
    for leg in held:
        settle(request, leg)
    return _finish_if_decided(request)


def _release(
    request: ShardedRequest, view: View, send_next: SendNext
) -> Actions:
    actions: Actions = []
    for position in _held_positions(request):
        actions.extend(_send_or_settle(request, position, view, send_next))
    return [*actions, *_finish_if_decided(request)]


def _send_canary(
    request: ShardedRequest, view: View, send_next: SendNext
) -> Actions:
    services = request.plan.services
    suspect_first = sorted(
        _held_positions(request),
        key=lambda position: services[position] not in view.suspect_services,
    )
    for position in suspect_first:
        actions = _send_or_settle(request, position, view, send_next)
        if actions:
            return actions
    return _finish_if_decided(request)


def _send_or_settle(
    request: ShardedRequest, position: int, view: View, send_next: SendNext
) -> Actions:
    leg = request.legs[position]
    actions = send_next(request, position, view)
    leg.is_held = False
    if not actions:
        settle(request, leg)
    return actions


def _held_positions(request: ShardedRequest) -> Iterator[int]:
    for position, leg in enumerate(request.legs):
        if leg.is_held:
            yield position


def _finish_if_decided(request: ShardedRequest) -> Actions:
    if request.is_finished or not is_decided(request):
        return []
    return finish(request)


def record_outcome(request: ShardedRequest, outcome: AttemptOutcome) -> None:
    """Record what the outcome of an attempt says of the request.

    :param request: The request.
    :param outcome: The outcome.
    """
    if outcome in SURVIVED:
        request.has_survived = True
    elif outcome is AttemptOutcome.LOST:
        request.lost_count += 1
