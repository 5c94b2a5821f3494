"""The director's file of terms and its forms: each fault is reported with its place, and a faulty file is refused whole."""
import unittest

from hypothesis import given, settings, strategies as st

from laddergw.terms import director_file
from laddergw.terms.sexpr import Atom, Form, FileRejected, parse
from tests.helpers import TraceTest

VALID = """; a director's file
(director (number 0) (listen "127.0.0.1" 0) (list "127.0.0.1" 8200) (key k1 "0123456789abcdef")
 (deployment (directors 4) (ladder 100 200 400) (rung-worth 0.3 0.6 1) (link-unit-kb 9000) (rack-kb 40000) (streams 20)
  (budget (free 3) (share 0.1) (window-ms 10000))
  (product "hearing" (importance 3)) (product notice (importance 2) (repeat paid) (floor 1) (seats 4))))
"""

CHANGES = (                # a text of the valid file, and the faulty one that replaces it
    ("(number 0)", "(number 4)"), ("(number 0)", "(number 0.5)"), ("(number 0)", "(number 0) (number 1)"),
    ('"127.0.0.1" 8200', '"127.0.0.1" 82000'), ('(list "127.0.0.1" 8200)', ""), ('"0123456789abcdef"', '"short"'),
    ('(key k1 "0123456789abcdef")', ""), ("(ladder 100 200 400)", "(ladder 100 200 200)"), ("(ladder 100 200 400)", "(ladder)"),
    ("(ladder 100 200 400)", "(ladder 100 two 400)"), ("0.3 0.6 1)", "0.3 0.6)"), ("0.3 0.6 1)", "0.6 0.3 1)"),
    ("(streams 20)", "(streams 0)"), ("(streams 20)", "(streems 20)"), ("(link-unit-kb 9000)", "(link-unit-kb nan)"),
    ("(rack-kb 40000)", "(rack-kb -1)"), ("(repeat paid)", "(repeat often)"), ("(repeat paid)", "(repeat keyed)"),
    ("(floor 1)", "(floor 3)"), ("(floor 1)", "(floor 2) (top 1)"), ("(importance 3)", "(importance 0)"),
    ("(importance 3)", "(importance (3))"), ("product notice", 'product "hearing"'), ("(share 0.1)", "(share 0.1) stray"),
    ("(free 3)", ""), ("(budget", "(bugdet"), ("(directors 4)", "(directors 4 5)"), ("(seats 4))))", "(seats 4)))"),
    ("(seats 4))))", "(seats 4)))))"), ('"hearing"', '"hearing'), ("(director ", "(directress "), ("; a director's file", "(more)"),
    ("(number 0)", "(number 0)\0"), ("(free 3)", "(free 3) (free 4)"), ("(product notice", "(product (a)"), ("(seats 4)", "((4))"))


class FileTests(TraceTest):
    """Valid and faulty files, and their forms."""

    def test_valid_file(self):
        read = director_file.read(VALID)
        self.assertEqual((read.names, read.deployment.directors, read.deployment.budget_free), (("hearing", "notice"), 4, 3))
        self.assertEqual(read.deployment.products[1][:2], (2, "paid"))
        self.assertEqual(read.bounds, director_file.DirectorLimits())

    def test_each_fault_is_reported_with_its_place(self):
        class Trace:
            lines = []
        for old, new in CHANGES:
            self.assertIn(old, VALID)
            Trace.lines.append(f"# {old.strip()} becomes {new.replace(chr(0), 'NUL')!r}")
            with self.assertRaises(FileRejected) as caught:
                director_file.read(VALID.replace(old, new, 1), "house.scm")
            Trace.lines += str(caught.exception).splitlines()
        self.assert_trace("files", Trace)

    def test_all_faults_are_reported_at_once(self):
        text = VALID.replace("(streams 20)", "(streams x)").replace("(floor 1)", "(floor 9)").replace("8200", "-1")
        with self.assertRaises(FileRejected) as caught:
            director_file.read(text)
        self.assertEqual([fault.place.line for fault in caught.exception.faults], [2, 3, 5])

    def test_path_that_is_not_a_file(self):
        for path in "/nowhere/at/all", "/":
            with self.assertRaises(FileRejected):
                director_file.read_file(path)

    def test_text_too_deep_and_too_large(self):
        for text in "(" * 500, "x" * 5_000_000:
            with self.assertRaises(FileRejected):
                parse(text)

    @settings(max_examples=150, deadline=None)
    @given(st.recursive(st.one_of(st.integers(-10**6, 10**6), st.text("abcxyz-", min_size=1, max_size=8),
                                  st.text(max_size=8).map(lambda t: ("s", t.replace("\0", "").replace("\r", " ")))),
                        lambda inner: st.lists(inner, max_size=4), max_leaves=20))
    def test_written_forms_are_read_back(self, tree):
        def write(node):
            if isinstance(node, list):
                return "(" + " ".join(map(write, node)) + ")"
            if isinstance(node, tuple):
                return '"' + node[1].replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'
            return str(node)

        def strip(node):
            if isinstance(node, Form):
                return [strip(item) for item in node.items]
            return ("s", node.value) if node.quoted else int(node.value) if isinstance(node.value, float) else node.value
        self.assertEqual([strip(node) for node in parse(write(tree))], [tree])

    @settings(max_examples=200, deadline=None)
    @given(st.text("()\"; ax1\\\n", max_size=60))
    def test_any_text_is_parsed_or_refused_with_a_place(self, text):
        try:
            self.assertTrue(all(isinstance(item, (Atom, Form)) for item in parse(text)))
        except FileRejected as error:
            self.assertTrue(all(fault.place.line >= 1 for fault in error.faults))


if __name__ == "__main__":
    unittest.main()
