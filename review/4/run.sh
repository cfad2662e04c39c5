#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the
# disruption.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../standins-2
timeout -k 5 115 python3 weights.py
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
