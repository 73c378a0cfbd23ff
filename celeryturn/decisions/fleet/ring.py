"""Order of the instances on the ring on which neighbours watch each other.

Instances of an availability zone are next to each other, so that most links
stay within a zone.
"""

import heapq
from collections.abc import Iterable

import xxhash


def ring_position(zone: str, name: str) -> tuple[str, int]:
    """Return the position of an instance on the ring.

    :param zone: Availability zone of the instance.
    :param name: Name of the instance.
    :returns: A key to sort by.
    """
    return zone, name_hash(name)


def name_hash(name: str) -> int:
    """Hash the name of an instance.

    :param name: The name.
    :returns: A number that is the same on all instances.
    """
    return xxhash.xxh3_64_intdigest(name.encode())


def nearest_by_hash(key: str, names: Iterable[str], count: int) -> list[str]:
    """Choose names by rendezvous hashing.

    :param key: What to choose for; other keys lead to other names.
    :param names: Names of instances.
    :param count: Maximum number of names to choose.
    :returns: The same names on all instances, the nearest first.
    """
    return heapq.nsmallest(count, names, key=lambda name: _distance(key, name))


def is_nearest_by_hash(
    key: str, name: str, names: Iterable[str], count: int
) -> bool:
    """Return whether rendezvous hashing chooses a name.

    This takes less time than to choose all of them: a name that is not chosen
    is mostly found out early.

    :param key: What to choose for.
    :param name: The name.
    :param names: Names of instances.
    :param count: Maximum number of names to choose.
    :returns: Whether :func:`nearest_by_hash` would choose it.
    """
    own_distance = _distance(key, name)
    nearer_count = 0
    for other in names:
        nearer_count += _distance(key, other) < own_distance
        if nearer_count >= count:
            return False
    return True


def _distance(key: str, name: str) -> int:
    return name_hash(f'{key} {name}')
