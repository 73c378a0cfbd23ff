"""Numbered log events; the catalogue in docs/EVENTS.md lists the same."""

import sys
from typing import Final, NamedTuple, TextIO

import eliot

from celeryturn.log_stream import LogStream


class Event(NamedTuple):
    """One kind of log line.

    :param number: Stable number; never used again for another meaning.
    :param name: Short name.
    :param meaning: What happened, for the catalogue.
    """

    number: int
    name: str
    meaning: str


STARTED: Final = Event(100, 'started', 'The instance listens.')
READY: Final = Event(101, 'ready', 'Configuration is in force; it serves.')
LEAVING: Final = Event(102, 'leaving', 'A graceful shutdown began.')
STOPPED: Final = Event(103, 'stopped', 'Everything is closed.')
START_FAILED: Final = Event(104, 'start_failed', 'Nothing was started.')
RELOADED: Final = Event(105, 'reloaded', 'The settings file was read again.')
ADOPTED: Final = Event(200, 'adopted', 'A configuration is in force.')
NOT_ADOPTED: Final = Event(
    201, 'not_adopted', 'A published configuration was refused.'
)
CONFIGURATION_LOST: Final = Event(
    202, 'configuration_lost', 'The configuration service does not answer.'
)
CONFIGURATION_STALE: Final = Event(
    203, 'configuration_stale', 'The service shows an older revision.'
)
LIST_LOST: Final = Event(
    204, 'list_lost', 'The list of instances cannot be read.'
)
STORE_LOST: Final = Event(
    205, 'store_lost', 'The store of the platform does not answer.'
)
STORE_BACK: Final = Event(
    206, 'store_back', 'The store of the platform answers again.'
)
TABLE_ADOPTED: Final = Event(
    207, 'table_adopted', 'A version of the routes is in force.'
)
ENTRY_UNUSABLE: Final = Event(
    208, 'entry_unusable', 'An entry of the list names no target to use.'
)
TARGETS_FROM_PEER: Final = Event(
    209,
    'targets_from_peer',
    'A peer told of targets while the store did not.',
)
MEMBER_CHANGED: Final = Event(
    300, 'member_changed', 'The belief about an instance changed.'
)
PEER_REFUSED: Final = Event(
    301, 'peer_refused', 'A message of a peer was not understood.'
)
REFUSED: Final = Event(400, 'refused', 'A request was refused.')
BOOKING_ENDED: Final = Event(401, 'booking_ended', 'A booking has an outcome.')
FORWARDED_BADLY: Final = Event(
    402,
    'forwarded_badly',
    'A forwarded request failed, was late or lacks parts.',
)
FORWARDED: Final = Event(
    403, 'forwarded', 'A forwarded request went well; one in many is told.'
)
LINES_DROPPED: Final = Event(
    901, 'lines_dropped', 'More lines were due than may be written.'
)
TARGET_LEAVING: Final = Event(
    500, 'target_leaving', 'A target gets nothing new.'
)
TARGET_RETURNED: Final = Event(
    501, 'target_returned', 'A target that was leaving serves again.'
)
INTERNAL_FAULT: Final = Event(
    900, 'internal_fault', 'A fault of this program; report it.'
)


_CATALOGUE: Final = (
    STARTED,
    READY,
    LEAVING,
    STOPPED,
    START_FAILED,
    RELOADED,
    ADOPTED,
    NOT_ADOPTED,
    CONFIGURATION_LOST,
    CONFIGURATION_STALE,
    LIST_LOST,
    STORE_LOST,
    STORE_BACK,
    TABLE_ADOPTED,
    ENTRY_UNUSABLE,
    TARGETS_FROM_PEER,
    MEMBER_CHANGED,
    PEER_REFUSED,
    REFUSED,
    BOOKING_ENDED,
    FORWARDED_BADLY,
    FORWARDED,
    TARGET_LEAVING,
    TARGET_RETURNED,
    INTERNAL_FAULT,
    LINES_DROPPED,
)


def all_events() -> list[Event]:
    """List the catalogue.

    :returns: Every event, by number.
    """
    return sorted(_CATALOGUE)


def log(event: Event, **fields: object) -> None:
    """Write one event.

    :param event: Which.
    :param fields: What else is known, by name.
    """
    eliot.log_message(
        message_type=f'CT{event.number}', event=event.name, **fields
    )


def log_to(stream: TextIO | LogStream = sys.stderr) -> None:
    """Send events to a stream, one JSON object a line.

    :param stream: An open text stream.
    """
    eliot.to_file(stream)
