#!/usr/bin/env bash
# Check what the scripts of the second review start. All stand-ins are Python
# programs that need only the packages of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:."
python3 - review/lib-2/*.py review/[6-9]/*.py review/10/*.py <<'EOF'
import os
import sys

for name in sys.argv[1:]:
    if os.path.exists(name):
        with open(name, encoding='utf-8') as source:
            compile(source.read(), name, 'exec')
import limpetshore.platform.integration
import standins.platform_fleet
EOF
echo built
