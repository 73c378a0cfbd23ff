"""Fit a line to a cost that is measured at several sizes."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple, TypeAlias

Work: TypeAlias = Callable[[], object]
MakeWork: TypeAlias = Callable[[int], Work]

REPEAT_COUNT: Final = 7
MIN_MEASUREMENT_SECONDS: Final = 0.02


class Slope(NamedTuple):
    """A cost as a linear function of size, in seconds or bytes.

    :param per_unit: Cost of one more unit, the median over repeats.
    :param min_per_unit: Minimum of the fitted slopes.
    :param max_per_unit: Maximum of the fitted slopes.
    :param fixed_cost: Cost at size zero, the median over repeats.
    """

    per_unit: float
    min_per_unit: float
    max_per_unit: float
    fixed_cost: float


def fit_seconds(make_work: MakeWork, sizes: Sequence[int]) -> Slope:
    """Measure processor time at several sizes and fit a line.

    :param make_work: Builds the operation for a given size.
    :param sizes: Sizes to measure, at least two.
    :returns: Processor seconds per unit.
    """
    works = [(size, make_work(size)) for size in sizes]
    return fit_lines(
        [
            [(size, _measure_seconds(work)) for size, work in works]
            for _ in range(REPEAT_COUNT)
        ]
    )


def fit_bytes(
    make_state: Callable[[int], object], sizes: Sequence[int]
) -> Slope:
    """Measure allocated memory at several sizes and fit a line.

    :param make_state: Builds the state of a given size.
    :param sizes: Sizes to measure, at least two.
    :returns: Bytes per unit.
    """
    return fit_lines(
        [
            [(size, _measure_bytes(make_state, size)) for size in sizes]
            for _ in range(2)
        ]
    )


def fit_lines(rounds: list[list[tuple[int, float]]]) -> Slope:
    """Fit a line to the measurements of each round.

    :param rounds: For each round, the sizes with their costs.
    :returns: Median, minimum and maximum of the slopes, and the median cost
        at size zero.
    """
    lines = [
        statistics.linear_regression(*zip(*points, strict=True))
        for points in rounds
    ]
    slopes = [line.slope for line in lines]
    return Slope(
        statistics.median(slopes),
        min(slopes),
        max(slopes),
        statistics.median(line.intercept for line in lines),
    )


def _measure_seconds(work: Work) -> float:
    gc.collect()
    count = 0
    started_seconds = time.process_time()
    spent_seconds = 0.0
    while spent_seconds < MIN_MEASUREMENT_SECONDS:
        work()
        count += 1
        spent_seconds = time.process_time() - started_seconds
    return spent_seconds / count


def _measure_bytes(make_state: Callable[[int], object], size: int) -> float:
    gc.collect()
    tracemalloc.start()
    before_bytes, _ = tracemalloc.get_traced_memory()
    state = make_state(size)
    gc.collect()
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    grown_bytes = after_bytes - before_bytes
    return grown_bytes if state else 0
