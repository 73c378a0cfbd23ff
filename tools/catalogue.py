"""Write the tables of docs/ERRORS.md and docs/EVENTS.md from the code."""

import sys
from pathlib import Path
from typing import Final

from celeryturn.errors import ANSWERS
from celeryturn.events import all_events

BEGIN: Final = '<!-- table begins -->'
END: Final = '<!-- table ends -->'
ERRORS: Final = Path('docs/ERRORS.md')
EVENTS: Final = Path('docs/EVENTS.md')


def errors_table() -> str:
    """Render the table from kinds to answers.

    :returns: A Markdown table.
    """
    lines = [
        '| code | kind | status | run | exit code | retry after | advice |',
        '|---|---|---|---|---|---|---|',
    ]
    for kind, answer in ANSWERS.items():
        retry = f'{answer.retry_after_seconds:g} s'
        cells = (
            answer.code,
            f'`{kind}`',
            str(answer.status),
            f'`{answer.run}`',
            str(answer.exit_code),
            retry if answer.retry_after_seconds else 'no use',
            answer.advice,
        )
        lines.append(f'| {" | ".join(cells)} |')
    return '\n'.join(lines)


def events_table() -> str:
    """Render the catalogue of log events.

    :returns: A Markdown table.
    """
    lines = ['| number | name | meaning |', '|---|---|---|']
    for event in all_events():
        lines.append(f'| CT{event.number} | `{event.name}` | {event.meaning} |')
    return '\n'.join(lines)


def with_table(text: str, table: str) -> str:
    """Replace the table of a page.

    :param text: The page.
    :param table: The table it is to have.
    :returns: The page with that table.
    """
    before, _, rest = text.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f'{before}{BEGIN}\n{table}\n{END}{after}'


def outdated() -> list[Path]:
    """Find pages whose table is not what the code says.

    :returns: Their paths.
    """
    return [
        page
        for page, table in _pages()
        if page.read_text(encoding='utf-8') != _expected(page, table)
    ]


def main() -> None:
    """Write both pages."""
    for page, table in _pages():
        page.write_text(_expected(page, table), encoding='utf-8')
        sys.stdout.write(f'{page} written\n')


def _pages() -> list[tuple[Path, str]]:
    return [(ERRORS, errors_table()), (EVENTS, events_table())]


def _expected(page: Path, table: str) -> str:
    return with_table(page.read_text(encoding='utf-8'), table)


if __name__ == '__main__':
    main()
