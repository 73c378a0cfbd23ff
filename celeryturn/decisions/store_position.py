"""Positions in the history of the platform's store."""

from typing import Final, NamedTuple

from celeryturn.units import Count


class StorePosition(NamedTuple):
    """A state of the store; later states compare as greater.

    :param era: Number of times that the store was restored from a copy.
    :param revision: Number of changes before; a restored store counts on from
        the revision of the copy.
    """

    era: Count = 0
    revision: Count = 0


NO_POSITION: Final = StorePosition()
