"""When the configuration in force was last known to be the newest.

The configuration service confirms it directly.  A peer vouches for it: its
confirmation counts where both hold the same versions, from the moment this
instance asked, less the age the peer states.
"""

from typing import Final, NamedTuple

NEVER_SECONDS: Final = float('-inf')


class Freshness(NamedTuple):
    """Confirmations, as times of this instance's clock.

    :param confirmed_seconds: The newest confirmation, from any source.
    :param highest_revision: Highest revision the service ever showed.
    """

    confirmed_seconds: float = NEVER_SECONDS
    highest_revision: int = 0


class PeerConfirmation(NamedTuple):
    """What a peer says of its own freshness.

    :param sent_seconds: When this instance asked, by its own clock.
    :param age_seconds: How old the peer's confirmation was when it replied.
    :param has_same_versions: Whether both hold the same versions.
    :param highest_revision: Highest revision the service showed the peer.
    """

    sent_seconds: float
    age_seconds: float
    has_same_versions: bool
    highest_revision: int


def record_confirmation(
    freshness: Freshness, sent_seconds: float, revision: int
) -> Freshness:
    """Take a confirmation of the configuration service in.

    :param freshness: What was known.
    :param sent_seconds: When the service was asked; its answer may have
        been given at any time since.
    :param revision: The revision the service showed.
    :returns: What is known now; a service that shows an older revision than
        it did before is stale and confirms nothing.
    """
    if revision < freshness.highest_revision:
        return freshness
    newest_seconds = max(freshness.confirmed_seconds, sent_seconds)
    return Freshness(newest_seconds, revision)


def record_peer_confirmation(
    freshness: Freshness, confirmation: PeerConfirmation
) -> Freshness:
    """Take a peer's word in.

    :param freshness: What was known.
    :param confirmation: What the peer says.
    :returns: What is known now.
    """
    revision = max(freshness.highest_revision, confirmation.highest_revision)
    confirmed_seconds = freshness.confirmed_seconds
    if confirmation.has_same_versions:
        peer_confirmed_seconds = (
            confirmation.sent_seconds - confirmation.age_seconds
        )
        confirmed_seconds = max(confirmed_seconds, peer_confirmed_seconds)
    return Freshness(confirmed_seconds, revision)
