"""What a target's reply means, whatever it looks like on the wire."""

import enum
from typing import NamedTuple

from celeryturn.decisions.replicas import Load


class AttemptOutcome(enum.Enum):
    """What a reply says about the request."""

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


class TargetReply(NamedTuple):
    """A reply of a target, as far as decisions look at it.

    :param attempt_outcome: What it says about the request.
    :param signature: Proof that the target made it; empty without one.
    :param body: The body.
    :param load: Load that the target reports, if it does.
    """

    attempt_outcome: AttemptOutcome
    signature: str = ''
    body: bytes = b''
    load: Load | None = None
