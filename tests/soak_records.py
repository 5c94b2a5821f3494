"""Records of trials for the tests of the judge, and a good day of them."""

import unittest

from laddergw.lab.soak.judge import judge
from laddergw.lab.soak.terms import DEFAULT_TERMS as TERMS


def asked(at, session, **more):
    return (
        at,
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


def arrived(at, session, node="a", product="guide", lag=0.0):
    return at, "arrived", {"session": session, "node": node, "product": product, "lag": lag}


def over(at, session, node="a", never_ran=False):
    return at, "over", {"session": session, "node": node, "never_ran": never_ran, "lag": 0.0}


def answered(at, session, lag=0.0, answer="failed"):
    return at, "answered", {"session": session, "answer": answer, "lag": lag}


def told(at, node="a"):
    return at, "told", {"node": node, "state": "DRAINING", "lag": 0.0}


def at(when, what, **facts):
    return when, what, facts


GOOD = [
    asked(0, "1", product="paid"),
    arrived(20, "1", product="paid"),
    over(40, "1", never_ran=True),
    arrived(50, "1", "b", "paid"),
    answered(90, "1"),
    over(900, "1", "b"),
    asked(100, "2"),
    arrived(120, "2"),
    at(130, "left", session="2"),
    over(140, "2"),
    told(500),
    at(0, "director starts", director="n0"),
    at(300, "director ready", director="n0"),
    at(2_000, "director ended", director="n0", status=0, fine=(0,)),
    at(1_000, "started", node="c"),
    *(arrived(1_500 + n, f"{n + 10}", "c") for n in range(10)),
]


class JudgeTest(unittest.TestCase):
    """A test that holds records against the judge."""

    def broken(self, *more, part):
        found = judge([*GOOD, *more], TERMS)
        self.assertEqual(len(found), 1, found)
        self.assertIn(part, found[0].what)
