"""Access to the token buckets for extra requests of an instance."""

from celeryturn.decisions.load import extra_load
from celeryturn.decisions.load.fleet_share import get_sharing
from celeryturn.forwarding.shared_state import SharedState, now


def get_bucket(shared: SharedState, service: str) -> extra_load.ExtraLoadBucket:
    """Return the token bucket for extra requests to a service.

    :param shared: Shared state of the instance.
    :param service: Name of the service.
    :returns: This instance's bucket, created if it does not exist.
    """
    fleet_share = shared.fleet_share
    bucket = fleet_share.buckets.get(service)
    if bucket is None:
        bucket = extra_load.ExtraLoadBucket(
            get_allowance(shared), fleet_share.started_seconds
        )
        fleet_share.buckets[service] = bucket
    return bucket


def earn_extra_load(shared: SharedState, service: str) -> None:
    """Credit the bucket of a service for one needed request.

    :param shared: Shared state of the instance.
    :param service: Name of the service.
    """
    extra_load.earn(get_bucket(shared, service), get_allowance(shared), now())


def spend_extra_load(
    shared: SharedState, service: str, reserve_share: float
) -> bool:
    """Take a token for an extra request to a service if enough are left.

    :param shared: Shared state of the instance.
    :param service: Name of the service.
    :param reserve_share: Fraction of the bucket's capacity that must remain
        after the request.
    :returns: Whether the request may be sent.
    """
    bucket = get_bucket(shared, service)
    allowance = get_allowance(shared)
    extra_load.refill(bucket, allowance, now())
    reserve_tokens = reserve_share * extra_load.capacity(bucket, allowance)
    return extra_load.spend(bucket, reserve_tokens)


def is_extra_load_low(shared: SharedState, service: str) -> bool:
    """Return whether the bucket of a service is running low.

    :param shared: Shared state of the instance.
    :param service: Name of the service.
    :returns: Whether few tokens for extra requests are left.
    """
    return extra_load.is_low(get_bucket(shared, service), get_allowance(shared))


def get_allowance(shared: SharedState) -> extra_load.Allowance:
    """Return the allowance of this instance for extra requests.

    :param shared: Shared state of the instance.
    :returns: Bounds on the extra load and the number of instances that share
        them.
    """
    sharing = get_sharing(shared.fleet_share, shared.instance.membership, now())
    return extra_load.Allowance(shared.settings.extra_load, sharing.fleet_count)
