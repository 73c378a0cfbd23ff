"""Access of peers to the routes and targets of an instance."""

import functools

from celeryturn.decisions.fleet.delegates import has_other_instances
from celeryturn.forwarding import shared_state
from celeryturn.forwarding.peers import lists as peer_lists
from celeryturn.forwarding.peers.helping import ask_helpers
from celeryturn.forwarding.request.suspect_requests import list_ends, merge_ends
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.forwarding.targets.evacuated_zones import (
    list_zone_changes,
    merge_peer_changes,
)
from celeryturn.forwarding.targets.leaving import list_leaving, mark_leaving
from celeryturn.forwarding.targets.request_rates import list_rates, merge_rates
from celeryturn.forwarding.targets.shared_health import (
    list_known_reports,
    merge_reports,
)
from celeryturn.peers.messages import (
    LeavingTargets,
    RequestRates,
    TargetEnds,
    ZoneChanges,
)
from celeryturn.peers.network import Network, announce_progress, broadcast
from celeryturn.peers.target_reports import tell_reports
from celeryturn.route_access import Routes


def connect_peers(shared: SharedState, network: Network) -> None:
    """Let an instance exchange routes and targets with its peers.

    :param shared: Shared state of the instance.
    :param network: Links to peers.
    """
    shared.instance.routes = _make_access(shared)
    shared.callbacks.hand_over = functools.partial(ask_helpers, network)
    shared.callbacks.progressed.append(
        lambda: _announce_if_needed(shared, network)
    )
    shared.callbacks.target_leaving.append(
        lambda leaving: broadcast(network, LeavingTargets((leaving,)))
    )
    shared.callbacks.rates_stated.append(
        lambda stated: broadcast(network, RequestRates(stated))
    )
    shared.callbacks.zones_changed.append(
        lambda changes: broadcast(network, ZoneChanges(changes))
    )
    shared.callbacks.targets_reported.append(
        functools.partial(tell_reports, network)
    )
    shared.callbacks.ends_reported.append(
        lambda ends: broadcast(network, TargetEnds(ends))
    )


def _make_access(shared: SharedState) -> Routes:
    return Routes(
        version=lambda: shared_state.table_version(shared),
        body=lambda: shared.table_body,
        offer=lambda body: _offer_table(shared, body),
        position=lambda: shared.progress.position,
        age_seconds=lambda: peer_lists.position_age_seconds(shared),
        note_progress=functools.partial(peer_lists.note_progress, shared),
        may_request_table=lambda version: peer_lists.may_request_table(
            shared, version
        ),
        lacks_routes_or_targets=lambda: peer_lists.lacks_routes_or_targets(
            shared
        ),
        position_to_request=lambda position: peer_lists.position_to_request(
            shared, position
        ),
        collect_update=lambda since: peer_lists.collect_update(shared, since),
        apply_peer_update=lambda update: peer_lists.apply_peer_update(
            shared, update
        ),
        leaving_targets=lambda: list_leaving(shared),
        mark_leaving=lambda targets: mark_leaving(shared, targets),
        request_rates=lambda: list_rates(shared),
        merge_rates=lambda told: merge_rates(shared, told),
        target_ends=lambda: list_ends(shared),
        merge_ends=lambda told, source: merge_ends(shared, told, source),
        zone_changes=lambda after: list_zone_changes(shared, after),
        merge_zone_changes=lambda offered: merge_peer_changes(shared, offered),
        target_reports=lambda: list_known_reports(shared),
        merge_reports=lambda told, source: merge_reports(shared, told, source),
    )


def _offer_table(shared: SharedState, body: bytes) -> None:
    shared_state.adopt_table(shared, body, 'peer')


def _announce_if_needed(shared: SharedState, network: Network) -> None:
    # In a fleet of delegates each instance follows the store itself.
    if has_other_instances(shared.instance.membership):
        announce_progress(network)
