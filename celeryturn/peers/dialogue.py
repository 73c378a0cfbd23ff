"""What is replied to a peer, apart from how it is sent."""

from collections.abc import Iterator
from typing import Final

import xxhash

from celeryturn.decisions.freshness import (
    PeerConfirmation,
    record_peer_confirmation,
)
from celeryturn.instance import Instance, offer_document
from celeryturn.peers import messages
from celeryturn.queries.dump import configuration_age_seconds

NO_AGE_SECONDS: Final = -1.0


def reply_to(
    instance: Instance, message: messages.Message
) -> Iterator[messages.Message]:
    """Take a message in and reply.

    :param instance: The instance that received it.
    :param message: The message.
    :returns: What to reply, possibly nothing.
    """
    match message:
        case messages.Ping(sent_seconds):
            yield pong(instance, sent_seconds)
        case messages.Pong():
            _take_pong(instance, message)
        case messages.Versions(versions):
            yield from _want_newer(instance, versions)
        case messages.Want(service):
            yield from _documents(instance, service)
        case messages.Document(body):
            offer_document(instance, body, 'peer')
    yield from _exchange_table(instance, message)


def pong(instance: Instance, echo_seconds: float) -> messages.Pong:
    """Answer a ping.

    :param instance: The instance that was asked.
    :param echo_seconds: The asker's time.
    :returns: The answer.
    """
    age_seconds = configuration_age_seconds(instance)
    return messages.Pong(
        echo_seconds=echo_seconds,
        age_seconds=NO_AGE_SECONDS if age_seconds is None else age_seconds,
        versions_digest=versions_digest(instance),
        highest_revision=instance.freshness.highest_revision,
        table_version=instance.routes.version(),
        store_revision=instance.routes.revision(),
    )


def versions_digest(instance: Instance) -> int:
    """Hash all versions in force.

    :param instance: The instance.
    :returns: Equal where the same documents are in force.
    """
    hasher = xxhash.xxh3_64()
    for name, service in sorted(instance.services.items()):
        published = service.published
        hasher.update(f'{name} {published.digest}\n'.encode())
    return hasher.intdigest()


def _take_pong(instance: Instance, message: messages.Pong) -> None:
    same = message.versions_digest == versions_digest(instance)
    vouching = PeerConfirmation(
        sent_seconds=message.echo_seconds,
        age_seconds=message.age_seconds,
        has_same_versions=same and message.age_seconds >= 0,
        highest_revision=message.highest_revision,
    )
    instance.freshness = record_peer_confirmation(instance.freshness, vouching)


def _want_newer(
    instance: Instance, versions: dict[str, int]
) -> Iterator[messages.Want]:
    for name, version in versions.items():
        known = instance.services.get(name)
        if known is None or known.document.version < version:
            yield messages.Want(name)


def _exchange_table(
    instance: Instance, message: messages.Message
) -> Iterator[messages.Message]:
    match message:
        case messages.Ping() | messages.Pong():
            yield from _want_table(instance, message)
            yield from want_listed(instance, message.store_revision)
        case messages.WantTable():
            yield from _table(instance)
        case messages.Table(body):
            instance.routes.offer(body)
        case messages.WantListed(since_revision):
            yield from _listed(instance, since_revision)
        case messages.TargetList(listed):
            instance.routes.offer_listed(listed)


def want_listed(
    instance: Instance, heard_revision: int
) -> Iterator[messages.WantListed]:
    """Ask for the list of targets, where the store does not tell it.

    :param instance: The instance that lacks it.
    :param heard_revision: How far the peer has followed the store.
    :returns: A request, possibly none.
    """
    since = instance.routes.wants_since(heard_revision)
    if since is not None:
        yield messages.WantListed(since)


def _want_table(
    instance: Instance, heard: messages.Ping | messages.Pong
) -> Iterator[messages.WantTable]:
    instance.routes.hear_revision(heard.store_revision)
    if heard.table_version > instance.routes.version():
        yield messages.WantTable(heard.table_version)


def _table(instance: Instance) -> Iterator[messages.Table]:
    if instance.routes.version():
        yield messages.Table(instance.routes.body())


def _listed(
    instance: Instance, since_revision: int
) -> Iterator[messages.TargetList]:
    listed = instance.routes.listed(since_revision)
    if listed is not None:
        yield messages.TargetList(listed)


def _documents(instance: Instance, service: str) -> Iterator[messages.Document]:
    known = instance.services.get(service)
    if known is not None:
        yield messages.Document(known.published.body)
