"""Hand requests over to a peer while no target can be reached from here."""

import asyncio
from typing import Final

from celeryturn.decisions.request.legs import Plan
from celeryturn.decisions.request.retry_after import outage_retry_seconds
from celeryturn.decisions.targets import directory
from celeryturn.decisions.targets.reachability import can_serve_here
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.events import HANDED_OVER, log
from celeryturn.forwarding import shared_state
from celeryturn.forwarding.operations.limited_log import may_log
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.peers.handover_messages import HandoverTerms
from celeryturn.peers.handovers import (
    HandoverDeclinedError,
    HandoverLostError,
)
from celeryturn.platform import wire

SERVER_ERROR: Final = 500


class HandedRequest:
    """A request that a peer serves.

    :param task: Task that waits for the reply.
    """

    __slots__ = ('task',)

    def __init__(self, task: asyncio.Task[HttpReply]) -> None:
        self.task = task

    def stop(self) -> None:
        """End the request without a reply."""
        self.task.cancel()


def should_hand_over(shared: SharedState, plan: Plan) -> bool:
    """Return whether a peer should serve a request.

    :param shared: Shared state of the instance.
    :param plan: Parameters of the request.
    :returns: Whether the links to targets are lost, and open connections do
        not reach enough of its services.
    """
    replicas_by_service = (
        directory.serving_replicas(shared.directory, service)
        for service in plan.services
    )
    return not can_serve_here(
        shared.links,
        replicas_by_service,
        plan.min_success_count,
        shared_state.now(),
    )


async def serve_by_peer(
    shared: SharedState,
    request: HttpRequest,
    plan: Plan,
    *,
    may_have_run: bool = False,
) -> HttpReply:
    """Let a peer serve a request.

    :param shared: Shared state of the instance.
    :param request: Request of the caller.
    :param plan: Parameters of the request.
    :param may_have_run: Whether this instance has sent it to targets before,
        so that a peer's promise that it was not run does not hold.
    :returns: The reply of the peer.
    :raises CeleryturnError: ``no_target`` if no peer takes it, ``timed_out``
        or ``reply_lost`` if it may have run.
    """
    task = asyncio.get_running_loop().create_task(_ask(shared, request, plan))
    handed = HandedRequest(task)
    shared.in_flight.add(handed)
    try:
        reply = await _await_reply(task, plan)
    except HandoverDeclinedError as error:
        if may_have_run:
            raise _lost_error() from error
        raise _no_helper_error(shared) from error
    finally:
        task.cancel()
        shared.in_flight.discard(handed)
    if may_have_run and wire.promises_not_run(reply):
        raise _lost_error()
    return reply


async def _await_reply(task: asyncio.Task[HttpReply], plan: Plan) -> HttpReply:
    remaining_seconds = plan.deadline_seconds - shared_state.now()
    await asyncio.wait((task,), timeout=max(0.0, remaining_seconds))
    if not task.done() or task.cancelled():
        raise CeleryturnError(
            Kind.TIMED_OUT, 'the deadline passed before a peer replied'
        )
    try:
        return task.result()
    except HandoverLostError as error:
        raise _lost_error() from error


async def _ask(
    shared: SharedState, request: HttpRequest, plan: Plan
) -> HttpReply:
    waited_seconds = shared_state.now() - plan.started_seconds
    terms = HandoverTerms(
        shared_state.table_version(shared), max(0.0, waited_seconds)
    )
    reply = await shared.callbacks.hand_over(request, terms)
    if may_log(shared, is_important=reply.status >= SERVER_ERROR):
        log(
            HANDED_OVER,
            request=wire.read_attempt_id(request),
            status=reply.status,
        )
    return reply


def _lost_error() -> CeleryturnError:
    return CeleryturnError(
        Kind.REPLY_LOST,
        'no usable reply from a target or a peer; the request may have run',
    )


def _no_helper_error(shared: SharedState) -> CeleryturnError:
    lost_seconds = shared_state.now() - shared.links.changed_seconds
    return CeleryturnError(
        Kind.NO_TARGET,
        'no target can be reached from here, and no peer serves the request',
        retry_after_seconds=outage_retry_seconds(
            lost_seconds, shared.instance.random(), is_failing=True
        ),
    )
