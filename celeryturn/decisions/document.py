"""The configuration document of one service, and what makes it valid."""

from collections.abc import Iterator
from typing import Final, Literal, NamedTuple

import msgspec
import xxhash

from celeryturn.errors import CeleryturnError, Fault, Kind
from celeryturn.schema import decode
from celeryturn.units import (
    HASH_SLOTS,
    Address,
    Count,
    HashSlot,
    Name,
    Port,
    Positive,
    Seconds,
    Share,
)

MAX_DOCUMENT_BYTES: Final = 1_000_000
MIN_DWELL_MARGIN_SECONDS: Final = 5


class Target(NamedTuple):
    """A server that holds replicas of shards.

    :param address: IP address.
    :param port: TCP port.
    :param availability_zone: Where it stands.
    :param slots: Requests it runs at once.
    :param connections: Connections it accepts from all instances together.
    :param state: Whether it may get new work.
    """

    address: Address
    port: Port
    availability_zone: Name
    slots: Positive
    connections: Positive
    state: Literal['serving', 'leaving'] = 'serving'


class Shard(NamedTuple):
    """A part of an index, by range of the partition hash.

    :param first_hash: First hash slot, inclusive.
    :param last_hash: Last hash slot, inclusive.
    :param replicas: Names of the targets that hold it.
    """

    first_hash: HashSlot
    last_hash: HashSlot
    replicas: tuple[Name, ...]


class Index(NamedTuple):
    """One index version with its partition map.

    :param version: Number of the index version.
    :param snapshot: Oldest snapshot that may be read.
    :param schema_version: Newest schema version that answers may contain.
    :param shards: The partition map.
    """

    version: Positive
    snapshot: Positive
    schema_version: Positive
    shards: dict[str, Shard]


class Home(NamedTuple):
    """Where bookings of a shard run.

    :param target: The one target that takes them.
    :param epoch: Rises with every move.
    :param step: ``held`` stops bookings while the home moves.
    """

    target: Name
    epoch: Positive
    step: Literal['serving', 'held'] = 'serving'


class ServiceDocument(NamedTuple):
    """All that operators publish about one service.

    :param service: Name of the service.
    :param version: Rises with every publication.
    :param serving_index: The index version that new queries read.
    :param indexes: Index versions with their partition maps.
    :param targets: Targets by name.
    :param homes: Booking homes by shard of the serving index.
    :param priority: What the service weighs most.
    :param deadline_seconds: Longest deadline of a read.
    :param booking_deadline_seconds: Longest deadline of a booking.
    :param dwell_seconds: How long a home stays held before it moves.
    :param extra_load_share: Hedges and retries as a share of needed load.
    :param enough_coverage: Share of shards from which a latency-first
        service may answer before its deadline.
    """

    service: Name
    version: Positive
    serving_index: Positive
    indexes: tuple[Index, ...]
    targets: dict[str, Target]
    homes: dict[str, Home]
    priority: Literal['coverage', 'latency'] = 'coverage'
    deadline_seconds: Seconds = 2.0
    booking_deadline_seconds: Seconds = 2.0
    dwell_seconds: Seconds = 15.0
    extra_load_share: Share = 0.05
    enough_coverage: Share = 0.9
    format: Literal[1] = 1


class PublishedDocument(NamedTuple):
    """A valid document with what identifies it.

    :param document: The decoded document.
    :param digest: Hash of the bytes published.
    :param body: The bytes published, as peers hand them on.
    """

    document: ServiceDocument
    digest: Count
    body: bytes


def parse_document(body: bytes) -> PublishedDocument:
    """Validate a document whole.

    :param body: JSON as it was published.
    :returns: The document with its digest.
    :raises CeleryturnError: ``invalid_configuration`` with every fault.
    """
    if len(body) > MAX_DOCUMENT_BYTES:
        detail = f'{len(body)} bytes; at most {MAX_DOCUMENT_BYTES} are read'
        raise CeleryturnError(Kind.INVALID_CONFIGURATION, detail)
    try:
        raw = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise CeleryturnError(
            Kind.INVALID_CONFIGURATION, f'not JSON: {error}'
        ) from error
    decoded = decode(ServiceDocument, raw)
    faults = decoded.faults
    if decoded.shape is not None:
        faults = tuple(document_faults(decoded.shape))
    if faults or decoded.shape is None:
        detail = f'{len(faults)} faults; the version in force stays'
        raise CeleryturnError(Kind.INVALID_CONFIGURATION, detail, faults)
    return PublishedDocument(
        decoded.shape, xxhash.xxh3_64_intdigest(body), body
    )


def document_faults(document: ServiceDocument) -> Iterator[Fault]:
    """Check what a document means.

    :param document: A document whose types are right.
    :returns: Every fault found.
    """
    versions = [index.version for index in document.indexes]
    if document.serving_index not in versions:
        yield Fault('serving_index', f'one of indexes, which are {versions}')
    if len(set(versions)) != len(versions):
        yield Fault('indexes', f'each version once, got {versions}')
    for position, index in enumerate(document.indexes):
        yield from _index_faults(document, index, f'indexes[{position}]')
    yield from _home_faults(document)
    min_dwell_seconds = (
        document.booking_deadline_seconds + MIN_DWELL_MARGIN_SECONDS
    )
    if document.dwell_seconds < min_dwell_seconds:
        yield Fault('dwell_seconds', f'at least {min_dwell_seconds}')


def _index_faults(
    document: ServiceDocument, index: Index, path: str
) -> Iterator[Fault]:
    yield from _partition_faults(index, f'{path}.shards')
    for name, shard in index.shards.items():
        replicas_path = f'{path}.shards.{name}.replicas'
        if not shard.replicas:
            yield Fault(replicas_path, 'at least one target')
        for replica in shard.replicas:
            if replica not in document.targets:
                yield Fault(
                    replicas_path, f'names of targets; {replica} is none'
                )


def _partition_faults(index: Index, path: str) -> Iterator[Fault]:
    expected_first = 0
    for shard in sorted(index.shards.values()):
        if shard.first_hash != expected_first:
            yield Fault(
                path,
                f'ranges without gap or overlap from 0 to {HASH_SLOTS - 1}; '
                f'one starts at {shard.first_hash}, not {expected_first}',
            )
        expected_first = shard.last_hash + 1
    if expected_first != HASH_SLOTS:
        yield Fault(path, f'ranges up to {HASH_SLOTS - 1}')


def _home_faults(document: ServiceDocument) -> Iterator[Fault]:
    shards = {name for index in document.indexes for name in index.shards}
    for name, home in document.homes.items():
        if name not in shards:
            yield Fault(f'homes.{name}', 'a shard of one of the indexes')
        if home.target not in document.targets:
            yield Fault(f'homes.{name}.target', 'the name of a target')


def serving_index(document: ServiceDocument) -> Index:
    """Find the index version that new queries read.

    :param document: A valid document.
    :returns: Its serving index.
    """
    return next(
        index
        for index in document.indexes
        if index.version == document.serving_index
    )


def shard_of(index: Index, key: str) -> str:
    """Find the shard that holds a key.

    :param index: The partition map to read by.
    :param key: Record key; only what stands before the first slash counts,
        so that all records of one site share a shard.
    :returns: Name of the shard.
    """
    site = key.split('/', maxsplit=1)[0]
    slot = xxhash.xxh3_64_intdigest(site.encode()) % HASH_SLOTS
    return next(
        name
        for name, shard in index.shards.items()
        if shard.first_hash <= slot <= shard.last_hash
    )
