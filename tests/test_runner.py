"""The check against KNOWN-RED.txt: listed failures pass, and no others."""
import io
import unittest

from tests import runner
from tests.runner import InvalidListError, KnownFailure


class SampleTests:
    """Tests whose results are checked; the loader does not look for tests in a class that is no test case."""

    class Cases(unittest.TestCase):
        def passes(self):
            pass

        def fails(self):
            self.fail("as it should")

        def raises(self):
            raise ValueError("as it should")

        def fails_in_a_subtest(self):
            with self.subTest("a part"):
                self.fail("as it should")

        def skipped(self):
            self.skipTest("must not be reported as passed")

        @unittest.expectedFailure
        def fails_as_expected(self):
            self.fail("must not be reported as passed")

        @unittest.expectedFailure
        def unexpected_success(self):
            pass


def full_name(method):
    return f"{__name__}.SampleTests.Cases.{method}"


class KnownFailures(unittest.TestCase):
    def report(self, listed, *methods, complete=True, observation="cause"):
        """(exit code, reported lines) of a run of `methods`, with `listed` as the known failures."""
        result = unittest.TextTestRunner(stream=io.StringIO(), resultclass=runner.Result).run(unittest.TestSuite(map(SampleTests.Cases, methods)))
        reports = []
        known = [KnownFailure(full_name(method), "bin/test", observation, "34") for method in listed]
        return runner.report_result(known, result, complete, reports.append), reports

    def test_listed_failures_are_reported_and_pass(self):
        for method in "fails", "raises", "fails_in_a_subtest":
            with self.subTest(method):
                exit_code, reports = self.report([method], method, "passes")
                self.assertEqual((exit_code, reports), (0, [f"KNOWN RED, let pass: {full_name(method)}: cause (bin/test; issue 34)"]))

    def test_unlisted_failures_fail_the_run(self):
        for method in "fails", "raises", "fails_in_a_subtest", "unexpected_success", "fails_as_expected", "skipped":
            with self.subTest(method):
                self.assertEqual(self.report([], method, "passes"), (1, [f"failed, and is not listed: {full_name(method)}"]))
        exit_code, reports = self.report(["fails"], "fails", "raises")
        self.assertEqual((exit_code, len(reports)), (1, 2))

    def test_listed_tests_that_pass_or_do_not_exist_fail_the_run(self):
        self.assertEqual(self.report(["passes"], "passes"), (1, [f"is listed as red, and passes: {full_name('passes')}"]))
        self.assertEqual(self.report(["gone"], "passes"), (1, [f"is listed as red, and there is no such test: {full_name('gone')}"]))

    def test_a_flaky_test_may_pass_but_must_exist(self):
        for method, exit_code in (("passes", 0), ("fails", 0), ("gone", 1)):
            with self.subTest(method):
                self.assertEqual(self.report([method], *{method, "passes"} - {"gone"}, observation="at times: 2 of 9 runs")[0], exit_code)

    def test_only_the_named_tests_are_checked(self):
        self.assertEqual(self.report(["fails"], "passes", complete=False), (0, []))
        self.assertEqual(self.report(["passes"], "passes", complete=False)[0], 1)

    def test_a_run_without_failures_passes(self):
        self.assertEqual(self.report([], "passes"), (0, []))

    def test_a_run_without_tests_fails(self):
        self.assertEqual(self.report([])[0], 1)

    def test_parse_list(self):
        line = "tests.test_x.X.test_y | bin/test, seed 7 | what was seen, with words | 34"
        self.assertEqual(runner.parse_list(f"{line}\n\n"), [KnownFailure("tests.test_x.X.test_y", "bin/test, seed 7", "what was seen, with words", "34")])
        self.assertEqual(runner.parse_list(""), [])
        long_list = "\n".join(line.replace("test_y", f"test_{n}") for n in range(4))
        for text in f"{line}\n{line}", "tests.test_x.X.test_y", "a | b | c", "a | | c | 3", "a | b | c | d | e", "# a | b | c | d | e":
            with self.subTest(text), self.assertRaises(InvalidListError):
                runner.parse_list(text)
        self.assertEqual(len(runner.parse_list(long_list)), 4)

    def test_each_test_runs_exactly_once(self):
        all_tests = unittest.TestLoader().discover("tests", top_level_dir=str(runner.ROOT))
        names = [test.id() for test in runner.flatten(all_tests)]
        local_tests, separate_names = runner.split_tests(all_tests)
        self.assertEqual(sorted([*(test.id() for test in local_tests), *separate_names]), sorted(names))
        self.assertEqual({name.rsplit(".", 2)[0] for name in separate_names}, {module for group in runner.SEPARATE_GROUPS for module in group})

    def test_the_current_list_is_valid(self):
        self.assertTrue(all(known.test.startswith("tests.") and known.issue.isdigit() for known in runner.parse_list(runner.KNOWN_FAILURES_FILE.read_text())))


if __name__ == "__main__":
    unittest.main()
