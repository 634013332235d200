#!/usr/bin/env bash
# Writes record.txt in this folder. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
exec timeout --signal=TERM --kill-after=12 105 python3 play.py
