"""What one instance believes of one target, from what it observed itself."""

from typing import Final, NamedTuple

from celeryturn.decisions.latency_estimate import smoothed
from celeryturn.decisions.limits import Gate

EJECT_AFTER_FAILURES: Final = 2
EJECT_SECONDS: Final = 5.0
SLOW_START_SECONDS: Final = 3.0
UNKNOWN_LATENCY_SECONDS: Final = 0.005
REPORT_FRESH_SECONDS: Final = 1.0


class Report(NamedTuple):
    """What a target last said of itself; it may lag or mislead.

    :param queue_count: Requests waiting there.
    :param oldest_snapshot: Oldest snapshot it still holds.
    :param newest_snapshot: Newest snapshot it holds.
    :param draining: Whether it is leaving.
    :param boot: Changes whenever the target's process starts again.
    """

    queue_count: int = 0
    oldest_snapshot: int = 0
    newest_snapshot: int = 0
    draining: bool = False
    boot: str = ''


class Health:
    """Observed behaviour of a target.

    :param latency_seconds: Smoothed latency of replies.
    :param failure_count: Failures since the last reply.
    :param ejected_until_seconds: No work before this time, but for a trial.
    :param returned_seconds: When it last came back or was first seen.
    :param reported_seconds: When it last said anything of itself.
    :param leaving_since_seconds: First credible sign of leaving, if any.
    """

    __slots__ = (
        'ejected_until_seconds',
        'failure_count',
        'latency_seconds',
        'leaving_since_seconds',
        'reported_seconds',
        'returned_seconds',
    )

    def __init__(self, now_seconds: float) -> None:
        self.latency_seconds = UNKNOWN_LATENCY_SECONDS
        self.failure_count = 0
        self.ejected_until_seconds = 0.0
        self.returned_seconds = now_seconds
        self.reported_seconds = float('-inf')
        self.leaving_since_seconds: float | None = None


class TargetView:
    """Everything believed of one target.

    :param availability_zone: Where it stands.
    :param health: What was observed.
    :param report: What it last said.
    :param gate: Admission to it.
    """

    __slots__ = ('availability_zone', 'gate', 'health', 'report')

    def __init__(
        self, availability_zone: str, share: int, now_seconds: float
    ) -> None:
        self.availability_zone = availability_zone
        self.health = Health(now_seconds)
        self.report = Report()
        self.gate = Gate(share)


def observe_reply(
    view: TargetView, latency_seconds: float, report: Report, now_seconds: float
) -> None:
    """Learn from a whole reply.

    :param view: The target that replied.
    :param latency_seconds: From send to whole reply.
    :param report: What the reply said of the target.
    :param now_seconds: Time of the reply.
    """
    health = view.health
    if health.failure_count >= EJECT_AFTER_FAILURES:
        health.returned_seconds = now_seconds
    health.failure_count = 0
    health.ejected_until_seconds = 0
    health.latency_seconds = smoothed(health.latency_seconds, latency_seconds)
    observe_report(view, report, now_seconds)


def observe_report(
    view: TargetView, report: Report, now_seconds: float
) -> None:
    """Take in what a target says of itself, in a reply or a refusal.

    :param view: The target.
    :param report: What it said.
    :param now_seconds: Time of hearing.
    """
    view.report = report
    view.health.reported_seconds = now_seconds
    if report.draining:
        observe_leaving(view, now_seconds)


def knows_snapshots(view: TargetView, now_seconds: float) -> bool:
    """Tell whether it is known which snapshots a target holds.

    :param view: The target.
    :param now_seconds: Time of the question.
    :returns: False where it said nothing, or too long ago: snapshots move on.
    """
    age_seconds = now_seconds - view.health.reported_seconds
    return bool(view.report.newest_snapshot) and (
        age_seconds <= REPORT_FRESH_SECONDS
    )


def observe_failure(view: TargetView, now_seconds: float) -> None:
    """Learn from a failed exchange.

    :param view: The target that failed.
    :param now_seconds: Time of the failure.
    """
    health = view.health
    health.failure_count += 1
    if health.failure_count >= EJECT_AFTER_FAILURES:
        health.ejected_until_seconds = now_seconds + EJECT_SECONDS


def is_ejected(view: TargetView, now_seconds: float) -> bool:
    """Tell whether a target is ranked last for its failures.

    :param view: The target.
    :param now_seconds: Time of the question.
    :returns: Whether its time is not over yet.
    """
    return now_seconds < view.health.ejected_until_seconds


def observe_silence(view: TargetView, waited_seconds: float) -> None:
    """Learn from an attempt that was given up without a reply.

    :param view: The target that stayed silent.
    :param waited_seconds: How long it was waited for, at the least.
    """
    health = view.health
    if waited_seconds > health.latency_seconds:
        health.latency_seconds = smoothed(
            health.latency_seconds, waited_seconds
        )


def observe_leaving(view: TargetView, now_seconds: float) -> None:
    """Note the first credible sign that a target is leaving.

    :param view: The target.
    :param now_seconds: Time of the sign.
    """
    if view.health.leaving_since_seconds is None:
        view.health.leaving_since_seconds = now_seconds


def observe_serving(view: TargetView, now_seconds: float) -> None:
    """Note that a newer configuration has a target serving again.

    :param view: The target.
    :param now_seconds: Time of the adoption.
    """
    if view.health.leaving_since_seconds is not None:
        view.health.leaving_since_seconds = None
        view.health.returned_seconds = now_seconds


def may_get_work(view: TargetView) -> bool:
    """Tell whether a target may get anything new.

    :param view: The target.
    :returns: False from the first credible sign that it is leaving.
    """
    return view.health.leaving_since_seconds is None


def is_back(view: TargetView, report: Report) -> bool:
    """Tell whether a leaving target's word that it is back can be believed.

    :param view: The target.
    :param report: What its health endpoint said just now.
    :returns: True only for another start of its process.
    """
    is_other_boot = bool(report.boot) and report.boot != view.report.boot
    return is_other_boot and not report.draining
