"""Explain a query without running it: which shards, replicas, and why."""

from typing import NamedTuple

from celeryturn.decisions import routing
from celeryturn.decisions.planning import QueryRequest
from celeryturn.decisions.service_state import ServiceState
from celeryturn.decisions.views import TargetView, can_receive_work
from celeryturn.instance import Instance, service_of
from celeryturn.queries.read import plan


class ReplicaReason(NamedTuple):
    """How one replica stands.

    :param target: Its name.
    :param availability_zone: Where it stands.
    :param expected_seconds: Estimated wait, with penalties.
    :param note: Why it would or would not be chosen.
    """

    target: str
    availability_zone: str
    expected_seconds: float
    note: str


class ShardReason(NamedTuple):
    """How one shard would be read.

    :param shard: Its name.
    :param replicas: Its replicas, best first, those left out at the end.
    """

    shard: str
    replicas: tuple[ReplicaReason, ...]


class Explanation(NamedTuple):
    """The plan of a query.

    :param service: Name of the service.
    :param configuration_version: Configuration it would run under.
    :param index_version: Index version it would read.
    :param snapshot: Snapshot it would read.
    :param priority: What the service weighs most.
    :param shards: How each shard would be read.
    """

    service: str
    configuration_version: int
    index_version: int
    snapshot: int
    priority: str
    shards: tuple[ShardReason, ...]


def explain(instance: Instance, request: QueryRequest) -> Explanation:
    """Plan a query and say how each shard would be read.

    :param instance: The instance.
    :param request: What would be asked.
    :returns: The plan with its reasons.
    :raises CeleryturnError: When the service is not known.
    """
    service = service_of(instance, request.service)
    planned = plan(instance, request, instance.clock())
    return Explanation(
        service=request.service,
        configuration_version=planned.configuration_version,
        index_version=planned.pinned_index.version,
        snapshot=planned.snapshot,
        priority=planned.priority,
        shards=tuple(
            _explain_shard(
                instance,
                service,
                name,
                planned.pinned_index.shards[name].replicas,
            )
            for name in planned.shards
        ),
    )


def _explain_shard(
    instance: Instance,
    service: ServiceState,
    name: str,
    replicas: tuple[str, ...],
) -> ShardReason:
    reasons = [
        _explain_replica(instance, replica, service.views[replica])
        for replica in replicas
    ]
    reasons.sort(key=lambda reason: (reason.note, reason.expected_seconds))
    return ShardReason(name, tuple(reasons))


def _explain_replica(
    instance: Instance, name: str, view: TargetView
) -> ReplicaReason:
    now_seconds = instance.clock()
    zone = instance.settings.availability_zone
    note = 'by expected wait'
    if not can_receive_work(view):
        note = 'left out: leaving'
    elif now_seconds < view.health.ejected_until_seconds:
        note = 'last: ejected after failures'
    return ReplicaReason(
        name,
        view.availability_zone,
        routing.expected_seconds(view, zone, now_seconds),
        note,
    )
