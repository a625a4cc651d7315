#!/bin/sh
# Builds what the cases 4 to 6 start. The stand-ins are Python and need only the
# libraries of the deploy file's build, target/deps; this compiles them as a check.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -S -c "import aiohttp, orjson"
for path in review/town2/*.py review/[456]/case.py; do
    python3 -S -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$path"
done
