#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruptions.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:review exec python3 -S review/6/case.py
