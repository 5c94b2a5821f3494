#!/bin/sh
# Plays the case with the stand-ins of review/standins and writes record.txt in this folder.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review exec .venv/bin/python review/1/case.py review/1/record.txt
