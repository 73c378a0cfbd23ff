"""Answer the requests of callers, and log and count the refusals."""

from collections.abc import Awaitable, Callable
from typing import TypeAlias

from celeryturn.errors import CeleryturnError, Kind
from celeryturn.events import INTERNAL_FAULT, log
from celeryturn.forwarding.operations.metrics import (
    ForwardingMetrics,
    count_request,
)
from celeryturn.forwarding.peers.helping import may_serve_relayed
from celeryturn.forwarding.request.forward import OWN_CALLER, Origin, forward
from celeryturn.forwarding.request.refusals import refusal_reply
from celeryturn.forwarding.request.request_log import log_refusal
from celeryturn.forwarding.request.runner import Runner
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.http.server import HttpServer, RequestHandler
from celeryturn.peers.handover_messages import HandoverTerms
from celeryturn.peers.handovers import ServeRelayed

AnswerFrom: TypeAlias = Callable[[HttpRequest, Origin], Awaitable[HttpReply]]


def make_caller_server(
    shared: SharedState, collectors: ForwardingMetrics
) -> HttpServer:
    """Build the server for the requests of callers.

    :param shared: Shared state of the instance.
    :param collectors: Metric collectors of the instance.
    :returns: The server, which is not listening yet.
    """
    return HttpServer(make_answerer(shared, collectors), refusal_reply)


def make_answerer(
    shared: SharedState, collectors: ForwardingMetrics
) -> RequestHandler:
    """Build the function that answers the requests of callers.

    :param shared: Shared state of the instance.
    :param collectors: Metric collectors of the instance.
    :returns: A function that answers every request, also after an error;
        refusals are logged and counted.
    """
    answer_from = _make_answerer_of_any(shared, collectors)

    async def answer(request: HttpRequest) -> HttpReply:
        return await answer_from(request, OWN_CALLER)

    return answer


def make_relayed_answerer(
    shared: SharedState, collectors: ForwardingMetrics
) -> ServeRelayed:
    """Build the function that answers requests for peers.

    :param shared: Shared state of the instance.
    :param collectors: Metric collectors of the instance.
    :returns: A function that answers a request or declines it.
    """
    answer_from = _make_answerer_of_any(shared, collectors)

    async def answer(
        request: HttpRequest, terms: HandoverTerms
    ) -> HttpReply | None:
        if not may_serve_relayed(shared, terms):
            return None
        origin = Origin(terms.waited_seconds, is_relayed=True)
        return await answer_from(request, origin)

    return answer


def _make_answerer_of_any(
    shared: SharedState, collectors: ForwardingMetrics
) -> AnswerFrom:
    def count(runner: Runner, status: int) -> None:
        count_request(collectors, runner, status)

    def refuse(request: HttpRequest, error: CeleryturnError) -> HttpReply:
        collectors.refusals.inc({'kind': str(error.kind)})
        log_refusal(shared, request, error)
        return refusal_reply(error)

    async def answer(request: HttpRequest, origin: Origin) -> HttpReply:
        try:
            return await forward(shared, request, count, origin)
        except CeleryturnError as error:
            return refuse(request, error)
        except Exception as fault:
            log(INTERNAL_FAULT, url=request.url, detail=repr(fault))
            return refuse(request, CeleryturnError(Kind.INTERNAL, repr(fault)))

    return answer
