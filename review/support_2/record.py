"""Record of what was sent, answered and run."""

import time
from pathlib import Path
from typing import NamedTuple


class Event(NamedTuple):
    """One line of the record.

    :param at_seconds: Time since the start of the case.
    :param kind: What happened.
    :param details: Of which request, where, and with which outcome.
    """

    at_seconds: float
    kind: str
    details: tuple[object, ...]


class Record:
    """Events of one case in the order in which they happened.

    :param events: The events.
    """

    def __init__(self) -> None:
        self.events: list[Event] = []
        self._started_seconds = time.monotonic()

    def now(self) -> float:
        """Return the time since the start of the case in seconds."""
        return time.monotonic() - self._started_seconds

    def add(self, kind: str, *details: object) -> None:
        """Add an event.

        :param kind: What happened.
        :param details: Of which request, where, and with which outcome.
        """
        self.events.append(Event(self.now(), kind, details))

    def write(self, path: Path) -> None:
        """Write all events, one a line.

        :param path: File to write.
        """
        lines = [
            f'{event.at_seconds:9.3f} s  {event.kind}  '
            + '  '.join(map(str, event.details))
            for event in self.events
        ]
        path.write_text('\n'.join((*lines, '')))
