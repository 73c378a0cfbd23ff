"""Log lines about forwarded and refused requests."""

from typing import Final, TypedDict

from celeryturn.decisions.request import legs
from celeryturn.decisions.request.replies import AttemptOutcome
from celeryturn.errors import CeleryturnError
from celeryturn.events import (
    FORWARDED,
    FORWARDED_BADLY,
    REFUSED,
    log,
)
from celeryturn.forwarding import shared_state
from celeryturn.forwarding.operations.limited_log import may_log
from celeryturn.forwarding.request.runner import Runner
from celeryturn.forwarding.shared_state import SharedState
from celeryturn.http.messages import HttpRequest
from celeryturn.platform import wire

MILLISECONDS_PER_SECOND: Final = 1000


class LegRecord(TypedDict):
    """Outcome of one leg in the log.

    :param service: Name of the service.
    :param outcome: Outcome of the last attempt; ``silent`` if no attempt has
        ended, ``no target`` if none was sent.
    :param lacking: Resource whose lack prevented another attempt; empty if
        none was prevented.
    :param attempts: Target, milliseconds from admission to the send and to
        the end, and outcome of each attempt; the end is ``None`` for an
        attempt without a reply.
    """

    service: str
    outcome: str
    lacking: str
    attempts: list[tuple[str, int, int | None, str]]


def log_request(
    shared: SharedState, request: HttpRequest, runner: Runner, status: int
) -> None:
    """Log a forwarded request, within the rate limit of log lines.

    :param shared: Shared state of the instance.
    :param request: Request of the caller.
    :param runner: The finished request.
    :param status: Status of the answer.
    """
    plan = runner.context.plan
    state = runner.state
    now_seconds = shared_state.now()
    is_late = legs.is_late(plan, now_seconds)
    is_bad = is_late or state.success_count < len(state.legs)
    if not may_log(shared, is_important=is_bad):
        return
    log(
        FORWARDED_BADLY if is_bad else FORWARDED,
        request=wire.read_attempt_id(request),
        fingerprint=runner.context.fingerprint.hex(),
        route=runner.context.route.name,
        version=shared_state.table_version(shared),
        status=status,
        parts=f'{state.success_count}/{len(state.legs)}',
        late=is_late,
        elapsed_ms=_milliseconds(now_seconds - plan.started_seconds),
        due_ms=_milliseconds(plan.due_seconds - plan.started_seconds),
        deadline_ms=_milliseconds(plan.deadline_seconds - plan.started_seconds),
        store_age_ms=_milliseconds(
            now_seconds - shared.progress.newest_seconds
        ),
        legs=_notable_legs(runner),
    )


def log_refusal(
    shared: SharedState, request: HttpRequest, error: CeleryturnError
) -> None:
    """Log a request that was answered without a reply of a target.

    :param shared: Shared state of the instance.
    :param request: Request of the caller.
    :param error: Error that the caller received.
    """
    if not may_log(shared, is_important=True):
        return
    log(
        REFUSED,
        request=wire.read_attempt_id(request),
        kind=str(error.kind),
        run=str(error.answer.run),
        status=error.answer.status,
        version=shared_state.table_version(shared),
        detail=error.detail,
    )


def _notable_legs(runner: Runner) -> list[LegRecord]:
    # Legs whose only attempt succeeded in time do not explain a failure or
    # a delay.
    plan = runner.context.plan
    late_positions = {
        record.leg_position
        for record in runner.history.values()
        if record.ended_seconds > plan.due_seconds
    }
    return [
        _leg_record(runner, position, service, leg)
        for position, (service, leg) in enumerate(
            zip(plan.services, runner.state.legs, strict=True)
        )
        if leg.last_outcome is not AttemptOutcome.SUCCEEDED
        or leg.send_count > 1
        or position in late_positions
    ]


def _leg_record(
    runner: Runner, position: int, service: str, leg: legs.Leg
) -> LegRecord:
    outcome = 'silent' if leg.send_count else 'no target'
    if leg.last_outcome:
        outcome = leg.last_outcome.value
    started_seconds = runner.context.plan.started_seconds
    attempts = [
        (
            record.target,
            _milliseconds(record.sent_seconds - started_seconds),
            _milliseconds(record.ended_seconds - started_seconds)
            if record.ended_seconds
            else None,
            record.outcome,
        )
        for record in runner.history.values()
        if record.leg_position == position
    ]
    return {
        'service': service,
        'outcome': outcome,
        'lacking': str(leg.missing_resource or ''),
        'attempts': attempts,
    }


def _milliseconds(seconds: float) -> int:
    return round(seconds * MILLISECONDS_PER_SECOND)
