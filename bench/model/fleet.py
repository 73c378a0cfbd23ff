"""Modelled instances that run the product's decisions."""

import random
from collections import deque
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from bench.model.events import Clock
from bench.model.policies import Policy
from bench.model.targets import Job, ModelTarget, trip_seconds
from celeryturn.decisions import extra_load, legs, replicas, sharded
from celeryturn.decisions.latency import LatencyWindow, record
from celeryturn.decisions.pacing import estimate_latency
from celeryturn.decisions.replies import AttemptOutcome, TargetReply

LISTED_AFTER_SECONDS: Final = 0.5
CONNECTION_SHARE: Final = 4
BOUNDS: Final = extra_load.ExtraLoadBounds()


class Kind(NamedTuple):
    """One kind of request.

    :param name: Its name.
    :param services: Services that are asked, one a leg.
    :param least_count: Legs that must succeed.
    :param work_seconds: Mean time of a leg at a sound target.
    :param objective_seconds: Answers later than this are late.
    :param deadline_seconds: Answers later than this are of no use.
    :param is_idempotent: Whether it may run more than once.
    :param attempt_limit: Most targets a leg may run on.
    """

    name: str
    services: tuple[str, ...]
    least_count: int
    work_seconds: float
    objective_seconds: float
    deadline_seconds: float
    is_idempotent: bool = True
    attempt_limit: int = 2


class Outcome(NamedTuple):
    """How a request went.

    :param kind: Its kind.
    :param request: Its number.
    :param started_seconds: When it arrived.
    :param elapsed_seconds: Until its answer.
    :param parts_share: Share of the legs that succeeded.
    :param is_success: Whether enough of them did.
    :param may_have_run: Whether the answer says that it may have run.
    """

    kind: Kind
    request: int
    started_seconds: float
    elapsed_seconds: float
    parts_share: float
    is_success: bool
    may_have_run: bool


class World(NamedTuple):
    """What instances share.

    :param clock: The time.
    :param chance: Source of all chance.
    :param services: Targets by service.
    :param policy: What decides.
    :param fleet_count: Number of instances.
    :param on_extra: Called with the service of each extra request.
    :param on_needed: Called with the service of each needed one.
    """

    clock: Clock
    chance: random.Random
    services: dict[str, list[ModelTarget]]
    policy: Policy
    fleet_count: int
    on_extra: Callable[[str], None]
    on_needed: Callable[[str], None]


class Line:
    """Requests of an instance to one target, within its share.

    :param under_way: How many are sent and not ended.
    :param waiting: Those held back.
    """

    def __init__(self) -> None:
        self.under_way = 0
        self.waiting: deque[Callable[[], None]] = deque()


class ModelInstance:
    """One instance.

    :param zone: Its availability zone.
    :param outcomes: How its requests went.
    :param far_count: Requests it sent to other zones.
    """

    def __init__(self, world: World, zone: str) -> None:
        self.zone = zone
        self.outcomes: list[Outcome] = []
        self.far_count = 0
        self.world = world
        self._part = extra_load.Allowance(BOUNDS, world.fleet_count)
        self._budgets: dict[str, extra_load.ExtraLoadBucket] = {}
        self._windows: dict[str, LatencyWindow] = {}
        self._lines: dict[str, Line] = {}
        self._known = {
            service: [self._replica(target, service) for target in targets]
            for service, targets in world.services.items()
        }
        self._targets = {
            target.name: target
            for targets in world.services.values()
            for target in targets
        }

    def ask(self, kind: Kind, request: int) -> None:
        """Take a request in.

        :param kind: Its kind.
        :param request: Its number.
        """
        _ModelRequest(self, kind, request).begin()

    def serving(self, service: str) -> Sequence[replicas.Replica]:
        """List the targets that may get work, as the list has them.

        :param service: Name of the service.
        :returns: Targets that do not drain.
        """
        seen_seconds = self.world.clock.now_seconds - LISTED_AFTER_SECONDS
        return [
            rep
            for rep in self._known[service]
            if self.target(rep).draining_seconds > seen_seconds
        ]

    def target(self, replica: replicas.Replica) -> ModelTarget:
        """Find the modelled target.

        :param replica: What is believed of it.
        :returns: The target.
        """
        return self._targets[replica.entry.target]

    def budget(self, service: str) -> extra_load.ExtraLoadBucket:
        """Find the extra load of a service.

        :param service: Name of the service.
        :returns: This instance's part.
        """
        known = self._budgets.get(service)
        if known is None:
            known = extra_load.ExtraLoadBucket(self._part)
            self._budgets[service] = known
        return known

    def earn(self, service: str) -> None:
        """Count a needed request.

        :param service: Name of the service.
        """
        self.world.on_needed(service)
        now_seconds = self.world.clock.now_seconds
        extra_load.earn(self.budget(service), self._part, now_seconds)

    def spend(self, service: str, reserve_share: float) -> bool:
        """Take from the extra load.

        :param service: Name of the service.
        :param reserve_share: Share of what may be saved up that must be left.
        :returns: Whether an extra request may be sent.
        """
        budget = self.budget(service)
        reserve = reserve_share * extra_load.capacity(budget, self._part)
        is_allowed = self.world.policy.spend(budget, reserve)
        if is_allowed:
            self.world.on_extra(service)
        return is_allowed

    def is_short(self, service: str) -> bool:
        """Tell whether little extra load is left.

        :param service: Name of the service.
        :returns: What the policy says.
        """
        return self.world.policy.is_short(self.budget(service), self._part)

    def window(self, kind: Kind) -> LatencyWindow:
        """Find the observed latencies of a kind.

        :param kind: The kind.
        :returns: Its window.
        """
        if kind.name not in self._windows:
            now_seconds = self.world.clock.now_seconds
            self._windows[kind.name] = LatencyWindow(now_seconds)
        return self._windows[kind.name]

    def line(self, target: str) -> Line:
        """Find the requests to a target.

        :param target: Its identifier.
        :returns: The line.
        """
        return self._lines.setdefault(target, Line())

    def _replica(self, target: ModelTarget, service: str) -> replicas.Replica:
        zone = target.zone if self.world.policy.prefers_zone else self.zone
        entry = replicas.TargetEntry(
            target=target.name,
            service=service,
            address='',
            port=0,
            zone=zone,
            slot_count=5,
            is_draining=False,
            cold_seconds=0,
            born_ms=0,
            sequence=0,
        )
        return replicas.Replica(entry, 0)


class _ModelRequest:
    """One request under way at an instance."""

    def __init__(
        self, instance: ModelInstance, kind: Kind, request: int
    ) -> None:
        self._instance = instance
        self._kind = kind
        self._number = request
        self._clock = instance.world.clock
        now_seconds = self._clock.now_seconds
        self._state = legs.ShardedRequest(
            legs.Plan(
                services=kind.services,
                min_success_count=kind.least_count,
                is_idempotent=kind.is_idempotent,
                attempt_limit=kind.attempt_limit,
                started_seconds=now_seconds,
                due_seconds=now_seconds + kind.objective_seconds,
                deadline_seconds=now_seconds + kind.deadline_seconds,
            )
        )
        self._jobs: dict[int, Job] = {}
        self._has_cancelled = False
        self._wake_seconds = 0.0

    def begin(self) -> None:
        """Send the first attempts."""
        for service in self._kind.services:
            self._instance.earn(service)
        self._apply(sharded.begin(self._state, self._view()))

    def _apply(self, actions: legs.Actions) -> None:
        for action in actions:
            match action:
                case legs.Send(attempt):
                    self._send(attempt)
                case legs.Cancel(attempt):
                    self._cancel(attempt)
                case legs.Wake(at_seconds):
                    self._plan_wake(at_seconds)
                case legs.Finish():
                    self._finish()

    def _plan_wake(self, at_seconds: float) -> None:
        self._wake_seconds = at_seconds
        self._clock.at(at_seconds, lambda: self._wake(at_seconds))

    def _wake(self, at_seconds: float) -> None:
        if at_seconds == self._wake_seconds:
            self._apply(sharded.on_wake(self._state, self._view()))

    def _send(self, attempt: legs.Attempt) -> None:
        instance = self._instance
        target = instance.target(attempt.replica)
        instance.far_count += target.zone != instance.zone
        chance = instance.world.chance
        spread = chance.lognormvariate(0, 0.35)
        job = Job(
            self._number,
            self._kind.work_seconds * spread,
            lambda reply: self._travel_back(attempt, reply),
        )
        self._jobs[attempt.number] = job
        if instance.world.policy.observes:
            attempt.replica.pending[id(job)] = self._clock.now_seconds
        line = instance.line(target.name)

        def offer() -> None:
            line.under_way += 1
            trip = trip_seconds(instance.zone, target.zone)
            at_seconds = self._clock.now_seconds + trip
            self._clock.at(at_seconds, lambda: _arrive(target, job))

        if line.under_way < CONNECTION_SHARE:
            offer()
        else:
            line.waiting.append(lambda: None if job.is_dropped else offer())

    def _travel_back(self, attempt: legs.Attempt, reply: TargetReply) -> None:
        instance = self._instance
        target = instance.target(attempt.replica)
        trip = trip_seconds(instance.zone, target.zone)
        at_seconds = self._clock.now_seconds + trip
        self._clock.at(at_seconds, lambda: self._end(attempt, reply))

    def _end(self, attempt: legs.Attempt, reply: TargetReply) -> None:
        job = self._jobs.pop(attempt.number, None)
        if job is None or job.is_dropped:
            return
        self._leave_line(attempt, job)
        self._observe(attempt, reply)
        view = self._view()
        self._apply(sharded.on_reply(self._state, attempt.number, reply, view))

    def _observe(self, attempt: legs.Attempt, reply: TargetReply) -> None:
        if not self._instance.world.policy.observes:
            return
        now_seconds = self._clock.now_seconds
        replica = attempt.replica
        if reply.load is not None:
            replicas.observe_load(replica, reply.load, now_seconds)
        if reply.attempt_outcome is AttemptOutcome.SUCCEEDED:
            waited_seconds = now_seconds - attempt.sent_seconds
            window = self._instance.window(self._kind)
            record(window, waited_seconds, now_seconds)
            replicas.observe_latency(
                replica, waited_seconds, self._usual(), now_seconds
            )
        elif reply.attempt_outcome is AttemptOutcome.NOT_SENT:
            replicas.observe_unreachable(replica, now_seconds)
        else:
            replicas.observe_failure(replica, now_seconds)

    def _cancel(self, attempt: legs.Attempt) -> None:
        job = self._jobs.pop(attempt.number, None)
        if job is None:
            return
        job.is_dropped = True
        self._has_cancelled = True
        self._leave_line(attempt, job)
        if not self._instance.world.policy.observes:
            return
        now_seconds = self._clock.now_seconds
        replicas.observe_no_response(
            attempt.replica,
            now_seconds - attempt.sent_seconds,
            self._usual(),
            now_seconds,
        )

    def _leave_line(self, attempt: legs.Attempt, job: Job) -> None:
        attempt.replica.pending.pop(id(job), None)
        line = self._instance.line(attempt.replica.entry.target)
        line.under_way = max(0, line.under_way - 1)
        while line.waiting and line.under_way < CONNECTION_SHARE:
            line.waiting.popleft()()

    def _finish(self) -> None:
        state = self._state
        plan = state.plan
        elapsed_seconds = self._clock.now_seconds - plan.started_seconds
        has_run = self._has_cancelled or sharded.may_have_run(state)
        self._instance.outcomes.append(
            Outcome(
                self._kind,
                self._number,
                plan.started_seconds,
                elapsed_seconds,
                state.success_count / len(state.legs),
                state.success_count >= plan.min_success_count,
                has_run or state.success_count > 0,
            )
        )

    def _usual(self) -> replicas.ExpectedLatency:
        return estimate_latency(
            self._instance.window(self._kind),
            self._kind.objective_seconds,
            self._clock.now_seconds,
        )

    def _view(self) -> legs.View:
        instance = self._instance
        policy = instance.world.policy
        usual = self._usual()
        now_seconds = self._clock.now_seconds
        left_seconds = self._state.plan.due_seconds - now_seconds
        return legs.View(
            now_seconds=now_seconds,
            serving=instance.serving,
            expected_latency=usual,
            hedge_delay_seconds=policy.hedge_after_seconds(usual, left_seconds),
            zone=instance.zone,
            random=instance.world.chance.random,
            spend=instance.spend,
            is_extra_load_low=instance.is_short,
        )


def _arrive(target: ModelTarget, job: Job) -> None:
    if not job.is_dropped:
        target.offer(job)
