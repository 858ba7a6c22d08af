#!/bin/sh
# Build the stand-ins that the scripts start. They are plain Python, of the
# standard library alone, and run from source: only check that they compile.
cd "$(dirname "$0")" || exit 2
exec python3 -B - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path('.').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
    print('compiles:', path)
PYTHON
