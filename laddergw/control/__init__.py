"""Decides who plays, on which node and at which rung: docs/design.md.

Controller(deployment, seed, now) has a method for each thing that happens, and decide(). Each
returns (verdicts, next wake time). Times are in ms, rates in kB/s.
"""

from laddergw.control.controller import Controller as Controller
