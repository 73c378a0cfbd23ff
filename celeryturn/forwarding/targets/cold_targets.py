"""Targets that are cold after their start, and this instance's quotas."""

from typing import Final

from celeryturn.decisions.load.cold_share import (
    JOIN_SECONDS,
    ColdBasis,
    cold_share_count,
    compute_budget,
    remaining_cold_seconds,
    spend,
    update_cold_share,
)
from celeryturn.decisions.load.fleet_share import get_senders
from celeryturn.decisions.load.request_rate import Senders
from celeryturn.decisions.request.route_table import NO_COLD_STARTS
from celeryturn.decisions.targets import directory
from celeryturn.decisions.targets.cold_targets import expect_cold
from celeryturn.decisions.targets.replicas import Replica
from celeryturn.events import TARGET_COLD, log
from celeryturn.forwarding.operations.limited_log import may_log
from celeryturn.forwarding.shared_state import SharedState, now
from celeryturn.forwarding.targets.pools import reject_waiting

# At the end of an evacuation, targets that got no requests for longer are not
# logged one by one.
IN_USE_SECONDS: Final = 10.0


def serving_replicas(shared: SharedState, service: str) -> list[Replica]:
    """List the targets of a service that accept requests.

    The quotas of those that are cold are up to date.

    :param shared: Shared state of the instance.
    :param service: Name of the service.
    :returns: The targets.
    """
    replicas = directory.serving_replicas(shared.directory, service)
    if shared.settings.cold_bounds is not None:
        _update_quotas(shared, replicas)
    return replicas


def update_quota(shared: SharedState, replica: Replica) -> None:
    """Apply changes of the settings, the routes and the fleet to a quota.

    :param shared: Shared state of the instance.
    :param replica: The target.
    """
    now_seconds = now()
    if replica.cold.until_seconds > now_seconds:
        basis = _compute_basis(shared, replica.entry.service)
        target = replica.entry.target
        update_cold_share(replica.cold, basis, target, now_seconds)


def may_write(shared: SharedState, replica: Replica) -> bool:
    """Take a token of a target if it is cold.

    :param shared: Shared state of the instance.
    :param replica: Target of a request that can be written now.
    :returns: Whether the request may be written.
    """
    update_quota(shared, replica)
    return spend(replica.cold, now())


def observe_cold(
    shared: SharedState, replica: Replica, cold_seconds: float
) -> None:
    """Record that a reply of a target says that the target is cold.

    :param shared: Shared state of the instance.
    :param replica: Target that replied.
    :param cold_seconds: Remaining time; zero if the reply says nothing of it.
    """
    if cold_seconds:
        expect_cold(replica, cold_seconds, now())
        update_quota(shared, replica)


def expect_cold_zone(shared: SharedState, zone: str) -> None:
    """Treat the targets of a zone as if they had just started.

    They are cold when its evacuation ends, and their entries say so only some
    time later.

    :param shared: Shared state of the instance.
    :param zone: Name of the zone.
    """
    cold_starts = shared.table.cold_starts if shared.table else NO_COLD_STARTS
    for service, cold_start in cold_starts.items():
        for replica in shared.directory.replicas.get(service, {}).values():
            if replica.entry.zone == zone:
                expect_cold(replica, cold_start.seconds, now())


def update_cold_targets(shared: SharedState) -> None:
    """Update all quotas, and record which targets in use became cold.

    What waits for a connection to one of these is not sent to it.

    :param shared: Shared state of the instance.
    """
    for replica in _find_cold(shared):
        update_quota(shared, replica)
        if replica.cold.was_warm and replica.cold.basis is not None:
            replica.cold.was_warm = False
            _begin_cold(shared, replica)


def _update_quotas(shared: SharedState, replicas: list[Replica]) -> None:
    now_seconds = now()
    for replica in replicas:
        if replica.cold.until_seconds > now_seconds:
            update_quota(shared, replica)


def _compute_basis(shared: SharedState, service: str) -> ColdBasis | None:
    bounds = shared.settings.cold_bounds
    if bounds is None or shared.table is None:
        return None
    cold_start = shared.table.cold_starts.get(service)
    if cold_start is None:
        return None
    return ColdBasis(compute_budget(bounds, cold_start), _find_senders(shared))


def _find_senders(shared: SharedState) -> Senders | None:
    now_seconds = now()
    age_seconds = now_seconds - shared.fleet_share.started_seconds
    if age_seconds < JOIN_SECONDS or _lacks_peers(shared):
        return None
    return get_senders(
        shared.fleet_share, shared.instance.membership, now_seconds
    )


def _lacks_peers(shared: SharedState) -> bool:
    own_endpoint = shared.settings.instance.peers
    is_seeded = any(seed != own_endpoint for seed in shared.settings.seeds)
    return is_seeded and len(shared.instance.membership.members) == 1


def _find_cold(shared: SharedState) -> list[Replica]:
    now_seconds = now()
    cold_replicas = []
    for service_replicas in shared.directory.replicas.values():
        for replica in service_replicas.values():
            if replica.cold.until_seconds > now_seconds:
                cold_replicas.append(replica)
            else:
                replica.cold.was_warm = True
    return cold_replicas


def _is_in_use(replica: Replica) -> bool:
    silent_seconds = now() - replica.last_reply_seconds
    return bool(replica.pending) or silent_seconds < IN_USE_SECONDS


def _begin_cold(shared: SharedState, replica: Replica) -> None:
    if _is_in_use(replica) and may_log(shared, is_important=True):
        log(
            TARGET_COLD,
            target=replica.entry.target,
            cold_seconds=remaining_cold_seconds(replica.cold, now()),
            share_per_second=cold_share_count(replica.cold.share),
        )
    pool = shared.pools.get(replica.entry.target)
    if pool is not None:
        reject_waiting(pool)
