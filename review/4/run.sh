#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review timeout -k 5 110 python3 review/4/scenario.py
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
