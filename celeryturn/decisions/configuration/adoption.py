"""Adoption of published documents; the current version only increases."""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from celeryturn.decisions.configuration.document import (
    Home,
    PublishedDocument,
    ServiceDocument,
    Shard,
    serving_index,
)
from celeryturn.errors import Fault


class Outcome(enum.StrEnum):
    """Outcome of offering a candidate document."""

    ADOPTED = 'adopted'
    SAME = 'same'
    OLDER = 'older'
    CONFLICT = 'conflict'
    INVALID = 'invalid'


class Adoption(NamedTuple):
    """Result of offering a candidate document.

    :param outcome: Whether it was adopted, or why not.
    :param current: The document that is current afterwards.
    :param faults: Faults of the candidate, if it was invalid.
    """

    outcome: Outcome
    current: PublishedDocument
    faults: tuple[Fault, ...] = ()


def adopt(
    current: PublishedDocument | None, candidate: PublishedDocument
) -> Adoption:
    """Decide whether a candidate replaces the current document.

    :param current: The current document, if any.
    :param candidate: A document that is valid on its own.
    :returns: The outcome, with the document that is current afterwards.
    """
    if current is None:
        return Adoption(Outcome.ADOPTED, candidate)
    current_version = current.document.version
    candidate_version = candidate.document.version
    if candidate_version < current_version:
        return Adoption(Outcome.OLDER, current)
    if candidate_version == current_version:
        is_same = candidate.digest == current.digest
        outcome = Outcome.SAME if is_same else Outcome.CONFLICT
        return Adoption(outcome, current)
    faults = tuple(_epoch_faults(current.document, candidate.document))
    if faults:
        return Adoption(Outcome.INVALID, current, faults)
    return Adoption(Outcome.ADOPTED, candidate)


def _epoch_faults(
    current: ServiceDocument, candidate: ServiceDocument
) -> Iterator[Fault]:
    # Shards are matched by overlapping hash ranges, not by name, because a
    # repartition also moves keys to other homes.
    for shard, current_home, new_home in _overlaps(current, candidate):
        path = f'homes.{shard}.epoch'
        if new_home.epoch < current_home.epoch:
            yield Fault(
                path,
                f'must be at least {current_home.epoch}, the epoch of the '
                'current home',
            )
        has_moved = new_home.target != current_home.target
        if has_moved and new_home.epoch == current_home.epoch:
            yield Fault(
                path,
                f'must be above {current_home.epoch}, because the home moves',
            )


def _overlaps(
    current: ServiceDocument, candidate: ServiceDocument
) -> Iterator[tuple[str, Home, Home]]:
    for _, current_shard, current_home in _homes(current):
        for shard, new_shard, new_home in _homes(candidate):
            first_common_hash = max(
                current_shard.first_hash, new_shard.first_hash
            )
            if first_common_hash <= min(
                current_shard.last_hash, new_shard.last_hash
            ):
                yield shard, current_home, new_home


def _homes(document: ServiceDocument) -> Iterator[tuple[str, Shard, Home]]:
    shards = serving_index(document).shards
    for name in shards.keys() & document.homes.keys():
        yield name, shards[name], document.homes[name]
