"""Explain how a query would be run: its shards, replicas and reasons."""

from typing import NamedTuple

from celeryturn.decisions.configuration.service_state import ServiceState
from celeryturn.decisions.request import routing
from celeryturn.decisions.request.planning import QueryRequest
from celeryturn.decisions.targets.views import TargetView, can_receive_work
from celeryturn.instance import Instance, get_service
from celeryturn.queries.read import plan


class ReplicaReason(NamedTuple):
    """Rank of one replica and its reason.

    :param target: Name of the target.
    :param availability_zone: Availability zone the target runs in.
    :param expected_seconds: Estimated wait, including penalties.
    :param note: Why the replica would or would not be chosen.
    """

    target: str
    availability_zone: str
    expected_seconds: float
    note: str


class ShardReason(NamedTuple):
    """How one shard would be read.

    :param shard: Name of the shard.
    :param replicas: Replicas of the shard, best first; excluded ones last.
    """

    shard: str
    replicas: tuple[ReplicaReason, ...]


class Explanation(NamedTuple):
    """The plan of a query.

    :param service: Name of the service.
    :param configuration_version: Version of the configuration to be used.
    :param index_version: Index version to be read.
    :param snapshot: Snapshot to be read.
    :param priority: Whether the service prefers coverage or latency.
    :param shards: How each shard would be read.
    """

    service: str
    configuration_version: int
    index_version: int
    snapshot: int
    priority: str
    shards: tuple[ShardReason, ...]


def explain(instance: Instance, request: QueryRequest) -> Explanation:
    """Plan a query and explain how each shard would be read.

    Nothing is sent to a target.

    :param instance: The instance.
    :param request: The read request to explain.
    :returns: The plan with its reasons.
    :raises CeleryturnError: If the service is not known.
    """
    service = get_service(instance, request.service)
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
