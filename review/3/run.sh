#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
export PYTHONPATH="$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
exec python3 -S review/3/scenario.py
