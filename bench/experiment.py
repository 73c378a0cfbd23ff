"""Compare policies on modelled load: ``python -m bench.experiment``."""

import statistics
import sys
from collections import defaultdict
from typing import Final, NamedTuple

import fire
import plotext
from hdrh.histogram import HdrHistogram

from bench.model.days import PATTERNS, Day, DayShape, play
from bench.model.fleet import Outcome
from bench.model.policies import POLICIES
from bench.model.promises import broken

MICROSECONDS: Final = 1_000_000
LONGEST_SECONDS: Final = 60
PERCENTILES: Final = (50, 90, 99)
COLUMN: Final = 16
WAKE_UP_SECONDS: Final = 0.001


class Figures(NamedTuple):
    """Figures of one day.

    :param on_time_share: Answers in time with enough parts, of all.
    :param coverage_share: Mean share of parts, failures counting as none.
    :param credit: Mean of the squared share of parts of answers in time.
    :param percentiles_ms: Latency at the percentiles of this module.
    :param extra_share: Extra requests for each needed one.
    :param far_share: Requests to other zones for each needed one.
    """

    on_time_share: float
    coverage_share: float
    credit: float
    percentiles_ms: tuple[float, ...]
    extra_share: float
    far_share: float


def figures(day: Day) -> Figures:
    """Work out the figures of a day.

    :param day: The day.
    :returns: Its figures.
    """
    histogram = HdrHistogram(1, LONGEST_SECONDS * MICROSECONDS, 3)
    for outcome in day.outcomes:
        elapsed = max(outcome.elapsed_seconds, 1 / MICROSECONDS)
        histogram.record_value(int(elapsed * MICROSECONDS))
    credits = [_credit(answer) for answer in day.outcomes]
    needed = max(1, sum(day.needed.values()))
    return Figures(
        on_time_share=sum(map(bool, credits)) / len(credits),
        coverage_share=statistics.fmean(
            answer.parts_share if answer.is_success else 0.0
            for answer in day.outcomes
        ),
        credit=statistics.fmean(credits),
        percentiles_ms=tuple(
            histogram.get_value_at_percentile(percentile) / 1000
            for percentile in PERCENTILES
        ),
        extra_share=sum(day.extra.values()) / needed,
        far_share=day.far_count / needed,
    )


def _credit(outcome: Outcome) -> float:
    # A wake-up for the end of the objective comes right at that time.
    limit_seconds = outcome.kind.objective_seconds + WAKE_UP_SECONDS
    is_on_time = outcome.elapsed_seconds <= limit_seconds
    return outcome.parts_share**2 if outcome.is_success and is_on_time else 0.0


def run(
    pattern: str = 'some-slow',
    policies: str = 'current,plain',
    seeds: int = 3,
    instances: int = 9,
    shards: int = 10,
    rate: float = 90.0,
    seconds: float = 30.0,
    plot: bool = False,
) -> str:
    """Play a load pattern with each policy, over seeds.

    :param pattern: One of the patterns; ``all`` for every one.
    :param policies: Names of policies, separated by commas.
    :param seeds: How many seeds.
    :param instances: Instances.
    :param shards: Shards.
    :param rate: Requests a second, over all instances.
    :param seconds: Length of a day.
    :param plot: Draw latency and coverage over time, of the last seed.
    """
    shape = DayShape(
        instance_count=instances,
        shard_count=shards,
        requests_per_second=rate,
        length_seconds=seconds,
    )
    names = policies if isinstance(policies, tuple) else policies.split(',')
    patterns = list(PATTERNS) if pattern == 'all' else [pattern]
    rows = [_head()]
    for name in patterns:
        for policy in names:
            days = [
                play(shape, name, POLICIES[policy], seed)
                for seed in range(seeds)
            ]
            rows.append(_row(name, policy, days))
            rows.extend(sorted({line for day in days for line in broken(day)}))
            if plot:
                rows.append(_plot(f'{name}, {policy}', days[-1]))
    return '\n'.join(rows)


def _head() -> str:
    percentiles = ''.join(f'{f"p{known} ms":>14}' for known in PERCENTILES)
    return (
        f'{"pattern":{COLUMN}}{"policy":{COLUMN}}{"on time":>16}'
        f'{"coverage":>16}{"credit":>16}{percentiles}{"extra":>8}{"far":>8}'
    )


def _row(pattern: str, policy: str, days: list[Day]) -> str:
    known = [figures(day) for day in days]
    shares = ''.join(
        f'{_spread([getattr(fig, name) for fig in known]):>16}'
        for name in ('on_time_share', 'coverage_share', 'credit')
    )
    latencies = ''.join(
        f'{statistics.fmean(fig.percentiles_ms[place] for fig in known):14.1f}'
        for place in range(len(PERCENTILES))
    )
    extra = statistics.fmean(fig.extra_share for fig in known)
    far = statistics.fmean(fig.far_share for fig in known)
    return (
        f'{pattern:{COLUMN}}{policy:{COLUMN}}{shares}{latencies}'
        f'{extra:8.3f}{far:8.3f}'
    )


def _spread(shares: list[float]) -> str:
    half = (max(shares) - min(shares)) / 2
    return f'{statistics.fmean(shares):.4f}±{half:.4f}'


def _plot(title: str, day: Day) -> str:
    latencies = defaultdict(list)
    coverage = defaultdict(list)
    for outcome in day.outcomes:
        second = int(outcome.started_seconds)
        latencies[second].append(outcome.elapsed_seconds * 1000)
        coverage[second].append(100 * outcome.parts_share)
    plotext.clear_figure()
    plotext.theme('clear')
    plotext.plot_size(100, 24)
    plotext.title(title)
    plotext.xlabel('second')
    plotext.plot(
        list(latencies),
        [max(known) for known in latencies.values()],
        label='slowest answer, ms',
    )
    plotext.plot(
        list(coverage),
        [statistics.fmean(known) for known in coverage.values()],
        label='coverage, %',
    )
    text: str = plotext.build()
    return text


def main() -> None:
    """Entry point of the experiment tool."""
    fire.Fire(run, name='bench.experiment')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
