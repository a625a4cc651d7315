#!/usr/bin/env bash
# The stand-ins are Python and use the libraries that the build of the deploy file puts
# into target/deps. Nothing else has to be built: this checks that all can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD/review" PYTHONDONTWRITEBYTECODE=1
python3 -S -c "import callers, kept, runner, store, town"
