"""Numbered log events; docs/EVENTS.md contains the same catalogue."""

import sys
from typing import Final, NamedTuple, TextIO

import eliot

from celeryturn.log_stream import LogStream


class Event(NamedTuple):
    """One kind of log line.

    :param number: Stable number, never reused with another meaning.
    :param name: Short name.
    :param meaning: Description of what happened, for the catalogue.
    """

    number: int
    name: str
    meaning: str


STARTED: Final = Event(100, 'started', 'The instance is listening.')
READY: Final = Event(
    101, 'ready', 'The instance is configured and serves requests.'
)
LEAVING: Final = Event(102, 'leaving', 'A graceful shutdown has begun.')
STOPPED: Final = Event(
    103, 'stopped', 'The instance has stopped and closed everything.'
)
START_FAILED: Final = Event(
    104, 'start_failed', 'The instance could not start; nothing was started.'
)
RELOADED: Final = Event(105, 'reloaded', 'The settings file was read again.')
ADOPTED: Final = Event(200, 'adopted', 'A published configuration was adopted.')
NOT_ADOPTED: Final = Event(
    201, 'not_adopted', 'A published configuration was refused.'
)
CONFIGURATION_LOST: Final = Event(
    202, 'configuration_lost', 'The configuration service does not respond.'
)
CONFIGURATION_STALE: Final = Event(
    203,
    'configuration_stale',
    'The configuration service returned an outdated revision.',
)
LIST_LOST: Final = Event(
    204, 'list_lost', 'The list of instances cannot be read.'
)
STORE_LOST: Final = Event(
    205, 'store_lost', 'The store of the platform does not respond.'
)
STORE_BACK: Final = Event(
    206, 'store_back', 'The store of the platform responds again.'
)
TABLE_ADOPTED: Final = Event(
    207, 'table_adopted', 'A published version of the routes was adopted.'
)
ENTRY_UNUSABLE: Final = Event(
    208,
    'entry_unusable',
    'An entry of the list does not describe a usable target.',
)
TARGETS_FROM_PEER: Final = Event(
    209,
    'targets_from_peer',
    'A peer supplied targets while the store did not.',
)
STORE_RESTORED: Final = Event(
    210,
    'store_restored',
    'The store was restored from a copy, and all of it was read again.',
)
INSTANCE_ENTRY_UNUSABLE: Final = Event(
    211,
    'instance_entry_unusable',
    'An entry of the list of instances cannot be decoded and is passed over.',
)
CHANGES_TOO_LARGE: Final = Event(
    212,
    'changes_too_large',
    'The changes since a revision exceed a response; all keys are read again.',
)
MEMBER_CHANGED: Final = Event(
    300, 'member_changed', 'The known state of an instance changed.'
)
PEER_REFUSED: Final = Event(
    301, 'peer_refused', 'A message from a peer was rejected.'
)
MEMBERS_CHANGED: Final = Event(
    302,
    'members_changed',
    'The known state of many instances changed at once.',
)
REFUSED: Final = Event(400, 'refused', 'A request was refused.')
BOOKING_ENDED: Final = Event(401, 'booking_ended', 'A booking has an outcome.')
FORWARDED_BADLY: Final = Event(
    402,
    'forwarded_badly',
    'A forwarded request failed, was late or is missing parts.',
)
FORWARDED: Final = Event(
    403, 'forwarded', 'A forwarded request succeeded; only a sample is logged.'
)
HEADER_IGNORED: Final = Event(
    404,
    'header_ignored',
    'A header of a caller or a target holds no valid number and was ignored.',
)
HEADER_UNKNOWN: Final = Event(
    405,
    'header_unknown',
    'A target sends a header that this build does not know; logged once.',
)
HANDED_OVER: Final = Event(
    406,
    'handed_over',
    'A peer served a request, since no target could be reached.',
)
LINES_DROPPED: Final = Event(
    901,
    'lines_dropped',
    'Log lines were dropped because the line budget was used up.',
)
REQUEST_STANDING: Final = Event(
    407,
    'request_standing',
    'A request became suspect, blocked or clear, by the targets that ended'
    ' while they ran it.',
)
TARGET_LEAVING: Final = Event(
    500, 'target_leaving', 'A target is leaving and receives no new requests.'
)
TARGET_RETURNED: Final = Event(
    501, 'target_returned', 'A target that was leaving is back in service.'
)
TARGET_RATE: Final = Event(
    502,
    'target_rate',
    'A target states how many requests a second it takes, or no longer does.',
)
TARGETS_SILENT: Final = Event(
    503,
    'targets_silent',
    'Most targets do not respond to this instance, all at the same time.',
)
TARGETS_HEARD: Final = Event(
    504, 'targets_heard', 'Targets respond to this instance again.'
)
LINKS_LOST: Final = Event(
    505,
    'links_lost',
    'No target can be reached; peers are asked to serve requests.',
)
LINKS_RESTORED: Final = Event(
    506, 'links_restored', 'Targets can be reached again.'
)
TARGET_ENDED: Final = Event(
    507, 'target_ended', 'A target ended while it ran requests.'
)
ZONE_EVACUATED: Final = Event(
    508,
    'zone_evacuated',
    'The targets of a zone receive no requests until its evacuation ends.',
)
ZONE_RETURNED: Final = Event(
    509,
    'zone_returned',
    'The evacuation of a zone has ended; its targets receive requests.',
)
TARGET_COLD: Final = Event(
    510,
    'target_cold',
    'A target in use became cold; it gets few requests until it is warm.',
)
TARGET_RESTARTED: Final = Event(
    511,
    'target_restarted',
    'A target started again; what was known of its earlier start is discarded.',
)
TARGET_REPORTED: Final = Event(
    513,
    'target_reported',
    'Several instances report a target as silent, lossy or slow.',
)
TARGET_SOUND: Final = Event(
    514, 'target_sound', 'The reports on a target do not count any more.'
)
INTERNAL_FAULT: Final = Event(
    900, 'internal_fault', 'An unexpected error in the program; report it.'
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
    STORE_RESTORED,
    INSTANCE_ENTRY_UNUSABLE,
    CHANGES_TOO_LARGE,
    MEMBER_CHANGED,
    PEER_REFUSED,
    MEMBERS_CHANGED,
    REFUSED,
    BOOKING_ENDED,
    FORWARDED_BADLY,
    FORWARDED,
    HEADER_IGNORED,
    HEADER_UNKNOWN,
    HANDED_OVER,
    REQUEST_STANDING,
    TARGET_LEAVING,
    TARGET_RETURNED,
    TARGET_RATE,
    TARGETS_SILENT,
    TARGETS_HEARD,
    LINKS_LOST,
    LINKS_RESTORED,
    TARGET_ENDED,
    ZONE_EVACUATED,
    ZONE_RETURNED,
    TARGET_COLD,
    TARGET_RESTARTED,
    TARGET_REPORTED,
    TARGET_SOUND,
    INTERNAL_FAULT,
    LINES_DROPPED,
)


def all_events() -> list[Event]:
    """List all events of the catalogue.

    :returns: Every event, sorted by number.
    """
    return sorted(_CATALOGUE)


def log(event: Event, **fields: object) -> None:
    """Log one event.

    :param event: The event.
    :param fields: Further fields of the log line, by name.
    """
    eliot.log_message(
        message_type=f'CT{event.number}', event=event.name, **fields
    )


def log_to(stream: TextIO | LogStream = sys.stderr) -> None:
    """Write events to a stream, one JSON object per line.

    :param stream: An open text stream, or a :class:`LogStream`.
    """
    eliot.to_file(stream)
