"""Decides who plays, on which node and at which rung: docs/design.md. Controller(deployment, seed,
now),
a method for each thing that happens, decide; each returns (verdicts, next wake time). Units: ms,
kB/s.
"""

from laddergw.control.controller import Controller as Controller
