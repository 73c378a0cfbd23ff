"""The product's own keys in the platform's store.

docs/CONFIGURATION.md states them: a document a service, an entry an instance.
"""

from typing import Final, NamedTuple, TypedDict

import msgspec

from celeryturn.decisions.membership import Member, Status
from celeryturn.platform.store import Changes, StoreError

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


class Listing(NamedTuple):
    """The list as members, and which of them are about to end.

    :param members: Entries that say nothing against direct knowledge.
    :param leaving: Names of instances the list calls leaving.
    """

    members: tuple[Member, ...]
    leaving: tuple[str, ...]


def decode_listing(listed: Changes) -> Listing:
    """Decode the list of instances.

    :param listed: All of its keys.
    :returns: Its entries.
    :raises StoreError: When an entry is not understood.
    """
    entries = [
        _decode(change.body)
        for change in listed.changes
        if change.body is not None
    ]
    return Listing(
        members=tuple(map(_member, entries)),
        leaving=tuple(
            entry['instance']
            for entry in entries
            if entry['state'] == Status.LEAVING
        ),
    )


def _decode(body: bytes) -> _ListedInstance:
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise StoreError(f'not understood: {error}') from error


def _member(entry: _ListedInstance) -> Member:
    return Member(
        instance=entry['instance'],
        address=entry['address'],
        callers_port=entry['callers_port'],
        peers_port=entry['peers_port'],
        availability_zone=entry['availability_zone'],
    )
