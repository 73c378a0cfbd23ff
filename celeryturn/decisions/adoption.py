"""Which published documents an instance puts in force: versions only rise."""

import enum
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from celeryturn.decisions.document import Home, Published
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
    in_force: Published
    faults: tuple[Fault, ...] = ()


def adopt(in_force: Published | None, candidate: Published) -> Adoption:
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
    faults = tuple(
        _epoch_faults(in_force.document.homes, candidate.document.homes)
    )
    if faults:
        return Adoption(Outcome.INVALID, in_force, faults)
    return Adoption(Outcome.ADOPTED, candidate)


def _epoch_faults(
    held: Mapping[str, Home], offered: Mapping[str, Home]
) -> Iterator[Fault]:
    for shard in held.keys() & offered.keys():
        yield from _home_faults(shard, held[shard], offered[shard])


def _home_faults(shard: str, held: Home, offered: Home) -> Iterator[Fault]:
    path = f'homes.{shard}.epoch'
    if offered.epoch < held.epoch:
        yield Fault(path, f'at least {held.epoch}, which is in force')
    moved = offered.target != held.target
    if moved and offered.epoch == held.epoch:
        yield Fault(path, f'above {held.epoch}, since the home moves')
