"""Run one query: sends, replies, retries, hedges and the end.

The functions take the state of a query and an event, and return actions.
They change that state in place, as well as the views, budget and window of
the context.  They read nothing else, so equal inputs give equal actions.
"""

from collections.abc import Iterable

from celeryturn.decisions.load import budget
from celeryturn.decisions.request import hedging, routing, snapshots
from celeryturn.decisions.request.course import (
    Action,
    Actions,
    Attempt,
    Cancel,
    Context,
    Failure,
    Finish,
    QueryState,
    Send,
    ShardProgress,
    Wake,
)
from celeryturn.decisions.request.planning import may_hold_snapshot
from celeryturn.decisions.request.stopping import (
    answer_due_seconds,
    can_stop_early,
)
from celeryturn.decisions.targets import views
from celeryturn.decisions.targets.messages import Reply


def begin(query: QueryState, context: Context) -> Actions:
    """Send the first sub-requests of a query.

    If the snapshot is a guess, a sub-request is first sent to one shard as a
    probe.  A target that does not hold the snapshot reports which snapshots
    it holds, so that a wrong guess costs one sub-request instead of one for
    each shard.

    :param query: A new query.
    :param context: Input of the decision.
    :returns: One send per shard, or a single send for a probe, and the first
        wake-up.
    """
    plan = query.plan
    query.is_probing = plan.is_guess
    shards = plan.shards[:1] if plan.is_guess else plan.shards
    actions = _send_first(query, shards, context)
    budget.earn(context.budget, len(plan.shards), plan.extra_load_share)
    return _conclude(query, context, actions)


def on_reply(
    query: QueryState, number: int, reply: Reply, context: Context
) -> Actions:
    """Record a reply if it belongs to the pinned index and snapshot.

    :param query: The query.
    :param number: Number of the attempt that was replied to.
    :param reply: The decoded reply.
    :param context: Input of the decision.
    :returns: The next actions; none for an attempt that is no longer in
        flight.
    """
    plan = query.plan
    pinned = (plan.pinned_index.version, plan.snapshot)
    if (reply.index_version, reply.snapshot) != pinned:
        return on_failure(query, number, Failure.SNAPSHOT_GONE, context)
    progress = _end_attempt(query, number)
    if progress is None:
        return []
    progress.reply = reply
    _settle(query, progress)
    query.included_count += 1
    actions = _cancel_all(query, progress)
    if query.is_probing:
        actions.extend(_send_remaining(query, context))
        return _conclude(query, context, actions)
    if query.unsettled_count and _must_stop(query, context):
        return actions + finish(query)
    return _conclude_settled(query, actions)


def on_failure(
    query: QueryState, number: int, failure: Failure, context: Context
) -> Actions:
    """Record a failed attempt, and try another replica if there is one.

    :param query: The query.
    :param number: Number of the attempt that failed.
    :param failure: Why the attempt failed.
    :param context: Input of the decision.
    :returns: The next actions; none for an attempt that is no longer in
        flight.
    """
    shard = query.in_flight.get(number)
    progress = _end_attempt(query, number)
    if progress is None or shard is None:
        return []
    progress.failure = failure
    if failure is Failure.NOT_SENT:
        query.sent_count -= 1
    if failure is Failure.SNAPSHOT_GONE:
        if snapshots.should_restart(query, context):
            return _restart(query, context)
    actions: Actions = []
    if query.is_probing:
        actions.extend(_send_remaining(query, context))
    if not progress.attempts:
        actions.extend(_retry(query, shard, context))
    return _conclude(query, context, actions)


def on_wake(query: QueryState, context: Context) -> Actions:
    """Stop the query, or send the hedges and retries that are due.

    :param query: The query.
    :param context: Input of the decision.
    :returns: The next actions.
    """
    if query.is_finished:
        return []
    if _must_stop(query, context):
        return finish(query)
    actions: Actions = []
    if query.is_probing:
        actions.extend(_send_more_probes(query, context))
    for shard, progress in query.progress.items():
        if progress.tried_targets and not progress.is_settled:
            actions.extend(_retry_or_hedge(query, shard, context))
    return _conclude(query, context, actions)


def decrement_sent_count(query: QueryState) -> None:
    """Exclude a cancelled attempt that was never sent from the sent count.

    :param query: The query.
    """
    query.sent_count -= 1


def finish(query: QueryState) -> Actions:
    """End a query with the replies so far, or because its caller disconnected.

    :param query: The query.
    :returns: Cancellations of all attempts in flight, and the end.
    """
    actions: Actions = []
    for progress in query.progress.values():
        actions.extend(_cancel_all(query, progress))
    query.is_finished = True
    actions.append(Finish())
    return actions


def _restart(query: QueryState, context: Context) -> Actions:
    # Replies from the previous snapshot are dropped, because an answer must
    # never mix two snapshots.
    actions: Actions = []
    for progress in query.progress.values():
        actions.extend(_cancel_all(query, progress))
    new_snapshot = snapshots.choose_restart_snapshot(query, context)
    query.plan = query.plan._replace(snapshot=new_snapshot)
    query.is_restarted = not query.is_probing
    query.is_probing = False
    shards = query.plan.shards
    query.progress = {shard: ShardProgress() for shard in shards}
    query.unsettled_count = len(shards)
    query.included_count = 0
    actions.extend(_send_first(query, shards, context))
    return _conclude(query, context, actions)


def _retry_or_hedge(query: QueryState, shard: str, context: Context) -> Actions:
    progress = query.progress[shard]
    if not progress.attempts:
        return _retry(query, shard, context)
    if hedging.can_hedge(progress, context):
        return _hedge(query, shard, context)
    return []


def _send_remaining(query: QueryState, context: Context) -> Actions:
    query.is_probing = False
    return _send_first(query, _unsent_shards(query), context)


def _send_more_probes(query: QueryState, context: Context) -> Actions:
    # The number of shards with a sub-request doubles each time.  A target that
    # does not respond delays the other shards by a few wake-ups only, and a
    # wrong guess is not sent to all shards at once.
    unsent = _unsent_shards(query)
    sent_count = len(query.plan.shards) - len(unsent)
    if sent_count >= len(unsent):
        query.is_probing = False
    return _send_first(query, unsent[:sent_count], context)


def _unsent_shards(query: QueryState) -> list[str]:
    return [
        shard
        for shard, progress in query.progress.items()
        if not progress.tried_targets and not progress.is_settled
    ]


def _send_first(
    query: QueryState, shards: Iterable[str], context: Context
) -> Actions:
    actions: Actions = []
    for shard in shards:
        target = _best_untried(query, shard, context)
        if target is None:
            _settle(query, query.progress[shard])
        else:
            actions.append(_send(query, shard, target, context))
    return actions


def _retry(query: QueryState, shard: str, context: Context) -> Actions:
    progress = query.progress[shard]
    target = _best_untried(query, shard, context)
    if target is None:
        _settle(query, progress)
        return []
    was_not_sent = progress.failure is Failure.NOT_SENT
    if was_not_sent or budget.spend(context.budget):
        return [_send(query, shard, target, context)]
    if views.is_ejected(context.views[target], context.now_seconds):
        # Even the best remaining target is ejected, so waiting for a token
        # would not help.
        _settle(query, progress)
    return []


def _hedge(query: QueryState, shard: str, context: Context) -> Actions:
    target = _best_untried(query, shard, context)
    # A retry preserves coverage and a hedge only reduces latency, so a hedge
    # leaves some tokens for retries.
    reserve = budget.RETRY_RESERVE_TOKENS
    if target is None or not budget.spend(context.budget, reserve):
        return []
    return [_send(query, shard, target, context)]


def _send(
    query: QueryState, shard: str, target: str, context: Context
) -> Action:
    query.sent_count += 1
    query.last_attempt_number += 1
    attempt = Attempt(
        query.last_attempt_number, shard, target, context.now_seconds
    )
    progress = query.progress[shard]
    progress.attempts[attempt.number] = attempt
    progress.tried_targets.add(target)
    query.in_flight[attempt.number] = shard
    return Send(attempt)


def _best_untried(
    query: QueryState, shard: str, context: Context
) -> str | None:
    tried_targets = query.progress[shard].tried_targets
    pinned_index = query.plan.pinned_index
    replicas = pinned_index.shards[shard].replicas
    ranked = routing.rank_replicas(
        (name for name in replicas if name not in tried_targets),
        context.views,
        context.zone,
        context.now_seconds,
        context.random,
    )
    for name in ranked:
        if may_hold_snapshot(
            context.views[name], query.plan.snapshot, context.now_seconds
        ):
            return name
    return ranked[0] if ranked else None


def _end_attempt(query: QueryState, number: int) -> ShardProgress | None:
    shard = query.in_flight.pop(number, None)
    if shard is None or query.is_finished:
        return None
    progress = query.progress[shard]
    progress.attempts.pop(number, None)
    return progress


def _cancel_all(query: QueryState, progress: ShardProgress) -> Actions:
    actions: Actions = []
    for attempt in progress.attempts.values():
        query.in_flight.pop(attempt.number, None)
        actions.append(Cancel(attempt))
    progress.attempts.clear()
    return actions


def _must_stop(query: QueryState, context: Context) -> bool:
    if context.now_seconds >= answer_due_seconds(query.plan):
        return True
    expected_latency_seconds = hedging.hedge_delay_seconds(context)
    return can_stop_early(
        query.plan,
        query.included_count,
        expected_latency_seconds,
        context.now_seconds,
    )


def _conclude(query: QueryState, context: Context, actions: Actions) -> Actions:
    if not query.unsettled_count:
        return _conclude_settled(query, actions)
    actions.append(Wake(hedging.next_wake_seconds(query, context)))
    return actions


def _conclude_settled(query: QueryState, actions: Actions) -> Actions:
    if not query.unsettled_count and not query.is_finished:
        query.is_finished = True
        actions.append(Finish())
    return actions


def _settle(query: QueryState, progress: ShardProgress) -> None:
    progress.is_settled = True
    query.unsettled_count -= 1
