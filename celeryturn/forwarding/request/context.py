"""What is fixed of a forwarded request, and the record of its attempts."""

from typing import NamedTuple

from celeryturn.decisions.request import legs
from celeryturn.decisions.request.fingerprint import Fingerprint
from celeryturn.decisions.request.route_table import Route
from celeryturn.http.messages import HttpRequest


class RequestContext(NamedTuple):
    """Request of a caller with its route and plan.

    :param request: Request to send, without the headers that depend on the
        target and the attempt.
    :param route: Route of the request.
    :param plan: Parameters of the request, fixed at its admission.
    :param fingerprint: Fingerprint of the request, equal each time that it is
        sent.
    :param is_relayed: Whether it is served for a peer; it then waits behind the
        requests of own callers of the same priority.
    """

    request: HttpRequest
    route: Route
    plan: legs.Plan
    fingerprint: Fingerprint
    is_relayed: bool = False


class AttemptRecord:
    """Record of one attempt, for logs and metrics.

    :param leg_position: Index of its leg in the request.
    :param target: Identifier of the target.
    :param sent_seconds: Time at which the send was decided.
    :param ended_seconds: Time at which the attempt ended; zero if it is in
        flight or was cancelled.
    :param outcome: Value of the :class:`AttemptOutcome`, or ``given up`` if
        the attempt has not ended or was cancelled.
    """

    __slots__ = (
        'ended_seconds',
        'leg_position',
        'outcome',
        'sent_seconds',
        'target',
    )

    def __init__(self, attempt: legs.Attempt) -> None:
        self.leg_position = attempt.leg_position
        self.target = attempt.replica.entry.target
        self.sent_seconds = attempt.sent_seconds
        self.ended_seconds = 0.0
        self.outcome = 'given up'
