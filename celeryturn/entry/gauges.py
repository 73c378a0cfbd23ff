"""Gauges, which are set whenever metrics are read."""

from collections import Counter

from celeryturn.clients.account import CLIENT_ACCOUNT
from celeryturn.decisions.configuration.service_state import ServiceState
from celeryturn.decisions.load.limits import waiting_count
from celeryturn.http.reply_memory import REPLY_MEMORY
from celeryturn.instance import Instance
from celeryturn.metrics import Metrics, set_gauge
from celeryturn.queries.dump import configuration_age_seconds


def set_gauges(instance: Instance) -> None:
    """Set every gauge from the current state of an instance.

    :param instance: The instance.
    """
    metrics = instance.metrics
    for name, service in instance.services.items():
        _set_service_gauges(metrics, name, service)
    age_seconds = configuration_age_seconds(instance)
    if age_seconds is not None:
        set_gauge(metrics, 'configuration_age_seconds', {}, age_seconds)
    counts = Counter(
        str(member.status) for member in instance.membership.members.values()
    )
    for status, count in counts.items():
        set_gauge(metrics, 'members', {'status': status}, count)
    _set_client_gauges(metrics)


def _set_client_gauges(metrics: Metrics) -> None:
    account = CLIENT_ACCOUNT
    set_gauge(metrics, 'client_bytes', {}, account.used_bytes)
    set_gauge(metrics, 'client_limit_bytes', {}, account.limit_bytes)
    set_gauge(metrics, 'client_connections', {}, account.connection_count)
    set_gauge(metrics, 'clients_closed', {}, account.closed_count)
    set_gauge(metrics, 'replies_dropped', {}, REPLY_MEMORY.dropped_count)


def _set_service_gauges(
    metrics: Metrics, name: str, service: ServiceState
) -> None:
    service_labels = {'service': name}
    version = service.document.version
    set_gauge(metrics, 'configuration_version', service_labels, version)
    set_gauge(
        metrics, 'extra_load_tokens', service_labels, service.budget.tokens
    )
    for target, view in service.views.items():
        gate = view.gate
        target_labels = {'service': name, 'target': target}
        set_gauge(metrics, 'target_in_flight', target_labels, gate.in_flight)
        set_gauge(metrics, 'target_waiting', target_labels, waiting_count(gate))
        set_gauge(metrics, 'target_limit', target_labels, gate.limit)
