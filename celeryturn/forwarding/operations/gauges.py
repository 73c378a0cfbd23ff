"""Gauges of the state of an instance that forwards requests."""

from collections import Counter as Counts
from typing import Final

from aioprometheus.collectors import Gauge

from celeryturn.clients.account import CLIENT_ACCOUNT
from celeryturn.decisions.fleet import membership
from celeryturn.decisions.load import extra_load
from celeryturn.decisions.load.cold_share import remaining_cold_seconds
from celeryturn.decisions.load.request_rate import active_limit
from celeryturn.decisions.request.quarantine import Quarantine, Standing
from celeryturn.decisions.targets.health_reports import BAD_STATES
from celeryturn.decisions.targets.replicas import Replica
from celeryturn.decisions.targets.zone_share import ZoneShare
from celeryturn.forwarding import shared_state
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.forwarding.targets.links import assess_contact
from celeryturn.forwarding.targets.shared_health import (
    count_reported,
    verdict_counts,
)
from celeryturn.http.reply_memory import REPLY_MEMORY
from celeryturn.http.turn_scheduler import TURN_SCHEDULER, waiting_count
from celeryturn.http.unsent_bytes import UNREAD_ANSWERS, UNREAD_REQUESTS
from celeryturn.traffic import Traffic

GAUGES: Final = (
    ('table_version', 'Version of the current routes'),
    ('store_age_seconds', 'Seconds since the store last responded'),
    ('targets', 'Targets by service and whether they are draining'),
    ('links_lost', 'Whether this instance reaches no target'),
    ('targets_heard', 'Targets that responded within the last second'),
    ('targets_silent', 'Targets that did not respond to what was sent last'),
    ('rate_limited_targets', 'Targets that state a request rate by service'),
    ('cold_targets', 'Targets that are cold after their start by service'),
    (
        'suspect_requests',
        'Requests under which targets ended, by how they may be sent',
    ),
    ('evacuated_zones', 'Zones whose targets get no requests'),
    ('reported_targets', 'Targets that instances report as bad'),
    (
        'avoided_targets',
        'Targets with a verdict that applies to this instance, by state',
    ),
    ('target_connections', 'Connections to targets by service'),
    ('extra_load_left', 'Extra requests that may be sent now by service'),
    (
        'zone_share',
        'Share of the requests to a service that may leave the zone',
    ),
    ('zone_short', 'Whether the own zone is short of capacity by service'),
    (
        'zone_attempts',
        'Requests to targets by service and whether these are in the own zone',
    ),
    ('requests_under_way', 'Requests that are being forwarded'),
    ('unread_answer_bytes', 'Bytes that callers have not read'),
    ('unread_request_bytes', 'Bytes that targets and the store have not read'),
    ('client_bytes', 'Bytes held for clients and targets'),
    ('client_limit_bytes', 'Bytes that may be held for them'),
    ('client_connections', 'Open connections of clients, at all ports'),
    ('clients_closed', 'Connections closed since others needed the room'),
    ('replies_dropped', 'Replies of targets dropped, since there was no room'),
    ('answers_abandoned', 'Answers abandoned, since callers did not read them'),
    (
        'reads_waiting',
        'Connections that have received more than they may parse in one turn',
    ),
    ('slices_waited', 'Parts of received bytes parsed in a later turn'),
    ('instances', 'Instances by status in the membership table'),
    ('peer_messages', 'Messages sent to peers by type and destination'),
    ('peer_bytes', 'Size of these messages in bytes'),
    ('store_calls', 'Calls to the store by kind'),
    (
        'headers_ignored',
        'Headers of callers and targets that hold no valid number',
    ),
    (
        'headers_unknown',
        'Names of headers of targets that this build does not know',
    ),
    (
        'log_lines_dropped',
        'Log lines dropped since their number was last logged',
    ),
)


def set_gauges(shared: SharedState, gauges: dict[str, Gauge]) -> None:
    """Set all gauges to the present state of an instance.

    :param shared: Shared state of the instance.
    :param gauges: The gauges by name.
    """
    _set_store(shared, gauges)
    _set_reach(shared, gauges)
    _set_reported(shared, gauges)
    _set_services(shared, gauges)
    _set_instances(shared, gauges)
    _set_traffic(shared.instance.metrics.traffic, gauges)
    _set_log_gauges(shared.log_state, gauges)
    _set_requests(shared, gauges)


def _set_store(shared: SharedState, gauges: dict[str, Gauge]) -> None:
    age_seconds = shared_state.now() - shared.progress.newest_seconds
    gauges['table_version'].set({}, shared_state.table_version(shared))
    gauges['store_age_seconds'].set({}, age_seconds)


def _set_requests(shared: SharedState, gauges: dict[str, Gauge]) -> None:
    gauges['requests_under_way'].set({}, len(shared.in_flight))
    _set_standings(shared.route_states.quarantine, gauges)
    _set_unread(gauges)
    _set_clients(gauges)
    gauges['reads_waiting'].set({}, waiting_count(TURN_SCHEDULER))
    gauges['slices_waited'].set({}, TURN_SCHEDULER.slice_count)


def _set_services(shared: SharedState, gauges: dict[str, Gauge]) -> None:
    for service, replicas in shared.directory.replicas.items():
        _set_service(shared, gauges, service, replicas)
    for known, zone_share in shared.route_states.zone_shares.items():
        _set_zone_share(gauges, known, zone_share)
    for name, bucket in shared.fleet_share.buckets.items():
        _set_gauge(
            gauges, 'extra_load_left', _remaining_tokens(bucket), service=name
        )


def _set_zone_share(
    gauges: dict[str, Gauge], service: str, zone_share: ZoneShare
) -> None:
    counts = {
        'own': zone_share.own_zone_count,
        'other': zone_share.other_zone_count,
    }
    _set_gauge(gauges, 'zone_share', zone_share.share, service=service)
    _set_gauge(gauges, 'zone_short', zone_share.is_short, service=service)
    for zone, count in counts.items():
        _set_gauge(gauges, 'zone_attempts', count, service=service, zone=zone)


def _set_service(
    shared: SharedState,
    gauges: dict[str, Gauge],
    service: str,
    replicas: dict[str, Replica],
) -> None:
    draining_count = sum(
        replica.entry.is_draining for replica in replicas.values()
    )
    limited_count = sum(
        active_limit(replica.rate_limit) is not None
        for replica in replicas.values()
    )
    cold_count = sum(
        remaining_cold_seconds(replica.cold, shared_state.now()) > 0
        for replica in replicas.values()
    )
    connection_count = sum(
        shared.pools[target].connection_count
        for target in replicas
        if target in shared.pools
    )
    serving_count = len(replicas) - draining_count
    _set_gauge(
        gauges, 'targets', draining_count, service=service, draining='true'
    )
    _set_gauge(
        gauges, 'targets', serving_count, service=service, draining='false'
    )
    _set_gauge(gauges, 'rate_limited_targets', limited_count, service=service)
    _set_gauge(gauges, 'cold_targets', cold_count, service=service)
    _set_gauge(gauges, 'target_connections', connection_count, service=service)


def _set_reach(shared: SharedState, gauges: dict[str, Gauge]) -> None:
    evacuated_count = len(shared.directory.evacuations.zones)
    gauges['evacuated_zones'].set({}, evacuated_count)
    _set_links(shared, gauges)


def _set_links(shared: SharedState, gauges: dict[str, Gauge]) -> None:
    contact = assess_contact(shared)
    gauges['links_lost'].set({}, int(shared.links.is_lost))
    gauges['targets_heard'].set({}, contact.heard_count)
    gauges['targets_silent'].set({}, contact.silent_count)


def _set_reported(shared: SharedState, gauges: dict[str, Gauge]) -> None:
    counts = verdict_counts(shared)
    reported_count = count_reported(shared)
    gauges['reported_targets'].set({}, reported_count)
    for state in BAD_STATES:
        _set_gauge(
            gauges, 'avoided_targets', counts[state], state=state.name.lower()
        )


def _set_standings(quarantine: Quarantine, gauges: dict[str, Gauge]) -> None:
    counts = Counts(record.standing for record in quarantine.records.values())
    for standing in (Standing.SUSPECT, Standing.BLOCKED):
        _set_gauge(
            gauges,
            'suspect_requests',
            counts[standing],
            standing=standing.value,
        )


def _set_log_gauges(
    log_state: shared_state.LogState, gauges: dict[str, Gauge]
) -> None:
    gauges['log_lines_dropped'].set({}, log_state.line_budget.dropped_count)
    gauges['headers_ignored'].set({}, log_state.ignored_header_count)
    gauges['headers_unknown'].set({}, len(log_state.unknown_headers))


def _set_instances(shared: SharedState, gauges: dict[str, Gauge]) -> None:
    members = shared.instance.membership.members.values()
    for status in membership.Status:
        count = sum(member.status is status for member in members)
        _set_gauge(gauges, 'instances', count, status=str(status))


def _set_traffic(traffic: Traffic, gauges: dict[str, Gauge]) -> None:
    for kind, message_count in traffic.peer_messages.items():
        labels = kind._asdict()
        gauges['peer_messages'].set(labels, message_count)
        gauges['peer_bytes'].set(labels, traffic.peer_bytes[kind])
    for call, call_count in traffic.store_calls.items():
        gauges['store_calls'].set({'kind': call}, call_count)


def _set_clients(gauges: dict[str, Gauge]) -> None:
    gauges['client_bytes'].set({}, CLIENT_ACCOUNT.used_bytes)
    gauges['client_limit_bytes'].set({}, CLIENT_ACCOUNT.limit_bytes)
    gauges['client_connections'].set({}, CLIENT_ACCOUNT.connection_count)
    gauges['clients_closed'].set({}, CLIENT_ACCOUNT.closed_count)
    gauges['replies_dropped'].set({}, REPLY_MEMORY.dropped_count)


def _set_unread(gauges: dict[str, Gauge]) -> None:
    gauges['unread_answer_bytes'].set({}, UNREAD_ANSWERS.used_bytes)
    gauges['unread_request_bytes'].set({}, UNREAD_REQUESTS.used_bytes)
    gauges['answers_abandoned'].set({}, UNREAD_ANSWERS.abandoned_count)


def _set_gauge(
    gauges: dict[str, Gauge], name: str, number: float, **labels: str
) -> None:
    gauges[name].set(labels, number)


def _remaining_tokens(bucket: extra_load.ExtraLoadBucket) -> float:
    return bucket.tokens
