"""The delay that planner traffic adds to a director's own delay: 64 nodes, 8 edges, a run without faults on loopback, with and without planners in turn.

    PYTHONPATH=. .venv/bin/python benchmarks/planner_delay.py [seconds] [rounds]
"""
import re
import sys
import urllib.request

from laddergw.lab.planner_outage_processes import PlannerOutageProcesses
from laddergw.lab.deployment_model import build_deployment
from laddergw.lab.stage_processes import ProcessStage

QUANTILES = ("0.5", "0.99")


def read_delays_before_end(stage_class):
    """A subclass of the stage that reads the directors' own delays from their metrics before they exit."""
    class DelayReadingStage(stage_class):
        """Fills `delays`: for each director its own delay at QUANTILES, ms."""
        def before_end(self) -> None:
            self.delays = []
            for host, port in self.addresses.values():
                with urllib.request.urlopen(f"http://{host}:{port}/metrics", timeout=5) as answer:
                    text = answer.read().decode()
                self.delays.append([float(re.search(r'laddergw_own_delay_ms\{quantile="%s"\} (\S+)' % q, text)[1]) for q in QUANTILES])
    return DelayReadingStage


def main() -> None:
    seconds, rounds = (int(sys.argv[k]) if len(sys.argv) > k else default for k, default in ((1, 30), (2, 2)))
    for round_number in range(rounds):
        for name, stage_class, extra_arguments in (("without", ProcessStage, ()), ("with", PlannerOutageProcesses, (0,))):
            stage = read_delays_before_end(stage_class)(build_deployment(1 + round_number, directors=8, nodes=64, rate=24.0, seconds=seconds), [], *extra_arguments)
            stage.run()
            means = [sum(delays) / len(stage.delays) for delays in zip(*stage.delays)]
            worst_p99 = max(delays[1] for delays in stage.delays)
            print(f"{name:8} own delay p50 {means[0]:.2f} ms, p99 {means[1]:.2f} ms (mean of 8 edges; worst edge {worst_p99:.2f})", flush=True)


if __name__ == "__main__":
    main()
