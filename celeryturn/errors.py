"""Error kinds, and the single table that maps each kind to its answer.

Every refusal of the system is a :class:`CeleryturnError` of one of the
kinds listed here.  Only this module determines the HTTP status, the exit
code, and whether the request is reported as run.
"""

import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, NamedTuple


class Run(enum.StrEnum):
    """Whether a refused request was run, as far as is known."""

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
    ENDS_TARGETS = 'ends_targets'
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
    """How a kind of error is reported at the interfaces.

    :param code: Stable code, shown in answers, logs and documentation.
    :param status: HTTP status.
    :param run: Whether the request was run, as far as is known.
    :param exit_code: Exit code of the command-line tool.
    :param retry_after_seconds: Delay after which a retry is useful; zero if
        the same request cannot succeed.
    :param advice: What the caller or operator can do, in one sentence.
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
            'CT-101',
            400,
            _NOT_RUN,
            2,
            0,
            'Correct the fields that the error names.',
        ),
        Kind.UNKNOWN_PATH: Answer(
            'CT-102',
            404,
            _NOT_RUN,
            2,
            0,
            'See docs/CALLERS.md for the supported paths.',
        ),
        Kind.UNKNOWN_SERVICE: Answer(
            'CT-103',
            404,
            _NOT_RUN,
            3,
            0,
            'Request a published service.',
        ),
        Kind.UNKNOWN_SHARD: Answer(
            'CT-104',
            404,
            _NOT_RUN,
            3,
            0,
            'Request a shard of the current index.',
        ),
        Kind.TOO_LARGE: Answer(
            'CT-105', 413, _NOT_RUN, 2, 0, 'Send a smaller request.'
        ),
        Kind.SLOW_REQUEST: Answer(
            'CT-106',
            408,
            _NOT_RUN,
            4,
            1,
            'Send the complete request without pauses.',
        ),
        Kind.DEADLINE_PASSED: Answer(
            'CT-201', 504, _NOT_RUN, 4, 1, 'Use a longer deadline.'
        ),
        Kind.OVERLOADED: Answer(
            'CT-202', 503, _NOT_RUN, 4, 1, 'Retry after the stated time.'
        ),
        Kind.NOT_CONFIGURED: Answer(
            'CT-203',
            503,
            _NOT_RUN,
            4,
            2,
            'Retry when the first configuration has been adopted.',
        ),
        Kind.NO_ROUTE: Answer(
            'CT-204', 404, _NOT_RUN, 3, 0, 'Request a published route.'
        ),
        Kind.NO_TARGET: Answer(
            'CT-205',
            503,
            _NOT_RUN,
            4,
            0.2,
            'Retry when a target is available again.',
        ),
        Kind.LEAVING: Answer(
            'CT-206',
            503,
            _NOT_RUN,
            4,
            0.01,
            'Send the request to another address.',
        ),
        Kind.REPLY_LOST: Answer(
            'CT-207',
            502,
            Run.UNKNOWN,
            6,
            0,
            'Retry only if the request is idempotent.',
        ),
        Kind.COVERAGE_TOO_LOW: Answer(
            'CT-208', 502, Run.UNKNOWN, 6, 0, 'Retry; some shards failed.'
        ),
        Kind.TIMED_OUT: Answer(
            'CT-209', 504, Run.UNKNOWN, 6, 0, 'Use a longer deadline.'
        ),
        Kind.ENDS_TARGETS: Answer(
            'CT-210',
            503,
            _NOT_RUN,
            4,
            300,
            'Do not repeat it; targets ended each time that they ran it.',
        ),
        Kind.HOME_HELD: Answer(
            'CT-301', 503, _NOT_RUN, 4, 5, 'Retry when the home has moved.'
        ),
        Kind.NO_HOME: Answer(
            'CT-302', 503, _NOT_RUN, 4, 5, 'Publish a home for the shard.'
        ),
        Kind.STALE_CONFIGURATION: Answer(
            'CT-303',
            503,
            _NOT_RUN,
            4,
            2,
            'Use another address, or retry later.',
        ),
        Kind.TARGET_UNAVAILABLE: Answer(
            'CT-304', 503, _NOT_RUN, 4, 1, 'Retry after the stated time.'
        ),
        Kind.DUPLICATE_BOOKING: Answer(
            'CT-305',
            409,
            Run.RUN,
            5,
            0,
            'Use the earlier outcome; do not retry.',
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
            'CT-309',
            503,
            Run.UNKNOWN,
            4,
            1,
            'Retry; a read has no side effects.',
        ),
        Kind.PEER_PROTOCOL: Answer(
            'CT-401',
            400,
            _NOT_RUN,
            2,
            0,
            'Run the same version on every instance.',
        ),
        Kind.PEER_TOO_LARGE: Answer(
            'CT-402',
            413,
            _NOT_RUN,
            2,
            0,
            'Run the same version on every instance.',
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
            'Publish a version above the current one.',
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
            'Report it with the log from that time.',
        ),
    }
)


class Fault(NamedTuple):
    """One fault of an input.

    :param path: Dotted path of the faulty part of the input.
    :param expected: What is wrong and what is expected there.
    """

    path: str
    expected: str


class CeleryturnError(Exception):
    """A refusal, described by its kind.

    :param kind: The kind of error.
    :param detail: Human-readable description of what happened.
    :param faults: Every fault of the input, if the input was at fault.
    :param retry_after_seconds: Delay after which a retry is useful, if it is
        known more precisely than from the table.
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
        """Format the code, kind, detail and every fault for people."""
        lines = [f'{self.answer.code} {self.kind}: {self.detail}']
        lines.extend(f'  {path}: {expected}' for path, expected in self.faults)
        return '\n'.join(lines)
