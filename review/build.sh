#!/bin/sh
# Builds the stand-ins of the cases: they are Python, compiled once.
set -e
cd "$(dirname "$0")/.."
exec .venv/bin/python -m compileall -q review
