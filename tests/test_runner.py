"""The reader of KNOWN-RED.txt: it lets pass what is listed and nothing else."""
import io
import unittest

from tests import runner
from tests.runner import BadList, Known


class Made:
    """Tests for the reader to judge; the loader looks for none in here."""

    class Cases(unittest.TestCase):
        def passes(self):
            pass

        def fails(self):
            self.fail("as it should")

        def raises(self):
            raise ValueError("as it should")

        def fails_in_a_part(self):
            with self.subTest("a part"):
                self.fail("as it should")

        def left_out(self):
            self.skipTest("as it should not")

        @unittest.expectedFailure
        def fails_as_expected(self):
            self.fail("as it should not")

        @unittest.expectedFailure
        def expected(self):
            pass


def name(method):
    return f"{__name__}.Made.Cases.{method}"


class Reader(unittest.TestCase):
    def judged(self, listed, *methods, whole=True, seen="cause"):
        """(exit code, what was said) of a run of those, with those listed."""
        result = unittest.TextTestRunner(stream=io.StringIO(), resultclass=runner.Result).run(unittest.TestSuite(map(Made.Cases, methods)))
        said = []
        known = [Known(name(method), "bin/test", seen, "34") for method in listed]
        return runner.judge(known, result, whole, said.append), said

    def test_what_is_listed_is_told_and_passes(self):
        for method in "fails", "raises", "fails_in_a_part":
            with self.subTest(method):
                code, said = self.judged([method], method, "passes")
                self.assertEqual((code, said), (0, [f"KNOWN RED, let pass: {name(method)}: cause (bin/test; issue 34)"]))

    def test_what_is_not_listed_fails(self):
        for method in "fails", "raises", "fails_in_a_part", "expected", "fails_as_expected", "left_out":
            with self.subTest(method):
                self.assertEqual(self.judged([], method, "passes"), (1, [f"failed, and is not listed: {name(method)}"]))
        code, said = self.judged(["fails"], "fails", "raises")
        self.assertEqual((code, len(said)), (1, 2))

    def test_a_listed_test_that_passes_or_is_not_there_fails(self):
        self.assertEqual(self.judged(["passes"], "passes"), (1, [f"is listed as red, and passes: {name('passes')}"]))
        self.assertEqual(self.judged(["gone"], "passes"), (1, [f"is listed as red, and there is no such test: {name('gone')}"]))

    def test_one_that_fails_at_times_may_pass_and_must_be_there(self):
        for method, code in (("passes", 0), ("fails", 0), ("gone", 1)):
            with self.subTest(method):
                self.assertEqual(self.judged([method], *{method, "passes"} - {"gone"}, seen="at times: 2 of 9 runs")[0], code)

    def test_of_a_few_tests_only_those_are_looked_at(self):
        self.assertEqual(self.judged(["fails"], "passes", whole=False), (0, []))
        self.assertEqual(self.judged(["passes"], "passes", whole=False)[0], 1)

    def test_all_green_and_nothing_listed(self):
        self.assertEqual(self.judged([], "passes"), (0, []))

    def test_no_test_at_all_fails(self):
        self.assertEqual(self.judged([])[0], 1)

    def test_lists(self):
        line = "tests.test_x.X.test_y | bin/test, seed 7 | what was seen, with words | 34"
        self.assertEqual(runner.read(f"{line}\n\n"), [Known("tests.test_x.X.test_y", "bin/test, seed 7", "what was seen, with words", "34")])
        self.assertEqual(runner.read(""), [])
        many = "\n".join(line.replace("test_y", f"test_{n}") for n in range(4))
        for text in f"{line}\n{line}", "tests.test_x.X.test_y", "a | b | c", "a | | c | 3", "a | b | c | d | e", "# a | b | c | d | e":
            with self.subTest(text), self.assertRaises(BadList):
                runner.read(text)
        self.assertEqual(len(runner.read(many)), 4)

    def test_each_test_runs_here_or_apart_and_only_once(self):
        every = unittest.TestLoader().discover("tests", top_level_dir=str(runner.ROOT))
        names = [test.id() for test in runner.flat(every)]
        here, apart = runner.split(every)
        self.assertEqual(sorted([*(test.id() for test in here), *apart]), sorted(names))
        self.assertEqual({name.rsplit(".", 2)[0] for name in apart}, {module for group in runner.APART for module in group})

    def test_the_list_that_is_there_can_be_read(self):
        self.assertTrue(all(one.test.startswith("tests.") and one.issue.isdigit() for one in runner.read(runner.LIST.read_text())))


if __name__ == "__main__":
    unittest.main()
