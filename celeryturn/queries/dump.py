"""Dump of the state of one process, with the size of each bounded table."""

from typing import NamedTuple

from celeryturn.decisions.bookings import booking_table
from celeryturn.decisions.configuration.service_state import ServiceState
from celeryturn.decisions.fleet import membership
from celeryturn.decisions.load import budget, limits
from celeryturn.decisions.targets.views import TargetView
from celeryturn.instance import MAX_SERVICE_COUNT, Instance
from celeryturn.targets import links


class TargetDump(NamedTuple):
    """Known state of one target."""

    availability_zone: str
    in_flight: int
    waiting: int
    limit: float
    share: int
    latency_seconds: float
    failure_count: int
    is_leaving: bool
    newest_snapshot: int


class ServiceDump(NamedTuple):
    """State of one service."""

    configuration_version: int
    serving_index: int
    snapshot: int
    extra_load_tokens: float
    needed_count: int
    extra_count: int
    targets: dict[str, TargetDump]


class Bound(NamedTuple):
    """Size of a table and its maximum size."""

    held: int
    most: int


class StateDump(NamedTuple):
    """State of one instance."""

    instance: str
    availability_zone: str
    incarnation: int
    is_ready: bool
    is_leaving: bool
    configuration_age_seconds: float | None
    highest_revision: int
    services: dict[str, ServiceDump]
    members: dict[str, membership.Member]
    live_count: int
    tables: dict[str, Bound]


def dump(instance: Instance, target_links: links.Links) -> StateDump:
    """Dump the state of this process.

    :param instance: The instance.
    :param target_links: Links to targets.
    :returns: The state of the instance.
    """
    return StateDump(
        instance=instance.settings.instance,
        availability_zone=instance.settings.availability_zone,
        incarnation=instance.membership.own.incarnation,
        is_ready=instance.is_ready,
        is_leaving=instance.is_leaving,
        configuration_age_seconds=configuration_age_seconds(instance),
        highest_revision=instance.freshness.highest_revision,
        services={
            name: dump_service(service)
            for name, service in sorted(instance.services.items())
        },
        members=dict(sorted(instance.membership.members.items())),
        live_count=membership.live_count(instance.membership),
        tables=_table_bounds(instance, target_links),
    )


def configuration_age_seconds(instance: Instance) -> float | None:
    """Return the time since the configuration was last confirmed.

    :param instance: The instance.
    :returns: The age in seconds, or ``None`` before the first confirmation.
    """
    age_seconds = instance.clock() - instance.freshness.confirmed_seconds
    return None if age_seconds == float('inf') else age_seconds


def dump_service(service: ServiceState) -> ServiceDump:
    """Dump the state of one service.

    :param service: State of the service.
    :returns: The dump, including every target.
    """
    return ServiceDump(
        configuration_version=service.document.version,
        serving_index=service.document.serving_index,
        snapshot=service.snapshot.snapshot,
        extra_load_tokens=service.budget.tokens,
        needed_count=service.budget.needed_count,
        extra_count=service.budget.extra_count,
        targets={
            name: _dump_target(view)
            for name, view in sorted(service.views.items())
        },
    )


def _dump_target(view: TargetView) -> TargetDump:
    return TargetDump(
        availability_zone=view.availability_zone,
        in_flight=view.gate.in_flight,
        waiting=limits.waiting_count(view.gate),
        limit=view.gate.limit,
        share=view.gate.share,
        latency_seconds=view.health.latency_seconds,
        failure_count=view.health.failure_count,
        is_leaving=view.health.leaving_since_seconds is not None,
        newest_snapshot=view.report.newest_snapshot,
    )


def _table_bounds(
    instance: Instance, target_links: links.Links
) -> dict[str, Bound]:
    max_waiting_count = max(
        (
            max(len(view.gate.urgent_queue), len(view.gate.sweep_queue))
            for service in instance.services.values()
            for view in service.views.values()
        ),
        default=0,
    )
    tokens = max(
        (service.budget.tokens for service in instance.services.values()),
        default=0,
    )
    return {
        'bookings': Bound(
            booking_table.count(instance.bookings), booking_table.MAX_BOOKINGS
        ),
        'extra_load_tokens': Bound(int(tokens), int(budget.MAX_TOKENS)),
        'links': Bound(len(target_links.links), links.MAX_LINKS),
        'members': Bound(
            len(instance.membership.members), membership.MAX_MEMBERS
        ),
        'services': Bound(len(instance.services), MAX_SERVICE_COUNT),
        'waiting_at_one_target': Bound(
            max_waiting_count, limits.MAX_WAITING_COUNT
        ),
    }
