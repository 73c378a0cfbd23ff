"""Policies that the experiment compares."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final, NamedTuple

from celeryturn.decisions.load import extra_load
from celeryturn.decisions.request import pacing
from celeryturn.decisions.targets import replicas


class Policy(NamedTuple):
    """Choice of decision functions and flags for the instances.

    :param observes_replies: Whether instances record replies and missing
        responses; otherwise all targets have the same weight and the choice
        is random.
    :param prefers_own_zone: Whether targets in the instance's own availability
        zone come first.
    :param hedge_delay_seconds: Computes the time without a response after
        which a hedge is sent, from the expected latency and the seconds left
        until the latency objective.
    :param spend: Takes one extra request from a bucket, unless less than the
        given reserve would be left; returns whether it was allowed.
    :param is_extra_load_low: Returns whether little extra load is left.
    """

    observes_replies: bool
    prefers_own_zone: bool
    hedge_delay_seconds: Callable[[replicas.ExpectedLatency, float], float]
    spend: Callable[[extra_load.ExtraLoadBucket, float], bool]
    is_extra_load_low: Callable[
        [extra_load.ExtraLoadBucket, extra_load.Allowance], bool
    ]


def never_hedge(
    expected_latency: replicas.ExpectedLatency, remaining_seconds: float
) -> float:
    """Never hedge.

    :param expected_latency: Ignored.
    :param remaining_seconds: Ignored.
    :returns: Infinity, so that no hedge is due.
    """
    return float('inf')


def hedge_when_slow(
    expected_latency: replicas.ExpectedLatency, remaining_seconds: float
) -> float:
    """Hedge as soon as a reply is slower than expected.

    :param expected_latency: Expected latency of the route.
    :param remaining_seconds: Ignored.
    :returns: Seconds from the first attempt.
    """
    return expected_latency.slow_seconds


def spend_with_reserve_of_one(
    bucket: extra_load.ExtraLoadBucket, reserve: float
) -> bool:
    """Spend with a reserve of one extra request, whatever the capacity is.

    :param bucket: The instance's bucket.
    :param reserve: Only whether it is zero matters; any other value means a
        reserve of one.
    :returns: Whether an extra request may be sent.
    """
    return extra_load.spend(bucket, 1.0 if reserve else 0.0)


def never_low(
    bucket: extra_load.ExtraLoadBucket, allowance: extra_load.Allowance
) -> bool:
    """Report extra load as never low, so that the hedge delay is not affected.

    :param bucket: Ignored.
    :param allowance: Ignored.
    :returns: Always false.
    """
    return False


CURRENT: Final = Policy(
    observes_replies=True,
    prefers_own_zone=True,
    hedge_delay_seconds=pacing.hedge_delay_seconds,
    spend=extra_load.spend,
    is_extra_load_low=extra_load.is_low,
)
POLICIES: Final[Mapping[str, Policy]] = MappingProxyType(
    {
        'current': CURRENT,
        'plain': Policy(
            observes_replies=False,
            prefers_own_zone=False,
            hedge_delay_seconds=never_hedge,
            spend=extra_load.spend,
            is_extra_load_low=never_low,
        ),
        'without-hedges': CURRENT._replace(hedge_delay_seconds=never_hedge),
        'without-zones': CURRENT._replace(prefers_own_zone=False),
        'patient': CURRENT._replace(is_extra_load_low=never_low),
        'early-hedges': CURRENT._replace(hedge_delay_seconds=hedge_when_slow),
        'reserve-of-one': CURRENT._replace(spend=spend_with_reserve_of_one),
    }
)
