"""Messages of one link: the greeting, and the answers to what is received."""

import asyncio
import functools
import itertools
from collections.abc import Iterable
from typing import Final

from websockets.exceptions import WebSocketException

from celeryturn.decisions.fleet import membership
from celeryturn.decisions.fleet.dissemination import (
    compare_summary,
    digest_members,
    discard_known,
    introduce,
    knows_zone_of,
    requested_members,
    summarize_differing,
)
from celeryturn.decisions.store_position import NO_POSITION
from celeryturn.errors import CeleryturnError
from celeryturn.events import PEER_REFUSED, log
from celeryturn.instance import (
    MAX_SERVICE_COUNT,
    current_versions,
)
from celeryturn.peers import encoding, messages
from celeryturn.peers.handlers import build_progress, handle_message
from celeryturn.peers.handover_messages import HandoverMessage
from celeryturn.peers.handovers import end_handovers, handle_handover
from celeryturn.peers.links import (
    LinkPurpose,
    PeerLink,
    enqueue,
    receive,
    send_queued,
    tell_news,
)
from celeryturn.peers.network import Network, broadcast, broadcast_members
from celeryturn.route_access import Routes
from celeryturn.traffic import count_peer_message

INTRODUCTION_DELAY_SECONDS: Final = 0.4
# Messages of one link, before others have their turn.
MESSAGES_PER_TURN: Final = 16


async def run_link(network: Network, link: PeerLink) -> None:
    """Exchange messages on a link until it ends.

    :param network: The network.
    :param link: The link.
    """
    network.links.add(link)
    writer = asyncio.get_running_loop().create_task(
        send_queued(link, functools.partial(_count_sent, network, link))
    )
    _greet(network, link)
    try:
        await _read(network, link)
    except CeleryturnError as error:
        log(PEER_REFUSED, peer=link.instance, detail=str(error))
    except (OSError, WebSocketException):
        return
    finally:
        writer.cancel()
        _forget_link(network, link)


def _forget_link(network: Network, link: PeerLink) -> None:
    link.flush_timer.disarm()
    network.links.discard(link)
    end_handovers(network.handovers, link)


def _greet(network: Network, link: PeerLink) -> None:
    # The side that dialled states which entries it lacks, or asks to join.
    instance = network.instance
    hello = messages.Hello(instance.settings.instance, link.is_neighbour)
    enqueue(link, hello)
    if link.purpose is LinkPurpose.NEIGHBOUR:
        known = instance.membership.members.values()
        enqueue(link, messages.Digest(digest_members(known)))
    elif link.purpose is LinkPurpose.JOIN:
        enqueue(link, messages.Join(instance.membership.own))
    enqueue(link, messages.Versions(current_versions(instance)))
    # Before the announcement: the peer may become ready when it has the routes
    # and targets, and must know the evacuations by then.
    zone_changes = instance.routes.zone_changes(NO_POSITION)
    if zone_changes:
        enqueue(link, messages.ZoneChanges(zone_changes))
    if instance.routes.version():
        enqueue(link, messages.Announcement(build_progress(instance)))
    _tell_targets(instance.routes, link)


def _tell_targets(routes: Routes, link: PeerLink) -> None:
    leaving = routes.leaving_targets()
    if leaving:
        enqueue(link, messages.LeavingTargets(leaving))
    rates = routes.request_rates()
    if rates:
        enqueue(link, messages.RequestRates(rates))
    ends = routes.target_ends()
    if ends:
        enqueue(link, messages.TargetEnds(ends))
    reports = routes.target_reports()
    if reports:
        enqueue(link, messages.TargetReports(reports))


def _count_sent(
    network: Network, link: PeerLink, message: messages.Message, size_bytes: int
) -> None:
    instance = network.instance
    peer = instance.membership.members.get(link.instance)
    zone = instance.settings.availability_zone
    count_peer_message(
        instance.metrics.traffic,
        type(message).__name__,
        size_bytes,
        is_same_zone=peer is not None and peer.availability_zone == zone,
    )


async def _read(network: Network, link: PeerLink) -> None:
    idle_seconds = network.instance.settings.timing.peer_idle_seconds
    for number in itertools.count(1):
        async with asyncio.timeout(idle_seconds):
            encoded = await receive(link)
        message = encoding.unpack(encoded)
        if message is not None:
            _handle_message(network, link, message)
        if not number % MESSAGES_PER_TURN:
            # A message that has arrived already is received without waiting.
            await asyncio.sleep(0)


def _handle_message(
    network: Network, link: PeerLink, message: messages.Message
) -> None:
    instance = network.instance
    if isinstance(message, messages.Hello):
        link.instance = message.instance
        link.is_neighbour = link.is_neighbour and message.is_neighbour
    if isinstance(message, messages.Versions):
        _record_versions(network, message)
    if link.instance:
        membership.record_contact(
            instance.membership, link.instance, instance.clock()
        )
    if _handle_membership(network, link, message):
        return
    if isinstance(message, messages.LeavingTargets):
        _merge_leaving_targets(network, link, message)
        return
    if isinstance(message, messages.ZoneChanges):
        _merge_zone_changes(network, link, message)
        return
    if isinstance(message, messages.TargetEnds):
        _merge_ends(network, link, message)
        return
    if isinstance(message, messages.TargetReports):
        instance.routes.merge_reports(message.reports, link.instance)
        return
    if isinstance(message, HandoverMessage):
        handle_handover(network.handovers, link, message)
        return
    for reply in handle_message(instance, message):
        enqueue(link, reply)


def _handle_membership(
    network: Network, link: PeerLink, message: messages.Message
) -> bool:
    match message:
        case messages.Join(member):
            _introduce(network, link, member)
        case messages.Digest():
            _reply_to_digest(network, link, message)
        case messages.Summary():
            _reply_to_summary(network, link, message)
        case messages.EntryRequest():
            _reply_to_entry_request(network, link, message)
        case messages.Members(offered):
            _merge_members(network, link, offered)
        case _:
            return False
    return True


def _introduce(
    network: Network, link: PeerLink, joining: membership.Member
) -> None:
    _merge_members(network, link, (joining,))
    if knows_zone_of(network.instance.membership, joining):
        _send_introduction(network, link, joining)
        return
    # When all instances start at once, most are not known yet.
    asyncio.get_running_loop().call_later(
        INTRODUCTION_DELAY_SECONDS, _send_introduction, network, link, joining
    )


def _send_introduction(
    network: Network, link: PeerLink, joining: membership.Member
) -> None:
    introduced = introduce(network.instance.membership, joining)
    enqueue(link, messages.Members(introduced))


def _reply_to_digest(
    network: Network, link: PeerLink, digest: messages.Digest
) -> None:
    known = network.instance.membership.members.values()
    own_digest = digest_members(known)
    if own_digest != digest.buckets:
        entries = summarize_differing(known, digest.buckets)
        enqueue(link, messages.Summary(own_digest, entries))


def _reply_to_summary(
    network: Network, link: PeerLink, summary: messages.Summary
) -> None:
    known = network.instance.membership.members.values()
    compared = compare_summary(known, summary.buckets, summary.entries)
    if compared.told:
        enqueue(link, messages.Members(compared.told))
    if compared.missing_name_hashes:
        enqueue(link, messages.EntryRequest(compared.missing_name_hashes))


def _reply_to_entry_request(
    network: Network, link: PeerLink, request: messages.EntryRequest
) -> None:
    known = network.instance.membership.members.values()
    requested = requested_members(known, request.name_hashes)
    if requested:
        enqueue(link, messages.Members(requested))


def _record_versions(network: Network, message: messages.Versions) -> None:
    if not network.first_contact.is_set():
        network.joined_seconds = network.instance.clock()
        network.first_contact.set()
    peer_versions = network.peer_versions
    for name, version in message.versions.items():
        if name in peer_versions or len(peer_versions) < MAX_SERVICE_COUNT:
            peer_versions[name] = max(version, peer_versions.get(name, 0))


def _merge_members(
    network: Network, link: PeerLink, offered: Iterable[membership.Member]
) -> None:
    instance = network.instance
    received = tuple(offered)
    discard_known(link.news, received)
    changed = membership.merge_entries(
        instance.membership, received, instance.clock()
    )
    broadcast_members(network, changed, link)
    # A refutation answers what this peer has sent.
    refuted = [own for own in changed if own == instance.membership.own]
    if refuted:
        tell_news(link, refuted, instance.clock())


def _merge_leaving_targets(
    network: Network, link: PeerLink, message: messages.LeavingTargets
) -> None:
    marked = network.instance.routes.mark_leaving(message.targets)
    if marked:
        broadcast(network, messages.LeavingTargets(tuple(marked)), link)


def _merge_zone_changes(
    network: Network, link: PeerLink, message: messages.ZoneChanges
) -> None:
    merged = network.instance.routes.merge_zone_changes(message.changes)
    if merged.news:
        broadcast(network, messages.ZoneChanges(merged.news), link)
    if merged.corrections:
        enqueue(link, messages.ZoneChanges(merged.corrections))


def _merge_ends(
    network: Network, link: PeerLink, message: messages.TargetEnds
) -> None:
    changed = network.instance.routes.merge_ends(message.ends, link.instance)
    if changed:
        broadcast(network, messages.TargetEnds(tuple(changed)), link)
