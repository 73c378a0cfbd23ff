"""Command-line tool for operators and callers: ``celeryturn``."""

import asyncio
import sys
import uuid
from collections.abc import Callable
from typing import Any, Final
from urllib.parse import urlencode

import msgspec
from fire import decorators

from celeryturn import log_analysis, tables
from celeryturn.client import send_request
from celeryturn.command_line import run_command_line
from celeryturn.commands.clear_request import CLEAR_PATH
from celeryturn.decisions.configuration.document import parse_document
from celeryturn.errors import CeleryturnError
from celeryturn.platform.node_settings import load_node_settings
from celeryturn.queries.explain_route import EXPLAIN_PATH
from celeryturn.settings import parse_settings
from celeryturn.settings_file import read_yaml

DEFAULT_ENDPOINT: Final = '127.0.0.1:7101'
DEFAULT_DEADLINE_SECONDS: Final = 2.0
DEFAULT_LIMIT_COUNT: Final = 100


def check(path: str, platform: bool = False) -> str:
    """Check a settings file or a configuration document, without a daemon.

    All faults are reported together, each with the path of its field.

    :param path: Path of a YAML or JSON file.
    :param platform: Check a settings file that the users' platform writes.
    """
    if platform:
        settings = load_node_settings(path)
        return f'{path}: valid settings of {settings.instance.instance}'
    raw = read_yaml(path)
    if isinstance(raw, dict) and 'service' in raw:
        published = parse_document(msgspec.json.encode(raw))
        document = published.document
        return (
            f'{path}: valid configuration of {document.service}, '
            f'version {document.version}'
        )
    own_settings = parse_settings(raw, path)
    return f'{path}: valid settings of {own_settings.instance}'


def search(
    service: str,
    text: str = '',
    limit: int = DEFAULT_LIMIT_COUNT,
    deadline_seconds: float = DEFAULT_DEADLINE_SECONDS,
    at: str = DEFAULT_ENDPOINT,
    json: bool = False,
) -> str:
    """Search all shards of a service.

    :param service: Name of the service.
    :param text: Text that records must contain.
    :param limit: Maximum number of records to return.
    :param deadline_seconds: Time limit of the request, in seconds.
    :param at: ADDRESS:PORT of an instance.
    :param json: Print the answer as JSON.
    """
    body = {
        'service': str(service),
        'text': str(text),
        'limit_count': limit,
        'deadline_seconds': deadline_seconds,
    }
    return _send_read(at, '/v1/search', body, json)


def quickcheck(
    service: str,
    site: str = '',
    deadline_seconds: float = DEFAULT_DEADLINE_SECONDS,
    at: str = DEFAULT_ENDPOINT,
    json: bool = False,
) -> str:
    """Find the next free place, at one site or at any site.

    :param service: Name of the service.
    :param site: Part of the key before the first slash; empty for any site.
    :param deadline_seconds: Time limit of the request, in seconds.
    :param at: ADDRESS:PORT of an instance.
    :param json: Print the answer as JSON.
    """
    body = {
        'service': str(service),
        'site': str(site),
        'deadline_seconds': deadline_seconds,
    }
    return _send_read(at, '/v1/quickcheck', body, json)


def record(
    service: str,
    key: str,
    deadline_seconds: float = DEFAULT_DEADLINE_SECONDS,
    at: str = DEFAULT_ENDPOINT,
    json: bool = False,
) -> str:
    """Read one record.

    :param service: Name of the service.
    :param key: Key of the record.
    :param deadline_seconds: Time limit of the request, in seconds.
    :param at: ADDRESS:PORT of an instance.
    :param json: Print the answer as JSON.
    """
    body = {
        'service': str(service),
        'key': str(key),
        'deadline_seconds': deadline_seconds,
    }
    return _send_read(at, '/v1/record', body, json)


def book(
    service: str,
    key: str,
    places: int = 1,
    booking_id: str = '',
    deadline_seconds: float = DEFAULT_DEADLINE_SECONDS,
    at: str = DEFAULT_ENDPOINT,
    json: bool = False,
) -> str:
    """Book places of one record, at most once.

    Exit code 6 means that it is unknown whether the booking was run.

    :param service: Name of the service.
    :param key: Key of the record.
    :param places: Number of places to book.
    :param booking_id: Identifier of the booking; a new UUID by default.
    :param deadline_seconds: Time limit of the request, in seconds.
    :param at: ADDRESS:PORT of an instance.
    :param json: Print the answer as JSON.
    """
    body = {
        'service': str(service),
        'key': str(key),
        'places_count': places,
        'booking_id': str(booking_id) or str(uuid.uuid4()),
        'deadline_seconds': deadline_seconds,
    }
    answer = _send(at, 'POST', '/v1/book', body)
    return _format_answer(answer, tables.booking_text, json)


def addresses(
    caller: str = '',
    zone: str = '',
    at: str = DEFAULT_ENDPOINT,
    json: bool = False,
) -> str:
    """Print the addresses that a caller should use.

    :param caller: Identifier of the caller; the same identifier gets the
        same addresses.
    :param zone: Availability zone of the caller.
    :param at: ADDRESS:PORT of any instance.
    :param json: Print the answer as JSON.
    """
    query = urlencode({'caller': str(caller), 'zone': str(zone)})
    answer = _send(at, 'GET', f'/v1/addresses?{query}')
    return _format_answer(answer, tables.advice_text, json)


def state(
    at: str = DEFAULT_ENDPOINT, all: bool = False, json: bool = False
) -> str:
    """Dump the state of one instance, or of all instances that it lists.

    :param at: ADDRESS:PORT of an instance.
    :param all: Dump every instance that this one does not list as gone.
    :param json: Print the dumps as JSON.
    """
    dumps = _fetch_states(at) if all else [_send(at, 'GET', '/v1/state')]
    return _format_answer(dumps, _states_text, json)


def clear(
    fingerprint: str, at: str = DEFAULT_ENDPOINT, json: bool = False
) -> str:
    """Let a request be sent again that was blocked, since targets ended.

    :param fingerprint: Fingerprint of the request, from its log lines.
    :param at: ADDRESS:PORT of the metrics of any instance; it tells the others.
    :param json: Print the answer as JSON.
    """
    url = f'{CLEAR_PATH}?fingerprint={fingerprint}'
    answer = _send(at, 'POST', url)
    return _format_answer(answer, tables.cleared_text, json)


def config(at: str = DEFAULT_ENDPOINT, json: bool = False) -> str:
    """Show the current configuration version of every instance.

    Instances with a version older than the newest are marked.

    :param at: ADDRESS:PORT of any instance.
    :param json: Print the versions by instance as JSON.
    """
    dumps = _fetch_states(at)
    if json:
        versions = {
            dump['instance']: {
                name: service['configuration_version']
                for name, service in dump['services'].items()
            }
            for dump in dumps
        }
        return _format_json(versions)
    return tables.versions_text(dumps)


def explain(
    service: str,
    kind: str = 'search',
    key: str = '',
    at: str = DEFAULT_ENDPOINT,
    json: bool = False,
) -> str:
    """Show which shards and replicas a query would use, and why.

    :param service: Name of the service.
    :param kind: search, quickcheck or record.
    :param key: Key of a record, or a site.
    :param at: ADDRESS:PORT of an instance.
    :param json: Print the plan as JSON.
    """
    query = urlencode({'service': service, 'kind': kind, 'key': str(key)})
    plan = _send(at, 'GET', f'/v1/explain?{query}')
    return _format_answer(plan, tables.explanation_text, json)


def explain_route(
    host: str, path: str, at: str = DEFAULT_ENDPOINT, json: bool = False
) -> str:
    """Show what would happen to a request of a published route, and why.

    :param host: Host that the caller names.
    :param path: Path of the request.
    :param at: ADDRESS:PORT of the metrics of an instance.
    :param json: Print the explanation as JSON.
    """
    query = urlencode({'host': str(host), 'path': str(path)})
    explanation = _send(at, 'GET', f'{EXPLAIN_PATH}?{query}')
    return _format_answer(explanation, tables.route_explanation_text, json)


def drain(at: str = DEFAULT_ENDPOINT) -> str:
    """Start a graceful shutdown of one instance.

    :param at: ADDRESS:PORT of the instance.
    """
    _send(at, 'POST', '/v1/drain')
    return f'{at} is shutting down; it serves until kept advice has expired'


def story(request: str, *files: str, json: bool = False) -> str:
    """Show the log lines of a request and the instance state before it.

    :param request: Identifier of the request.
    :param files: Log files of one or more instances; ``-`` is standard input.
    :param json: Print the lines as JSON.
    """
    logs = log_analysis.read_lines(files or ('-',))
    request_lines = log_analysis.select_request(logs.lines, str(request))
    if json:
        return _format_json([line._asdict() for line in request_lines])
    state_lines = (
        log_analysis.known_state_before(logs.lines, request_lines[-1])
        if request_lines
        else []
    )
    parts = [
        log_analysis.format_lines(state_lines),
        log_analysis.format_lines(request_lines),
    ]
    parts.append(
        f'{len(request_lines)} lines; {logs.unreadable_count} could not be read'
    )
    return '\n'.join(part for part in parts if part)


def why(*files: str, since: float = 0.0, json: bool = False) -> str:
    """Count the causes of failed, late and partial requests in logs.

    :param files: Log files of one or more instances; ``-`` is standard input.
    :param since: Unix time in seconds; earlier lines are ignored.
    :param json: Print the counts as JSON.
    """
    logs = log_analysis.read_lines(files or ('-',))
    counted = log_analysis.count_causes(logs.lines, since)
    if json:
        return _format_json(dict(counted))
    rows = [f'{count:6} {cause}' for cause, count in counted.most_common()]
    rows.append(f'{logs.unreadable_count} lines could not be read')
    return '\n'.join(rows)


def main() -> None:
    """Entry point of the command-line tool."""
    commands = (
        check,
        search,
        quickcheck,
        record,
        book,
        addresses,
        state,
        clear,
        config,
        explain,
        explain_route,
        drain,
        story,
        why,
    )
    # Keeps an identifier that looks like a number as text.
    decorators.SetParseFn(str, 'request')(story)
    decorators.SetParseFn(str, 'fingerprint')(clear)
    try:
        run_command_line(
            {command.__name__: command for command in commands}, 'celeryturn'
        )
    except CeleryturnError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(error.answer.exit_code)
    except KeyboardInterrupt:
        sys.exit(1)


def _send_read(at: str, url: str, body: object, as_json: bool) -> str:
    answer = _send(at, 'POST', url, body)
    return _format_answer(answer, tables.answer_text, as_json)


def _send(at: str, method: str, url: str, body: object = None) -> Any:
    return asyncio.run(send_request(at, method, url, body))


def _fetch_states(at: str) -> list[Any]:
    first = _send(at, 'GET', '/v1/state')
    dumps = []
    for member in first['members'].values():
        if member['status'] == 'gone':
            continue
        endpoint = f'{member["address"]}:{member["callers_port"]}'
        try:
            dumps.append(_send(endpoint, 'GET', '/v1/state'))
        except CeleryturnError as error:
            sys.stderr.write(f'{member["instance"]}: {error}\n')
    return dumps


def _states_text(dumps: list[Any]) -> str:
    return '\n\n\n'.join(tables.state_text(dump) for dump in dumps)


def _format_answer(
    answer: Any, render: Callable[[Any], str], as_json: bool
) -> str:
    return _format_json(answer) if as_json else render(answer)


def _format_json(answer: object) -> str:
    encoded = msgspec.json.encode(answer)
    return msgspec.json.format(encoded, indent=2).decode()


if __name__ == '__main__':
    main()
