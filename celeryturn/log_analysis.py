"""Analysis of logs: the lines of one request, and counts of failures."""

import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec

from celeryturn.errors import CeleryturnError, Kind
from celeryturn.schema import UNREADABLE_ERRORS

EVENT_FIELD: Final = 'event'
TIME_FIELD: Final = 'timestamp'
LEGS_FIELD: Final = 'legs'
_OMITTED_FIELDS: Final = frozenset(
    (EVENT_FIELD, TIME_FIELD, 'task_uuid', 'task_level', 'message_type')
)
_STATE_EVENTS: Final = frozenset(
    ('table_adopted', 'store_lost', 'store_back', 'started', 'leaving')
)


class LogLine(NamedTuple):
    """One log line.

    :param place: Text before the JSON object, which a log collector may add
        (a time and an instance); the path of the file if there is none.
    :param time_seconds: Unix time by the clock of the instance.
    :param event: Name of the event.
    :param fields: All other fields that are shown.
    """

    place: str
    time_seconds: float
    event: str
    fields: dict[str, Any]


class LogLines(NamedTuple):
    """Result of reading logs.

    :param lines: Log lines, ordered by time.
    :param unreadable_count: Number of lines that could not be parsed.
    """

    lines: tuple[LogLine, ...]
    unreadable_count: int


def read_lines(paths: Iterable[str]) -> LogLines:
    """Read log files.

    :param paths: Paths of the files; ``-`` is standard input.
    :returns: The lines of all files, ordered by time.
    :raises CeleryturnError: ``bad_request`` if a file cannot be read.
    """
    lines = []
    unreadable_count = 0
    for path in paths:
        for text in _read_texts(path):
            line = _parse(path, text)
            if line is None:
                # A line without a JSON object does not come from an instance.
                unreadable_count += '{' in text
            else:
                lines.append(line)
    lines.sort(key=_get_time)
    return LogLines(tuple(lines), unreadable_count)


def select_request(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Select the lines of one request.

    :param lines: Log lines.
    :param request: Identifier of the request.
    :returns: The lines with this identifier.
    """
    return [line for line in lines if line.fields.get('request') == request]


def known_state_before(
    lines: Iterable[LogLine], request_line: LogLine
) -> list[LogLine]:
    """Select the state changes of an instance before a request was logged.

    :param lines: Log lines, ordered by time.
    :param request_line: Line of the request.
    :returns: The latest line of each state event of the same instance,
        ordered by time.
    """
    latest = {
        line.event: line
        for line in lines
        if line.event in _STATE_EVENTS
        and line.time_seconds <= request_line.time_seconds
        and _get_instance(line.place) == _get_instance(request_line.place)
    }
    return sorted(latest.values(), key=_get_time)


def count_causes(
    lines: Iterable[LogLine], since_seconds: float
) -> Counter[str]:
    """Count the causes of refused, failed, late and partial requests.

    :param lines: Log lines.
    :param since_seconds: Unix time; earlier lines are ignored.
    :returns: Number of occurrences of each cause.
    """
    counted: Counter[str] = Counter()
    for line in lines:
        if line.time_seconds >= since_seconds:
            counted.update(_find_causes(line))
    return counted


def format_lines(lines: Iterable[LogLine]) -> str:
    """Format log lines for reading.

    :param lines: Log lines.
    :returns: One paragraph per log line, with its legs (requests to one
        service each) and their attempts.
    """
    return '\n'.join(text for line in lines for text in _format_line(line))


def _get_time(line: LogLine) -> float:
    return line.time_seconds


def _read_texts(path: str) -> list[str]:
    try:
        raw = _read_bytes(path)
    except OSError as error:
        raise CeleryturnError(
            Kind.BAD_REQUEST, f'{path}: cannot be read: {error}'
        ) from error
    return raw.decode(errors='replace').splitlines()


def _read_bytes(path: str) -> bytes:
    if path == '-':
        return sys.stdin.buffer.read()
    return Path(path).read_bytes()


def _parse(path: str, text: str) -> LogLine | None:
    place, brace, rest = text.partition('{')
    if not brace:
        return None
    try:
        fields = msgspec.json.decode(f'{{{rest}', type=dict[str, Any])
    except UNREADABLE_ERRORS:
        return None
    event = fields.get(EVENT_FIELD)
    time_seconds = fields.get(TIME_FIELD)
    if not isinstance(event, str) or not isinstance(time_seconds, float):
        return None
    shown = {
        key: part for key, part in fields.items() if key not in _OMITTED_FIELDS
    }
    return LogLine(place.strip() or path, time_seconds, event, shown)


def _get_instance(place: str) -> str:
    # A log collector may put a time before the name of the instance.
    return place.split()[-1] if place.split() else place


def _find_causes(line: LogLine) -> Iterator[str]:
    if line.event == 'refused':
        yield f'refused: {line.fields.get("kind")}'
    if line.event != 'forwarded_badly':
        return
    route = line.fields.get('route')
    status = line.fields.get('status')
    legs = line.fields.get(LEGS_FIELD, ())
    failed = [
        f'{leg["service"]} {leg["outcome"]}'
        for leg in legs
        if leg['outcome'] != 'succeeded'
    ]
    missing = {
        f'late, {leg["lacking"]} for a second attempt'
        for leg in legs
        if leg.get('lacking')
    }
    for cause in failed or sorted(missing) or ('late',):
        yield f'{route}: {status}: {cause}'


def _format_line(line: LogLine) -> Iterator[str]:
    fields_text = ' '.join(
        f'{key}={part}'
        for key, part in line.fields.items()
        if key != LEGS_FIELD
    )
    yield f'{line.place} {line.event}: {fields_text}'
    for leg in line.fields.get(LEGS_FIELD, ()):
        missing = leg.get('lacking')
        suffix = f', {missing} for a second attempt' if missing else ''
        yield f'  {leg["service"]}: {leg["outcome"]}{suffix}'
        for attempt in leg['attempts']:
            yield f'    {_format_attempt(*attempt)}'


def _format_attempt(
    target: str, sent_ms: int, ended_ms: int | None, outcome: str
) -> str:
    ended = 'no reply' if ended_ms is None else f'{ended_ms} ms'
    return f'{target}: sent at {sent_ms} ms, {ended}, {outcome}'
