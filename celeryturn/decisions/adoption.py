"""Which published documents an instance puts in force: versions only rise."""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from celeryturn.decisions.document import (
    Home,
    PublishedDocument,
    ServiceDocument,
    Shard,
    serving_index,
)
from celeryturn.errors import Fault


class Outcome(enum.StrEnum):
    """What became of a candidate document."""

    ADOPTED = 'adopted'
    SAME = 'same'
    OLDER = 'older'
    CONFLICT = 'conflict'
    INVALID = 'invalid'


class Adoption(NamedTuple):
    """Result of weighing a candidate.

    :param outcome: What became of it.
    :param in_force: The document in force afterwards.
    :param faults: Why it was not adopted, where it was invalid.
    """

    outcome: Outcome
    in_force: PublishedDocument
    faults: tuple[Fault, ...] = ()


def adopt(
    in_force: PublishedDocument | None, candidate: PublishedDocument
) -> Adoption:
    """Weigh a valid candidate against the document in force.

    :param in_force: What is in force, if anything.
    :param candidate: A document that is valid by itself.
    :returns: The outcome, with the document in force afterwards.
    """
    if in_force is None:
        return Adoption(Outcome.ADOPTED, candidate)
    held = in_force.document.version
    offered = candidate.document.version
    if offered < held:
        return Adoption(Outcome.OLDER, in_force)
    if offered == held:
        same = candidate.digest == in_force.digest
        outcome = Outcome.SAME if same else Outcome.CONFLICT
        return Adoption(outcome, in_force)
    faults = tuple(_epoch_faults(in_force.document, candidate.document))
    if faults:
        return Adoption(Outcome.INVALID, in_force, faults)
    return Adoption(Outcome.ADOPTED, candidate)


def _epoch_faults(
    held: ServiceDocument, offered: ServiceDocument
) -> Iterator[Fault]:
    # By ranges of the hash, not by names of shards: a repartition moves the
    # homes of keys too.
    for shard, first, second in _overlaps(held, offered):
        path = f'homes.{shard}.epoch'
        if second.epoch < first.epoch:
            yield Fault(path, f'at least {first.epoch}, which is in force')
        moved = second.target != first.target
        if moved and second.epoch == first.epoch:
            yield Fault(path, f'above {first.epoch}, since the home moves')


def _overlaps(
    held: ServiceDocument, offered: ServiceDocument
) -> Iterator[tuple[str, Home, Home]]:
    for _, before, first in _homes(held):
        for shard, after, second in _homes(offered):
            starts = max(before.first_hash, after.first_hash)
            if starts <= min(before.last_hash, after.last_hash):
                yield shard, first, second


def _homes(document: ServiceDocument) -> Iterator[tuple[str, Shard, Home]]:
    shards = serving_index(document).shards
    for name in shards.keys() & document.homes.keys():
        yield name, shards[name], document.homes[name]
