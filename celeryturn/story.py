"""What logs tell of one request, or of all that went wrong."""

import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec

from celeryturn.errors import CeleryturnError, Kind

EVENT_FIELD: Final = 'event'
TIME_FIELD: Final = 'timestamp'
LEGS: Final = 'legs'
_HIDDEN: Final = frozenset(
    (EVENT_FIELD, TIME_FIELD, 'task_uuid', 'task_level', 'message_type')
)
_BELIEFS: Final = frozenset(
    ('table_adopted', 'store_lost', 'store_back', 'started', 'leaving')
)


class Line(NamedTuple):
    """One log line.

    :param place: What stood before it on its line: a time and an instance,
        where a collector put them there; otherwise the file.
    :param time_seconds: Unix time by the clock of its instance.
    :param event: Name of the event.
    :param fields: Everything else it says.
    """

    place: str
    time_seconds: float
    event: str
    fields: dict[str, Any]


class Lines(NamedTuple):
    """What was read.

    :param lines: Log lines, in order of time.
    :param broken_count: Lines that could not be read.
    """

    lines: tuple[Line, ...]
    broken_count: int


def read_lines(paths: Iterable[str]) -> Lines:
    """Read logs.

    :param paths: Files; ``-`` is standard input.
    :returns: Their lines.
    :raises CeleryturnError: ``bad_request`` when a file cannot be read.
    """
    lines = []
    broken_count = 0
    for path in paths:
        for text in _texts(path):
            line = _parse(path, text)
            if line is None:
                # What is no object at all is not from an instance.
                broken_count += '{' in text
            else:
                lines.append(line)
    lines.sort(key=_time)
    return Lines(tuple(lines), broken_count)


def of_request(lines: Iterable[Line], request: str) -> list[Line]:
    """Choose the lines on one request.

    :param lines: Log lines.
    :param request: Identifier of the request.
    :returns: Those that name it.
    """
    return [line for line in lines if line.fields.get('request') == request]


def beliefs_before(lines: Iterable[Line], told: Line) -> list[Line]:
    """Choose what an instance had learnt when it handled a request.

    :param lines: Log lines, in order of time.
    :param told: The line on the request.
    :returns: The latest of each kind, of the same instance.
    """
    latest = {
        line.event: line
        for line in lines
        if line.event in _BELIEFS
        and line.time_seconds <= told.time_seconds
        and _instance(line.place) == _instance(told.place)
    }
    return sorted(latest.values(), key=_time)


def causes(lines: Iterable[Line], since_seconds: float) -> Counter[str]:
    """Count why requests went wrong.

    :param lines: Log lines.
    :param since_seconds: Earlier lines are left out.
    :returns: How often each cause was told.
    """
    counted: Counter[str] = Counter()
    for line in lines:
        if line.time_seconds >= since_seconds:
            counted.update(_causes_of(line))
    return counted


def tell(lines: Iterable[Line]) -> str:
    """Write lines for a person.

    :param lines: Log lines.
    :returns: A paragraph each.
    """
    return '\n'.join(text for line in lines for text in _paragraph(line))


def _time(line: Line) -> float:
    return line.time_seconds


def _texts(path: str) -> list[str]:
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


def _parse(path: str, text: str) -> Line | None:
    place, brace, rest = text.partition('{')
    if not brace:
        return None
    try:
        fields = msgspec.json.decode(f'{{{rest}', type=dict[str, Any])
    except msgspec.DecodeError:
        return None
    event = fields.get(EVENT_FIELD)
    time_seconds = fields.get(TIME_FIELD)
    if not isinstance(event, str) or not isinstance(time_seconds, float):
        return None
    shown = {key: part for key, part in fields.items() if key not in _HIDDEN}
    return Line(place.strip() or path, time_seconds, event, shown)


def _instance(place: str) -> str:
    # A collector may put a time before the name of the instance.
    return place.split()[-1] if place.split() else place


def _causes_of(line: Line) -> Iterator[str]:
    if line.event == 'refused':
        yield f'refused: {line.fields.get("kind")}'
    if line.event != 'forwarded_badly':
        return
    route = line.fields.get('route')
    status = line.fields.get('status')
    legs = line.fields.get(LEGS, ())
    failed = [
        f'{leg["service"]} {leg["outcome"]}'
        for leg in legs
        if leg['outcome'] != 'succeeded'
    ]
    lacking = {
        f'late, {leg["lacking"]} for a second attempt'
        for leg in legs
        if leg.get('lacking')
    }
    for cause in failed or sorted(lacking) or ('late',):
        yield f'{route}: {status}: {cause}'


def _paragraph(line: Line) -> Iterator[str]:
    said = ' '.join(
        f'{key}={part}' for key, part in line.fields.items() if key != LEGS
    )
    yield f'{line.place} {line.event}: {said}'
    for leg in line.fields.get(LEGS, ()):
        lacking = leg.get('lacking')
        more = f', {lacking} for a second attempt' if lacking else ''
        yield f'  {leg["service"]}: {leg["outcome"]}{more}'
        for attempt in leg['attempts']:
            yield f'    {_attempt(*attempt)}'


def _attempt(
    target: str, sent_ms: int, ended_ms: int | None, outcome: str
) -> str:
    ended = 'no reply' if ended_ms is None else f'{ended_ms} ms'
    return f'{target}: sent at {sent_ms} ms, {ended}, {outcome}'
