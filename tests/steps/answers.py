"""Steps on searches that wait for another one, and on links given up."""

import asyncio

from behave import then, when
from behave.runner import Context

from celeryturn.decisions.planning import QueryKind, QueryRequest
from celeryturn.errors import CeleryturnError, Run
from celeryturn.queries import read as reading
from celeryturn.queries.scouts import begin_scouting, end_scouting

MILLISECONDS_PER_SECOND = 1000


@then('no instance holds a link to "{name}"')
def expect_no_link(context: Context, name: str) -> None:
    """Expect that the link went with its target."""
    for application in context.world.applications.values():
        held = [target for _, target in application.links.links]
        assert held, 'no link at all'
        assert name not in held, held


@when(
    'a search of {deadline_ms:d} ms waits {wait_ms:d} ms for another to '
    'find out the snapshot'
)
def search_during_probe(
    context: Context, deadline_ms: int, wait_ms: int
) -> None:
    """Let time pass while another search finds out the snapshot."""
    application = next(iter(context.world.applications.values()))
    instance = application.instance
    ask = QueryRequest(
        service='reservas',
        kind=QueryKind.SEARCH,
        key='',
        text='',
        shards=(),
        limit_count=10,
        deadline_seconds=deadline_ms / MILLISECONDS_PER_SECOND,
    )

    async def search() -> None:
        begin_scouting(instance, 'reservas')
        started_seconds = instance.clock()
        instance.clock = lambda: started_seconds
        answering = asyncio.create_task(
            reading.read(instance, application.links, ask)
        )
        await asyncio.sleep(0)
        instance.clock = lambda: (
            started_seconds + wait_ms / MILLISECONDS_PER_SECOND
        )
        end_scouting(instance, 'reservas')
        await answering

    context.refusal = None
    try:
        context.loop.run_until_complete(search())
    except CeleryturnError as error:
        context.refusal = error


@then('it is refused as not run')
def expect_refused(context: Context) -> None:
    """Expect a refusal that is true."""
    assert context.refusal is not None
    assert context.refusal.answer.run is Run.NOT_RUN, context.refusal
