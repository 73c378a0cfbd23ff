"""Entry points of searches, quick-checks and record reads."""

from celeryturn.decisions.configuration import service_state
from celeryturn.decisions.load.admission import is_expected_late
from celeryturn.decisions.request.planning import (
    QueryKind,
    QueryPlan,
    QueryRequest,
    plan_query,
)
from celeryturn.decisions.targets.messages import QueryAnswer
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.instance import Instance, get_service, require_accepting
from celeryturn.metrics import count_answer
from celeryturn.queries.probes import wait_for_probe
from celeryturn.queries.runner import Runner, run_query
from celeryturn.targets.links import Links


def plan(
    instance: Instance, request: QueryRequest, arrived_seconds: float
) -> QueryPlan:
    """Plan a read request and pin the index version and snapshot to read.

    :param instance: The instance.
    :param request: The read request of the caller.
    :param arrived_seconds: Time at which the request arrived; its deadline
        is relative to this time.
    :returns: The plan.
    :raises CeleryturnError: If the service is not known.
    """
    service = get_service(instance, request.service)
    now_seconds = instance.clock()
    choice = service_state.current_snapshot(service, now_seconds)
    return plan_query(service.document, request, choice, arrived_seconds)


async def read(
    instance: Instance, links: Links, request: QueryRequest
) -> QueryAnswer:
    """Answer a caller's read request.

    :param instance: The instance.
    :param links: Links to targets.
    :param request: The read request of the caller.
    :returns: The merged answer, with its coverage.
    :raises CeleryturnError: If the service or the record is not known, if
        the answer is expected too late, or if nothing could be read.
    """
    arrived_seconds = instance.clock()
    service = get_service(instance, request.service)
    await wait_for_probe(instance, request.service)
    require_accepting(instance)
    planned = plan(instance, request, arrived_seconds)
    if is_expected_late(planned, service.views, instance.clock()):
        raise CeleryturnError(
            Kind.OVERLOADED,
            'the queues are too long for an answer before the deadline',
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
            Kind.RECORD_UNREACHABLE,
            f'the shard of the record could not be read: {reason}',
        )
    if not answer.records:
        raise CeleryturnError(
            Kind.NOT_FOUND, f'no record has the key {request.key!r}'
        )
