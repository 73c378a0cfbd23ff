"""Whether this instance reaches its targets at all.

Many targets that fall silent at the same time say more about the links of this
instance than about the targets.  Whether they do is then probed: the links are
lost if no connection to any of several targets can be opened.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from celeryturn.decisions.targets.replicas import Replica

WINDOW_SECONDS: Final = 1.0
SILENT_AFTER_SECONDS: Final = 0.3
MIN_SILENT_COUNT: Final = 4
MIN_UNHEARD_COUNT: Final = 2
SILENT_SHARE: Final = 0.8
UNCONNECTED_SHARE: Final = 0.3
PROBED_COUNT: Final = 8
# While the links are lost, and while they are only suspect.
PROBE_INTERVAL_SECONDS: Final = 0.3
CHECK_INTERVAL_SECONDS: Final = 1.0
RESTORED_SHARE: Final = 0.5
PROBE_TIMEOUT_SECONDS: Final = 0.25
# If it takes longer, this process did not run meanwhile, and its timeouts say
# nothing about the targets.
MAX_PROBE_SECONDS: Final = 0.4


class Contact(NamedTuple):
    """Targets by whether they responded of late.

    :param heard_count: Targets that responded.
    :param silent_count: Targets that did not respond to what was sent since.
    :param unconnected_count: Targets to which a connection failed or stayed
        silent, although others may work.
    """

    heard_count: int
    silent_count: int
    unconnected_count: int


class Probe(NamedTuple):
    """Outcome of connecting to several targets.

    :param tried_count: Number of these targets.
    :param reached_count: Number of those that accepted.
    :param took_seconds: How long it took, from the first attempt on.
    :param accepted: Identifiers of the targets that accepted.
    """

    tried_count: int
    reached_count: int
    took_seconds: float
    accepted: tuple[str, ...] = ()


class TargetLinks:
    """Links of this instance to its targets.

    :param is_lost: Whether no target can be reached.
    :param changed_seconds: Time since which this is so.
    :param probed_seconds: Time of the last probe.
    :param accepted_seconds: Time at which targets accepted the connection of a
        probe within :data:`WINDOW_SECONDS`.
    """

    __slots__ = (
        'accepted_seconds',
        'changed_seconds',
        'is_lost',
        'probed_seconds',
    )

    def __init__(self, now_seconds: float) -> None:
        self.is_lost = False
        self.changed_seconds = now_seconds
        self.probed_seconds = now_seconds
        self.accepted_seconds: dict[str, float] = {}


def assess(
    replicas: Iterable[Replica], since_seconds: float, now_seconds: float
) -> Contact:
    """Count the targets that responded within :data:`WINDOW_SECONDS`.

    :param replicas: Known targets.
    :param since_seconds: Time before which nothing counts.
    :param now_seconds: Current time.
    :returns: The counts; targets that got no requests are in neither.
    """
    heard_count = 0
    silent_count = 0
    unconnected_count = 0
    earliest_seconds = max(since_seconds, now_seconds - WINDOW_SECONDS)
    for replica in replicas:
        has_failed = replica.no_response_seconds > earliest_seconds
        unconnected_count += has_failed
        if not replica.pending and not has_failed:
            # Nothing waits, so that it cannot be silent; most targets are so.
            heard_count += replica.last_reply_seconds > earliest_seconds
        elif is_silent(replica, since_seconds, now_seconds):
            silent_count += 1
        elif is_heard(replica, since_seconds, now_seconds):
            heard_count += 1
    return Contact(heard_count, silent_count, unconnected_count)


def is_mostly_silent(contact: Contact, target_count: int) -> bool:
    """Return whether so many targets are silent that the links are suspect.

    :param contact: Targets by whether they responded of late.
    :param target_count: Number of known targets.
    :returns: Whether at least :data:`SILENT_SHARE` of those that requests were
        sent to did not respond, and at least :data:`MIN_SILENT_COUNT`; fewer
        are enough if none responded.
    """
    used_count = contact.heard_count + contact.silent_count
    min_count = MIN_SILENT_COUNT if contact.heard_count else MIN_UNHEARD_COUNT
    min_count = max(1, min(min_count, target_count))
    return contact.silent_count >= max(min_count, SILENT_SHARE * used_count)


def is_probe_due(
    links: TargetLinks, contact: Contact, target_count: int, now_seconds: float
) -> bool:
    """Return whether to probe targets now.

    :param links: Links of this instance.
    :param contact: Targets by whether they responded of late.
    :param target_count: Number of known targets.
    :param now_seconds: Current time.
    :returns: Whether the links are lost or suspect, and were not probed within
        the interval.
    """
    interval_seconds = (
        PROBE_INTERVAL_SECONDS if links.is_lost else CHECK_INTERVAL_SECONDS
    )
    if now_seconds - links.probed_seconds < interval_seconds:
        return False
    if links.is_lost or is_mostly_silent(contact, target_count):
        return True
    used_count = contact.heard_count + contact.silent_count
    return contact.unconnected_count >= max(
        MIN_SILENT_COUNT, UNCONNECTED_SHARE * used_count
    )


def record_probe(links: TargetLinks, probe: Probe, now_seconds: float) -> bool:
    """Record how many of the probed targets accepted a connection.

    :param links: Links of this instance.
    :param probe: Outcome of the probe.
    :param now_seconds: Current time.
    :returns: Whether the links were lost or restored.
    """
    tried_count, reached_count, took_seconds, accepted = probe
    if not tried_count or took_seconds > MAX_PROBE_SECONDS:
        return False
    links.probed_seconds = now_seconds
    _record_accepted(links, accepted, now_seconds)
    if links.is_lost:
        is_lost = reached_count < RESTORED_SHARE * tried_count
    else:
        is_lost = not reached_count
    has_changed = is_lost != links.is_lost
    if has_changed:
        links.is_lost = is_lost
        links.changed_seconds = now_seconds
    return has_changed


def _record_accepted(
    links: TargetLinks, accepted: tuple[str, ...], now_seconds: float
) -> None:
    recent = {
        target: at_seconds
        for target, at_seconds in links.accepted_seconds.items()
        if at_seconds > now_seconds - WINDOW_SECONDS
    }
    links.accepted_seconds = {**recent, **dict.fromkeys(accepted, now_seconds)}


def can_serve_here(
    links: TargetLinks,
    replicas_by_service: Iterable[Iterable[Replica]],
    min_count: int,
    now_seconds: float,
) -> bool:
    """Return whether this instance should try to serve a request itself.

    :param links: Links of this instance.
    :param replicas_by_service: Targets of each service of the request.
    :param min_count: Number of services that must reply.
    :param now_seconds: Current time.
    :returns: Whether its links work, or enough of the services have a target
        that responds on an open connection or accepted one of late.
    """
    if not links.is_lost:
        return True
    reached_count = sum(
        any(_is_reached(links, replica, now_seconds) for replica in replicas)
        for replicas in replicas_by_service
    )
    return reached_count >= min_count


def _is_reached(
    links: TargetLinks, replica: Replica, now_seconds: float
) -> bool:
    # What was heard before the loss says nothing.
    since_seconds = links.changed_seconds
    if is_silent(replica, since_seconds, now_seconds):
        return False
    # If most targets of the list are gone for good, the links count as lost for
    # as long as they are listed, and the others must be used all the same.
    accepted_seconds = links.accepted_seconds.get(replica.entry.target, 0)
    return is_heard(replica, since_seconds, now_seconds) or (
        accepted_seconds > now_seconds - WINDOW_SECONDS
    )


def is_silent(
    replica: Replica, since_seconds: float, now_seconds: float
) -> bool:
    """Return whether a target did not respond to what was sent last.

    :param replica: Target to assess.
    :param since_seconds: Time before which nothing counts.
    :param now_seconds: Current time.
    :returns: Whether a request has waited for
        :data:`SILENT_AFTER_SECONDS`, or ended without a response within
        :data:`WINDOW_SECONDS`, and there was no response since.
    """
    last_reply_seconds = replica.last_reply_seconds
    oldest_seconds = next(iter(replica.pending.values()), now_seconds)
    waited_seconds = now_seconds - max(oldest_seconds, since_seconds)
    if (
        waited_seconds >= SILENT_AFTER_SECONDS
        and last_reply_seconds < oldest_seconds
    ):
        return True
    earliest_seconds = max(since_seconds, now_seconds - WINDOW_SECONDS)
    return replica.no_response_seconds > max(
        last_reply_seconds, earliest_seconds
    )


def is_heard(
    replica: Replica, since_seconds: float, now_seconds: float
) -> bool:
    """Return whether a target responded of late.

    :param replica: Target to assess.
    :param since_seconds: Time before which nothing counts.
    :param now_seconds: Current time.
    :returns: Whether it responded within :data:`WINDOW_SECONDS`.
    """
    earliest_seconds = max(since_seconds, now_seconds - WINDOW_SECONDS)
    return replica.last_reply_seconds > earliest_seconds


def observe_unanswered(
    replica: Replica, sent_seconds: float, now_seconds: float
) -> None:
    """Record a request that ended without a response of the target.

    One that did not wait long says nothing.

    :param replica: The target.
    :param sent_seconds: Time at which the request was sent, or was to be.
    :param now_seconds: Time at which it ended.
    """
    has_waited = now_seconds - sent_seconds >= SILENT_AFTER_SECONDS
    if has_waited and replica.last_reply_seconds < sent_seconds:
        replica.no_response_seconds = now_seconds


def forget_silence(replica: Replica) -> None:
    """Forget failures that were those of the links of this instance.

    :param replica: A target that is not to blame for them.
    """
    replica.no_response_seconds = 0.0
    replica.blocked_until_seconds = 0.0
    replica.probe_at_seconds = 0.0
    replica.failure_share = 0.0
    replica.connect_failure_count = 0
    replica.unanswered_count = 0


def observe_connection_failure(replica: Replica, now_seconds: float) -> None:
    """Record that a connection could not be opened, or broke off.

    :param replica: The target.
    :param now_seconds: Time of the failure.
    """
    replica.no_response_seconds = now_seconds
