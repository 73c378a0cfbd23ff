"""Periodic clean-up of an instance that forwards requests."""

import asyncio
from typing import Final

from celeryturn.decisions.targets import directory
from celeryturn.forwarding import shared_state
from celeryturn.forwarding.operations.limited_log import log_dropped_lines
from celeryturn.forwarding.request.suspect_requests import report_resolved
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.forwarding.targets.cold_targets import update_cold_targets
from celeryturn.forwarding.targets.pool_access import prune_pools
from celeryturn.forwarding.targets.request_rates import update_rates
from celeryturn.forwarding.targets.shared_health import update_health

HOUSEKEEPING_INTERVAL_SECONDS: Final = 0.25
MAX_IDLE_SECONDS: Final = 8.0


async def run_housekeeping(shared: SharedState) -> None:
    """Drop expired targets and unused connections until cancelled.

    The number of dropped log lines is logged at the same interval, and peers
    are told what targets state about their request rates.

    :param shared: Shared state of the instance.
    """
    while True:
        await asyncio.sleep(HOUSEKEEPING_INTERVAL_SECONDS)
        now_seconds = shared_state.now()
        directory.drop_expired(shared.directory, now_seconds)
        prune_pools(shared, now_seconds - MAX_IDLE_SECONDS)
        update_rates(shared)
        update_cold_targets(shared)
        update_health(shared)
        report_resolved(shared)
        log_dropped_lines(shared)
