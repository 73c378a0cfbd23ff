"""Compare policies on simulated load: ``python -m bench.experiment``."""

import statistics
import sys
from collections import defaultdict
from typing import Final, NamedTuple

import fire
import plotext
from hdrh.histogram import HdrHistogram

from bench.model.days import PATTERNS, Day, DayParameters, simulate
from bench.model.guarantees import find_violations
from bench.model.instances import RequestOutcome
from bench.model.policies import POLICIES

MICROSECONDS_PER_SECOND: Final = 1_000_000
MAX_LATENCY_SECONDS: Final = 60
PERCENTILES: Final = (50, 90, 99)
COLUMN_WIDTH: Final = 16
WAKE_UP_TOLERANCE_SECONDS: Final = 0.001


class Figures(NamedTuple):
    """Summary figures of one day.

    :param on_time_share: Fraction of requests that succeeded within their
        latency objective.
    :param coverage_share: Mean fraction of successful legs; a failed request
        counts as 0.
    :param credit: Mean of the squared fraction of successful legs; a failed or
        late request counts as 0.
    :param percentiles_ms: Latency at each of ``PERCENTILES``.
    :param extra_share: Ratio of extra requests to needed requests.
    :param other_zone_share: Ratio of requests to other zones to needed
        requests.
    """

    on_time_share: float
    coverage_share: float
    credit: float
    percentiles_ms: tuple[float, ...]
    extra_share: float
    other_zone_share: float


def compute_figures(day: Day) -> Figures:
    """Compute the summary figures of a day.

    :param day: The simulated day.
    :returns: The figures of the day.
    """
    histogram = HdrHistogram(
        1, MAX_LATENCY_SECONDS * MICROSECONDS_PER_SECOND, 3
    )
    for outcome in day.outcomes:
        elapsed_seconds = max(
            outcome.elapsed_seconds, 1 / MICROSECONDS_PER_SECOND
        )
        histogram.record_value(int(elapsed_seconds * MICROSECONDS_PER_SECOND))
    credits = [_compute_credit(answer) for answer in day.outcomes]
    needed_count = max(1, sum(day.needed_counts.values()))
    return Figures(
        on_time_share=sum(map(bool, credits)) / len(credits),
        coverage_share=statistics.fmean(
            answer.success_share if answer.is_success else 0.0
            for answer in day.outcomes
        ),
        credit=statistics.fmean(credits),
        percentiles_ms=tuple(
            histogram.get_value_at_percentile(percentile) / 1000
            for percentile in PERCENTILES
        ),
        extra_share=sum(day.extra_counts.values()) / needed_count,
        other_zone_share=day.other_zone_count / needed_count,
    )


def _compute_credit(outcome: RequestOutcome) -> float:
    # The wake-up at the latency objective comes exactly at that time; an
    # answer that it completes counts as on time.
    limit_seconds = outcome.kind.objective_seconds + WAKE_UP_TOLERANCE_SECONDS
    is_on_time = outcome.elapsed_seconds <= limit_seconds
    return (
        outcome.success_share**2 if outcome.is_success and is_on_time else 0.0
    )


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
    """Simulate a load pattern with each policy and several seeds.

    :param pattern: Name of a pattern, or ``all`` for every pattern.
    :param policies: Names of policies, separated by commas.
    :param seeds: Number of seeds.
    :param instances: Number of instances.
    :param shards: Number of shards.
    :param rate: Requests per second over all instances.
    :param seconds: Length of a day in seconds.
    :param plot: Plot latency and coverage over time for the last seed.
    :returns: A table with one row for each pattern and policy, violated
        guarantees and plots.
    """
    day_parameters = DayParameters(
        instance_count=instances,
        shard_count=shards,
        requests_per_second=rate,
        duration_seconds=seconds,
    )
    policy_names = (
        policies if isinstance(policies, tuple) else policies.split(',')
    )
    patterns = list(PATTERNS) if pattern == 'all' else [pattern]
    rows = [_format_header()]
    for pattern_name in patterns:
        for policy_name in policy_names:
            days = [
                simulate(
                    day_parameters, pattern_name, POLICIES[policy_name], seed
                )
                for seed in range(seeds)
            ]
            rows.append(_format_row(pattern_name, policy_name, days))
            rows.extend(
                sorted({line for day in days for line in find_violations(day)})
            )
            if plot:
                rows.append(
                    _draw_plot(f'{pattern_name}, {policy_name}', days[-1])
                )
    return '\n'.join(rows)


def _format_header() -> str:
    percentiles = ''.join(
        f'{f"p{percentile} ms":>14}' for percentile in PERCENTILES
    )
    return (
        f'{"pattern":{COLUMN_WIDTH}}{"policy":{COLUMN_WIDTH}}{"on time":>16}'
        f'{"coverage":>16}{"credit":>16}{percentiles}{"extra":>8}{"far":>8}'
    )


def _format_row(pattern: str, policy: str, days: list[Day]) -> str:
    figures = [compute_figures(day) for day in days]
    means = ''.join(
        f'{_format_mean([getattr(fig, name) for fig in figures]):>16}'
        for name in ('on_time_share', 'coverage_share', 'credit')
    )
    latencies = ''.join(
        f'{statistics.fmean(fig.percentiles_ms[nth] for fig in figures):14.1f}'
        for nth in range(len(PERCENTILES))
    )
    extra = statistics.fmean(fig.extra_share for fig in figures)
    other_zone = statistics.fmean(fig.other_zone_share for fig in figures)
    return (
        f'{pattern:{COLUMN_WIDTH}}{policy:{COLUMN_WIDTH}}{means}{latencies}'
        f'{extra:8.3f}{other_zone:8.3f}'
    )


def _format_mean(samples: list[float]) -> str:
    half_range = (max(samples) - min(samples)) / 2
    return f'{statistics.fmean(samples):.4f}±{half_range:.4f}'


def _draw_plot(title: str, day: Day) -> str:
    latencies = defaultdict(list)
    coverage = defaultdict(list)
    for outcome in day.outcomes:
        second = int(outcome.started_seconds)
        latencies[second].append(outcome.elapsed_seconds * 1000)
        coverage[second].append(100 * outcome.success_share)
    plotext.clear_figure()
    plotext.theme('clear')
    plotext.plot_size(100, 24)
    plotext.title(title)
    plotext.xlabel('second')
    plotext.plot(
        list(latencies),
        [max(samples) for samples in latencies.values()],
        label='slowest answer, ms',
    )
    plotext.plot(
        list(coverage),
        [statistics.fmean(samples) for samples in coverage.values()],
        label='coverage, %',
    )
    text: str = plotext.build()
    return text


def main() -> None:
    """Run the experiment from the command line."""
    fire.Fire(run, name='bench.experiment')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
