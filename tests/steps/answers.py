"""Steps for searches that wait for a probe, and for links to old targets."""

import asyncio

from behave import then, when
from behave.runner import Context

from celeryturn.decisions.request.planning import QueryKind, QueryRequest
from celeryturn.errors import CeleryturnError, Run
from celeryturn.queries import read as reading
from celeryturn.queries.probes import begin_probe, end_probe

MILLISECONDS_PER_SECOND = 1000


@then('no instance holds a link to "{name}"')
def expect_no_link(context: Context, name: str) -> None:
    """Check that no link to the target remains, and other links do."""
    for application in context.world.applications.values():
        linked_targets = [target for _, target in application.links.links]
        assert linked_targets, 'the application holds no links'
        assert name not in linked_targets, linked_targets


@when(
    'a search of {deadline_ms:d} ms waits {wait_ms:d} ms for another to '
    'find out the snapshot'
)
def search_during_probe(
    context: Context, deadline_ms: int, wait_ms: int
) -> None:
    """Advance the clock while another search probes for the snapshot."""
    application = next(iter(context.world.applications.values()))
    instance = application.instance
    request = QueryRequest(
        service='reservas',
        kind=QueryKind.SEARCH,
        key='',
        text='',
        shards=(),
        limit_count=10,
        deadline_seconds=deadline_ms / MILLISECONDS_PER_SECOND,
    )

    async def search() -> None:
        begin_probe(instance, 'reservas')
        started_seconds = instance.clock()
        instance.clock = lambda: started_seconds
        answering = asyncio.create_task(
            reading.read(instance, application.links, request)
        )
        await asyncio.sleep(0)
        instance.clock = lambda: (
            started_seconds + wait_ms / MILLISECONDS_PER_SECOND
        )
        end_probe(instance, 'reservas')
        await answering

    context.refusal = None
    try:
        context.loop.run_until_complete(search())
    except CeleryturnError as error:
        context.refusal = error


@then('it is refused as not run')
def expect_refused(context: Context) -> None:
    """Check that the refusal reports the request as not run."""
    assert context.refusal is not None
    assert context.refusal.answer.run is Run.NOT_RUN, context.refusal
