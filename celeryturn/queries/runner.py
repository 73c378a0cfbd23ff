"""Execution of one query.

The actions that :mod:`celeryturn.decisions.request.query` returns are carried
out as exchanges and timers, and the results are passed back as events.
"""

import asyncio
import functools
from typing import Final

from celeryturn.decisions.configuration import service_state
from celeryturn.decisions.load import limits
from celeryturn.decisions.request import course, query
from celeryturn.decisions.request.merging import merge
from celeryturn.decisions.request.planning import QueryPlan
from celeryturn.decisions.targets import latency, views
from celeryturn.decisions.targets.messages import QueryAnswer, Reply
from celeryturn.errors import CeleryturnError
from celeryturn.events import TARGET_LEAVING, log
from celeryturn.http.messages import HttpReply
from celeryturn.instance import Instance
from celeryturn.queries.probes import begin_probe, end_probe
from celeryturn.targets import links, wire
from celeryturn.timer import Timer

MIN_TIMER_SECONDS: Final = 0.001


class Runner:
    """A query in flight.

    :param instance: The instance that runs the query.
    :param links: Links to targets.
    :param service: State of the service.
    :param state: State of the query.
    :param exchanges: Exchanges in flight, by number of the attempt.
    :param timer: Timer of the next wake-up.
    :param finished: Set when the answer can be merged.
    """

    __slots__ = (
        'exchanges',
        'finished',
        'instance',
        'links',
        'service',
        'state',
        'timer',
    )

    def __init__(
        self,
        instance: Instance,
        target_links: links.Links,
        service: service_state.ServiceState,
        plan: QueryPlan,
    ) -> None:
        self.instance = instance
        self.links = target_links
        self.service = service
        self.state = course.QueryState(plan)
        self.exchanges: dict[int, links.Exchange] = {}
        self.timer = Timer()
        self.finished = asyncio.Event()


async def run_query(runner: Runner) -> QueryAnswer:
    """Run a query until its answer is complete.

    Cancelling this coroutine cancels the sub-requests of the query.

    :param runner: A runner that has not been started.
    :returns: The merged answer.
    """
    plan = runner.state.plan
    if plan.is_guess:
        begin_probe(runner.instance, plan.request.service)
    stop = functools.partial(_stop, runner)
    runner.instance.running.stops.add(stop)
    try:
        _apply(runner, query.begin(runner.state, _context(runner)))
        await runner.finished.wait()
    finally:
        runner.instance.running.stops.discard(stop)
        _close(runner)
    return merge(runner.state, runner.instance.clock())


def _context(runner: Runner, *, has_shortage: bool = False) -> course.Context:
    service = runner.service
    instance = runner.instance
    return course.Context(
        views=service.views,
        zone=instance.settings.availability_zone,
        budget=service.budget,
        window=service.window,
        has_slot_shortage=has_shortage,
        now_seconds=instance.clock(),
        random=instance.random,
    )


def _apply(runner: Runner, actions: course.Actions) -> None:
    for action in actions:
        match action:
            case course.Send(attempt):
                _send(runner, attempt)
            case course.Cancel(attempt):
                _cancel(runner, attempt)
            case course.Wake(at_seconds):
                _arm_timer(runner, at_seconds)
            case course.Finish():
                runner.finished.set()


def _send(runner: Runner, attempt: course.Attempt) -> None:
    if attempt.number not in runner.state.in_flight:
        # An earlier send of the same list of actions already led to the end
        # of this attempt.
        return
    name = attempt.target
    target = runner.service.document.targets.get(name)
    view = runner.service.views.get(name)
    if target is None or view is None:
        _schedule_not_sent(runner, attempt)
        return
    plan = runner.state.plan
    service = plan.request.service
    link = links.get_or_create_link(runner.links, service, name, target, view)
    exchange = links.Exchange(
        name,
        plan.urgency,
        plan.deadline_seconds,
        lambda: wire.build_read_request(plan, attempt, runner.instance.clock()),
        lambda ended_exchange, outcome: _on_exchange_end(
            runner, attempt, ended_exchange, outcome
        ),
    )
    runner.exchanges[attempt.number] = exchange
    if not links.submit(runner.links, link, exchange):
        _schedule_not_sent(runner, attempt)


def _schedule_not_sent(runner: Runner, attempt: course.Attempt) -> None:
    # Defer the callback: the decision that returned this send is still being
    # carried out.
    asyncio.get_running_loop().call_soon(
        _on_failure, runner, attempt, course.Failure.NOT_SENT
    )


def _on_exchange_end(
    runner: Runner,
    attempt: course.Attempt,
    exchange: links.Exchange,
    outcome: links.Outcome,
) -> None:
    runner.exchanges.pop(attempt.number, None)
    # An error that is raised here would keep the connection of the exchange
    # until the garbage collector runs, since its traceback refers to it.
    if isinstance(outcome, HttpReply):
        _on_http_reply(runner, attempt, exchange, outcome)
    elif isinstance(outcome, links.NotSentError | CeleryturnError):
        _on_failure(runner, attempt, course.Failure.NOT_SENT)
    else:
        _on_failure(runner, attempt, course.Failure.LOST)


def _on_http_reply(
    runner: Runner,
    attempt: course.Attempt,
    exchange: links.Exchange,
    http_reply: HttpReply,
) -> None:
    try:
        reply = wire.parse_read(http_reply)
    except wire.RefusalError as refusal:
        _on_refusal(runner, attempt, refusal)
    else:
        _on_reply(runner, attempt, exchange, reply)


def _on_reply(
    runner: Runner,
    attempt: course.Attempt,
    exchange: links.Exchange,
    reply: Reply,
) -> None:
    now_seconds = runner.instance.clock()
    latency_seconds = now_seconds - exchange.status.written_seconds
    view = runner.service.views.get(attempt.target)
    if view is not None:
        _log_draining(runner, attempt.target, reply.report)
        views.observe_reply(view, latency_seconds, reply.report, now_seconds)
        limits.on_reply(view.gate, latency_seconds, now_seconds)
    latency.record(runner.service.window, latency_seconds, now_seconds)
    if not _is_requested(runner, attempt, reply):
        _on_failure(runner, attempt, course.Failure.BAD_REPLY)
        return
    _end_probe(runner)
    context = _context(runner)
    _apply(runner, query.on_reply(runner.state, attempt.number, reply, context))


def _is_requested(
    runner: Runner, attempt: course.Attempt, reply: Reply
) -> bool:
    request = runner.state.plan.request
    # One more than the limit is requested, to see whether there are more.
    return (
        reply.service == request.service
        and reply.shard == attempt.shard
        and len(reply.records) <= request.limit_count + 1
    )


def _on_refusal(
    runner: Runner, attempt: course.Attempt, refusal: wire.RefusalError
) -> None:
    view = runner.service.views.get(attempt.target)
    if view is not None and refusal.report.boot:
        _log_draining(runner, attempt.target, refusal.report)
        now_seconds = runner.instance.clock()
        views.observe_report(view, refusal.report, now_seconds)
        _end_probe(runner)
    if view is not None and refusal.failure is course.Failure.SHED:
        limits.on_shed(view.gate)
    _on_failure(runner, attempt, refusal.failure)


def _end_probe(runner: Runner) -> None:
    if runner.state.is_probing:
        end_probe(runner.instance, runner.state.plan.request.service)


def _log_draining(runner: Runner, target: str, report: views.Report) -> None:
    view = runner.service.views[target]
    if report.draining and views.can_receive_work(view):
        log(TARGET_LEAVING, target=target, source='reply')


def _on_failure(
    runner: Runner, attempt: course.Attempt, failure: course.Failure
) -> None:
    runner.exchanges.pop(attempt.number, None)
    view = runner.service.views.get(attempt.target)
    if view is not None and failure in _TARGET_FAILURES:
        views.observe_failure(view, runner.instance.clock())
    context = _context(runner)
    _apply(
        runner,
        query.on_failure(runner.state, attempt.number, failure, context),
    )


def _cancel(runner: Runner, attempt: course.Attempt) -> None:
    exchange = runner.exchanges.pop(attempt.number, None)
    if exchange is None:
        return
    progress = links.cancel(runner.links, exchange)
    if progress.is_ended:
        return
    if not progress.is_written:
        query.decrement_sent_count(runner.state)
        return
    view = runner.service.views.get(attempt.target)
    if view is not None:
        now_seconds = runner.instance.clock()
        waited_seconds = now_seconds - exchange.status.written_seconds
        views.observe_no_response(view, waited_seconds)


def _arm_timer(runner: Runner, at_seconds: float) -> None:
    wait_seconds = max(MIN_TIMER_SECONDS, at_seconds - runner.instance.clock())
    runner.timer.arm(wait_seconds, lambda: _on_wake(runner))


def _on_wake(runner: Runner) -> None:
    # Hedges are sent only on a wake-up, so the shortage of slots matters only
    # here.
    now_seconds = runner.instance.clock()
    has_shortage = service_state.has_slot_shortage(runner.service, now_seconds)
    context = _context(runner, has_shortage=has_shortage)
    _apply(runner, query.on_wake(runner.state, context))


def _close(runner: Runner) -> None:
    runner.timer.disarm()
    if runner.state.plan.is_guess:
        end_probe(runner.instance, runner.state.plan.request.service)
    _stop(runner)


def _stop(runner: Runner) -> None:
    if not runner.state.is_finished:
        _apply(runner, query.finish(runner.state))


_TARGET_FAILURES: Final = frozenset(
    (
        course.Failure.NOT_SENT,
        course.Failure.LOST,
        course.Failure.BAD_REPLY,
    )
)
