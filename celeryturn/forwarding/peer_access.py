"""Access of peers to the routes and targets of an instance."""

from celeryturn.forwarding import peer_lists, shared_state
from celeryturn.forwarding.leaving_targets import list_leaving, mark_leaving
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.forwarding.store_watch import note_revision
from celeryturn.instance import Routes
from celeryturn.peers.messages import LeavingTargets
from celeryturn.peers.network import Network, broadcast


def connect_peers(shared: SharedState, network: Network) -> None:
    """Let an instance exchange routes and targets with its peers.

    :param shared: Shared state of the instance.
    :param network: Links to peers.
    """
    shared.instance.routes = _make_access(shared)
    shared.callbacks.target_leaving.append(
        lambda leaving: broadcast(network, LeavingTargets((leaving,)))
    )


def _make_access(shared: SharedState) -> Routes:
    return Routes(
        version=lambda: shared_state.table_version(shared),
        body=lambda: shared.table_body,
        offer=lambda body: _offer_table(shared, body),
        revision=lambda: shared.progress.revision,
        note_revision=lambda revision: note_revision(shared, revision),
        lacks_routes_or_targets=lambda: peer_lists.lacks_routes_or_targets(
            shared
        ),
        revision_to_request=lambda revision: peer_lists.revision_to_request(
            shared, revision
        ),
        collect_update=lambda since: peer_lists.collect_update(shared, since),
        apply_peer_update=lambda update: peer_lists.apply_peer_update(
            shared, update
        ),
        leaving_targets=lambda: list_leaving(shared),
        mark_leaving=lambda targets: mark_leaving(shared, targets),
    )


def _offer_table(shared: SharedState, body: bytes) -> None:
    shared_state.adopt_table(shared, body, 'peer')
