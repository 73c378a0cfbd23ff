"""Discard the connections to a start of a target that is no longer current."""

from collections.abc import MutableMapping

from celeryturn.decisions.targets.directory import DiscardedStart, OnDiscarded
from celeryturn.decisions.targets.replicas import TargetEntry
from celeryturn.events import TARGET_RESTARTED, log
from celeryturn.forwarding.targets.pools import (
    Pool,
    close_pool,
    reject_waiting,
)


def make_discarder(pools: MutableMapping[str, Pool]) -> OnDiscarded:
    """Make a function that discards the connections to a start of a target.

    Requests that wait for a connection are not sent to it; those in flight
    continue.

    :param pools: Connection pools by target.
    :returns: Function to call with each start that is discarded.
    """

    def discard(discarded: DiscardedStart) -> None:
        known = discarded.replica.entry
        pool = pools.pop(known.target, None)
        if discarded.successor is not None:
            _log_restart(known, discarded.successor)
        if pool is not None:
            close_pool(pool)
            reject_waiting(pool)

    return discard


def _log_restart(known: TargetEntry, successor: TargetEntry) -> None:
    if successor.born_ms > known.born_ms:
        log(
            TARGET_RESTARTED,
            target=known.target,
            born_ms=successor.born_ms,
            former_born_ms=known.born_ms,
        )
