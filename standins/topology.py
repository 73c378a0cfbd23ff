"""The users' services as documents and records, in the brief's sizes."""

import datetime
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any, Final, NamedTuple

from celeryturn.decisions.document import Index, shard_of
from celeryturn.decisions.messages import Record
from celeryturn.schema import decode
from celeryturn.units import HASH_SLOT_COUNT

SITES_PER_SHARD: Final = 8
RECORDS_PER_SITE: Final = 3
PLACES_COUNT: Final = 8
FIRST_SNAPSHOT: Final = 100
DAY_START_SECONDS: Final = int(
    datetime.datetime(2026, 12, 4, 6, tzinfo=datetime.UTC).timestamp()
)
STEP_SECONDS: Final = 1800


class Shape(NamedTuple):
    """Size of one service.

    :param shard_count: How many shards it has.
    :param target_count: How many targets it has.
    :param replica_count: Targets that hold each shard.
    :param slots: Requests a target runs at once.
    :param connections: Connections a target accepts.
    :param connect_seconds: What a new connection costs.
    :param priority: What the service weighs most.
    """

    shard_count: int
    target_count: int
    replica_count: int
    slots: int
    connections: int
    connect_seconds: float
    priority: str


class User(NamedTuple):
    """One user's fleet.

    :param region: Name of the region.
    :param zones: Its availability zones.
    :param zone_seconds: One-way latency between two zones.
    :param services: Its services.
    """

    region: str
    zones: tuple[str, ...]
    zone_seconds: float
    services: Mapping[str, Shape]


USERS: Final[Mapping[str, User]] = MappingProxyType(
    {
        'consorcio': User(
            'cantabrico',
            ('oviedo-a', 'santander-b', 'bilbao-c'),
            0.001,
            MappingProxyType(
                {
                    'reservas': Shape(10, 30, 3, 5, 40, 0.006, 'coverage'),
                    'liquidacion': Shape(15, 45, 3, 5, 40, 0.006, 'coverage'),
                    'informes-socios': Shape(
                        14, 14, 2, 3, 110, 0.001, 'coverage'
                    ),
                    'avisos': Shape(7, 7, 2, 3, 110, 0.001, 'coverage'),
                }
            ),
        ),
        'redda': User(
            'colombo',
            ('kollu', 'dehi', 'rajag'),
            0.0005,
            MappingProxyType(
                {
                    'slot-finder': Shape(10, 30, 3, 3, 30, 0.006, 'latency'),
                    'keeper-desk': Shape(15, 45, 3, 3, 30, 0.006, 'latency'),
                    'drum-panel': Shape(10, 10, 2, 3, 40, 0.001, 'latency'),
                    'tally-book': Shape(5, 5, 2, 3, 40, 0.001, 'latency'),
                }
            ),
        ),
    }
)


def zone_address(user: User, zone: str) -> str:
    """Give each availability zone a loopback address of its own.

    :param user: The user's fleet.
    :param zone: One of its zones.
    :returns: The address from which its instances connect.
    """
    return f'127.0.0.{user.zones.index(zone) + 1}'


def target_names(service: str, shape: Shape) -> list[str]:
    """Name the targets of a service.

    :param service: Name of the service.
    :param shape: Its size.
    :returns: Names, in order of their number.
    """
    return [f'{service}-t{number:02}' for number in range(shape.target_count)]


def build_document(
    service: str, user: User, ports: Mapping[str, int], version: int = 1
) -> dict[str, Any]:
    """Build the document that operators would publish.

    :param service: Name of the service.
    :param user: The user's fleet.
    :param ports: Port of each target, all on loopback.
    :param version: Version of the document.
    :returns: Plain mappings, as JSON and YAML take them.
    """
    shape = user.services[service]
    shards = _shards(service, shape)
    homes = {
        name: {'target': shard['replicas'][0], 'epoch': 1}
        for name, shard in shards.items()
    }
    targets = {
        name: {
            'address': '127.0.0.1',
            'port': ports[name],
            'availability_zone': user.zones[number % len(user.zones)],
            'slots': shape.slots,
            'connections': shape.connections,
        }
        for number, name in enumerate(target_names(service, shape))
    }
    return {
        'format': 1,
        'service': service,
        'version': version,
        'serving_index': 1,
        'indexes': [_index(shards)],
        'targets': targets,
        'homes': homes,
        'priority': shape.priority,
    }


def build_records(
    document: Mapping[str, Any], version: int = 1
) -> dict[str, list[Record]]:
    """Make the records of a service.

    :param document: A document of :func:`build_document`.
    :param version: Which of its index versions.
    :returns: Records by shard, the same ones for the same document.
    """
    raw = next(
        known for known in document['indexes'] if known['version'] == version
    )
    index = decode(Index, raw).parsed
    if index is None:
        raise ValueError('the document has no valid index')
    records: dict[str, list[Record]] = {name: [] for name in index.shards}
    site_count = SITES_PER_SHARD * len(document['indexes'][0]['shards'])
    for number in range(site_count):
        site = f'site-{number:04}'
        shard = shard_of(index, site)
        records[shard].extend(_site_records(document['service'], site))
    return records


def repartition(document: Mapping[str, Any]) -> dict[str, Any]:
    """Build the next document, which serves another partition map.

    Shards keep their number and get other ranges and other targets.

    :param document: A document of :func:`build_document`.
    :returns: The next document.
    """
    newest = document['indexes'][-1]
    shards = _fewer_shards(list(newest['shards'].values()))
    version = newest['version'] + 1
    homes = {
        name: {'target': shard['replicas'][0], 'epoch': version}
        for name, shard in shards.items()
    }
    return {
        **document,
        'version': document['version'] + 1,
        'serving_index': version,
        'indexes': [newest, {**newest, 'version': version, 'shards': shards}],
        'homes': {**document['homes'], **homes},
    }


def _fewer_shards(old: list[dict[str, Any]]) -> dict[str, Any]:
    count = len(old) - 1
    bounds = [HASH_SLOT_COUNT * number // count for number in range(count + 1)]
    return {
        f'm{number:02}': {
            'first_hash': bounds[number],
            'last_hash': bounds[number + 1] - 1,
            'replicas': old[number + 1]['replicas'],
        }
        for number in range(count)
    }


def _index(shards: Mapping[str, Any]) -> dict[str, Any]:
    return {
        'version': 1,
        'snapshot': FIRST_SNAPSHOT,
        'schema_version': 2,
        'shards': shards,
    }


def _shards(service: str, shape: Shape) -> dict[str, Any]:
    names = target_names(service, shape)
    bounds = [
        HASH_SLOT_COUNT * number // shape.shard_count
        for number in range(shape.shard_count + 1)
    ]
    return {
        f's{number:02}': {
            'first_hash': bounds[number],
            'last_hash': bounds[number + 1] - 1,
            'replicas': [
                names[(number * shape.replica_count + place) % len(names)]
                for place in range(shape.replica_count)
            ],
        }
        for number in range(shape.shard_count)
    }


def _site_records(service: str, site: str) -> Iterator[Record]:
    for number in range(RECORDS_PER_SITE):
        starts_at_seconds = DAY_START_SECONDS + number * STEP_SECONDS
        yield Record(
            key=f'{site}/{number}',
            schema_version=1 + number % 2,
            starts_at_seconds=starts_at_seconds,
            free_count=PLACES_COUNT,
            text=f'{service} {site} round {number}',
        )
