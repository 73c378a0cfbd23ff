"""Measure the slopes and write them and the derived figures to the docs."""

import sys
from pathlib import Path
from typing import Final

from bench import works
from bench.capacity import format_figures
from bench.fit import Slope, fit_bytes, fit_seconds
from bench.idle import measure_idle
from bench.path import measure_path

PAGE_PATH: Final = Path('docs/CAPACITY.md')
MICROSECONDS: Final = 1_000_000
MEGABYTE: Final = 1_000_000
PERCENT: Final = 100
PATH_SLOPE_NAME: Final = 'whole path a sub-request'


def main() -> None:
    """Measure, print the results and update both sections of the page."""
    seconds = _measure_seconds()
    memory = {
        label: fit_bytes(make_state, sizes)
        for label, (make_state, sizes) in works.MEMORY_MEASUREMENTS.items()
    }
    slopes = '\n'.join((_slopes_table(seconds, memory), _idle_rows()))
    derived = format_figures(_per_unit(seconds), _per_unit(memory))
    sys.stdout.write(f'{slopes}\n\n{derived}\n')
    if PAGE_PATH.exists():
        _update_page(slopes, derived)


def _per_unit(slopes: dict[str, Slope]) -> dict[str, float]:
    return {name: slope.per_unit for name, slope in slopes.items()}


def _update_page(slopes: str, derived: str) -> None:
    text = PAGE_PATH.read_text(encoding='utf-8')
    text = _replace_section(text, 'slopes', slopes)
    text = _replace_section(text, 'figures', derived)
    PAGE_PATH.write_text(text, encoding='utf-8')


def _idle_rows() -> str:
    idle = measure_idle()
    return (
        '| idle instance, one of nine, core share | '
        f'{idle.core_share * PERCENT:.2f}% '
        f'| {idle.min_core_share * PERCENT:.2f} to '
        f'{idle.max_core_share * PERCENT:.2f}% | |\n'
        '| idle instance, one of nine, resident memory | '
        f'{idle.resident_bytes / MEGABYTE:.1f} MB | | |'
    )


def _measure_seconds() -> dict[str, Slope]:
    seconds = {PATH_SLOPE_NAME: measure_path()}
    for name, (make_work, sizes) in works.TIME_MEASUREMENTS.items():
        seconds[name] = fit_seconds(make_work, sizes)
    return seconds


def _slopes_table(seconds: dict[str, Slope], memory: dict[str, Slope]) -> str:
    lines = ['| what | slope | least to most | fixed |', '|---|---|---|---|']
    for name, slope in seconds.items():
        cells = [
            f'{part_seconds * MICROSECONDS:.2f}'
            for part_seconds in (
                slope.per_unit,
                slope.min_per_unit,
                slope.max_per_unit,
                slope.fixed_cost,
            )
        ]
        lines.append(
            f'| {name} | {cells[0]} us | {cells[1]} to {cells[2]} us '
            f'| {cells[3]} us |'
        )
    for label, memory_slope in memory.items():
        lines.append(
            f'| memory: {label} | {memory_slope.per_unit:.0f} B '
            f'| {memory_slope.min_per_unit:.0f} to '
            f'{memory_slope.max_per_unit:.0f} B '
            f'| {memory_slope.fixed_cost:.0f} B |'
        )
    return '\n'.join(lines)


def _replace_section(text: str, name: str, section: str) -> str:
    begin_marker = f'<!-- {name} begin -->'
    end_marker = f'<!-- {name} end -->'
    before, _, rest = text.partition(begin_marker)
    _, _, after = rest.partition(end_marker)
    return f'{before}{begin_marker}\n{section}\n{end_marker}{after}'


if __name__ == '__main__':
    main()
