"""Compute the load and cost of a fleet of the design size.

The input is the measured cost per unit of each operation.
"""

from collections.abc import Mapping
from typing import Final, NamedTuple

from celeryturn.decisions.fleet.membership import list_wait_seconds

NODE_COUNT: Final = 480
TARGET_COUNT: Final = 2100
QUERIES_PER_SECOND: Final = 81_000
FAN_OUT: Final = 640
CHANGES_PER_DAY: Final = 370
RESTARTS_PER_DAY: Final = 710
SECONDS_PER_DAY: Final = 86_400
MEMORY_LIMIT_BYTES: Final = 64_000_000
PLATFORM_READS_PER_SECOND: Final = 2000
NEIGHBOUR_COUNT: Final = 4
LINK_COUNT: Final = 2 * NEIGHBOUR_COUNT
WATCH_WAIT_SECONDS: Final = 5.0
LIST_INTERVAL_SECONDS: Final = list_wait_seconds(5, NODE_COUNT) * 0.75
DOCUMENT_KILOBYTES: Final = 64
SERVICE_COUNT: Final = 16
OWNERS_PER_TARGET: Final = 6
BATCH_SECONDS: Final = 0.005
MIN_CONNECTIONS: Final = 30
MAX_CONNECTIONS: Final = 110
PERCENT: Final = 100
PING_BYTES: Final = 120
FRAME_BYTES: Final = 60
MEMBER_BYTES: Final = 190
LIST_ENTRY_BYTES: Final = 150
METRIC_READS_PER_SECOND: Final = 1 / 15


class Row(NamedTuple):
    """One row of the table of roles.

    :param role: The work that is done.
    :param state: State that a node holds for it.
    :param load: Rate of the work at a node.
    :param core: Fraction of a core, or number of cores, that it takes.
    :param memory: Memory that the state takes.
    :param carried_by: Mechanism that does the work.
    """

    role: str
    state: str
    load: str
    core: str
    memory: str
    carried_by: str


def format_figures(
    seconds: Mapping[str, float], memory: Mapping[str, float]
) -> str:
    """Compute the figures of every role at the design size.

    :param seconds: Processor seconds per unit, by name of the slope.
    :param memory: Bytes per unit, by name of the slope.
    :returns: Markdown: the table of roles, then the list of checks.
    """
    rows = [
        _entry(seconds),
        _owner(seconds),
        _configuration(seconds, memory),
        _membership(seconds, memory),
        _health(memory),
        _advice(seconds),
        _dump(seconds),
    ]
    lines = [
        '| role | state a node | load a node | core | memory | carried by |',
        '|---|---|---|---|---|---|',
        *(f'| {" | ".join(row)} |' for row in rows),
        '',
        *_checks(seconds, memory),
    ]
    return '\n'.join(lines)


def _entry(seconds: Mapping[str, float]) -> Row:
    rate = QUERIES_PER_SECOND / NODE_COUNT
    sub_requests = rate * FAN_OUT
    direct_cores = sub_requests * seconds['whole path a sub-request']
    return Row(
        'entry work, direct path of today',
        f'{rate * 0.11:.0f} queries under way',
        f'{rate:.0f} queries/s, {sub_requests:,.0f} sub-requests/s',
        f'{direct_cores:.1f} cores',
        'with the query',
        'direct connections (9 instances)',
    )


def _owner(seconds: Mapping[str, float]) -> Row:
    rate = QUERIES_PER_SECOND / NODE_COUNT * FAN_OUT
    batch = _batch_size()
    relay_cores = 2 * rate * seconds['CBOR a reply, both ends']
    decision_cores = rate * seconds['decisions a sub-request']
    codec_cores = rate * seconds['sub-request codec']
    exchange_cores = rate * seconds['h11 exchange, client end'] / batch
    total_cores = relay_cores + decision_cores + codec_cores + exchange_cores
    return Row(
        'entry and owner work, batched relay (not built)',
        f'{TARGET_COUNT * OWNERS_PER_TARGET / NODE_COUNT:.0f} targets owned',
        f'{rate:,.0f} sub-requests/s, {batch:.0f} a batch',
        f'{total_cores:.1f} cores: {relay_cores:.1f} relay, '
        f'{decision_cores:.1f} decide, {codec_cores:.1f} code, '
        f'{exchange_cores:.1f} exchange',
        'with the query',
        'owners by rendezvous hashing, batches',
    )


def _batch_size() -> float:
    rate = QUERIES_PER_SECOND * FAN_OUT / TARGET_COUNT / OWNERS_PER_TARGET
    return max(1, rate * BATCH_SECONDS)


def _configuration(
    seconds: Mapping[str, float], memory: Mapping[str, float]
) -> Row:
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    core_fraction = changes * (
        DOCUMENT_KILOBYTES * seconds['document a kilobyte']
        + TARGET_COUNT * seconds['adoption a target'] / SERVICE_COUNT
    )
    document_bytes = (
        SERVICE_COUNT * DOCUMENT_KILOBYTES * memory['document a kilobyte']
    )
    traffic = changes * DOCUMENT_KILOBYTES * 1000
    return Row(
        'configuration',
        f'{SERVICE_COUNT} documents of {DOCUMENT_KILOBYTES} KB',
        f'{CHANGES_PER_DAY} changes a day, {traffic:.0f} B/s',
        f'{core_fraction * PERCENT:.3f}%',
        f'{document_bytes / 1e6:.1f} MB',
        'watch, then peers',
    )


def _membership(
    seconds: Mapping[str, float], memory: Mapping[str, float]
) -> Row:
    changes = 4 * RESTARTS_PER_DAY / SECONDS_PER_DAY
    joins = RESTARTS_PER_DAY * LINK_COUNT / NODE_COUNT / SECONDS_PER_DAY
    member_updates = changes * LINK_COUNT + joins * NODE_COUNT
    core_fraction = (
        LINK_COUNT * seconds['ping and pong, both ends']
        + member_updates * seconds['member told, both ends']
        + NODE_COUNT * seconds['member ticked']
        + NODE_COUNT * seconds['advice a member'] / LIST_INTERVAL_SECONDS
    )
    traffic = (
        2 * LINK_COUNT * (PING_BYTES + FRAME_BYTES)
        + 2 * member_updates * MEMBER_BYTES
        + NODE_COUNT * LIST_ENTRY_BYTES / LIST_INTERVAL_SECONDS
    )
    return Row(
        'membership',
        f'{NODE_COUNT} members, {LINK_COUNT} links',
        f'{traffic / 1000:.1f} KB/s, of which the list '
        f'{NODE_COUNT * LIST_ENTRY_BYTES / LIST_INTERVAL_SECONDS / 1000:.1f}',
        f'{core_fraction * PERCENT:.2f}%',
        f'{NODE_COUNT * memory["member"] / 1e6:.2f} MB',
        'ring of neighbours, news flooded over links',
    )


def _health(memory: Mapping[str, float]) -> Row:
    return Row(
        'health of targets',
        f'{TARGET_COUNT} views',
        'read from replies, no calls of its own',
        'in the query',
        f'{TARGET_COUNT * memory["view of a target"] / 1e6:.1f} MB',
        'own observation',
    )


def _advice(seconds: Mapping[str, float]) -> Row:
    core_fraction = NODE_COUNT * seconds['advice a member']
    return Row(
        'address advice',
        'none of its own',
        'one a caller every 20 s',
        f'{core_fraction * PERCENT:.2f}% at one a second',
        'none',
        'any instance, from its membership',
    )


def _dump(seconds: Mapping[str, float]) -> Row:
    core_fraction = (
        TARGET_COUNT * seconds['state dump a target'] * METRIC_READS_PER_SECOND
    )
    return Row(
        'state dump and metrics',
        'none of its own',
        'one read every 15 s',
        f'{core_fraction * PERCENT:.2f}%',
        'the reply',
        'HTTP on the callers port',
    )


def _checks(
    seconds: Mapping[str, float], memory: Mapping[str, float]
) -> list[str]:
    watches = NODE_COUNT / WATCH_WAIT_SECONDS
    lists = NODE_COUNT / LIST_INTERVAL_SECONDS
    sub_requests = QUERIES_PER_SECOND * FAN_OUT
    path_seconds = seconds['whole path a sub-request']
    exchange_seconds = seconds['h11 exchange, client end']
    late_fraction = 1 - 0.99 ** (1 / FAN_OUT)
    state_bytes = (
        TARGET_COUNT * memory['view of a target']
        + NODE_COUNT * memory['member']
        + SERVICE_COUNT * DOCUMENT_KILOBYTES * memory['document a kilobyte']
    )
    direct_cores = sub_requests / NODE_COUNT * path_seconds
    return [
        f'- Sub-requests: {sub_requests / 1e6:.1f} million/s, '
        f'{sub_requests / TARGET_COUNT:,.0f}/s a target, '
        f'{sub_requests / NODE_COUNT:,.0f}/s a node.',
        f'- Direct path: {direct_cores:.1f} cores a node; over one core by a '
        f'factor of {direct_cores:.0f}.',
        '- Whole path against the h11 exchange alone: '
        f'{path_seconds / exchange_seconds:.1f} to 1.',
        f'- Connections, direct from {NODE_COUNT} nodes: {NODE_COUNT} at a '
        f'target that accepts {MIN_CONNECTIONS} to {MAX_CONNECTIONS}; over by '
        f'{NODE_COUNT / MAX_CONNECTIONS:.1f} to '
        f'{NODE_COUNT / MIN_CONNECTIONS:.0f}. '
        f'With {OWNERS_PER_TARGET} owners a target: '
        f'{MIN_CONNECTIONS // OWNERS_PER_TARGET} to '
        f'{MAX_CONNECTIONS // OWNERS_PER_TARGET} connections each.',
        f'- Platform calls: {watches:.0f} watches/s and {lists:.0f} list '
        f'reads/s of about {PLATFORM_READS_PER_SECOND:,}; a change adds '
        f'{NODE_COUNT} reads, once.',
        f'- Control state: {state_bytes / 1e6:.1f} MB of '
        f'{MEMORY_LIMIT_BYTES / 1e6:.0f} MB beside the interpreter and its '
        f'libraries.',
        f'- Tail: for 99 in 100 answers whole in 110 ms, each of {FAN_OUT} '
        f'sub-requests may miss them once in {1 / late_fraction:,.0f}: a '
        f"target's "
        f'{PERCENT * (1 - late_fraction):.4f}th percentile decides, unless '
        f'late ones are hedged or cut.',
    ]
