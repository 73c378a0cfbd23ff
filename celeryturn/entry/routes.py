"""Request handlers by method and path."""

from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import Final, NamedTuple, TypeAlias, TypeVar

from celeryturn.commands.book import book
from celeryturn.decisions.fleet.advice import advise
from celeryturn.decisions.request.planning import QueryRequest
from celeryturn.entry import bodies
from celeryturn.entry.gauges import set_gauges
from celeryturn.entry.refusals import refusal_reply
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.events import INTERNAL_FAULT, REFUSED, log
from celeryturn.http.messages import (
    HttpReply,
    HttpRequest,
    header,
    json_reply,
    split_url,
)
from celeryturn.instance import Instance
from celeryturn.metrics import count_refusal, render_text
from celeryturn.queries.dump import dump as dump_state
from celeryturn.queries.explain import explain
from celeryturn.queries.read import read as read_query
from celeryturn.targets.links import Links

BodyT = TypeVar('BodyT')

OK: Final = 200
ACCEPTED: Final = 202


class HandlerContext(NamedTuple):
    """State and links that request handlers use.

    :param instance: The instance.
    :param links: Links to targets.
    :param drain: Starts a graceful shutdown.
    """

    instance: Instance
    links: Links
    drain: Callable[[], None]


RequestHandler: TypeAlias = Callable[
    [HandlerContext, HttpRequest], Awaitable[HttpReply]
]


async def answer_request(
    context: HandlerContext, request: HttpRequest
) -> HttpReply:
    """Answer a request; every refusal is counted, logged and returned.

    :param context: State and links that the handlers use.
    :param request: A complete request.
    :returns: The reply.
    """
    try:
        return await _find_handler(request)(context, request)
    except CeleryturnError as error:
        return refuse(context.instance, error)
    except Exception as fault:
        log(INTERNAL_FAULT, url=request.url, detail=repr(fault))
        return refuse(
            context.instance, CeleryturnError(Kind.INTERNAL, repr(fault))
        )


def refuse(instance: Instance, error: CeleryturnError) -> HttpReply:
    """Count and log a refusal, and build the reply to it.

    :param instance: The instance that refuses the request.
    :param error: The refusal.
    :returns: The reply.
    """
    count_refusal(instance.metrics, error.kind)
    log(REFUSED, kind=str(error.kind), detail=error.detail)
    return refusal_reply(error)


def _find_handler(request: HttpRequest) -> RequestHandler:
    path, _ = split_url(request.url)
    request_handler = _HANDLERS.get((request.method, path))
    if request_handler is None:
        raise CeleryturnError(
            Kind.UNKNOWN_PATH,
            f'{request.method} {path} is not a known method and path',
        )
    return request_handler


def _make_query_handler(
    shape: type[BodyT], make_request: Callable[[BodyT], QueryRequest]
) -> RequestHandler:
    async def handle_request(
        context: HandlerContext, request: HttpRequest
    ) -> HttpReply:
        query_request = make_request(bodies.read_body(shape, request))
        answer = await read_query(
            context.instance, context.links, query_request
        )
        return json_reply(OK, answer)

    return handle_request


async def _book(context: HandlerContext, request: HttpRequest) -> HttpReply:
    booking_request = bodies.make_booking_request(
        bodies.read_body(bodies.BookBody, request)
    )
    return json_reply(
        OK, await book(context.instance, context.links, booking_request)
    )


async def _addresses(
    context: HandlerContext, request: HttpRequest
) -> HttpReply:
    query = bodies.read_query(bodies.AdviceQuery, request)
    instance = context.instance
    advice = advise(
        instance.membership.members.values(),
        query.caller or str(instance.random()),
        query.zone,
        instance.settings.timing.advice_keep_seconds,
        instance.random(),
    )
    addresses = [
        {
            'instance': member.instance,
            'address': member.address,
            'port': member.callers_port,
            'availability_zone': member.availability_zone,
        }
        for member in advice.members
    ]
    return json_reply(
        OK, {'addresses': addresses, 'keep_seconds': advice.keep_seconds}
    )


async def _state(context: HandlerContext, request: HttpRequest) -> HttpReply:
    return json_reply(OK, dump_state(context.instance, context.links))


async def _explain(context: HandlerContext, request: HttpRequest) -> HttpReply:
    query = bodies.read_query(bodies.ExplainQuery, request)
    query_request = bodies.make_explain_request(query)
    return json_reply(OK, explain(context.instance, query_request))


async def _drain(context: HandlerContext, request: HttpRequest) -> HttpReply:
    context.drain()
    return json_reply(ACCEPTED, {'is_leaving': True})


async def _metrics(context: HandlerContext, request: HttpRequest) -> HttpReply:
    set_gauges(context.instance)
    accept = header(request.headers, 'accept') or '*/*'
    rendered, content_type = render_text(context.instance.metrics, accept)
    return HttpReply(OK, (('content-type', content_type),), rendered)


_HANDLERS: Final[Mapping[tuple[str, str], RequestHandler]] = MappingProxyType(
    {
        ('POST', '/v1/search'): _make_query_handler(
            bodies.SearchBody, bodies.make_search_request
        ),
        ('POST', '/v1/quickcheck'): _make_query_handler(
            bodies.QuickcheckBody, bodies.make_quickcheck_request
        ),
        ('POST', '/v1/record'): _make_query_handler(
            bodies.RecordBody, bodies.make_record_request
        ),
        ('POST', '/v1/book'): _book,
        ('GET', '/v1/addresses'): _addresses,
        ('GET', '/v1/state'): _state,
        ('GET', '/v1/explain'): _explain,
        ('POST', '/v1/drain'): _drain,
        ('GET', '/metrics'): _metrics,
    }
)
