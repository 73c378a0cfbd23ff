"""What is asked of the platform, as docs/CONFIGURATION.md states."""

from typing import Any, Final, NamedTuple, TypedDict, TypeVar

import msgspec

from celeryturn.decisions.membership import Member, Status
from celeryturn.http.client import fetch
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.settings import Endpoint

AnswerT = TypeVar('AnswerT')

KEY_PREFIX: Final = 'services/'
CALL_SECONDS: Final = 2.0
OK: Final = 200


class PlatformError(ConnectionError):
    """The platform does not answer, or not as it should."""


class Keys(TypedDict):
    """Every key with the revision of its last change."""

    revision: int
    keys: dict[str, int]


class ListedInstance(TypedDict):
    """One entry of the list of instances."""

    instance: str
    address: str
    callers_port: int
    peers_port: int
    availability_zone: str
    state: str


class InstanceList(TypedDict):
    """The list of live and leaving instances."""

    instances: list[ListedInstance]


class Listing(NamedTuple):
    """The list as members, and how many it counts.

    :param members: Entries that say nothing against direct knowledge.
    :param leaving: Names of instances the list calls leaving.
    """

    members: tuple[Member, ...]
    leaving: tuple[str, ...]


async def watch(
    endpoint: Endpoint, after_revision: int, wait_seconds: float
) -> Keys:
    """Wait for a change of any key.

    :param endpoint: The configuration service.
    :param after_revision: Answer once the revision is above this one.
    :param wait_seconds: Longest wait at the service.
    :returns: All keys, changed or not.
    :raises OSError: When there is no usable answer.
    """
    url = f'/v1/watch?after={after_revision}&wait_seconds={wait_seconds}'
    reply = await _get(endpoint, url, wait_seconds + CALL_SECONDS)
    return _decode(reply, Keys)


async def read_key(endpoint: Endpoint, key: str) -> bytes:
    """Read the value of a key.

    :param endpoint: The configuration service.
    :param key: Its name.
    :returns: The value.
    :raises OSError: When there is no usable answer.
    """
    reply = await _get(endpoint, f'/v1/keys/{key}', CALL_SECONDS)
    return reply.body


async def list_instances(endpoint: Endpoint) -> Listing:
    """Read the list of instances.

    :param endpoint: The list.
    :returns: Its entries.
    :raises OSError: When there is no usable answer.
    """
    reply = await _get(endpoint, '/v1/instances', CALL_SECONDS)
    listed = _decode(reply, InstanceList)['instances']
    return Listing(
        members=tuple(_member(entry) for entry in listed),
        leaving=tuple(
            entry['instance']
            for entry in listed
            if entry['state'] == Status.LEAVING
        ),
    )


def _member(entry: ListedInstance) -> Member:
    return Member(
        instance=entry['instance'],
        address=entry['address'],
        callers_port=entry['callers_port'],
        peers_port=entry['peers_port'],
        availability_zone=entry['availability_zone'],
    )


async def _get(
    endpoint: Endpoint, url: str, timeout_seconds: float
) -> HttpReply:
    request = HttpRequest('GET', url)
    reply = await fetch(
        endpoint.address, endpoint.port, request, timeout_seconds
    )
    if reply.status != OK:
        raise PlatformError(f'{url}: status {reply.status}')
    return reply


def _decode(reply: HttpReply, shape: type[AnswerT]) -> AnswerT:
    try:
        decoded: Any = msgspec.json.decode(reply.body, type=shape)
    except msgspec.DecodeError as error:
        raise PlatformError(f'not understood: {error}') from error
    answer: AnswerT = decoded
    return answer
