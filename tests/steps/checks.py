"""Steps on the checks that the project runs on its own code."""

import tempfile
from pathlib import Path

from behave import then, when
from behave.runner import Context

from celeryturn.errors import ANSWERS, Kind
from celeryturn.events import all_events
from tools import boundary, catalogue, purity


@then('docs/ERRORS.md and docs/EVENTS.md are up to date')
def expect_current(context: Context) -> None:
    """Check that the pages match the code."""
    assert not catalogue.find_outdated_pages(), catalogue.find_outdated_pages()


@when('a line is missing from the table of a page')
def drop_line(context: Context) -> None:
    """Remove one line from the table of a page."""
    text = catalogue.EVENTS_PAGE.read_text(encoding='utf-8')
    line = next(line for line in text.splitlines() if 'CT100' in line)
    context.page = text.replace(f'{line}\n', '')


@then('the page does not match the code')
def expect_outdated(context: Context) -> None:
    """Check that the difference is detected."""
    table = catalogue.render_events_table()
    assert catalogue.replace_table(context.page, table) != context.page


@then('each kind of error has an answer with a code of its own')
def expect_codes(context: Context) -> None:
    """Check that every kind has one row and that all codes differ."""
    assert set(ANSWERS) == set(Kind)
    codes = [answer.code for answer in ANSWERS.values()]
    assert len(set(codes)) == len(codes), codes


@then('each event has a number of its own')
def expect_numbers(context: Context) -> None:
    """Check that all event numbers differ."""
    numbers = [event.number for event in all_events()]
    assert len(set(numbers)) == len(numbers), numbers


@then('the package passes the check of names')
def expect_bounded(context: Context) -> None:
    """Check that no fault is found."""
    found = list(boundary.find_violations(boundary.PACKAGE))
    assert not found, found


@then('the folder of the platform is under a tenth of the package')
def expect_small(context: Context) -> None:
    """Check the size of the folder in relation to the package."""
    size = boundary.adapter_fraction(boundary.PACKAGE)
    assert size <= boundary.MAX_ADAPTER_FRACTION, size


@when('a module has the line "{line}"')
def write_module(context: Context, line: str) -> None:
    """Write a module that is outside the folder of the platform."""
    context.folder = tempfile.mkdtemp()
    path = Path(context.folder) / 'module.py'
    path.write_text(f'{line}\n', encoding='utf-8')


@then('the check of names reports it')
def expect_named(context: Context) -> None:
    """Check that one fault is found."""
    found = list(boundary.find_violations(Path(context.folder)))
    assert len(found) == 1, found


@then('the decisions pass the import check')
def expect_pure(context: Context) -> None:
    """Check that no fault is found."""
    found = list(purity.find_violations(Path('celeryturn/decisions')))
    assert not found, found


@when('a decision has the line "{line}"')
def write_decision(context: Context, line: str) -> None:
    """Write a module with a line that imports something."""
    context.folder = tempfile.mkdtemp()
    path = Path(context.folder) / 'decision.py'
    path.write_text(f'{line}\n', encoding='utf-8')


@then('the import check reports it')
def expect_impure(context: Context) -> None:
    """Check that one fault is found."""
    found = list(purity.find_violations(Path(context.folder)))
    assert len(found) == 1, found
