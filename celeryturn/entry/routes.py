"""The table from paths to queries and commands."""

from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import Final, NamedTuple, TypeAlias, TypeVar

from celeryturn.commands.book import book
from celeryturn.decisions.advice import advise
from celeryturn.decisions.planning import QueryRequest
from celeryturn.entry import bodies
from celeryturn.entry.levels import set_levels
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


class Entry(NamedTuple):
    """What the routes need.

    :param instance: The instance.
    :param links: Links to targets.
    :param drain: Begins a graceful shutdown.
    """

    instance: Instance
    links: Links
    drain: Callable[[], None]


Route: TypeAlias = Callable[[Entry, HttpRequest], Awaitable[HttpReply]]


async def answer_request(entry: Entry, request: HttpRequest) -> HttpReply:
    """Answer any request; every refusal is told, counted and logged.

    :param entry: What the routes need.
    :param request: A whole request.
    :returns: The reply.
    """
    try:
        return await _route(request)(entry, request)
    except CeleryturnError as error:
        return refuse(entry.instance, error)
    except Exception as fault:
        log(INTERNAL_FAULT, url=request.url, detail=repr(fault))
        return refuse(
            entry.instance, CeleryturnError(Kind.INTERNAL, repr(fault))
        )


def refuse(instance: Instance, error: CeleryturnError) -> HttpReply:
    """Count, log and tell a refusal.

    :param instance: The instance that refuses.
    :param error: The refusal.
    :returns: The reply.
    """
    count_refusal(instance.metrics, error.kind)
    log(REFUSED, kind=str(error.kind), detail=error.detail)
    return refusal_reply(error)


def _route(request: HttpRequest) -> Route:
    path, _ = split_url(request.url)
    route = _ROUTES.get((request.method, path))
    if route is None:
        raise CeleryturnError(
            Kind.UNKNOWN_PATH, f'{request.method} {path} is not answered'
        )
    return route


def _reading(
    shape: type[BodyT], make_ask: Callable[[BodyT], QueryRequest]
) -> Route:
    async def route(entry: Entry, request: HttpRequest) -> HttpReply:
        ask = make_ask(bodies.read_body(shape, request))
        answer = await read_query(entry.instance, entry.links, ask)
        return json_reply(OK, answer)

    return route


async def _book(entry: Entry, request: HttpRequest) -> HttpReply:
    ask = bodies.booking_ask(bodies.read_body(bodies.BookBody, request))
    return json_reply(OK, await book(entry.instance, entry.links, ask))


async def _addresses(entry: Entry, request: HttpRequest) -> HttpReply:
    query = bodies.read_query(bodies.AdviceQuery, request)
    instance = entry.instance
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


async def _state(entry: Entry, request: HttpRequest) -> HttpReply:
    return json_reply(OK, dump_state(entry.instance, entry.links))


async def _explain(entry: Entry, request: HttpRequest) -> HttpReply:
    query = bodies.read_query(bodies.ExplainQuery, request)
    ask = bodies.explain_ask(query)
    return json_reply(OK, explain(entry.instance, ask))


async def _drain(entry: Entry, request: HttpRequest) -> HttpReply:
    entry.drain()
    return json_reply(ACCEPTED, {'is_leaving': True})


async def _metrics(entry: Entry, request: HttpRequest) -> HttpReply:
    set_levels(entry.instance)
    accepted = header(request.headers, 'accept') or '*/*'
    rendered, content_type = render_text(entry.instance.metrics, accepted)
    return HttpReply(OK, (('content-type', content_type),), rendered)


_ROUTES: Final[Mapping[tuple[str, str], Route]] = MappingProxyType(
    {
        ('POST', '/v1/search'): _reading(bodies.SearchBody, bodies.search_ask),
        ('POST', '/v1/quickcheck'): _reading(
            bodies.QuickcheckBody, bodies.quickcheck_ask
        ),
        ('POST', '/v1/record'): _reading(bodies.RecordBody, bodies.record_ask),
        ('POST', '/v1/book'): _book,
        ('GET', '/v1/addresses'): _addresses,
        ('GET', '/v1/state'): _state,
        ('GET', '/v1/explain'): _explain,
        ('POST', '/v1/drain'): _drain,
        ('GET', '/metrics'): _metrics,
    }
)
