"""The product's own keys in the platform's store.

There is one document for each service and one entry for each instance, as
docs/CONFIGURATION.md describes.
"""

from typing import Final, NamedTuple, TypedDict

import msgspec

from celeryturn.decisions.fleet.membership import Member, Status
from celeryturn.platform.store import Changes, StoreError
from celeryturn.schema import UNREADABLE_ERRORS

SERVICES_PREFIX: Final = 'services/'
INSTANCES_PREFIX: Final = 'instances/'


class _ListedInstance(TypedDict):
    instance: str
    address: str
    callers_port: int
    peers_port: int
    availability_zone: str
    state: str


_decoder: Final = msgspec.json.Decoder(_ListedInstance)


class InstanceList(NamedTuple):
    """Decoded list of instances.

    :param members: Entries of all instances, with the default status
        ``listed``, which never replaces a status known from direct contact.
    :param leaving: Names of the instances that the list marks as leaving.
    """

    members: tuple[Member, ...]
    leaving: tuple[str, ...]


def decode_instance_list(response: Changes) -> InstanceList:
    """Decode the list of instances.

    :param response: All keys of the list.
    :returns: The decoded list.
    :raises StoreError: If an entry cannot be decoded.
    """
    entries = [
        _decode_entry(change.body)
        for change in response.changes
        if change.body is not None
    ]
    return InstanceList(
        members=tuple(map(_make_member, entries)),
        leaving=tuple(
            entry['instance']
            for entry in entries
            if entry['state'] == Status.LEAVING
        ),
    )


def _decode_entry(body: bytes) -> _ListedInstance:
    try:
        return _decoder.decode(body)
    except UNREADABLE_ERRORS as error:
        raise StoreError(
            f'entry of an instance cannot be decoded: {error}'
        ) from error


def _make_member(entry: _ListedInstance) -> Member:
    return Member(
        instance=entry['instance'],
        address=entry['address'],
        callers_port=entry['callers_port'],
        peers_port=entry['peers_port'],
        availability_zone=entry['availability_zone'],
    )
