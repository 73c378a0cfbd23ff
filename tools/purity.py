"""Check that the decisions import no impure modules.

These are modules for event loops, sockets, clocks, logging and random numbers.
"""

import ast
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Final

FORBIDDEN_MODULES: Final = frozenset(
    (
        'asyncio',
        'socket',
        'time',
        'random',
        'logging',
        'os',
        'datetime',
        'eliot',
        'h11',
        'websockets',
        'aioprometheus',
    )
)
ALLOWED_SUBPACKAGES: Final = frozenset(
    ('decisions', 'errors', 'schema', 'units')
)
PACKAGE: Final = 'celeryturn'


def find_violations(folder: Path) -> Iterator[str]:
    """Find imports that the decisions must not have.

    :param folder: Folder of the decisions.
    :returns: One message per import, with file and line.
    """
    for path in sorted(folder.glob('**/*.py')):
        for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
            for name in _imported_modules(node):
                if not _is_allowed(name):
                    yield f'{path}:{_line_number(node)}: must not import {name}'


def _imported_modules(node: ast.AST) -> list[str]:
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    if isinstance(node, ast.ImportFrom) and node.module:
        return [node.module]
    return []


def _is_allowed(name: str) -> bool:
    parts = name.split('.')
    if parts[0] == PACKAGE and len(parts) > 1:
        return parts[1] in ALLOWED_SUBPACKAGES
    return parts[0] not in FORBIDDEN_MODULES


def _line_number(node: ast.AST) -> int:
    return getattr(node, 'lineno', 0)


def main() -> None:
    """Check the decisions and exit with code 1 on a violation."""
    violations = list(find_violations(Path(PACKAGE) / 'decisions'))
    for violation in violations:
        sys.stderr.write(f'{violation}\n')
    sys.exit(1 if violations else 0)


if __name__ == '__main__':
    main()
