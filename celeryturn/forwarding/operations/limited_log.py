"""Log lines whose number is limited."""

from typing import Final

from celeryturn.decisions.load.line_budget import may_write, take_dropped_count
from celeryturn.events import (
    HEADER_IGNORED,
    HEADER_UNKNOWN,
    LINES_DROPPED,
    log,
)
from celeryturn.forwarding.shared_state import (
    MAX_UNKNOWN_HEADERS,
    SharedState,
    now,
)

MAX_LOGGED_CHARACTERS: Final = 40


def may_log(shared: SharedState, *, is_important: bool) -> bool:
    """Take a token for one log line.

    :param shared: Shared state of the instance.
    :param is_important: Whether the line reports a failure.
    :returns: Whether the line may be written.
    """
    return may_write(
        shared.log_state.line_budget,
        now(),
        is_important=is_important,
    )


def log_dropped_lines(shared: SharedState) -> None:
    """Log the number of dropped log lines, if any were dropped.

    :param shared: Shared state of the instance.
    """
    dropped_count = take_dropped_count(shared.log_state.line_budget)
    if dropped_count:
        log(LINES_DROPPED, count=dropped_count)


def log_ignored_header(
    shared: SharedState, sender: str, text: str | None
) -> None:
    """Count and log a header that was ignored, if there is one.

    :param shared: Shared state of the instance.
    :param sender: Attempt identifier of the caller's request, or identifier
        of the target.
    :param text: Text of the header, of which the start is logged; ``None`` if
        there is no such header.
    """
    if text is None:
        return
    shared.log_state.ignored_header_count += 1
    if may_log(shared, is_important=True):
        log(HEADER_IGNORED, sender=sender, text=text[:MAX_LOGGED_CHARACTERS])


def log_unknown_headers(
    shared: SharedState, sender: str, names: set[str]
) -> None:
    """Log headers that this build does not know, each name once.

    :param shared: Shared state of the instance.
    :param sender: Identifier of the target.
    :param names: Names of the headers of a reply.
    """
    known = shared.log_state.unknown_headers
    for name in sorted(names - known):
        if len(known) < MAX_UNKNOWN_HEADERS:
            known.add(name)
            log(
                HEADER_UNKNOWN, sender=sender, name=name[:MAX_LOGGED_CHARACTERS]
            )
