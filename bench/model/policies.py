"""Policies that an experiment compares."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final, NamedTuple

from celeryturn.decisions import extra_load, pacing, replicas


class Policy(NamedTuple):
    """What decides, as plain functions.

    :param observes: Whether replies and silence are learnt from; without
        that every target weighs alike and chance decides.
    :param prefers_zone: Whether targets of the own zone come first.
    :param hedge_after_seconds: Silence after which another one is asked.
    :param spend: Takes from the extra load.
    :param is_short: Tells whether little of it is left.
    """

    observes: bool
    prefers_zone: bool
    hedge_after_seconds: Callable[[replicas.ExpectedLatency, float], float]
    spend: Callable[[extra_load.ExtraLoadBucket, float], bool]
    is_short: Callable[[extra_load.ExtraLoadBucket, extra_load.Allowance], bool]


def never(usual: replicas.ExpectedLatency, left_seconds: float) -> float:
    """Hedge never.

    :param usual: Not looked at.
    :param left_seconds: Not looked at.
    :returns: A time that does not come.
    """
    return float('inf')


def as_soon_as_slow(
    usual: replicas.ExpectedLatency, left_seconds: float
) -> float:
    """Hedge as soon as a reply is slower than usual.

    :param usual: What is usual for the route.
    :param left_seconds: Not looked at.
    :returns: Seconds from the first attempt.
    """
    return usual.slow_seconds


def leave_one(budget: extra_load.ExtraLoadBucket, reserve: float) -> bool:
    """Leave one extra request after a hedge, however few may be saved up.

    :param budget: The instance's bucket.
    :param reserve: Not looked at, but for whether something is to be left.
    :returns: Whether an extra request may be sent.
    """
    return extra_load.spend(budget, 1.0 if reserve else 0.0)


def never_short(
    budget: extra_load.ExtraLoadBucket, part: extra_load.Allowance
) -> bool:
    """Go by the same silence however little extra load is left.

    :param budget: Not looked at.
    :param part: Not looked at.
    :returns: Always false.
    """
    return False


CURRENT: Final = Policy(
    observes=True,
    prefers_zone=True,
    hedge_after_seconds=pacing.hedge_after_seconds,
    spend=extra_load.spend,
    is_short=extra_load.is_low,
)
POLICIES: Final[Mapping[str, Policy]] = MappingProxyType(
    {
        'current': CURRENT,
        'plain': Policy(
            observes=False,
            prefers_zone=False,
            hedge_after_seconds=never,
            spend=extra_load.spend,
            is_short=never_short,
        ),
        'without-hedges': CURRENT._replace(hedge_after_seconds=never),
        'without-zones': CURRENT._replace(prefers_zone=False),
        'patient': CURRENT._replace(is_short=never_short),
        'early-hedges': CURRENT._replace(hedge_after_seconds=as_soon_as_slow),
        'reserve-of-one': CURRENT._replace(spend=leave_one),
    }
)
