"""How far an instance knows the platform's store."""

import asyncio

from celeryturn.decisions.store_position import NO_POSITION, StorePosition
from celeryturn.decisions.targets.entry_history import EntryHistory


class StoreProgress:
    """How far an instance knows the store.

    :param position: Position up to which no change of the targets was missed;
        :data:`NO_POSITION` until all of them are known.
    :param highest_position: Highest position that a call or a peer has shown.
    :param newest_seconds: Time at which the position was known to be the
        newest.
    :param must_read_all: Whether the whole store has to be read, since changes
        were missed.
    :param may_read_old: Whether a first read may return old values, which a
        watch then brings up to date.
    :param min_table_version: Version of the routes that belongs to what peers
        have sent; an older version has to be replaced.
    :param relies_on_peers: Whether delegates follow the store for this
        instance.
    :param is_lost: Whether the last call to the store failed.
    :param is_behind: Set when a peer or a check has shown a later position for
        too long.
    :param last_contact_seconds: Time of the last response of the store; before
        the first one, the start of this instance.
    :param failed_count: Number of consecutive failed calls, up to a maximum.
    :param list_request_seconds: Time of the last request to a peer for the
        list of targets.
    :param table_request_seconds: Time of the last request to a peer for the
        routes.
    :param peer_table_version: Highest version of the routes that a peer has
        shown; negative before a peer was heard.
    :param history: Positions at which the entries of the list changed.
    """

    __slots__ = (
        'failed_count',
        'highest_position',
        'history',
        'is_behind',
        'is_lost',
        'last_contact_seconds',
        'list_request_seconds',
        'may_read_old',
        'min_table_version',
        'must_read_all',
        'newest_seconds',
        'peer_table_version',
        'position',
        'relies_on_peers',
        'table_request_seconds',
    )

    def __init__(self, started_seconds: float = 0.0) -> None:
        self.position = NO_POSITION
        self.highest_position = NO_POSITION
        self.newest_seconds = started_seconds
        self.must_read_all = True
        self.may_read_old = True
        self.min_table_version = 0
        self.relies_on_peers = False
        self.is_lost = False
        self.is_behind = asyncio.Event()
        self.last_contact_seconds = started_seconds
        self.failed_count = 0
        self.list_request_seconds = 0.0
        self.table_request_seconds = 0.0
        self.peer_table_version = -1
        self.history = EntryHistory()


def needs_peers(progress: StoreProgress) -> bool:
    """Return whether targets are to be requested from peers.

    :param progress: Progress of an instance.
    :returns: Whether the store does not tell what is new at present.
    """
    return (
        progress.relies_on_peers
        or progress.must_read_all
        or progress.is_lost
        or progress.is_behind.is_set()
    )


def lacks_changes(progress: StoreProgress) -> bool:
    """Return whether the store has changes that this instance does not know.

    :param progress: Progress of an instance.
    :returns: Whether a call or a peer has shown a later position.
    """
    return progress.position < progress.highest_position


def advance(progress: StoreProgress, position: StorePosition) -> None:
    """Record that all changes up to a position are known.

    :param progress: Progress of an instance.
    :param position: The position.
    """
    progress.position = position
    if position >= progress.highest_position:
        progress.highest_position = position
        progress.is_behind.clear()


def confirm(
    progress: StoreProgress, position: StorePosition, at_seconds: float
) -> None:
    """Record that a position was the newest at some time.

    :param progress: Progress of an instance.
    :param position: The position.
    :param at_seconds: The time.
    """
    if position == progress.position:
        progress.newest_seconds = max(progress.newest_seconds, at_seconds)
