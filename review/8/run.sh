#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
CASE_FOLDER=$(pwd) PYTHONPATH=../standins-2 PYTHONDONTWRITEBYTECODE=1 \
    exec python3 case.py
