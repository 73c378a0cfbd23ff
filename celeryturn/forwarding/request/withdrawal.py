"""End requests that wait for unreachable targets, so that peers serve them."""

from celeryturn.decisions.request.legs import Leg
from celeryturn.forwarding.request.extra_load_access import (
    get_bucket,
    spend_extra_load,
)
from celeryturn.forwarding.request.runner import Runner
from celeryturn.forwarding.shared_state import SharedState


def withdraw_waiting(shared: SharedState) -> None:
    """End the requests in flight that a peer may serve as well.

    What was sent may still reach targets, so that a request that is not
    idempotent stays, and each service that was sent one counts another one as
    extra load.

    :param shared: Shared state of the instance.
    """
    for runner in tuple(shared.in_flight):
        if isinstance(runner, Runner) and _may_withdraw(runner):
            sent = _services_sent_to(runner)
            if _has_tokens(shared, sent):
                for service in sent:
                    spend_extra_load(shared, service, 0)
                runner.withdraw()


def _may_withdraw(runner: Runner) -> bool:
    state = runner.state
    if runner.context.is_relayed or state.is_finished:
        return False
    if state.success_count >= state.plan.min_success_count:
        return False
    return state.plan.is_idempotent or not _services_sent_to(runner)


def _services_sent_to(runner: Runner) -> list[str]:
    services = runner.state.plan.services
    return [
        service
        for service, leg in zip(services, runner.state.legs, strict=True)
        if _was_sent(runner, leg)
    ]


def _was_sent(runner: Runner, leg: Leg) -> bool:
    if leg.possible_run_count or leg.reply is not None:
        return True
    submissions = (runner.submissions.get(number) for number in leg.attempts)
    return any(
        submission is not None and submission.exchange.written_seconds
        for submission in submissions
    )


def _has_tokens(shared: SharedState, services: list[str]) -> bool:
    return all(get_bucket(shared, service).tokens >= 1 for service in services)
