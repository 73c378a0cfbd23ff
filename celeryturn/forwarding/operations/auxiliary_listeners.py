"""Listeners for readiness, address advice, metrics and state."""

from collections.abc import Callable
from typing import Final, NamedTuple, TypeAlias

from celeryturn.commands.clear_request import (
    is_clear_request,
    run_clear_request,
)
from celeryturn.forwarding.operations.advice import (
    answer_advice,
    answer_readiness,
)
from celeryturn.forwarding.operations.metrics import ForwardingMetrics
from celeryturn.forwarding.request.refusals import refusal_reply
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.http import server as http_server
from celeryturn.http.messages import HttpReply, HttpRequest, json_reply
from celeryturn.http.one_each_turn import one_each_turn
from celeryturn.queries.explain_route import (
    is_explain_request,
    run_explain_request,
)
from celeryturn.queries.routed_dump import dump_routed_state
from celeryturn.schema import encode
from celeryturn.settings import Endpoint

RequestHandler: TypeAlias = Callable[[SharedState, HttpRequest], HttpReply]

STATE_PATH: Final = '/v1/state'
OK: Final = 200


class AuxiliaryListener(NamedTuple):
    """A listener on a port other than the one for callers' requests.

    :param endpoint: Address and port to listen on.
    :param server: Server that answers the requests.
    """

    endpoint: Endpoint
    server: http_server.HttpServer


def make_auxiliary_listeners(
    shared: SharedState, collectors: ForwardingMetrics
) -> tuple[AuxiliaryListener, ...]:
    """Build the listeners for readiness, address advice, metrics and state.

    :param shared: Shared state of the instance.
    :param collectors: Metric collectors of the instance.
    :returns: Listeners whose servers have not been started.
    """
    settings = shared.settings
    operate = _make_answerer(shared, _make_operator_handler(collectors))
    return (
        _make_listener(
            settings.ready, _make_answerer(shared, answer_readiness)
        ),
        _make_listener(
            settings.directory, _make_answerer(shared, answer_advice)
        ),
        _make_listener(settings.metrics, one_each_turn(operate)),
    )


def _make_operator_handler(collectors: ForwardingMetrics) -> RequestHandler:
    def answer(shared: SharedState, request: HttpRequest) -> HttpReply:
        if request.url == STATE_PATH:
            return json_reply(OK, encode(dump_routed_state(shared)))
        if is_clear_request(request):
            return json_reply(OK, encode(run_clear_request(shared, request)))
        if is_explain_request(request):
            return json_reply(OK, encode(run_explain_request(shared, request)))
        return collectors.answer(shared, request)

    return answer


def _make_listener(
    endpoint: Endpoint, answer: http_server.RequestHandler
) -> AuxiliaryListener:
    return AuxiliaryListener(
        endpoint, http_server.HttpServer(answer, refusal_reply)
    )


def _make_answerer(
    shared: SharedState, handle_request: RequestHandler
) -> http_server.RequestHandler:
    async def answer(request: HttpRequest) -> HttpReply:
        return handle_request(shared, request)

    return answer
