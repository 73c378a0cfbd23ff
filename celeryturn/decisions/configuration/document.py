"""Configuration document of a service and its validation."""

from collections.abc import Iterator
from typing import Final, Literal, NamedTuple

import msgspec
import xxhash

from celeryturn.errors import CeleryturnError, Fault, Kind
from celeryturn.schema import UNREADABLE_ERRORS, decode
from celeryturn.units import (
    HASH_SLOT_COUNT,
    Address,
    Count,
    Fraction,
    HashSlot,
    Name,
    Port,
    PositiveCount,
    Seconds,
)

MAX_DOCUMENT_BYTES: Final = 1_000_000
MIN_DWELL_MARGIN_SECONDS: Final = 5


class Target(NamedTuple):
    """A server that holds replicas of shards.

    :param address: IP address.
    :param port: TCP port.
    :param availability_zone: Availability zone the target runs in.
    :param slots: Maximum number of requests the target runs concurrently.
    :param connections: Maximum number of connections the target accepts,
        summed over all instances.
    :param state: Only a ``serving`` target may receive new work.
    """

    address: Address
    port: Port
    availability_zone: Name
    slots: PositiveCount
    connections: PositiveCount
    state: Literal['serving', 'leaving'] = 'serving'


class Shard(NamedTuple):
    """A part of an index, defined by a range of hash slots.

    :param first_hash: First hash slot, inclusive.
    :param last_hash: Last hash slot, inclusive.
    :param replicas: Names of the targets that hold the shard.
    """

    first_hash: HashSlot
    last_hash: HashSlot
    replicas: tuple[Name, ...]


class Index(NamedTuple):
    """One version of the index and its partition map.

    :param version: Number of the index version.
    :param snapshot: Oldest snapshot that queries may read.
    :param schema_version: Newest schema version that answers may contain.
    :param shards: Partition map: shards by name.
    """

    version: PositiveCount
    snapshot: PositiveCount
    schema_version: PositiveCount
    shards: dict[str, Shard]


class Home(NamedTuple):
    """The target on which the bookings of a shard run.

    :param target: Name of the only target that accepts the bookings.
    :param epoch: Increases whenever the home moves.
    :param step: ``held`` suspends bookings while the home moves.
    """

    target: Name
    epoch: PositiveCount
    step: Literal['serving', 'held'] = 'serving'


class ServiceDocument(NamedTuple):
    """The configuration that operators publish for one service.

    :param service: Name of the service.
    :param version: Increases with every publication.
    :param serving_index: Version of the index that new queries read.
    :param indexes: Index versions with their partition maps.
    :param targets: Targets by name.
    :param homes: Booking homes by shard of the serving index.
    :param priority: Whether the service prefers complete coverage or low
        latency.
    :param deadline_seconds: Maximum deadline of a read.
    :param booking_deadline_seconds: Maximum deadline of a booking.
    :param dwell_seconds: How long a home remains held before it moves.
    :param extra_load_share: Allowed hedges and retries, as a fraction of the
        sub-requests that are needed anyway.
    :param enough_coverage: Fraction of the shards that must be included
        before a service with ``latency`` priority may answer ahead of its
        deadline.
    """

    service: Name
    version: PositiveCount
    serving_index: PositiveCount
    indexes: tuple[Index, ...]
    targets: dict[str, Target]
    homes: dict[str, Home]
    priority: Literal['coverage', 'latency'] = 'coverage'
    deadline_seconds: Seconds = 2.0
    booking_deadline_seconds: Seconds = 2.0
    dwell_seconds: Seconds = 15.0
    extra_load_share: Fraction = 0.05
    enough_coverage: Fraction = 0.9
    format: Literal[1] = 1


class PublishedDocument(NamedTuple):
    """A valid document with its digest and original bytes.

    :param document: The decoded document.
    :param digest: XXH3 hash (64 bits) of the published bytes.
    :param body: The published bytes, which peers forward unchanged.
    """

    document: ServiceDocument
    digest: Count
    body: bytes


def parse_document(body: bytes) -> PublishedDocument:
    """Decode and validate a document as a whole.

    :param body: The published JSON.
    :returns: The document with its digest and the published bytes.
    :raises CeleryturnError: ``invalid_configuration``, with every fault that
        was found, if the document is too large, not JSON or not valid.
    """
    if len(body) > MAX_DOCUMENT_BYTES:
        detail = (
            f'{len(body)} bytes exceed the document limit of '
            f'{MAX_DOCUMENT_BYTES} bytes'
        )
        raise CeleryturnError(Kind.INVALID_CONFIGURATION, detail)
    try:
        raw = msgspec.json.decode(body)
    except UNREADABLE_ERRORS as error:
        raise CeleryturnError(
            Kind.INVALID_CONFIGURATION,
            f'the document is not valid JSON: {error}',
        ) from error
    decoded = decode(ServiceDocument, raw)
    faults = decoded.faults
    if decoded.parsed is not None:
        faults = tuple(document_faults(decoded.parsed))
    if faults or decoded.parsed is None:
        detail = (
            f'{len(faults)} faults found; the current version remains in use'
        )
        raise CeleryturnError(Kind.INVALID_CONFIGURATION, detail, faults)
    return PublishedDocument(
        decoded.parsed, xxhash.xxh3_64_intdigest(body), body
    )


def document_faults(document: ServiceDocument) -> Iterator[Fault]:
    """Check the consistency of a document.

    :param document: A document whose fields have the right types.
    :returns: An iterator over every fault found.
    """
    versions = [index.version for index in document.indexes]
    if document.serving_index not in versions:
        yield Fault(
            'serving_index', f'must be one of the index versions {versions}'
        )
    if len(set(versions)) != len(versions):
        yield Fault(
            'indexes', f'must list each version only once, got {versions}'
        )
    for position, index in enumerate(document.indexes):
        yield from _index_faults(document, index, f'indexes[{position}]')
    yield from _home_faults(document)
    min_dwell_seconds = (
        document.booking_deadline_seconds + MIN_DWELL_MARGIN_SECONDS
    )
    if document.dwell_seconds < min_dwell_seconds:
        yield Fault('dwell_seconds', f'must be at least {min_dwell_seconds}')


def _index_faults(
    document: ServiceDocument, index: Index, path: str
) -> Iterator[Fault]:
    yield from _partition_faults(index, f'{path}.shards')
    for name, shard in index.shards.items():
        replicas_path = f'{path}.shards.{name}.replicas'
        if not shard.replicas:
            yield Fault(replicas_path, 'must name at least one target')
        for replica in shard.replicas:
            if replica not in document.targets:
                yield Fault(
                    replicas_path,
                    f'must name known targets; {replica} is not one',
                )


def _partition_faults(index: Index, path: str) -> Iterator[Fault]:
    expected_first = 0
    for shard in sorted(index.shards.values()):
        if shard.first_hash != expected_first:
            yield Fault(
                path,
                'hash ranges must cover 0 to '
                f'{HASH_SLOT_COUNT - 1} without gaps or overlaps; '
                f'one starts at {shard.first_hash}, not {expected_first}',
            )
        expected_first = shard.last_hash + 1
    if expected_first != HASH_SLOT_COUNT:
        yield Fault(path, f'hash ranges must end at {HASH_SLOT_COUNT - 1}')


def _home_faults(document: ServiceDocument) -> Iterator[Fault]:
    shards = {name for index in document.indexes for name in index.shards}
    for name, home in document.homes.items():
        if name not in shards:
            yield Fault(
                f'homes.{name}', 'must be a shard of one of the indexes'
            )
        if home.target not in document.targets:
            yield Fault(f'homes.{name}.target', 'must be the name of a target')


def serving_index(document: ServiceDocument) -> Index:
    """Return the index version that new queries read.

    :param document: A valid document.
    :returns: The serving index of the document.
    """
    return next(
        index
        for index in document.indexes
        if index.version == document.serving_index
    )


def shard_of(index: Index, key: str) -> str:
    """Return the shard that holds a key.

    :param index: The index version whose partition map is used.
    :param key: Record key.  Only the part before the first slash is hashed,
        so that all records of a site are in the same shard.
    :returns: Name of the shard.
    """
    site = key.split('/', maxsplit=1)[0]
    slot = xxhash.xxh3_64_intdigest(site.encode()) % HASH_SLOT_COUNT
    return next(
        name
        for name, shard in index.shards.items()
        if shard.first_hash <= slot <= shard.last_hash
    )
