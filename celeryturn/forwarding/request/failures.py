"""Answers to forwarded requests that did not succeed."""

from celeryturn.decisions.request import retry_after
from celeryturn.decisions.request.legs import MissingResource
from celeryturn.decisions.request.route_table import Route
from celeryturn.errors import CeleryturnError, Kind
from celeryturn.forwarding import shared_state
from celeryturn.forwarding.request.runner import Runner, may_have_run
from celeryturn.forwarding.targets.cold_targets import serving_replicas
from celeryturn.forwarding.targets.observations import get_expected_latency
from celeryturn.http.messages import HttpReply
from celeryturn.platform import wire


def failure_outcome(
    route: Route, runner: Runner
) -> HttpReply | CeleryturnError:
    """Choose the answer to a request that did not succeed.

    :param route: Route of the request.
    :param runner: The finished request.
    :returns: The failure reply of a target, or why there is none.
    """
    state = runner.state
    if not may_have_run(runner):
        return _no_target_error(runner)
    is_deadline_passed = shared_state.now() >= state.plan.deadline_seconds
    if is_deadline_passed:
        return CeleryturnError(
            Kind.TIMED_OUT, 'the deadline passed before the request succeeded'
        )
    if route.gather is not None:
        return CeleryturnError(
            Kind.COVERAGE_TOO_LOW,
            f'{state.success_count} of {len(state.legs)} shards succeeded,'
            ' too few for an answer',
        )
    reply = state.legs[0].reply
    if reply is not None:
        failure = wire.caller_reply(runner.replies[reply.signature])
        # To callers, some statuses mean that they may send the request again.
        if state.plan.is_idempotent or not wire.promises_not_run(failure):
            return failure
    return CeleryturnError(
        Kind.REPLY_LOST,
        'no usable reply from a target; the request may have run',
    )


def _describe_lack(runner: Runner) -> str:
    cold_count = sum(
        leg.missing_resource is MissingResource.COLD_SHARE
        for leg in runner.state.legs
    )
    if cold_count:
        return (
            'no target accepted the request; those of'
            f' {cold_count} shards are cold and take no more from here now'
        )
    return 'no target accepted the request'


def _no_target_error(runner: Runner) -> CeleryturnError:
    shared = runner.shared
    plan = runner.context.plan
    now_seconds = shared_state.now()
    expected_latency = get_expected_latency(shared, runner.context.route)
    serving = [serving_replicas(shared, service) for service in plan.services]
    return CeleryturnError(
        Kind.NO_TARGET,
        _describe_lack(runner),
        retry_after_seconds=retry_after.no_target_retry_seconds(
            serving,
            expected_latency,
            plan.min_success_count,
            now_seconds,
            shared.instance.random,
        ),
    )
