"""What an instance answers beside callers' requests, each on its port."""

from collections.abc import Callable
from typing import Final, NamedTuple, TypeAlias

from celeryturn.forwarding.advice import answer_advice, answer_readiness
from celeryturn.forwarding.metrics import Measures
from celeryturn.forwarding.refusals import refusal_reply
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.http.messages import HttpReply, HttpRequest, json_reply
from celeryturn.http.server import HttpServer
from celeryturn.queries.tier_dump import dump_tier
from celeryturn.schema import encode
from celeryturn.settings import Endpoint

Answer: TypeAlias = Callable[[SharedState, HttpRequest], HttpReply]

STATE_PATH: Final = '/v1/state'
OK: Final = 200


class Aside(NamedTuple):
    """One such listener.

    :param endpoint: Where it listens.
    :param server: What answers there.
    """

    endpoint: Endpoint
    server: HttpServer


def make_asides(tier: SharedState, measures: Measures) -> tuple[Aside, ...]:
    """Build the listeners for readiness, address advice, metrics and state.

    :param tier: The tier.
    :param measures: The collectors.
    :returns: Servers that do not listen yet.
    """
    settings = tier.settings
    return (
        _aside(tier, settings.ready, answer_readiness),
        _aside(tier, settings.directory, answer_advice),
        _aside(tier, settings.metrics, _answer_operators(measures)),
    )


def _answer_operators(measures: Measures) -> Answer:
    def answer(tier: SharedState, request: HttpRequest) -> HttpReply:
        if request.url == STATE_PATH:
            return json_reply(OK, encode(dump_tier(tier)))
        return measures.answer(tier, request)

    return answer


def _aside(tier: SharedState, endpoint: Endpoint, answer: Answer) -> Aside:
    async def answerer(request: HttpRequest) -> HttpReply:
        return answer(tier, request)

    return Aside(endpoint, HttpServer(answerer, refusal_reply))
