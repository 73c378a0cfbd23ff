"""Documents and records of the users' services, in the brief's sizes."""

import datetime
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any, Final, NamedTuple

from celeryturn.decisions.configuration.document import Index, shard_of
from celeryturn.decisions.targets.messages import Record
from celeryturn.schema import decode
from celeryturn.units import HASH_SLOT_COUNT

SITES_PER_SHARD: Final = 8
RECORDS_PER_SITE: Final = 3
INITIAL_FREE_COUNT: Final = 8
FIRST_SNAPSHOT: Final = 100
DAY_START_SECONDS: Final = int(
    datetime.datetime(2026, 12, 4, 6, tzinfo=datetime.UTC).timestamp()
)
RECORD_INTERVAL_SECONDS: Final = 1800


class ServiceSize(NamedTuple):
    """Size of one service.

    :param shard_count: Number of shards.
    :param target_count: Number of targets.
    :param replica_count: Number of targets that hold each shard.
    :param slots: Requests that a target runs concurrently.
    :param connections: Maximum number of open connections of a target.
    :param connect_seconds: Set-up delay of a new connection.
    :param priority: Priority of the service, ``coverage`` or ``latency``.
    """

    shard_count: int
    target_count: int
    replica_count: int
    slots: int
    connections: int
    connect_seconds: float
    priority: str


class User(NamedTuple):
    """Fleet of one user.

    :param region: Name of the region.
    :param zones: Availability zones of the region.
    :param zone_latency_seconds: One-way latency between two zones.
    :param services: Sizes of the services, by name.
    """

    region: str
    zones: tuple[str, ...]
    zone_latency_seconds: float
    services: Mapping[str, ServiceSize]


USERS: Final[Mapping[str, User]] = MappingProxyType(
    {
        'consorcio': User(
            'cantabrico',
            ('oviedo-a', 'santander-b', 'bilbao-c'),
            0.001,
            MappingProxyType(
                {
                    'reservas': ServiceSize(
                        10, 30, 3, 5, 40, 0.006, 'coverage'
                    ),
                    'liquidacion': ServiceSize(
                        15, 45, 3, 5, 40, 0.006, 'coverage'
                    ),
                    'informes-socios': ServiceSize(
                        14, 14, 2, 3, 110, 0.001, 'coverage'
                    ),
                    'avisos': ServiceSize(7, 7, 2, 3, 110, 0.001, 'coverage'),
                }
            ),
        ),
        'redda': User(
            'colombo',
            ('kollu', 'dehi', 'rajag'),
            0.0005,
            MappingProxyType(
                {
                    'slot-finder': ServiceSize(
                        10, 30, 3, 3, 30, 0.006, 'latency'
                    ),
                    'keeper-desk': ServiceSize(
                        15, 45, 3, 3, 30, 0.006, 'latency'
                    ),
                    'drum-panel': ServiceSize(
                        10, 10, 2, 3, 40, 0.001, 'latency'
                    ),
                    'tally-book': ServiceSize(5, 5, 2, 3, 40, 0.001, 'latency'),
                }
            ),
        ),
    }
)


def zone_address(user: User, zone: str) -> str:
    """Return the loopback address of an availability zone.

    :param user: The user's fleet.
    :param zone: One of its availability zones.
    :returns: Address from which the instances of the zone connect; each zone
        has its own.
    """
    return f'127.0.0.{user.zones.index(zone) + 1}'


def target_names(service: str, size: ServiceSize) -> list[str]:
    """Return the names of the targets of a service.

    :param service: Name of the service.
    :param size: Size of the service.
    :returns: Names, ordered by number.
    """
    return [f'{service}-t{number:02}' for number in range(size.target_count)]


def build_document(
    service: str, user: User, ports: Mapping[str, int], version: int = 1
) -> dict[str, Any]:
    """Build the document that operators would publish for a service.

    :param service: Name of the service.
    :param user: The user's fleet.
    :param ports: TCP port of each target; all targets are on loopback.
    :param version: Version of the document.
    :returns: Plain mappings that can be serialised as JSON or YAML.
    """
    size = user.services[service]
    shards = _build_shards(service, size)
    homes = {
        name: {'target': shard['replicas'][0], 'epoch': 1}
        for name, shard in shards.items()
    }
    targets = {
        name: {
            'address': '127.0.0.1',
            'port': ports[name],
            'availability_zone': user.zones[number % len(user.zones)],
            'slots': size.slots,
            'connections': size.connections,
        }
        for number, name in enumerate(target_names(service, size))
    }
    return {
        'format': 1,
        'service': service,
        'version': version,
        'serving_index': 1,
        'indexes': [_build_index(shards)],
        'targets': targets,
        'homes': homes,
        'priority': size.priority,
    }


def build_records(
    document: Mapping[str, Any], version: int = 1
) -> dict[str, list[Record]]:
    """Build the records of a service.

    :param document: A document built by :func:`build_document`.
    :param version: Version of the index that assigns records to shards.
    :returns: Records by shard; equal documents give equal records.
    :raises ValueError: When the index is invalid.
    """
    raw = next(
        candidate
        for candidate in document['indexes']
        if candidate['version'] == version
    )
    index = decode(Index, raw).parsed
    if index is None:
        raise ValueError(
            'index of the document is invalid; it must match the index schema'
        )
    records: dict[str, list[Record]] = {name: [] for name in index.shards}
    site_count = SITES_PER_SHARD * len(document['indexes'][0]['shards'])
    for number in range(site_count):
        site = f'site-{number:04}'
        shard = shard_of(index, site)
        records[shard].extend(_build_site_records(document['service'], site))
    return records


def repartition(document: Mapping[str, Any]) -> dict[str, Any]:
    """Build the next document, which serves another partition map.

    The new map has one shard fewer, with other hash ranges and targets.

    :param document: A document built by :func:`build_document`.
    :returns: The next version of the document.
    """
    newest = document['indexes'][-1]
    shards = _reduce_shards(list(newest['shards'].values()))
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


def _reduce_shards(old_shards: list[dict[str, Any]]) -> dict[str, Any]:
    count = len(old_shards) - 1
    bounds = [HASH_SLOT_COUNT * number // count for number in range(count + 1)]
    return {
        f'm{number:02}': {
            'first_hash': bounds[number],
            'last_hash': bounds[number + 1] - 1,
            'replicas': old_shards[number + 1]['replicas'],
        }
        for number in range(count)
    }


def _build_index(shards: Mapping[str, Any]) -> dict[str, Any]:
    return {
        'version': 1,
        'snapshot': FIRST_SNAPSHOT,
        'schema_version': 2,
        'shards': shards,
    }


def _build_shards(service: str, size: ServiceSize) -> dict[str, Any]:
    names = target_names(service, size)
    bounds = [
        HASH_SLOT_COUNT * number // size.shard_count
        for number in range(size.shard_count + 1)
    ]
    return {
        f's{number:02}': {
            'first_hash': bounds[number],
            'last_hash': bounds[number + 1] - 1,
            'replicas': [
                names[(number * size.replica_count + offset) % len(names)]
                for offset in range(size.replica_count)
            ],
        }
        for number in range(size.shard_count)
    }


def _build_site_records(service: str, site: str) -> Iterator[Record]:
    for number in range(RECORDS_PER_SITE):
        starts_at_seconds = DAY_START_SECONDS + number * RECORD_INTERVAL_SECONDS
        yield Record(
            key=f'{site}/{number}',
            schema_version=1 + number % 2,
            starts_at_seconds=starts_at_seconds,
            free_count=INITIAL_FREE_COUNT,
            text=f'{service} {site} round {number}',
        )
