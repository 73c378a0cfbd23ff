"""Search, quick-check and record read."""

from celeryturn.decisions import service_state
from celeryturn.decisions.admission import is_expected_late
from celeryturn.decisions.messages import QueryAnswer
from celeryturn.decisions.planning import (
    QueryKind,
    QueryPlan,
    QueryRequest,
    plan_query,
)
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.instance import Instance, service_of
from celeryturn.metrics import count_answer
from celeryturn.queries.runner import Runner, run_query
from celeryturn.queries.probes import wait_for_probe
from celeryturn.targets.links import Links


def plan(
    instance: Instance, request: QueryRequest, arrived_seconds: float
) -> QueryPlan:
    """Pin what an answer depends on.

    :param instance: The instance.
    :param request: What the caller asks.
    :param arrived_seconds: When it asked; its deadline counts from here.
    :returns: The plan.
    :raises CeleryturnError: When the service is not known.
    """
    service = service_of(instance, request.service)
    now_seconds = instance.clock()
    choice = service_state.current_snapshot(service, now_seconds)
    return plan_query(service.document, request, choice, arrived_seconds)


async def read(
    instance: Instance, links: Links, request: QueryRequest
) -> QueryAnswer:
    """Answer a caller's read request.

    :param instance: The instance.
    :param links: Links to targets.
    :param request: What the caller asks.
    :returns: The whole answer, with its coverage.
    :raises CeleryturnError: When the service or the record is not known,
        or nothing at all could be read.
    """
    arrived_seconds = instance.clock()
    service = service_of(instance, request.service)
    await wait_for_probe(instance, request.service)
    planned = plan(instance, request, arrived_seconds)
    if is_expected_late(planned, service.views, instance.clock()):
        raise CeleryturnError(
            Kind.OVERLOADED, 'too much waits for it to be answered in time'
        )
    runner = Runner(instance, links, service, planned)
    answer = await run_query(runner)
    count_answer(instance.metrics, answer)
    if request.kind is QueryKind.RECORD:
        _require_record(request, answer)
    return answer


def _require_record(request: QueryRequest, answer: QueryAnswer) -> None:
    if not answer.coverage.is_complete:
        reason = answer.coverage.lacking[0].reason
        raise CeleryturnError(
            Kind.RECORD_UNREACHABLE, f'its shard could not be read: {reason}'
        )
    if not answer.records:
        raise CeleryturnError(Kind.NOT_FOUND, f'no record {request.key!r}')
