"""Request rates that targets state, in their replies or through peers."""

import math
from collections.abc import Iterable

from celeryturn.decisions.load.fleet_share import get_senders
from celeryturn.decisions.load.request_rate import (
    RateLimit,
    Senders,
    update_share,
)
from celeryturn.decisions.targets.replicas import Replica
from celeryturn.decisions.targets.stated_rates import (
    StatedRate,
    list_stated,
    merge_told,
    observe_statement,
    prune_limits,
    take_due,
)
from celeryturn.events import TARGET_RATE, log
from celeryturn.forwarding.shared_state import SharedState, now


def observe_rate(
    shared: SharedState,
    replica: Replica,
    limit_per_second: float | None,
    written_seconds: float,
) -> None:
    """Record what a reply of a target states about its request rate.

    :param shared: Shared state of the instance.
    :param replica: Target that replied.
    :param limit_per_second: Requests a second from all instances; infinite if
        the reply states none, ``None`` if it states nothing that is known.
    :param written_seconds: Time at which the request was written.
    """
    if limit_per_second is None:
        return
    known = replica.rate_limit
    known_per_second = known.limit_per_second if known else math.inf
    observe_statement(replica, limit_per_second, written_seconds, now())
    limit = replica.rate_limit
    if limit is not None and limit.limit_per_second != known_per_second:
        _log_change(replica, limit, known_per_second)
        update_share(limit, replica.entry.target, _senders(shared), now())


def merge_rates(shared: SharedState, told: Iterable[StatedRate]) -> None:
    """Record what a peer tells of the request rates that targets state.

    :param shared: Shared state of the instance.
    :param told: The statements of targets.
    """
    senders = _senders(shared)
    for merged in merge_told(shared.directory, told, now()):
        replica, limit, former_per_second = merged
        _log_change(replica, limit, former_per_second)
        update_share(limit, replica.entry.target, senders, now())


def list_rates(shared: SharedState) -> tuple[StatedRate, ...]:
    """List what targets last stated about their request rates.

    :param shared: Shared state of the instance.
    :returns: The statements.
    """
    return list_stated(shared.directory, now())


def update_rates(shared: SharedState) -> None:
    """Apply changes of the fleet to the shares, and tell peers what is new.

    :param shared: Shared state of the instance.
    """
    now_seconds = now()
    limited = prune_limits(shared.directory, now_seconds)
    if not limited:
        return
    senders = _senders(shared)
    for replica, limit in limited:
        update_share(limit, replica.entry.target, senders, now_seconds)
    due = take_due(limited, now_seconds)
    if due:
        for callback in shared.callbacks.rates_stated:
            callback(due)


def _senders(shared: SharedState) -> Senders:
    return get_senders(shared.fleet_share, shared.instance.membership, now())


def _log_change(
    replica: Replica, limit: RateLimit, former_per_second: float
) -> None:
    is_limited = math.isfinite(limit.limit_per_second)
    # Only the begin and the end: a target may state another limit each time.
    if is_limited != math.isfinite(former_per_second):
        log(
            TARGET_RATE,
            target=replica.entry.target,
            limit_per_second=limit.limit_per_second if is_limited else None,
        )
