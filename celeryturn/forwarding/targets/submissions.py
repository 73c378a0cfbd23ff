"""Start and end exchanges with targets, and count those in flight."""

from typing import NamedTuple

from celeryturn.decisions.load.cold_share import release
from celeryturn.decisions.targets.replicas import Replica
from celeryturn.forwarding.shared_state import SharedState, now
from celeryturn.forwarding.targets import pools
from celeryturn.forwarding.targets.cold_targets import may_write
from celeryturn.forwarding.targets.exchanges import Exchange
from celeryturn.forwarding.targets.pool_access import get_pool


class Submission(NamedTuple):
    """Exchange that is given to a pool.

    :param exchange: The exchange.
    :param replica: Target of the exchange.
    :param pool: Connections to the start of the target that was chosen; a
        later start has another pool.
    """

    exchange: Exchange
    replica: Replica
    pool: pools.Pool


def prepare(
    shared: SharedState, replica: Replica, exchange: Exchange
) -> Submission:
    """Count an exchange as one that is in flight.

    :param shared: Shared state of the instance.
    :param replica: The target.
    :param exchange: The exchange.
    :returns: What to pass to :func:`start`.
    """
    exchange.may_write = lambda: may_write(shared, replica)
    replica.pending[id(exchange)] = now()
    shared.fleet_share.busyness.sent_count += 1
    return Submission(exchange, replica, get_pool(shared, replica))


def start(submission: Submission) -> None:
    """Send a request to its target as soon as a connection is available.

    :param submission: The exchange, which may end before this returns.
    """
    pools.submit(submission.pool, submission.exchange)


def record_end(replica: Replica, exchange: Exchange) -> None:
    """Record that an exchange has ended or is about to be cancelled.

    :param replica: The target.
    :param exchange: The exchange.
    """
    replica.pending.pop(id(exchange), None)
    if not exchange.written_seconds:
        release(replica.cold)


def cancel(submission: Submission) -> None:
    """Cancel an exchange that has not ended.

    :param submission: The exchange.
    """
    record_end(submission.replica, submission.exchange)
    pools.cancel(submission.pool, submission.exchange)
