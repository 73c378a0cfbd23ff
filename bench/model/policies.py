"""Policies that an experiment compares."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final, NamedTuple

from celeryturn.decisions import extra_load, pacing, replicas


class Policy(NamedTuple):
    """What decides, as plain functions.

    :param observes_replies: Whether replies and silence are learnt from;
        without that every target weighs alike and chance decides.
    :param prefers_own_zone: Whether targets of the own zone come first.
    :param hedge_delay_seconds: Silence after which another one is asked.
    :param spend: Takes from the extra load.
    :param is_extra_load_low: Tells whether little of it is left.
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
    """Hedge never.

    :param expected_latency: Not looked at.
    :param remaining_seconds: Not looked at.
    :returns: A time that does not come.
    """
    return float('inf')


def hedge_when_slow(
    expected_latency: replicas.ExpectedLatency, remaining_seconds: float
) -> float:
    """Hedge as soon as a reply is slower than usual.

    :param expected_latency: What is usual for the route.
    :param remaining_seconds: Not looked at.
    :returns: Seconds from the first attempt.
    """
    return expected_latency.slow_seconds


def spend_with_reserve_of_one(
    bucket: extra_load.ExtraLoadBucket, reserve: float
) -> bool:
    """Leave one extra request after a hedge, however few may be saved up.

    :param bucket: The instance's bucket.
    :param reserve: Not looked at, but for whether something is to be left.
    :returns: Whether an extra request may be sent.
    """
    return extra_load.spend(bucket, 1.0 if reserve else 0.0)


def never_low(
    bucket: extra_load.ExtraLoadBucket, allowance: extra_load.Allowance
) -> bool:
    """Go by the same silence however little extra load is left.

    :param bucket: Not looked at.
    :param allowance: Not looked at.
    :returns: Always false.
    """
    return False


CURRENT: Final = Policy(
    observes_replies=True,
    prefers_own_zone=True,
    hedge_delay_seconds=pacing.hedge_after_seconds,
    spend=extra_load.spend,
    is_extra_load_low=extra_load.is_short,
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
