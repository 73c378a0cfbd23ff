"""Small configuration documents for scenarios."""

from typing import Any, Final

import msgspec

from celeryturn.decisions.configuration.document import (
    PublishedDocument,
    parse_document,
)
from celeryturn.units import HASH_SLOT_COUNT

ZONES: Final = ('zone-a', 'zone-b', 'zone-c')
FIRST_PORT: Final = 20_000


def raw_document(
    service: str = 'reservas',
    shard_count: int = 4,
    replica_count: int = 3,
    **fields: Any,
) -> dict[str, Any]:
    """Build a document in which no two shards share a replica.

    :param service: Name of the service.
    :param shard_count: Number of shards.
    :param replica_count: Number of replicas per shard.
    :param fields: Fields that replace the default ones.
    :returns: The document as plain mappings.
    """
    bounds = [
        HASH_SLOT_COUNT * number // shard_count
        for number in range(shard_count + 1)
    ]
    shards: dict[str, dict[str, Any]] = {
        f's{number:02}': {
            'first_hash': bounds[number],
            'last_hash': bounds[number + 1] - 1,
            'replicas': [
                f's{number:02}-{place}' for place in range(replica_count)
            ],
        }
        for number in range(shard_count)
    }
    names = [name for shard in shards.values() for name in shard['replicas']]
    document = {
        'format': 1,
        'service': service,
        'version': 1,
        'serving_index': 1,
        'indexes': [
            {
                'version': 1,
                'snapshot': 100,
                'schema_version': 2,
                'shards': shards,
            }
        ],
        'targets': {name: _target(number) for number, name in enumerate(names)},
        'homes': {
            name: {'target': shard['replicas'][0], 'epoch': 1}
            for name, shard in shards.items()
        },
    }
    return {**document, **fields}


def make_published(raw: dict[str, Any]) -> PublishedDocument:
    """Parse and validate a document.

    :param raw: The document as plain mappings.
    :returns: The valid document.
    """
    return parse_document(msgspec.json.encode(raw))


def _target(number: int) -> dict[str, Any]:
    return {
        'address': '127.0.0.1',
        'port': FIRST_PORT + number,
        'availability_zone': ZONES[number % len(ZONES)],
        'slots': 4,
        'connections': 40,
    }
