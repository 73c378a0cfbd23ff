"""Connection pools of the known targets."""

import math

from celeryturn.decisions.load.connection_shares import connection_share
from celeryturn.decisions.load.fleet_share import get_sharing
from celeryturn.decisions.targets.directory import (
    accepts_requests,
    find_replica,
)
from celeryturn.decisions.targets.evacuated_targets import is_target_evacuated
from celeryturn.decisions.targets.replicas import Replica
from celeryturn.forwarding.shared_state import SharedState, now
from celeryturn.forwarding.targets.pools import (
    Pool,
    add_connection,
    close_pool,
    drop_idle,
    reject_waiting,
)
from celeryturn.http.client import Connection


def get_pool(shared: SharedState, replica: Replica) -> Pool:
    """Return the connection pool of a known target.

    The pool of an earlier start was discarded when the later one was noticed.

    :param shared: Shared state of the instance.
    :param replica: The target, as the directory has it at present.
    :returns: The pool, with this instance's current share of the target's
        connections.
    """
    entry = replica.entry
    pool = shared.pools.get(entry.target)
    if pool is None:
        pool = Pool(entry.address, entry.port, 0, shared.target_connections)
        shared.pools[entry.target] = pool
    pool.connection_share = _compute_share(shared, replica)
    return pool


def find_pool(shared: SharedState, replica: Replica) -> Pool | None:
    """Find the connection pool of a target that may have started again.

    :param shared: Shared state of the instance.
    :param replica: The target, as it was when a request was sent to it.
    :returns: The pool; ``None`` if there is none, or only one of another start.
    """
    if not _is_current(shared, replica):
        return None
    return shared.pools.get(replica.entry.target)


def keep_connection(
    shared: SharedState, replica: Replica, connection: Connection
) -> None:
    """Keep a connection that was opened for another purpose.

    It is closed if the target has started again or was removed meanwhile.

    :param shared: Shared state of the instance.
    :param replica: The target, as it was when the connection was opened.
    :param connection: The idle connection.
    """
    if _is_current(shared, replica):
        add_connection(get_pool(shared, replica), connection)
    else:
        connection.close()


def prune_pools(shared: SharedState, before_seconds: float) -> None:
    """Close idle connections and the pools of removed targets.

    What waits for a connection to a target that must get no further requests
    is not sent to it.  All idle connections to a target in an evacuated zone
    are closed.

    After a machine has lost power, a target keeps counting the connections of
    that machine until it detects the loss.  The fewer idle connections an
    instance keeps, the more new ones the target accepts after such a loss.

    :param shared: Shared state of the instance.
    :param before_seconds: Idle connections that were last used before this
        time are closed.
    """
    for target, pool in tuple(shared.pools.items()):
        if not accepts_requests(shared.directory, target):
            reject_waiting(pool)
        if is_target_evacuated(shared.directory, target):
            drop_idle(pool, math.inf)
        elif target in shared.directory.services:
            drop_idle(pool, before_seconds)
        else:
            close_pool(shared.pools.pop(target))


def _is_current(shared: SharedState, replica: Replica) -> bool:
    return find_replica(shared.directory, replica.entry.target) is replica


def _compute_share(shared: SharedState, replica: Replica) -> int:
    table = shared.table
    service = replica.entry.service
    limit = table.connection_limits.get(service, 0) if table else 0
    return connection_share(
        limit,
        replica.entry.zone,
        shared.instance.settings.availability_zone,
        get_sharing(
            shared.fleet_share, shared.instance.membership, now()
        ).zones,
        is_any_zone_evacuated=bool(shared.directory.evacuations.zones),
    )
