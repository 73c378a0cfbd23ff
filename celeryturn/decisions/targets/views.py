"""Known state of each target.

It is based on the replies, failures and reports that this instance observed.
"""

from typing import Final, NamedTuple

from celeryturn.decisions.load.limits import Gate
from celeryturn.decisions.targets.latency_estimate import smoothed

EJECT_AFTER_FAILURES: Final = 2
EJECTION_SECONDS: Final = 5.0
SLOW_START_SECONDS: Final = 3.0
INITIAL_LATENCY_SECONDS: Final = 0.005
MAX_REPORT_AGE_SECONDS: Final = 1.0


class Report(NamedTuple):
    """Last status reported by a target; it may be stale or wrong.

    :param queue_count: Queue depth: number of requests waiting at the target.
    :param oldest_snapshot: Oldest snapshot that the target still holds.
    :param newest_snapshot: Newest snapshot that the target holds; zero if
        not reported.
    :param draining: Whether the target is leaving.
    :param boot: Identifier that changes whenever the target's process
        restarts; empty if not reported.
    """

    queue_count: int = 0
    oldest_snapshot: int = 0
    newest_snapshot: int = 0
    draining: bool = False
    boot: str = ''


class Health:
    """Observed behaviour of a target.

    :param latency_seconds: Exponential moving average of the latency.
    :param failure_count: Failures since the last reply.
    :param ejected_until_seconds: End of the ejection; until then, the target
        is ranked last.
    :param available_since_seconds: Time at which the target was first listed
        or last became available again; start of its slow start.
    :param last_report_seconds: Time at which the last report of the target
        was received.
    :param leaving_since_seconds: Time of the first credible sign that the
        target is leaving, or ``None``.
    """

    __slots__ = (
        'available_since_seconds',
        'ejected_until_seconds',
        'failure_count',
        'last_report_seconds',
        'latency_seconds',
        'leaving_since_seconds',
    )

    def __init__(self, now_seconds: float) -> None:
        self.latency_seconds = INITIAL_LATENCY_SECONDS
        self.failure_count = 0
        self.ejected_until_seconds = 0.0
        self.available_since_seconds = now_seconds
        self.last_report_seconds = float('-inf')
        self.leaving_since_seconds: float | None = None


class TargetView:
    """Known state of one target.

    :param availability_zone: Availability zone the target runs in.
    :param health: Observed behaviour.
    :param report: Last status reported by the target.
    :param gate: Admission of sub-requests to the target.
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
    """Record a complete reply, which also ends an ejection.

    :param view: Known state of the target that replied.
    :param latency_seconds: Time from sending to the complete reply.
    :param report: The status reported with the reply.
    :param now_seconds: Time of the reply.
    """
    health = view.health
    if health.failure_count >= EJECT_AFTER_FAILURES:
        health.available_since_seconds = now_seconds
    health.failure_count = 0
    health.ejected_until_seconds = 0
    health.latency_seconds = smoothed(health.latency_seconds, latency_seconds)
    observe_report(view, report, now_seconds)


def observe_report(
    view: TargetView, report: Report, now_seconds: float
) -> None:
    """Record the status that a target reported in a reply or refusal.

    :param view: Known state of the target.
    :param report: The reported status.
    :param now_seconds: Time at which the report was received.
    """
    view.report = report
    view.health.last_report_seconds = now_seconds
    if report.draining:
        observe_leaving(view, now_seconds)


def has_fresh_snapshot_report(view: TargetView, now_seconds: float) -> bool:
    """Return whether it is known which snapshots a target holds.

    :param view: Known state of the target.
    :param now_seconds: Current time.
    :returns: False if the target reported no snapshots, or if its last
        report is stale, since the snapshots of a target change over time.
    """
    age_seconds = now_seconds - view.health.last_report_seconds
    return bool(view.report.newest_snapshot) and (
        age_seconds <= MAX_REPORT_AGE_SECONDS
    )


def observe_failure(view: TargetView, now_seconds: float) -> None:
    """Record a failed exchange and eject the target after repeated failures.

    :param view: Known state of the target that failed.
    :param now_seconds: Time of the failure.
    """
    health = view.health
    health.failure_count += 1
    if health.failure_count >= EJECT_AFTER_FAILURES:
        health.ejected_until_seconds = now_seconds + EJECTION_SECONDS


def is_ejected(view: TargetView, now_seconds: float) -> bool:
    """Return whether a target is ejected, and so ranked last.

    :param view: Known state of the target.
    :param now_seconds: Current time.
    :returns: Whether the ejection of the target has not ended yet.
    """
    return now_seconds < view.health.ejected_until_seconds


def observe_no_response(view: TargetView, waited_seconds: float) -> None:
    """Record an attempt that was cancelled before a reply arrived.

    The time waited is a lower bound of the latency, so it can only raise the
    smoothed latency.

    :param view: Known state of the target that did not respond.
    :param waited_seconds: Time between the write and the cancellation.
    """
    health = view.health
    if waited_seconds > health.latency_seconds:
        health.latency_seconds = smoothed(
            health.latency_seconds, waited_seconds
        )


def observe_leaving(view: TargetView, now_seconds: float) -> None:
    """Record the first credible sign that a target is leaving.

    :param view: Known state of the target.
    :param now_seconds: Time of the sign; later signs do not change it.
    """
    if view.health.leaving_since_seconds is None:
        view.health.leaving_since_seconds = now_seconds


def observe_serving(view: TargetView, now_seconds: float) -> None:
    """Record that a target that was leaving is serving again.

    :param view: Known state of the target.
    :param now_seconds: Current time; start of the slow start.
    """
    if view.health.leaving_since_seconds is not None:
        view.health.leaving_since_seconds = None
        view.health.available_since_seconds = now_seconds


def can_receive_work(view: TargetView) -> bool:
    """Return whether a target may be sent new work.

    :param view: Known state of the target.
    :returns: False from the first credible sign that the target is leaving.
    """
    return view.health.leaving_since_seconds is None


def has_returned(view: TargetView, report: Report) -> bool:
    """Return whether a report shows that a leaving target has returned.

    :param view: Known state of the target.
    :param report: Report just received from the target's health endpoint.
    :returns: True only if the target's process has restarted since its last
        report and is not draining.
    """
    is_other_boot = bool(report.boot) and report.boot != view.report.boot
    return is_other_boot and not report.draining
