"""Handlers for messages from peers, independent of the transport."""

from collections.abc import Iterator
from typing import Final

import xxhash

from celeryturn.decisions.configuration.freshness import (
    PeerConfirmation,
    record_peer_confirmation,
)
from celeryturn.decisions.store_position import StorePosition
from celeryturn.instance import Instance, offer_document
from celeryturn.peers import encoding, messages
from celeryturn.queries.dump import configuration_age_seconds

NO_AGE_SECONDS: Final = -1.0


def handle_message(
    instance: Instance, message: messages.Message
) -> Iterator[messages.Message]:
    """Apply a received message and build the replies to it.

    :param instance: The instance that received the message.
    :param message: The message.
    :returns: Messages to send back, possibly none.
    """
    match message:
        case messages.Ping(sent_seconds):
            yield build_pong(instance, sent_seconds)
        case messages.Pong():
            _apply_pong(instance, message)
        case messages.Versions(versions):
            yield from _request_newer_documents(instance, versions)
        case messages.DocumentRequest(service):
            yield from _reply_with_document(instance, service)
        case messages.Document(body):
            offer_document(instance, body, 'peer')
    yield from _handle_table_message(instance, message)


def build_pong(instance: Instance, echo_seconds: float) -> messages.Pong:
    """Build the reply to a ping.

    :param instance: The instance that received the ping.
    :param echo_seconds: Time of sending that the ping contains.
    :returns: The reply.
    """
    age_seconds = configuration_age_seconds(instance)
    return messages.Pong(
        echo_seconds=echo_seconds,
        age_seconds=NO_AGE_SECONDS if age_seconds is None else age_seconds,
        versions_digest=versions_digest(instance),
        highest_revision=instance.freshness.highest_revision,
        progress=build_progress(instance),
    )


def build_progress(instance: Instance) -> messages.Progress:
    """Describe what an instance knows of the store.

    :param instance: The instance.
    :returns: A part of messages to peers.
    """
    routes = instance.routes
    return messages.Progress(
        routes.version(), routes.position(), routes.age_seconds()
    )


def versions_digest(instance: Instance) -> int:
    """Hash the current documents of all services.

    :param instance: The instance.
    :returns: A hash that is equal on instances that use the same documents.
    """
    hasher = xxhash.xxh3_64()
    for name, service in sorted(instance.services.items()):
        published = service.published
        hasher.update(f'{name} {published.digest}\n'.encode())
    return hasher.intdigest()


def _apply_pong(instance: Instance, message: messages.Pong) -> None:
    is_same_digest = message.versions_digest == versions_digest(instance)
    confirmation = PeerConfirmation(
        sent_seconds=message.echo_seconds,
        age_seconds=message.age_seconds,
        has_same_versions=is_same_digest and message.age_seconds >= 0,
        highest_revision=message.highest_revision,
    )
    instance.freshness = record_peer_confirmation(
        instance.freshness, confirmation
    )


def _request_newer_documents(
    instance: Instance, versions: dict[str, int]
) -> Iterator[messages.DocumentRequest]:
    for name, version in versions.items():
        known = instance.services.get(name)
        if known is None or known.document.version < version:
            yield messages.DocumentRequest(name)


def _handle_table_message(
    instance: Instance, message: messages.Message
) -> Iterator[messages.Message]:
    match message:
        case messages.Ping() | messages.Pong() | messages.Announcement():
            yield from _request_missing(instance, message.progress)
        case messages.TableRequest():
            yield from _reply_with_table(instance)
        case messages.Table():
            instance.routes.offer(encoding.table_body(message))
        case messages.TargetListRequest(since):
            yield from _reply_with_target_list(instance, since)
        case messages.TargetList(update):
            instance.routes.apply_peer_update(update)
        case messages.RequestRates(stated):
            instance.routes.merge_rates(stated)


def request_target_list(
    instance: Instance, peer_position: StorePosition
) -> Iterator[messages.TargetListRequest]:
    """Request the list of targets if the store does not provide it.

    :param instance: The instance that may need the list.
    :param peer_position: Position up to which the peer knows the targets.
    :returns: One request, or none if the list is not needed.
    """
    since = instance.routes.position_to_request(peer_position)
    if since is not None:
        yield messages.TargetListRequest(since)


def _request_missing(
    instance: Instance, progress: messages.Progress
) -> Iterator[messages.TableRequest | messages.TargetListRequest]:
    routes = instance.routes
    routes.note_progress(
        progress.table_version, progress.position, progress.age_seconds
    )
    if routes.may_request_table(progress.table_version):
        yield messages.TableRequest(progress.table_version)
    yield from request_target_list(instance, progress.position)


def _reply_with_table(instance: Instance) -> Iterator[messages.Table]:
    if instance.routes.version():
        yield encoding.make_table(instance.routes.body())


def _reply_with_target_list(
    instance: Instance, since: StorePosition
) -> Iterator[messages.ZoneChanges | messages.TargetList]:
    update = instance.routes.collect_update(since)
    if update is None:
        return
    # The peer takes the position of the list, and then asks the store only for
    # later changes.
    zone_changes = instance.routes.zone_changes(since)
    if zone_changes:
        yield messages.ZoneChanges(zone_changes)
    yield messages.TargetList(update)


def _reply_with_document(
    instance: Instance, service: str
) -> Iterator[messages.Document]:
    known = instance.services.get(service)
    if known is not None:
        yield messages.Document(known.published.body)
