"""Read the outcome of an exchange with a target."""

from celeryturn.decisions.request.replies import AttemptOutcome, TargetReply
from celeryturn.forwarding.operations.limited_log import (
    log_ignored_header,
    log_unknown_headers,
)
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.forwarding.targets.exchanges import NotSentError, Outcome
from celeryturn.http.exchange_errors import BrokenOffError
from celeryturn.platform import wire


def read_outcome(
    shared: SharedState, target: str, outcome: Outcome
) -> TargetReply:
    """Decode the reply of a target, and log what is not understood of it.

    :param shared: Shared state of the instance.
    :param target: Identifier of the target.
    :param outcome: The reply, or why there is none.
    :returns: What decisions use of it.
    """
    if isinstance(outcome, NotSentError):
        return TargetReply(AttemptOutcome.NOT_SENT)
    if isinstance(outcome, Exception):
        is_broken_off = isinstance(outcome, BrokenOffError)
        return TargetReply(AttemptOutcome.LOST, may_have_ended=is_broken_off)
    for text in wire.ignored_reply_texts(outcome):
        log_ignored_header(shared, target, text)
    unknown = wire.unknown_reply_headers(outcome)
    log_unknown_headers(shared, target, unknown)
    return wire.read_reply(outcome)
