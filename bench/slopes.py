"""Measure the slopes and write them, with what follows, into the docs."""

import sys
from pathlib import Path
from typing import Final

from bench import works
from bench.capacity import figures
from bench.fit import Slope, fit_bytes, fit_seconds
from bench.idle import measure_idle
from bench.path import measure_path

PAGE: Final = Path('docs/CAPACITY.md')
MICROSECONDS: Final = 1_000_000
MEGABYTE: Final = 1_000_000
PERCENT: Final = 100
PATH: Final = 'whole path a sub-request'


def main() -> None:
    """Measure, print, and renew the two tables of the page."""
    seconds = _measure_seconds()
    memory = {
        held: fit_bytes(make_state, sizes)
        for held, (make_state, sizes) in works.BYTES.items()
    }
    slopes = '\n'.join((_slopes_table(seconds, memory), _idle_lines()))
    derived = figures(_per_unit(seconds), _per_unit(memory))
    sys.stdout.write(f'{slopes}\n\n{derived}\n')
    if PAGE.exists():
        _renew_page(slopes, derived)


def _per_unit(slopes: dict[str, Slope]) -> dict[str, float]:
    return {name: slope.per_unit for name, slope in slopes.items()}


def _renew_page(slopes: str, derived: str) -> None:
    text = PAGE.read_text(encoding='utf-8')
    text = _with_part(text, 'slopes', slopes)
    text = _with_part(text, 'figures', derived)
    PAGE.write_text(text, encoding='utf-8')


def _idle_lines() -> str:
    idle = measure_idle()
    return (
        '| idle instance, one of nine, core share | '
        f'{idle.core_share * PERCENT:.2f}% '
        f'| {idle.least * PERCENT:.2f} to {idle.most * PERCENT:.2f}% | |\n'
        '| idle instance, one of nine, resident memory | '
        f'{idle.resident_bytes / MEGABYTE:.1f} MB | | |'
    )


def _measure_seconds() -> dict[str, Slope]:
    seconds = {PATH: measure_path()}
    for name, (make_work, sizes) in works.SECONDS.items():
        seconds[name] = fit_seconds(make_work, sizes)
    return seconds


def _slopes_table(seconds: dict[str, Slope], memory: dict[str, Slope]) -> str:
    lines = ['| what | slope | least to most | fixed |', '|---|---|---|---|']
    for name, slope in seconds.items():
        cells = [
            f'{part * MICROSECONDS:.2f}'
            for part in (slope.per_unit, slope.least, slope.most, slope.fixed)
        ]
        lines.append(
            f'| {name} | {cells[0]} us | {cells[1]} to {cells[2]} us '
            f'| {cells[3]} us |'
        )
    for held, cost in memory.items():
        lines.append(
            f'| memory: {held} | {cost.per_unit:.0f} B '
            f'| {cost.least:.0f} to {cost.most:.0f} B | {cost.fixed:.0f} B |'
        )
    return '\n'.join(lines)


def _with_part(text: str, name: str, part: str) -> str:
    begin = f'<!-- {name} begin -->'
    end = f'<!-- {name} end -->'
    before, _, rest = text.partition(begin)
    _, _, after = rest.partition(end)
    return f'{before}{begin}\n{part}\n{end}{after}'


if __name__ == '__main__':
    main()
