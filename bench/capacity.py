"""Work out the design size's figures from measured slopes."""

from collections.abc import Mapping
from typing import Final, NamedTuple

from celeryturn.decisions.membership import list_wait_seconds

NODES: Final = 480
TARGETS: Final = 2100
QUERIES_PER_SECOND: Final = 81_000
FAN_OUT: Final = 640
CHANGES_PER_DAY: Final = 370
RESTARTS_PER_DAY: Final = 710
SECONDS_PER_DAY: Final = 86_400
MEMORY_BYTES: Final = 64_000_000
PLATFORM_READS: Final = 2000
NEIGHBOURS: Final = 4
LINKS: Final = 2 * NEIGHBOURS
WATCH_SECONDS: Final = 5.0
LIST_SECONDS: Final = list_wait_seconds(5, NODES) * 0.75
DOCUMENT_KILOBYTES: Final = 64
SERVICES: Final = 16
OWNERS: Final = 6
BATCH_SECONDS: Final = 0.005
CONNECTIONS_LEAST: Final = 30
CONNECTIONS_MOST: Final = 110
PERCENT: Final = 100
PING_BYTES: Final = 120
FRAME_BYTES: Final = 60
MEMBER_BYTES: Final = 190
LIST_ENTRY_BYTES: Final = 150
METRIC_READS_PER_SECOND: Final = 1 / 15


class Row(NamedTuple):
    """One line of the page."""

    role: str
    state: str
    load: str
    core: str
    memory: str
    carried_by: str


def figures(seconds: Mapping[str, float], memory: Mapping[str, float]) -> str:
    """Work out every role at the design size.

    :param seconds: Processor seconds a unit, by name of the slope.
    :param memory: Bytes a unit, by name of the slope.
    :returns: Markdown: the roles, then the checks.
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
    rate = QUERIES_PER_SECOND / NODES
    sub_requests = rate * FAN_OUT
    direct = sub_requests * seconds['whole path a sub-request']
    return Row(
        'entry work, direct path of today',
        f'{rate * 0.11:.0f} queries under way',
        f'{rate:.0f} queries/s, {sub_requests:,.0f} sub-requests/s',
        f'{direct:.1f} cores',
        'with the query',
        'direct connections (9 instances)',
    )


def _owner(seconds: Mapping[str, float]) -> Row:
    rate = QUERIES_PER_SECOND / NODES * FAN_OUT
    batch = _batch_size()
    relayed = 2 * rate * seconds['CBOR a reply, both ends']
    deciding = rate * seconds['decisions a sub-request']
    coded = rate * seconds['sub-request codec']
    exchanged = rate * seconds['h11 exchange, client end'] / batch
    whole = relayed + deciding + coded + exchanged
    return Row(
        'entry and owner work, batched relay (not built)',
        f'{TARGETS * OWNERS / NODES:.0f} targets owned',
        f'{rate:,.0f} sub-requests/s, {batch:.0f} a batch',
        f'{whole:.1f} cores: {relayed:.1f} relay, {deciding:.1f} decide, '
        f'{coded:.1f} code, {exchanged:.1f} exchange',
        'with the query',
        'owners by rendezvous hashing, batches',
    )


def _batch_size() -> float:
    rate = QUERIES_PER_SECOND * FAN_OUT / TARGETS / OWNERS
    return max(1, rate * BATCH_SECONDS)


def _configuration(
    seconds: Mapping[str, float], memory: Mapping[str, float]
) -> Row:
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    cost = changes * (
        DOCUMENT_KILOBYTES * seconds['document a kilobyte']
        + TARGETS * seconds['adoption a target'] / SERVICES
    )
    held = SERVICES * DOCUMENT_KILOBYTES * memory['document a kilobyte']
    traffic = changes * DOCUMENT_KILOBYTES * 1000
    return Row(
        'configuration',
        f'{SERVICES} documents of {DOCUMENT_KILOBYTES} KB',
        f'{CHANGES_PER_DAY} changes a day, {traffic:.0f} B/s',
        f'{cost * PERCENT:.3f}%',
        f'{held / 1e6:.1f} MB',
        'watch, then peers',
    )


def _membership(
    seconds: Mapping[str, float], memory: Mapping[str, float]
) -> Row:
    changes = 4 * RESTARTS_PER_DAY / SECONDS_PER_DAY
    joins = RESTARTS_PER_DAY * LINKS / NODES / SECONDS_PER_DAY
    told = changes * LINKS + joins * NODES
    cost = (
        LINKS * seconds['ping and pong, both ends']
        + told * seconds['member told, both ends']
        + NODES * seconds['member ticked']
        + NODES * seconds['advice a member'] / LIST_SECONDS
    )
    traffic = (
        2 * LINKS * (PING_BYTES + FRAME_BYTES)
        + 2 * told * MEMBER_BYTES
        + NODES * LIST_ENTRY_BYTES / LIST_SECONDS
    )
    return Row(
        'membership',
        f'{NODES} members, {LINKS} links',
        f'{traffic / 1000:.1f} KB/s, of which the list '
        f'{NODES * LIST_ENTRY_BYTES / LIST_SECONDS / 1000:.1f}',
        f'{cost * PERCENT:.2f}%',
        f'{NODES * memory["member"] / 1e6:.2f} MB',
        'ring of neighbours, news flooded over links',
    )


def _health(memory: Mapping[str, float]) -> Row:
    return Row(
        'health of targets',
        f'{TARGETS} views',
        'read from replies, no calls of its own',
        'in the query',
        f'{TARGETS * memory["view of a target"] / 1e6:.1f} MB',
        'own observation',
    )


def _advice(seconds: Mapping[str, float]) -> Row:
    cost = NODES * seconds['advice a member']
    return Row(
        'address advice',
        'none of its own',
        'one a caller every 20 s',
        f'{cost * PERCENT:.2f}% at one a second',
        'none',
        'any instance, from its membership',
    )


def _dump(seconds: Mapping[str, float]) -> Row:
    cost = TARGETS * seconds['state dump a target'] * METRIC_READS_PER_SECOND
    return Row(
        'state dump and metrics',
        'none of its own',
        'one read every 15 s',
        f'{cost * PERCENT:.2f}%',
        'the reply',
        'HTTP on the callers port',
    )


def _checks(
    seconds: Mapping[str, float], memory: Mapping[str, float]
) -> list[str]:
    watches = NODES / WATCH_SECONDS
    lists = NODES / LIST_SECONDS
    sub_requests = QUERIES_PER_SECOND * FAN_OUT
    path = seconds['whole path a sub-request']
    floor = seconds['h11 exchange, client end']
    tail = 1 - 0.99 ** (1 / FAN_OUT)
    state = (
        TARGETS * memory['view of a target']
        + NODES * memory['member']
        + SERVICES * DOCUMENT_KILOBYTES * memory['document a kilobyte']
    )
    direct = sub_requests / NODES * path
    return [
        f'- Sub-requests: {sub_requests / 1e6:.1f} million/s, '
        f'{sub_requests / TARGETS:,.0f}/s a target, '
        f'{sub_requests / NODES:,.0f}/s a node.',
        f'- Direct path: {direct:.1f} cores a node; over one core by a '
        f'factor of {direct:.0f}.',
        '- Whole path against the h11 exchange alone: '
        f'{path / floor:.1f} to 1.',
        f'- Connections, direct from {NODES} nodes: {NODES} at a target that '
        f'accepts {CONNECTIONS_LEAST} to {CONNECTIONS_MOST}; over by '
        f'{NODES / CONNECTIONS_MOST:.1f} to {NODES / CONNECTIONS_LEAST:.0f}. '
        f'With {OWNERS} owners a target: {CONNECTIONS_LEAST // OWNERS} to '
        f'{CONNECTIONS_MOST // OWNERS} connections each.',
        f'- Platform calls: {watches:.0f} watches/s and {lists:.0f} list '
        f'reads/s of about {PLATFORM_READS:,}; a change adds {NODES} reads, '
        f'once.',
        f'- Control state: {state / 1e6:.1f} MB of {MEMORY_BYTES / 1e6:.0f} '
        f'MB beside the interpreter and its libraries.',
        f'- Tail: for 99 in 100 answers whole in 110 ms, each of {FAN_OUT} '
        f"sub-requests may miss them once in {1 / tail:,.0f}: a target's "
        f'{PERCENT * (1 - tail):.4f}th percentile decides, unless late ones '
        f'are hedged or cut.',
    ]
