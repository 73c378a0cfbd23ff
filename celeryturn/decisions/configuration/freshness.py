"""When the current configuration was last known to be the newest.

The configuration service confirms it directly.  A peer confirms it
indirectly: its confirmation counts if both instances hold the same versions,
and is dated to the time at which this instance sent its request, minus the
age that the peer reports.
"""

from typing import Final, NamedTuple

NEVER_SECONDS: Final = float('-inf')


class Freshness(NamedTuple):
    """Confirmations of the configuration.

    :param confirmed_seconds: Time of the newest confirmation from any source,
        by the clock of this instance.
    :param highest_revision: Highest revision that the configuration service
        has reported to this instance or its peers.
    """

    confirmed_seconds: float = NEVER_SECONDS
    highest_revision: int = 0


class PeerConfirmation(NamedTuple):
    """Freshness that a peer reports in reply to a request.

    :param sent_seconds: When this instance sent the request, by its own
        clock.
    :param age_seconds: Age of the peer's confirmation when it replied.
    :param has_same_versions: Whether both instances hold the same versions.
    :param highest_revision: Highest revision known to the peer.
    """

    sent_seconds: float
    age_seconds: float
    has_same_versions: bool
    highest_revision: int


def record_confirmation(
    freshness: Freshness, sent_seconds: float, revision: int
) -> Freshness:
    """Record a confirmation by the configuration service.

    :param freshness: Freshness so far.
    :param sent_seconds: When the request was sent.  The service may have
        produced its response at any time after that.
    :param revision: The revision that the service reported.
    :returns: The updated freshness.  It is unchanged if the revision is lower
        than the highest known one: the service is stale and confirms nothing.
    """
    if revision < freshness.highest_revision:
        return freshness
    newest_seconds = max(freshness.confirmed_seconds, sent_seconds)
    return Freshness(newest_seconds, revision)


def record_peer_confirmation(
    freshness: Freshness, confirmation: PeerConfirmation
) -> Freshness:
    """Record a confirmation by a peer.

    :param freshness: Freshness so far.
    :param confirmation: Freshness that the peer reported.
    :returns: The updated freshness.
    """
    revision = max(freshness.highest_revision, confirmation.highest_revision)
    confirmed_seconds = freshness.confirmed_seconds
    if confirmation.has_same_versions:
        peer_confirmed_seconds = (
            confirmation.sent_seconds - confirmation.age_seconds
        )
        confirmed_seconds = max(confirmed_seconds, peer_confirmed_seconds)
    return Freshness(confirmed_seconds, revision)
