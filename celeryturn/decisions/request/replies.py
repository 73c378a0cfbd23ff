"""Outcomes and replies of attempts, independent of the wire format."""

import enum
from typing import NamedTuple

from celeryturn.decisions.targets.replicas import Load


class AttemptOutcome(enum.Enum):
    """Outcome of an attempt to run a request on a target."""

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    SHED = 'shed'
    WRONG_TARGET = 'wrong_target'
    UNUSABLE = 'unusable'
    LOST = 'lost'
    NOT_SENT = 'not_sent'


NOT_RUN = frozenset(
    (AttemptOutcome.SHED, AttemptOutcome.WRONG_TARGET, AttemptOutcome.NOT_SENT)
)


# The target has run the request and is there to say so.
SURVIVED = frozenset((AttemptOutcome.SUCCEEDED, AttemptOutcome.FAILED))


class TargetReply(NamedTuple):
    """Parts of a target's reply that decisions use.

    :param attempt_outcome: Outcome of the attempt.
    :param signature: Proof that the target produced the reply; empty if there
        is none.
    :param body: Body of the reply.
    :param load: Load that the target reports, if any.
    :param is_leaving: Whether the target announces its departure.
    :param retry_after_seconds: Time for which the target wants no requests
        from this instance.
    :param rate_limit_per_second: Requests a second that the target takes from
        all instances; infinite if it states none, ``None`` if unknown.
    :param cold_seconds: Time for which the target says it is cold; zero if it
        says nothing of it.
    :param may_have_ended: Whether the connection broke off, as it does when
        the target ends; the caller then reports once this is known.
    """

    attempt_outcome: AttemptOutcome
    signature: str = ''
    body: bytes = b''
    load: Load | None = None
    is_leaving: bool = False
    retry_after_seconds: float = 0.0
    rate_limit_per_second: float | None = None
    cold_seconds: float = 0.0
    may_have_ended: bool = False
