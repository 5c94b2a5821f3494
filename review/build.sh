#!/bin/sh
# Builds what the scripts of the cases start and share: the stand-ins in review/standins, which are
# Python and are compiled once, and the cases themselves.
set -e
cd "$(dirname "$0")/.."
exec .venv/bin/python -m compileall -q review/standins review/1 review/2 review/3
