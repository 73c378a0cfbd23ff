"""Watch whether this instance reaches its targets at all."""

import asyncio
import contextlib
import itertools
from collections.abc import Callable, Iterator
from typing import Final, TypeAlias

from celeryturn.decisions.request.route_table import named_services
from celeryturn.decisions.targets.evacuated_targets import (
    list_outside_evacuations,
)
from celeryturn.decisions.targets.reachability import (
    PROBE_TIMEOUT_SECONDS,
    PROBED_COUNT,
    Contact,
    Probe,
    assess,
    forget_silence,
    is_mostly_silent,
    is_probe_due,
    record_probe,
)
from celeryturn.decisions.targets.replicas import Replica
from celeryturn.events import (
    LINKS_LOST,
    LINKS_RESTORED,
    TARGETS_HEARD,
    TARGETS_SILENT,
    log,
)
from celeryturn.forwarding.shared_state import SharedState, now
from celeryturn.forwarding.targets.pools import drop_idle
from celeryturn.forwarding.targets.shared_health import withdraw_reports

WATCH_INTERVAL_SECONDS: Final = 0.1

# Receives whether the links were lost or restored by the probe.
OnProbed: TypeAlias = Callable[[bool], None]


async def watch_target_links(shared: SharedState, on_probed: OnProbed) -> None:
    """Find out when no target can be reached, and when they can be again.

    :param shared: Shared state of the instance.
    :param on_probed: Called after targets have been probed.
    """
    was_silent = False
    while True:
        await asyncio.sleep(WATCH_INTERVAL_SECONDS)
        judged = tuple(list_judged(shared))
        contact = assess(judged, shared.links.changed_seconds, now())
        target_count = len(judged)
        is_silent = is_mostly_silent(contact, target_count)
        if is_silent != was_silent:
            _log_turn(contact, is_silent=is_silent)
            was_silent = is_silent
        if is_probe_due(shared.links, contact, target_count, now()):
            on_probed(await _probe(shared))


def list_judged(shared: SharedState) -> Iterator[Replica]:
    """List the targets by which the links of this instance are judged.

    Those of evacuated zones, and of services that no route names, get no
    requests and may be shut down.

    :param shared: Shared state of the instance.
    :returns: All other targets.
    """
    routed = None if shared.table is None else named_services(shared.table)
    for replica in list_outside_evacuations(shared.directory):
        if routed is None or replica.entry.service in routed:
            yield replica


def assess_contact(shared: SharedState) -> Contact:
    """Count the targets that responded of late.

    Only those that requests are sent to count.

    :param shared: Shared state of the instance.
    :returns: The counts.
    """
    judged = list_judged(shared)
    return assess(judged, shared.links.changed_seconds, now())


def _log_turn(contact: Contact, *, is_silent: bool) -> None:
    event = TARGETS_SILENT if is_silent else TARGETS_HEARD
    log(event, heard=contact.heard_count, silent=contact.silent_count)


def _replicas(shared: SharedState) -> Iterator[Replica]:
    return itertools.chain.from_iterable(
        service_replicas.values()
        for service_replicas in shared.directory.replicas.values()
    )


async def _probe(shared: SharedState) -> bool:
    began_seconds = now()
    chosen = _choose_targets(shared)
    reached = await asyncio.gather(
        *(_accepts_connections(shared, replica) for replica in chosen)
    )
    accepted = tuple(
        replica.entry.target
        for replica, is_reached in zip(chosen, reached, strict=True)
        if is_reached
    )
    took_seconds = now() - began_seconds
    probe = Probe(len(chosen), len(accepted), took_seconds, accepted)
    has_changed = record_probe(shared.links, probe, now())
    if has_changed:
        _apply_change(shared)
    return has_changed


def _choose_targets(shared: SharedState) -> list[Replica]:
    replicas = list(list_judged(shared))
    if not replicas:
        return []
    # Equal steps from a random start, to probe different services.
    step = max(1, len(replicas) // PROBED_COUNT)
    offset = int(shared.instance.random() * step)
    positions = range(offset, len(replicas), step)
    return [replicas[position] for position in positions[:PROBED_COUNT]]


async def _accepts_connections(shared: SharedState, replica: Replica) -> bool:
    entry = replica.entry
    with contextlib.suppress(OSError):
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            connection = await shared.target_connections.connect(
                entry.address, entry.port, PROBE_TIMEOUT_SECONDS
            )
        connection.close()
        return True
    return False


def _apply_change(shared: SharedState) -> None:
    log(LINKS_LOST if shared.links.is_lost else LINKS_RESTORED)
    for replica in _replicas(shared):
        forget_silence(replica)
    withdraw_reports(shared)
    if not shared.links.is_lost:
        # What was open meanwhile may stay silent.
        for pool in shared.pools.values():
            drop_idle(pool, now())
