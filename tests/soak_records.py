"""Builds records of soak trials for the tests of the judge."""

import unittest

from laddergw.lab.soak.judge import judge
from laddergw.lab.soak.terms import DEFAULT_TERMS as TERMS


def asked(at_ms, session, **more):
    """A viewer's request, sent on connection 0 of director n0; `more` replaces fields."""
    return (
        at_ms,
        "asked",
        {
            "session": session,
            "director": "n0",
            "wait_ms": 1_000.0,
            "product": "guide",
            "connection": 0,
            "lag": 0.0,
        }
        | more,
    )


def arrived(at_ms, session, node="a", product="guide", lag=0.0):
    """A set-up that reaches a media node."""
    return at_ms, "arrived", {"session": session, "node": node, "product": product, "lag": lag}


def attempt_ended(at_ms, session, node="a", never_ran=False):
    """The end of an attempt at a media node."""
    return at_ms, "over", {"session": session, "node": node, "never_ran": never_ran, "lag": 0.0}


def answered(at_ms, session, lag=0.0, answer="failed"):
    """An answer that reaches a viewer."""
    return at_ms, "answered", {"session": session, "answer": answer, "lag": lag}


def draining(at_ms, node="a"):
    """The change log announces that a node drains."""
    return at_ms, "told", {"node": node, "state": "DRAINING", "lag": 0.0}


def record(at_ms, event, **fields):
    """Any record."""
    return at_ms, event, fields


COMPLIANT_RECORDS = [
    asked(0, "1", product="paid"),
    arrived(20, "1", product="paid"),
    attempt_ended(40, "1", never_ran=True),
    arrived(50, "1", "b", "paid"),
    answered(90, "1"),
    attempt_ended(900, "1", "b"),
    asked(100, "2"),
    arrived(120, "2"),
    record(130, "left", session="2"),
    attempt_ended(140, "2"),
    draining(500),
    record(0, "director starts", director="n0"),
    record(300, "director ready", director="n0"),
    record(2_000, "director ended", director="n0", status=0, fine=(0,)),
    record(1_000, "started", node="c"),
    *(arrived(1_500 + n, f"{n + 10}", "c") for n in range(10)),
]


class JudgeTest(unittest.TestCase):
    """Base class of tests that give records to the judge."""

    def assert_violation(self, *more, text):
        """Checks that `more`, with the compliant records, has one violation, which holds `text`."""
        found = judge([*COMPLIANT_RECORDS, *more], TERMS)
        self.assertEqual(len(found), 1, found)
        self.assertIn(text, found[0].what)
