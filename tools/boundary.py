"""Check that only ``celeryturn/platform`` uses the platform's names."""

import ast
import re
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Final

PACKAGE: Final = Path('celeryturn')
ADAPTER: Final = 'platform'
MAX_ADAPTER_FRACTION: Final = 0.1

PLATFORM_NAMES: Final = re.compile(
    '|'.join(
        (
            '(?i:x-attempt-id)',
            '(?i:x-deadline-remaining)',
            '(?i:x-response-stamp)',
            '(?i:x-target-instance)',
            '(?i:x-server-load)',
            '(?i:x-not-executed)',
            '(?i:x-part-stamps)',
            '(?i:x-missing-parts)',
            '(?i:x-instance-id)',
            '(?i:server-leaving)',
            '(?i:server-limit)',
            '(?i:x-cold-remaining-ms)',
            '(?i:store-era)',
            '/v1/kv-',
            '/v1/resolve',
            '/v1/readiness',
            r'\bop/',
            r'\bservers/',
            r'\baddrs\b',
            r'\bttl_s\b',
            'CELERYTURN_BOOT',
            r'\b(Gather|TopK|MinPartShare|MaxAttempts|TargetLatencyMs)\b',
            r'\b(TimeoutMs|MaxConns|ColdLeftMs|WaitMs|CurrentRev|HasMore)\b',
            r'\b(ColdStartS|ColdPerS|ColdExcess|ColdSlack)\b',
            r'\b(HealthPath|MaxBodyBytes|IdleTimeoutMs|HeaderTimeoutMs)\b',
        )
    ),
)


def find_violations(package: Path) -> Iterator[str]:
    """Find names of the platform outside its folder.

    :param package: Folder of the package.
    :returns: One message per use, with file and line.
    """
    for path in sorted(package.glob('**/*.py')):
        if ADAPTER not in path.relative_to(package).parts:
            yield from _find_names(path)


def adapter_fraction(package: Path) -> float:
    """Compute the relative size of the platform's folder.

    :param package: Folder of the package.
    :returns: Fraction of the package's lines, in [0, 1].
    """
    line_counts = {
        path: len(path.read_text(encoding='utf-8').splitlines())
        for path in package.glob('**/*.py')
    }
    adapter_lines = sum(
        line_count
        for path, line_count in line_counts.items()
        if ADAPTER in path.relative_to(package).parts
    )
    return adapter_lines / sum(line_counts.values())


def _find_names(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        for text in _node_texts(node):
            match = PLATFORM_NAMES.search(text)
            if match:
                yield (
                    f'{path}:{_line_number(node)}: '
                    f'only the platform folder may use {match.group()!r}'
                )


def _node_texts(node: ast.AST) -> Iterator[str]:
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        yield node.value
    elif isinstance(node, ast.Name):
        yield node.id
    elif isinstance(node, ast.Attribute):
        yield node.attr


def _line_number(node: ast.AST) -> int:
    return getattr(node, 'lineno', 0)


def main() -> None:
    """Check the package and exit with code 1 on a violation."""
    violations = list(find_violations(PACKAGE))
    fraction = adapter_fraction(PACKAGE)
    if fraction > MAX_ADAPTER_FRACTION:
        violations.append(
            f'{PACKAGE / ADAPTER} is {fraction:.0%} of the package, '
            'which exceeds the limit'
        )
    for violation in violations:
        sys.stderr.write(f'{violation}\n')
    sys.exit(1 if violations else 0)


if __name__ == '__main__':
    main()
