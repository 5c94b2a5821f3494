"""The bad day of tests/test_platform_fleet.py with one deliberate fault in every director: prints the violations that the judge finds.

usage: python -m benchmarks.broken_fleets [NAME[:DIRECTORS:RATE:SEED] ...], from the repository's root; "none" is the program as it is. About 17 s each.
Exits with 1 if a fleet with a fault keeps every rule, or the one without a fault does not.
"""
import sys

from laddergw.lab.soak.judge import judge
from laddergw.lab.soak.judge_cold import cold_start_excess
from laddergw.lab.soak.trial import Trial
from tests.test_platform_fleet import BAD_DAY, DIRECTORS, NODES, RATE, SECONDS, SEED, TERMS

BROKEN = {
    "none": "pass",
    "no ramp": "from laddergw.control import candidates; candidates.Candidates.ramp_allows = lambda self, now, node: True",
    "deaf to leaving": "from laddergw.platform import admission, viewers; viewers.ViewerConnection.closed = lambda self, stream, why: self.listener.connection_closed(self); "
                       "admission.Admission.viewer_gave_up = lambda self, play: None",
    "sends to who drains": "from laddergw.platform import fleet_list as d; d.STATES = dict(d.STATES, DRAINING='ready')",
    "ends at once": "from laddergw.platform import director as d; d.Director.stop = lambda self: self.loop.stop()",
    "sends paid plays again": "from laddergw.control import plays; plays.Allocations.setup_ended = lambda self, now, play, node, outcome: setattr(play, 'pending_setup', None)",
    "does not end": "from laddergw.platform import director as d; d.Director.stop = lambda self: None",
}
BLOCK_SIGNALS = "import runpy, signal; signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM)); "


def main(names):
    wrong_count = 0
    for name in names or BROKEN:
        name, *parameters = name.split(":")
        directors, rate, seed = map(float, parameters or (DIRECTORS, RATE, SEED))
        code = f"{BLOCK_SIGNALS}{BROKEN[name]}; runpy.run_module('laddergw.platform', run_name='__main__')"
        records = Trial(int(directors), NODES, rate, SECONDS, BAD_DAY, int(seed), run=f'exec {sys.executable} -c "{code}"', terms=TERMS).run()
        violations = [violation.what for violation in judge(records, TERMS)]
        wrong_count += bool(violations) == (name == "none")
        sorted_violations = [text for text in violations if not text.startswith("director")] + [text for text in violations if text.startswith("director")]
        events = [event for _, event, _ in records]
        print(f"{name}, {directors:g} directors, {rate:g} viewers a second, seed {seed:g}: asked {events.count('asked')}, set-ups {events.count('arrived')}, "
              f"left {events.count('left')}, starts {events.count('director starts')}; {len(violations)} violations, most at a cold node over chance {cold_start_excess(records, TERMS):.1f}; {'; '.join(sorted_violations[:2])[:200]}")
    return 1 if wrong_count else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
