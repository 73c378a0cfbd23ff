"""The course of one query: sends, replies, retries, hedges, the end.

The functions take the state of a query and an event, and return actions.
They change that state in place, and the views, budget and window that the
context names; they read nothing else, so equal inputs give equal actions.
"""

from collections.abc import Iterable

from celeryturn.decisions import budget, hedging, routing, snapshots, views
from celeryturn.decisions.course import (
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
from celeryturn.decisions.messages import Reply
from celeryturn.decisions.planning import holds
from celeryturn.decisions.stopping import answer_due_seconds, may_stop_early


def begin(query: QueryState, context: Context) -> Actions:
    """Send the needed sub-requests.

    Where the snapshot is a guess, one shard is asked first: if its target
    does not hold the snapshot, it says which it holds, and one sub-request
    is lost in place of all.

    :param query: A new query.
    :param context: What may be looked at.
    :returns: One send a shard, or one in all, and the first wake-up.
    """
    plan = query.plan
    query.is_scouting = plan.is_guess
    shards = plan.shards[:1] if plan.is_guess else plan.shards
    actions = _send_first(query, shards, context)
    budget.earn(context.budget, len(plan.shards), plan.extra_load_share)
    return _conclude(query, context, actions)


def on_reply(
    query: QueryState, number: int, reply: Reply, context: Context
) -> Actions:
    """Take a reply in, if it belongs to the pinned index and snapshot.

    :param query: The query.
    :param number: The attempt that was replied to.
    :param reply: The decoded reply.
    :param context: What may be looked at.
    :returns: What to do next; nothing for an attempt no longer under way.
    """
    plan = query.plan
    pinned = (plan.partition.version, plan.snapshot)
    if (reply.index_version, reply.snapshot) != pinned:
        return on_failure(query, number, Failure.SNAPSHOT_GONE, context)
    progress = _end_attempt(query, number)
    if progress is None:
        return []
    progress.reply = reply
    _settle(query, progress)
    query.included_count += 1
    actions = _cancel_all(query, progress)
    if query.is_scouting:
        actions.extend(_send_held(query, context))
        return _conclude(query, context, actions)
    if query.open_count and _must_stop(query, context):
        return actions + finish(query)
    return _conclude_settled(query, actions)


def on_failure(
    query: QueryState, number: int, failure: Failure, context: Context
) -> Actions:
    """Take a failed attempt out, and try another replica if there is one.

    :param query: The query.
    :param number: The attempt that failed.
    :param failure: Why.
    :param context: What may be looked at.
    :returns: What to do next; nothing for an attempt no longer under way.
    """
    shard = query.under_way.get(number)
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
    if query.is_scouting:
        actions.extend(_send_held(query, context))
    if not progress.attempts:
        actions.extend(_retry(query, shard, context))
    return _conclude(query, context, actions)


def on_wake(query: QueryState, context: Context) -> Actions:
    """Stop, hedge or try again, as the time has come to.

    :param query: The query.
    :param context: What may be looked at.
    :returns: What to do next.
    """
    if query.is_finished:
        return []
    if _must_stop(query, context):
        return finish(query)
    actions: Actions = []
    if query.is_scouting:
        actions.extend(_send_more_scouts(query, context))
    for shard, progress in query.progress.items():
        if progress.tried and not progress.is_settled:
            actions.extend(_push(query, shard, context))
    return _conclude(query, context, actions)


def note_unsent(query: QueryState) -> None:
    """Correct the count: a cancelled attempt had never been sent.

    :param query: The query.
    """
    query.sent_count -= 1


def finish(query: QueryState) -> Actions:
    """End a query with what is there, or because its caller has gone.

    :param query: The query.
    :returns: Cancellations of all that is under way, and the end.
    """
    actions: Actions = []
    for progress in query.progress.values():
        actions.extend(_cancel_all(query, progress))
    query.is_finished = True
    actions.append(Finish())
    return actions


def _restart(query: QueryState, context: Context) -> Actions:
    # Replies of the former snapshot are dropped: they never meet in an
    # answer with those of the other one.
    actions: Actions = []
    for progress in query.progress.values():
        actions.extend(_cancel_all(query, progress))
    held = snapshots.other_snapshot(query, context)
    query.plan = query.plan._replace(snapshot=held)
    query.is_restarted = not query.is_scouting
    query.is_scouting = False
    shards = query.plan.shards
    query.progress = {shard: ShardProgress() for shard in shards}
    query.open_count = len(shards)
    query.included_count = 0
    actions.extend(_send_first(query, shards, context))
    return _conclude(query, context, actions)


def _push(query: QueryState, shard: str, context: Context) -> Actions:
    progress = query.progress[shard]
    if not progress.attempts:
        return _retry(query, shard, context)
    if hedging.may_hedge(progress, context):
        return _send_extra(query, shard, context)
    return []


def _send_held(query: QueryState, context: Context) -> Actions:
    query.is_scouting = False
    return _send_first(query, _held(query), context)


def _send_more_scouts(query: QueryState, context: Context) -> Actions:
    # Twice as many each time: a target that stays silent holds the others up
    # for a few wake-ups, and a wrong guess is not sent to all at once.
    held = _held(query)
    sent_count = len(query.plan.shards) - len(held)
    if sent_count >= len(held):
        query.is_scouting = False
    return _send_first(query, held[:sent_count], context)


def _held(query: QueryState) -> list[str]:
    return [
        shard
        for shard, progress in query.progress.items()
        if not progress.tried and not progress.is_settled
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
    is_free = progress.failure is Failure.NOT_SENT
    if is_free or budget.spend(context.budget):
        return [_send(query, shard, target, context)]
    if views.is_ejected(context.views[target], context.now_seconds):
        # The best that is left fails too: waiting for a token is no use.
        _settle(query, progress)
    return []


def _send_extra(query: QueryState, shard: str, context: Context) -> Actions:
    target = _best_untried(query, shard, context)
    # A retry saves coverage, a hedge only time: some tokens are kept for it.
    reserve = budget.RETRY_RESERVE_TOKENS
    if target is None or not budget.spend(context.budget, reserve):
        return []
    return [_send(query, shard, target, context)]


def _send(
    query: QueryState, shard: str, target: str, context: Context
) -> Action:
    query.sent_count += 1
    query.last_number += 1
    attempt = Attempt(query.last_number, shard, target, context.now_seconds)
    progress = query.progress[shard]
    progress.attempts[attempt.number] = attempt
    progress.tried.add(target)
    query.under_way[attempt.number] = shard
    return Send(attempt)


def _best_untried(
    query: QueryState, shard: str, context: Context
) -> str | None:
    tried = query.progress[shard].tried
    partition = query.plan.partition
    replicas = partition.shards[shard].replicas
    ranked = routing.rank(
        (name for name in replicas if name not in tried),
        context.views,
        context.zone,
        context.now_seconds,
        context.random,
    )
    for name in ranked:
        if holds(context.views[name], query.plan.snapshot, context.now_seconds):
            return name
    return ranked[0] if ranked else None


def _end_attempt(query: QueryState, number: int) -> ShardProgress | None:
    shard = query.under_way.pop(number, None)
    if shard is None or query.is_finished:
        return None
    progress = query.progress[shard]
    progress.attempts.pop(number, None)
    return progress


def _cancel_all(query: QueryState, progress: ShardProgress) -> Actions:
    actions: Actions = []
    for attempt in progress.attempts.values():
        query.under_way.pop(attempt.number, None)
        actions.append(Cancel(attempt))
    progress.attempts.clear()
    return actions


def _must_stop(query: QueryState, context: Context) -> bool:
    if context.now_seconds >= answer_due_seconds(query.plan):
        return True
    usual_seconds = hedging.hedge_after_seconds(context)
    return may_stop_early(
        query.plan, query.included_count, usual_seconds, context.now_seconds
    )


def _conclude(query: QueryState, context: Context, actions: Actions) -> Actions:
    if not query.open_count:
        return _conclude_settled(query, actions)
    actions.append(Wake(hedging.next_wake_seconds(query, context)))
    return actions


def _conclude_settled(query: QueryState, actions: Actions) -> Actions:
    if not query.open_count and not query.is_finished:
        query.is_finished = True
        actions.append(Finish())
    return actions


def _settle(query: QueryState, progress: ShardProgress) -> None:
    progress.is_settled = True
    query.open_count -= 1
