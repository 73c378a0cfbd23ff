"""Formatting of answers as readable text."""

import datetime
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final

MILLISECONDS_PER_SECOND: Final = 1000
PERCENT: Final = 100
MAX_RECORD_LINES: Final = 12


def format_table(
    headings: Sequence[str], rows: Iterable[Sequence[object]]
) -> str:
    """Format rows as aligned columns.

    :param headings: Headings of the columns.
    :param rows: Cells of each row.
    :returns: Lines whose columns are padded to equal width.
    """
    lines = [tuple(headings), *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def answer_text(answer: Mapping[str, Any]) -> str:
    """Format an answer to a read request.

    :param answer: The decoded answer.
    :returns: Its records, its coverage and the number of sub-requests.
    """
    records = answer['records']
    rows = [
        (
            record['key'],
            _format_start(record['starts_at_seconds']),
            record['free_count'],
            record['text'],
        )
        for record in records[:MAX_RECORD_LINES]
    ]
    lines = [format_table(('KEY', 'STARTS', 'FREE', 'TEXT'), rows)]
    if len(records) > MAX_RECORD_LINES:
        lines.append(f'… and {len(records) - MAX_RECORD_LINES} more records')
    if answer['is_truncated']:
        lines.append('more records matched than the requested limit')
    lines.append(_coverage_text(answer['coverage']))
    lines.append(_cost_text(answer))
    return '\n'.join(lines)


def cleared_text(answer: Mapping[str, Any]) -> str:
    """Format the answer to an operator who clears a request.

    :param answer: The decoded answer.
    :returns: One line.
    """
    count = answer['cleared_count']
    if not count:
        return f'{answer["fingerprint"]}: no target is known to have ended'
    return f'{answer["fingerprint"]}: may be sent again; {count} ends cleared'


def booking_text(answer: Mapping[str, Any]) -> str:
    """Format a booking.

    :param answer: The decoded answer.
    :returns: The outcome, the record and the target that ran it.
    """
    return (
        f'{answer["outcome"]}: {answer["key"]} of {answer["service"]}, '
        f'booking id {answer["booking_id"]}\n'
        f'run once at {answer["target"]} (shard {answer["shard"]}, '
        f'epoch {answer["epoch"]})'
    )


def advice_text(answer: Mapping[str, Any]) -> str:
    """Format address advice.

    :param answer: The decoded answer.
    :returns: Addresses in order of preference, and how long to keep them.
    """
    rows = [
        (
            f'{entry["address"]}:{entry["port"]}',
            entry['instance'],
            entry['availability_zone'],
        )
        for entry in answer['addresses']
    ]
    keep = f'keep for {answer["keep_seconds"]:.1f} s'
    return f'{format_table(("ADDRESS", "INSTANCE", "ZONE"), rows)}\n{keep}'


def versions_text(states: Sequence[Mapping[str, Any]]) -> str:
    """Format the current configuration version of every instance.

    :param states: Decoded state dumps.
    :returns: One row per instance; versions older than the newest one are
        marked.
    """
    services = sorted({name for state in states for name in state['services']})
    newest = {
        name: max(_get_version(state, name) for state in states)
        for name in services
    }
    rows = []
    for state in states:
        cells = [
            _format_version(_get_version(state, name), newest[name])
            for name in services
        ]
        rows.append((state['instance'], _format_age(state), *cells))
    return format_table(('INSTANCE', 'CONFIRMED', *services), rows)


def state_text(state: Mapping[str, Any]) -> str:
    """Format a summary of a state dump.

    :param state: A decoded state dump.
    :returns: Services, members, and the size and limit of each table.
    """
    header = (
        f'{state["instance"]} in {state["availability_zone"]}: '
        f'ready {state["is_ready"]}, leaving {state["is_leaving"]}, '
        f'configuration confirmed {_format_age(state)}'
    )
    tables = format_table(
        ('TABLE', 'HELD', 'MOST'),
        (
            (name, bound['held'], bound['most'])
            for name, bound in state['tables'].items()
        ),
    )
    members = format_table(
        ('INSTANCE', 'STATUS', 'ZONE'),
        (
            (name, member['status'], member['availability_zone'])
            for name, member in state['members'].items()
        ),
    )
    targets = format_table(
        ('SERVICE', 'VERSION', 'TARGETS', 'LEAVING', 'IN FLIGHT', 'EXTRA'),
        (
            _build_service_row(name, service)
            for name, service in state['services'].items()
        ),
    )
    return '\n\n'.join((header, targets, members, tables))


def explanation_text(plan: Mapping[str, Any]) -> str:
    """Format the plan of a query.

    :param plan: A decoded explanation.
    :returns: One row per replica of each shard.
    """
    header = (
        f'{plan["service"]}: configuration {plan["configuration_version"]}, '
        f'index {plan["index_version"]}, snapshot {plan["snapshot"]}, '
        f'{plan["priority"]} first'
    )
    rows = (
        (
            shard['shard'],
            replica['target'],
            replica['availability_zone'],
            f'{replica["expected_seconds"] * MILLISECONDS_PER_SECOND:.1f} ms',
            replica['note'],
        )
        for shard in plan['shards']
        for replica in shard['replicas']
    )
    headings = ('SHARD', 'REPLICA', 'ZONE', 'EXPECTED', 'WHY')
    return f'{header}\n{format_table(headings, rows)}'


def route_explanation_text(explanation: Mapping[str, Any]) -> str:
    """Format what would happen to a request of a published route.

    :param explanation: A decoded explanation.
    :returns: The outcome, and one row per target of each service.
    """
    header = [
        f'{explanation["route"]}, version {explanation["version"]}:',
        explanation['outcome'],
    ]
    if explanation['detail']:
        header.append(f'({explanation["detail"]})')
    if explanation['retry_after_seconds'] is not None:
        header.append(f'retry after {explanation["retry_after_seconds"]:.2f} s')
    rows = (
        (
            service['service'],
            target['target'],
            target['availability_zone'],
            _format_milliseconds(target['expected_seconds']),
            _format_milliseconds(target['cost_seconds']),
            ', '.join(target['reasons']) or '-',
        )
        for service in explanation['services']
        for target in service['targets']
    )
    headings = ('SERVICE', 'TARGET', 'ZONE', 'EXPECTED', 'COST', 'RULED OUT')
    leaving = '\n'.join(
        f'{service["service"]}: {service["leaving"]}'
        for service in explanation['services']
    )
    table = format_table(headings, rows)
    return '\n'.join((' '.join(header), table, leaving))


def _format_milliseconds(seconds: float) -> str:
    return f'{seconds * MILLISECONDS_PER_SECOND:.1f} ms'


def _coverage_text(coverage: Mapping[str, Any]) -> str:
    included = len(coverage['included'])
    missing = coverage['lacking']
    shard_count = included + len(missing)
    text = f'coverage {included} of {shard_count} shards'
    if not missing:
        return f'{text}, complete'
    reasons = ', '.join(
        f'{entry["shard"]} ({entry["reason"]})' for entry in missing
    )
    return f'{text}; missing {reasons}'


def _cost_text(answer: Mapping[str, Any]) -> str:
    load = answer['load']
    extra = max(0, load['sent_count'] - load['needed_count'])
    return (
        f'snapshot {answer["snapshot"]}, index {answer["index_version"]}, '
        f'configuration {answer["configuration_version"]}; '
        f'{answer["elapsed_seconds"] * MILLISECONDS_PER_SECOND:.1f} ms; '
        f'{load["needed_count"]} sub-requests needed, {extra} extra'
    )


def _format_start(starts_at_seconds: int) -> str:
    moment = datetime.datetime.fromtimestamp(starts_at_seconds, tz=datetime.UTC)
    return f'{moment:%Y-%m-%d %H:%M}'


def _get_version(state: Mapping[str, Any], service: str) -> int:
    held = state['services'].get(service)
    return int(held['configuration_version']) if held else 0


def _format_version(version: int, newest: int) -> str:
    return str(version) if version == newest else f'{version} (behind)'


def _format_age(state: Mapping[str, Any]) -> str:
    age_seconds = state['configuration_age_seconds']
    return 'never' if age_seconds is None else f'{age_seconds:.1f} s ago'


def _build_service_row(
    name: str, service: Mapping[str, Any]
) -> tuple[object, ...]:
    targets = service['targets'].values()
    row = [name, service['configuration_version'], len(targets)]
    row.append(sum(target['is_leaving'] for target in targets))
    row.append(sum(target['in_flight'] for target in targets))
    row.append(f'{service["extra_count"]} of {service["needed_count"]}')
    return tuple(row)
