"""Limits of this process, and the part of them that others may use."""

import math
import os
import resource
from pathlib import Path
from typing import Final, NamedTuple

# Memory of the program with its state, apart from what it holds for others.
PROGRAM_BYTES: Final = 64_000_000
# Half of the rest; the other half is for what the system holds and for memory
# that the allocator can't use again at once.
ACCOUNT_SHARE: Final = 0.5
MIN_ACCOUNT_SHARE: Final = 0.125
# The system reserves up to twice the size of a receive buffer.
RECEIVE_SHARE: Final = 0.25
TARGET_RECEIVE_SHARE: Final = 0.125
MIN_RECEIVE_BUFFER_BYTES: Final = 4096
MAX_RECEIVE_BUFFER_BYTES: Final = 65_536
# Descriptors reserved for files, at most half of all.  Clients get a fraction
# of the others, so that some are left for connections to targets.
FILE_DESCRIPTOR_COUNT: Final = 200
CLIENT_DESCRIPTOR_SHARE: Final = 0.7
# The rest is for peers, the store and probes.
TARGET_DESCRIPTOR_SHARE: Final = 0.25
# Stands for no limit.
MAX_DESCRIPTOR_COUNT: Final = 1_048_576
DEFAULT_MEMORY_BYTES: Final = 300_000_000
DEFAULT_DESCRIPTOR_COUNT: Final = 4096
_GROUP_LIMIT: Final = Path('/sys/fs/cgroup/memory.max')


class ProcessLimits(NamedTuple):
    """Limits of one process.

    :param memory_bytes: Memory, with what the system holds for its
        connections.
    :param descriptor_count: Descriptors that may be open.
    """

    memory_bytes: int
    descriptor_count: int


# Limits of a process that has not read its own.
DEFAULT_LIMITS: Final = ProcessLimits(
    DEFAULT_MEMORY_BYTES, DEFAULT_DESCRIPTOR_COUNT
)


def read_process_limits() -> ProcessLimits:
    """Read the limits that the system sets.

    :returns: The least limit on memory of the process, its control group and
        the machine, and the limit on descriptors of the process.
    """
    machine_bytes = os.sysconf('SC_PAGE_SIZE') * os.sysconf('SC_PHYS_PAGES')
    memory_limits = (
        machine_bytes,
        _soft_limit(resource.RLIMIT_AS),
        _soft_limit(resource.RLIMIT_DATA),
        _group_limit(),
    )
    descriptor_count = min(
        MAX_DESCRIPTOR_COUNT, _soft_limit(resource.RLIMIT_NOFILE)
    )
    return ProcessLimits(int(min(memory_limits)), int(descriptor_count))


def account_bytes(limits: ProcessLimits) -> int:
    """Return the memory that may be held for others together.

    :param limits: Limits of the process.
    :returns: Size in bytes.
    """
    spare_bytes = limits.memory_bytes - PROGRAM_BYTES
    return int(
        max(
            ACCOUNT_SHARE * spare_bytes,
            MIN_ACCOUNT_SHARE * limits.memory_bytes,
        )
    )


def max_client_connections(limits: ProcessLimits) -> int:
    """Return how many connections clients may have open, at all ports.

    :param limits: Limits of the process.
    :returns: The number.
    """
    return _connection_count(limits, CLIENT_DESCRIPTOR_SHARE)


def max_target_connections(limits: ProcessLimits) -> int:
    """Return how many connections to targets may be open.

    :param limits: Limits of the process.
    :returns: The number.
    """
    return _connection_count(limits, TARGET_DESCRIPTOR_SHARE)


def receive_buffer_bytes(limits: ProcessLimits) -> int:
    """Return the size of the receive buffer of a client's connection.

    :param limits: Limits of the process.
    :returns: Size in bytes, so that the buffers of all connections together
        fit into the memory that is not for other purposes.
    """
    count = max_client_connections(limits)
    return _buffer_bytes(limits, RECEIVE_SHARE, count)


def target_receive_buffer_bytes(limits: ProcessLimits) -> int:
    """Return the size of the receive buffer of a connection to a target.

    :param limits: Limits of the process.
    :returns: Size in bytes, so that the buffers of all connections together
        fit into the memory for them.
    """
    count = max_target_connections(limits)
    return _buffer_bytes(limits, TARGET_RECEIVE_SHARE, count)


def _connection_count(limits: ProcessLimits, share: float) -> int:
    file_count = min(FILE_DESCRIPTOR_COUNT, limits.descriptor_count // 2)
    usable_count = limits.descriptor_count - file_count
    return max(1, int(share * usable_count))


def _buffer_bytes(limits: ProcessLimits, share: float, count: int) -> int:
    spare_bytes = limits.memory_bytes - PROGRAM_BYTES
    size_bytes = share * spare_bytes / count
    return int(
        min(
            max(size_bytes, MIN_RECEIVE_BUFFER_BYTES),
            MAX_RECEIVE_BUFFER_BYTES,
        )
    )


def _soft_limit(resource_number: int) -> float:
    limit, _ = resource.getrlimit(resource_number)
    return math.inf if limit == resource.RLIM_INFINITY else limit


def _group_limit() -> float:
    try:
        text = _GROUP_LIMIT.read_text(encoding='ascii').strip()
    except OSError:
        return math.inf
    return int(text) if text.isdigit() else math.inf
