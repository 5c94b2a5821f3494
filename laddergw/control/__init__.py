"""Decides who plays, on which media node and at which rung; docs/design.md tells the reasons.

Call: one Controller(deployment, seed, now), a method for each thing that happens, then decide; each returns
(verdicts, next wake time). The types are in laddergw/interface.py. Times are ms, rates kB a second."""
from laddergw.control.controller import Controller
