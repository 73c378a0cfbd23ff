"""A process of the system with its own limits, and what it uses of them."""

import asyncio
import contextlib
import os
import re
import resource
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Final, NamedTuple

from tests.support.crowds import Ports, descriptor_count, kernel_bytes

SAMPLE_SECONDS: Final = 0.05
MEGABYTE: Final = 1_000_000
KIBIBYTE: Final = 1024


class ProcessLimits(NamedTuple):
    """What a process may use.

    :param memory_mb: Megabytes, with what the system holds for it.
    :param descriptor_count: Open descriptors.
    """

    memory_mb: int
    descriptor_count: int


class LimitedProcess:
    """A process that is watched until it ends.

    :param process: The process.
    :param limits: What it may use.
    :param ports: TCP ports whose connections are counted.
    :param most_bytes: Most memory that was seen.
    :param most_kernel_bytes: Most that the system held for its connections.
    :param most_descriptors: Most open descriptors that were seen.
    """

    def __init__(
        self,
        arguments: tuple[str, ...],
        variables: Mapping[str, str],
        limits: ProcessLimits,
        ports: Ports,
        log: Path,
        *,
        limits_resources: bool,
    ) -> None:
        self.limits = limits
        self.ports = ports
        self.most_bytes = 0
        self.most_kernel_bytes = 0
        self.most_descriptors = 0
        self.log = log
        with log.open('wb') as output:
            self.process = subprocess.Popen(
                (sys.executable, '-m', *arguments),
                env={**os.environ, **variables},
                stdout=output,
                stderr=subprocess.STDOUT,
                preexec_fn=self._limit_resources if limits_resources else None,
            )

    async def watch(self) -> None:
        """Record what the process uses, until cancelled or it has ended."""
        with contextlib.suppress(OSError):
            while self.process.poll() is None:
                self._sample()
                await asyncio.sleep(SAMPLE_SECONDS)

    def end(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()

    def _limit_resources(self) -> None:
        data_bytes = self.limits.memory_mb * MEGABYTE
        count = self.limits.descriptor_count
        resource.setrlimit(resource.RLIMIT_DATA, (data_bytes, data_bytes))
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, count))

    def _sample(self) -> None:
        held_bytes = kernel_bytes(self.ports)
        own_bytes = self._status_bytes('VmRSS') + held_bytes
        peak_bytes = self._status_bytes('VmHWM')
        self.most_bytes = max(self.most_bytes, own_bytes, peak_bytes)
        self.most_kernel_bytes = max(self.most_kernel_bytes, held_bytes)
        count = descriptor_count(self.process.pid)
        self.most_descriptors = max(self.most_descriptors, count)

    def _status_bytes(self, name: str) -> int:
        status = Path(f'/proc/{self.process.pid}/status').read_text()
        found = re.search(rf'{name}:\s+(\d+) kB', status)
        return int(found.group(1)) * KIBIBYTE if found else 0
