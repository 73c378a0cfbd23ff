"""What an instance costs that serves nobody: nine on loopback, watched."""

import os
import statistics
import time
from pathlib import Path
from typing import Final, NamedTuple

from examples.fleet import Fleet, start_fleet, stop_fleet, wait_until_ready

SETTLE_SECONDS: Final = 3.0
WATCH_SECONDS: Final = 20.0
USER_FIELD: Final = 13
SYSTEM_FIELD: Final = 14


class Idle(NamedTuple):
    """Cost of an instance that serves nobody.

    :param core_share: Processor time over time, the median of nine.
    :param least: Least of nine.
    :param most: Most of nine.
    :param resident_bytes: Resident memory, the median of nine.
    """

    core_share: float
    least: float
    most: float
    resident_bytes: float


def measure_idle() -> Idle:
    """Run a fleet without callers and read what the system accounts.

    :returns: Processor time and memory of an instance.
    """
    fleet = start_fleet('consorcio')
    try:
        wait_until_ready(fleet)
        time.sleep(SETTLE_SECONDS)
        return _watch(fleet)
    finally:
        stop_fleet(fleet)


def _watch(fleet: Fleet) -> Idle:
    processes = [process.pid for process in fleet.instances.values()]
    before = [_processor_seconds(pid) for pid in processes]
    time.sleep(WATCH_SECONDS)
    after = [_processor_seconds(pid) for pid in processes]
    shares = [
        (ended - began) / WATCH_SECONDS
        for began, ended in zip(before, after, strict=True)
    ]
    resident = statistics.median(map(_resident_bytes, processes))
    return Idle(statistics.median(shares), min(shares), max(shares), resident)


def _processor_seconds(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text().split()
    ticks = int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])
    return ticks / os.sysconf('SC_CLK_TCK')


def _resident_bytes(pid: int) -> int:
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')
