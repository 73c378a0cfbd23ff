"""Requests that peers serve for this instance, and those of peers."""

from typing import Final

from celeryturn.decisions.fleet import membership
from celeryturn.decisions.fleet.handover_choice import (
    HelperLoad,
    choose_helper,
    helpers_to_link,
    is_helper,
)
from celeryturn.forwarding import shared_state
from celeryturn.forwarding.request.withdrawal import withdraw_waiting
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.peers.dialling import dial_neighbours
from celeryturn.peers.handover_messages import HandoverTerms
from celeryturn.peers.handovers import (
    HandoverDeclinedError,
    hand_over,
    is_in_use,
    pending_count,
)
from celeryturn.peers.links import PeerLink
from celeryturn.peers.network import Network, broadcast_members

MAX_ASKED_COUNT: Final = 2


async def ask_helpers(
    network: Network, request: HttpRequest, terms: HandoverTerms
) -> HttpReply:
    """Let a peer serve a request; if it declines, another one.

    :param network: Links to peers.
    :param request: Request of a caller.
    :param terms: What the peer needs to know besides the request.
    :returns: The reply of the peer.
    :raises HandoverDeclinedError: If no peer has run the request.
    :raises HandoverLostError: If the link ended before the reply.
    """
    declined: set[str] = set()
    while len(declined) < MAX_ASKED_COUNT:
        link = _choose_link(network, declined)
        if link is None:
            break
        try:
            return await hand_over(network.handovers, link, request, terms)
        except HandoverDeclinedError:
            declined.add(link.instance)
    raise HandoverDeclinedError


def follow_links(
    shared: SharedState, network: Network, has_changed: bool
) -> None:
    """Tell peers of changes of the links to targets, and link to helpers.

    :param shared: Shared state of the instance.
    :param network: Links to peers.
    :param has_changed: Whether the links were lost or restored.
    """
    if has_changed and shared.links.is_lost:
        withdraw_waiting(shared)
    if has_changed:
        known = shared.instance.membership
        entry = membership.announce_links(
            known, shared_state.now(), reaches_targets=not shared.links.is_lost
        )
        broadcast_members(network, [entry])
    _link_helpers(shared, network)


def may_serve_relayed(shared: SharedState, terms: HandoverTerms) -> bool:
    """Return whether this instance serves requests for peers.

    :param shared: Shared state of the instance.
    :param terms: Terms of a request of a peer.
    :returns: Whether it is ready, reaches targets, is not shutting down and
        has routes that are not older than those of the peer.
    """
    instance = shared.instance
    return (
        instance.is_ready
        and not instance.is_leaving
        and not shared.links.is_lost
        and shared_state.table_version(shared) >= terms.table_version
    )


def _link_helpers(shared: SharedState, network: Network) -> None:
    handovers = network.handovers
    if not shared.links.is_lost:
        handovers.helpers = ()
        return
    known = shared.instance.membership
    chosen = helpers_to_link(known.own, known.members.values())
    in_use = [name for name in handovers.helpers if is_in_use(handovers, name)]
    handovers.helpers = tuple(dict.fromkeys((*chosen, *in_use)))
    dial_neighbours(network)


def _choose_link(network: Network, excluded: set[str]) -> PeerLink | None:
    instance = network.instance
    members = instance.membership.members
    links = [
        link
        for link in network.links
        if link.instance not in excluded
        and is_helper(members.get(link.instance))
    ]
    loads = [_load(network, link) for link in links]
    chosen = choose_helper(loads, instance.random())
    return None if chosen is None else links[chosen]


def _load(network: Network, link: PeerLink) -> HelperLoad:
    instance = network.instance
    known = instance.membership
    contact_seconds = known.last_contact_seconds.get(link.instance, 0.0)
    zone = known.members[link.instance].availability_zone
    return HelperLoad(
        pending_count=pending_count(network.handovers, link),
        contact_age_seconds=instance.clock() - contact_seconds,
        is_same_zone=zone == instance.settings.availability_zone,
    )
