"""The product's own keys in the platform's store.

There is one document for each service and one entry for each instance, as
docs/CONFIGURATION.md describes.
"""

from typing import Final, NamedTuple, TypedDict

import msgspec

from celeryturn.decisions.fleet.membership import Member, Status
from celeryturn.events import INSTANCE_ENTRY_UNUSABLE, log
from celeryturn.platform.store import Change, Changes
from celeryturn.schema import UNREADABLE_ERRORS
from celeryturn.units import Address, Name, Port

SERVICES_PREFIX: Final = 'services/'
INSTANCES_PREFIX: Final = 'instances/'


class _ListedInstance(TypedDict):
    instance: Name
    address: Address
    callers_port: Port
    peers_port: Port
    availability_zone: Name
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

    An entry that cannot be decoded is logged and passed over, since other
    writers may leave any bytes in the store.

    :param response: All keys of the list.
    :returns: The decoded list.
    """
    decoded = map(_decode_entry, response.changes)
    entries = [entry for entry in decoded if entry is not None]
    return InstanceList(
        members=tuple(map(_make_member, entries)),
        leaving=tuple(
            entry['instance']
            for entry in entries
            if entry['state'] == Status.LEAVING
        ),
    )


def _decode_entry(change: Change) -> _ListedInstance | None:
    if change.body is None:
        return None
    try:
        return _decoder.decode(change.body)
    except UNREADABLE_ERRORS as error:
        log(INSTANCE_ENTRY_UNUSABLE, key=change.key, detail=str(error))
        return None


def _make_member(entry: _ListedInstance) -> Member:
    return Member(
        instance=entry['instance'],
        address=entry['address'],
        callers_port=entry['callers_port'],
        peers_port=entry['peers_port'],
        availability_zone=entry['availability_zone'],
    )
