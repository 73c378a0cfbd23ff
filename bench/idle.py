"""Measure the cost of an idle instance in a fleet of nine on loopback."""

import os
import statistics
import time
from pathlib import Path
from typing import Final, NamedTuple

from examples.fleet import Fleet, start_fleet, stop_fleet, wait_until_ready

SETTLE_SECONDS: Final = 3.0
MEASUREMENT_SECONDS: Final = 20.0
USER_TICKS_FIELD: Final = 13
SYSTEM_TICKS_FIELD: Final = 14


class IdleCost(NamedTuple):
    """Cost of an instance that receives no requests from callers.

    :param core_share: Ratio of processor time to elapsed time, the median of
        nine instances.
    :param min_core_share: Minimum of this ratio among the nine.
    :param max_core_share: Maximum of this ratio among the nine.
    :param resident_bytes: Resident memory, the median of the nine.
    """

    core_share: float
    min_core_share: float
    max_core_share: float
    resident_bytes: float


def measure_idle() -> IdleCost:
    """Run a fleet without callers and read its use of resources from /proc.

    :returns: Processor time and memory of an instance.
    """
    fleet = start_fleet('consorcio')
    try:
        wait_until_ready(fleet)
        time.sleep(SETTLE_SECONDS)
        return _measure(fleet)
    finally:
        stop_fleet(fleet)


def _measure(fleet: Fleet) -> IdleCost:
    process_ids = [process.pid for process in fleet.instances.values()]
    before_seconds = [_processor_seconds(pid) for pid in process_ids]
    time.sleep(MEASUREMENT_SECONDS)
    after_seconds = [_processor_seconds(pid) for pid in process_ids]
    core_shares = [
        (ended_seconds - began_seconds) / MEASUREMENT_SECONDS
        for began_seconds, ended_seconds in zip(
            before_seconds, after_seconds, strict=True
        )
    ]
    resident_bytes = statistics.median(map(_resident_bytes, process_ids))
    return IdleCost(
        statistics.median(core_shares),
        min(core_shares),
        max(core_shares),
        resident_bytes,
    )


def _processor_seconds(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text().split()
    ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
    return ticks / os.sysconf('SC_CLK_TCK')


def _resident_bytes(pid: int) -> int:
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')
