"""Generate the tables of docs/ERRORS.md and docs/EVENTS.md from the code."""

import sys
from pathlib import Path
from typing import Final

from celeryturn.errors import ANSWERS
from celeryturn.events import all_events

TABLE_BEGIN: Final = '<!-- table begins -->'
TABLE_END: Final = '<!-- table ends -->'
ERRORS_PAGE: Final = Path('docs/ERRORS.md')
EVENTS_PAGE: Final = Path('docs/EVENTS.md')


def render_errors_table() -> str:
    """Render the table of error kinds and their answers.

    :returns: A Markdown table.
    """
    lines = [
        '| code | kind | status | run | exit code | retry after | advice |',
        '|---|---|---|---|---|---|---|',
    ]
    for kind, answer in ANSWERS.items():
        retry_after = f'{answer.retry_after_seconds:g} s'
        cells = (
            answer.code,
            f'`{kind}`',
            str(answer.status),
            f'`{answer.run}`',
            str(answer.exit_code),
            retry_after if answer.retry_after_seconds else 'no use',
            answer.advice,
        )
        lines.append(f'| {" | ".join(cells)} |')
    return '\n'.join(lines)


def render_events_table() -> str:
    """Render the table of log events.

    :returns: A Markdown table.
    """
    lines = ['| number | name | meaning |', '|---|---|---|']
    for event in all_events():
        lines.append(f'| CT{event.number} | `{event.name}` | {event.meaning} |')
    return '\n'.join(lines)


def replace_table(text: str, table: str) -> str:
    """Replace the table of a page.

    :param text: Text of the page, with the markers around its table.
    :param table: The new table.
    :returns: Text of the page with the new table.
    """
    before, _, rest = text.partition(TABLE_BEGIN)
    _, _, after = rest.partition(TABLE_END)
    return f'{before}{TABLE_BEGIN}\n{table}\n{TABLE_END}{after}'


def find_outdated_pages() -> list[Path]:
    """Find the pages whose table differs from the generated one.

    :returns: Paths of these pages.
    """
    return [
        page
        for page, table in _page_tables()
        if page.read_text(encoding='utf-8') != _render_page(page, table)
    ]


def main() -> None:
    """Update both pages in place."""
    for page, table in _page_tables():
        page.write_text(_render_page(page, table), encoding='utf-8')
        sys.stdout.write(f'{page} written\n')


def _page_tables() -> list[tuple[Path, str]]:
    return [
        (ERRORS_PAGE, render_errors_table()),
        (EVENTS_PAGE, render_events_table()),
    ]


def _render_page(page: Path, table: str) -> str:
    return replace_table(page.read_text(encoding='utf-8'), table)


if __name__ == '__main__':
    main()
