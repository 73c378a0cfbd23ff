"""Error kinds, and the one table from a kind to its answer.

Every refusal of the system is a :class:`CeleryturnError` of one of the
kinds listed here.  Nothing outside this module decides on a status, an exit
code, or on what is said about whether a request was run.
"""

import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, NamedTuple


class Run(enum.StrEnum):
    """What is known about whether a refused request was run."""

    RUN = 'run'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class Kind(enum.StrEnum):
    """The closed list of error kinds."""

    BAD_REQUEST = 'bad_request'
    UNKNOWN_PATH = 'unknown_path'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_SHARD = 'unknown_shard'
    TOO_LARGE = 'too_large'
    SLOW_REQUEST = 'slow_request'
    DEADLINE_PASSED = 'deadline_passed'
    OVERLOADED = 'overloaded'
    NO_ROUTE = 'no_route'
    NO_TARGET = 'no_target'
    LEAVING = 'leaving'
    REPLY_LOST = 'reply_lost'
    COVERAGE_TOO_LOW = 'coverage_too_low'
    TIMED_OUT = 'timed_out'
    NOT_CONFIGURED = 'not_configured'
    HOME_HELD = 'home_held'
    NO_HOME = 'no_home'
    STALE_CONFIGURATION = 'stale_configuration'
    TARGET_UNAVAILABLE = 'target_unavailable'
    DUPLICATE_BOOKING = 'duplicate_booking'
    BOOKING_UNSETTLED = 'booking_unsettled'
    BOOKING_REFUSED = 'booking_refused'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    NOT_FOUND = 'not_found'
    RECORD_UNREACHABLE = 'record_unreachable'
    PEER_PROTOCOL = 'peer_protocol'
    PEER_TOO_LARGE = 'peer_too_large'
    INVALID_SETTINGS = 'invalid_settings'
    INVALID_CONFIGURATION = 'invalid_configuration'
    OLDER_CONFIGURATION = 'older_configuration'
    UNREACHABLE = 'unreachable'
    INTERNAL = 'internal'


class Answer(NamedTuple):
    """What a kind becomes at the interfaces.

    :param code: Stable code, shown in answers, logs and documents.
    :param status: HTTP status.
    :param run: What is known about whether the request was run.
    :param exit_code: Exit code of the command-line tool.
    :param retry_after_seconds: When asking again makes sense; zero where
        the same request cannot succeed.
    :param advice: What to do about it, one sentence.
    """

    code: str
    status: int
    run: Run
    exit_code: int
    retry_after_seconds: float
    advice: str


_NOT_RUN: Final = Run.NOT_RUN

ANSWERS: Final[Mapping[Kind, Answer]] = MappingProxyType(
    {
        Kind.BAD_REQUEST: Answer(
            'CT-101', 400, _NOT_RUN, 2, 0, 'Correct the fields that are named.'
        ),
        Kind.UNKNOWN_PATH: Answer(
            'CT-102', 404, _NOT_RUN, 2, 0, 'See docs/CALLERS.md for the paths.'
        ),
        Kind.UNKNOWN_SERVICE: Answer(
            'CT-103',
            404,
            _NOT_RUN,
            3,
            0,
            'Ask for a service that is published.',
        ),
        Kind.UNKNOWN_SHARD: Answer(
            'CT-104',
            404,
            _NOT_RUN,
            3,
            0,
            'Ask for a shard of the index in force.',
        ),
        Kind.TOO_LARGE: Answer(
            'CT-105', 413, _NOT_RUN, 2, 0, 'Send a smaller request.'
        ),
        Kind.SLOW_REQUEST: Answer(
            'CT-106', 408, _NOT_RUN, 4, 1, 'Send the request in one go.'
        ),
        Kind.DEADLINE_PASSED: Answer(
            'CT-201', 504, _NOT_RUN, 4, 1, 'Allow more time.'
        ),
        Kind.OVERLOADED: Answer(
            'CT-202', 503, _NOT_RUN, 4, 1, 'Try again after the stated time.'
        ),
        Kind.NOT_CONFIGURED: Answer(
            'CT-203', 503, _NOT_RUN, 4, 2, 'Wait for the first configuration.'
        ),
        Kind.NO_ROUTE: Answer(
            'CT-204', 404, _NOT_RUN, 3, 0, 'Ask for a route that is published.'
        ),
        Kind.NO_TARGET: Answer(
            'CT-205', 503, _NOT_RUN, 4, 0.2, 'Try again when a target is back.'
        ),
        Kind.LEAVING: Answer(
            'CT-206', 503, _NOT_RUN, 4, 0.01, 'Ask another address.'
        ),
        Kind.REPLY_LOST: Answer(
            'CT-207', 502, Run.UNKNOWN, 6, 0, 'Repeat it only if idempotent.'
        ),
        Kind.COVERAGE_TOO_LOW: Answer(
            'CT-208', 502, Run.UNKNOWN, 6, 0, 'Ask again; some shards failed.'
        ),
        Kind.TIMED_OUT: Answer(
            'CT-209', 504, Run.UNKNOWN, 6, 0, 'Allow more time.'
        ),
        Kind.HOME_HELD: Answer(
            'CT-301', 503, _NOT_RUN, 4, 5, 'Try again when the home has moved.'
        ),
        Kind.NO_HOME: Answer(
            'CT-302', 503, _NOT_RUN, 4, 5, 'Publish a home for the shard.'
        ),
        Kind.STALE_CONFIGURATION: Answer(
            'CT-303', 503, _NOT_RUN, 4, 2, 'Ask another address, or later.'
        ),
        Kind.TARGET_UNAVAILABLE: Answer(
            'CT-304', 503, _NOT_RUN, 4, 1, 'Try again after the stated time.'
        ),
        Kind.DUPLICATE_BOOKING: Answer(
            'CT-305',
            409,
            Run.RUN,
            5,
            0,
            'Take the earlier outcome; do not retry.',
        ),
        Kind.BOOKING_UNSETTLED: Answer(
            'CT-310', 409, Run.UNKNOWN, 6, 1, 'Read the record before retrying.'
        ),
        Kind.BOOKING_REFUSED: Answer(
            'CT-306',
            409,
            Run.RUN,
            5,
            0,
            'Choose another place; this one is taken.',
        ),
        Kind.OUTCOME_UNKNOWN: Answer(
            'CT-307',
            504,
            Run.UNKNOWN,
            6,
            0,
            'Read the record before booking again.',
        ),
        Kind.NOT_FOUND: Answer(
            'CT-308', 404, Run.RUN, 3, 0, 'Check the key of the record.'
        ),
        Kind.RECORD_UNREACHABLE: Answer(
            'CT-309', 503, Run.UNKNOWN, 4, 1, 'Ask again; a read has no effect.'
        ),
        Kind.PEER_PROTOCOL: Answer(
            'CT-401', 400, _NOT_RUN, 2, 0, 'Run one version at every instance.'
        ),
        Kind.PEER_TOO_LARGE: Answer(
            'CT-402', 413, _NOT_RUN, 2, 0, 'Run one version at every instance.'
        ),
        Kind.INVALID_SETTINGS: Answer(
            'CT-501', 400, _NOT_RUN, 2, 0, 'Correct the settings file.'
        ),
        Kind.INVALID_CONFIGURATION: Answer(
            'CT-502', 400, _NOT_RUN, 2, 0, 'Publish a corrected, newer version.'
        ),
        Kind.OLDER_CONFIGURATION: Answer(
            'CT-503',
            409,
            _NOT_RUN,
            2,
            0,
            'Publish a version above the one in force.',
        ),
        Kind.UNREACHABLE: Answer(
            'CT-601', 502, _NOT_RUN, 7, 1, 'Check that the instance is running.'
        ),
        Kind.INTERNAL: Answer(
            'CT-999',
            500,
            Run.UNKNOWN,
            1,
            1,
            'Report it with the log of this time.',
        ),
    }
)


class Fault(NamedTuple):
    """One fault of an input.

    :param path: Where in the input, in dotted form.
    :param expected: What is wrong and what is expected there.
    """

    path: str
    expected: str


class CeleryturnError(Exception):
    """A refusal of one kind.

    :param kind: Which of the closed list.
    :param detail: What happened, for a person.
    :param faults: Every fault of the input, where it was the input's.
    :param retry_after_seconds: When asking again makes sense, where more is
        known than the table says.
    """

    def __init__(
        self,
        kind: Kind,
        detail: str,
        faults: tuple[Fault, ...] = (),
        retry_after_seconds: float | None = None,
    ) -> None:
        super().__init__(detail)
        self.kind = kind
        self.detail = detail
        self.faults = faults
        if retry_after_seconds is None:
            retry_after_seconds = ANSWERS[kind].retry_after_seconds
        self.retry_after_seconds = retry_after_seconds

    @property
    def answer(self) -> Answer:
        """The row of the table for this kind."""
        return ANSWERS[self.kind]

    def __str__(self) -> str:
        """Code, kind, detail and every fault, for a person."""
        lines = [f'{self.answer.code} {self.kind}: {self.detail}']
        lines.extend(f'  {path}: {expected}' for path, expected in self.faults)
        return '\n'.join(lines)
