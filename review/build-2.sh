#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They need the standard library only.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path('support_2').glob('*.py')):
    compile(path.read_bytes(), str(path), 'exec')
CHECK
