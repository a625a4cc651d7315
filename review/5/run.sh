#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruptions.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:review
python3 -S -c "import town2.batch, town2.town" || exit 2
exec python3 -S review/5/case.py
