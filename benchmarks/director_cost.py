"""What one director costs on loopback: own delay by rate, CPU per play split into module, HTTP and the rest, and memory per held play.

    PYTHONPATH=. .venv/bin/python benchmarks/director_cost.py [seconds per step] [rate ...]
    PYTHONPATH=. .venv/bin/python benchmarks/director_cost.py held 10000

Own delay is the time until the viewer's answer minus the time that nodes took for its set-ups, from the records of both ends. It
includes every wait in sockets and loops, also those of viewers and nodes. The director runs in this file's child mode, which is the
program with two clocks added: CPU time spent in calls of the module, and in the HTTP layer's reads.
"""
import json
import os
import resource
import sys
import time

from laddergw.lab.deployment_model import ProductModel, build_deployment
from laddergw.lab.stage_processes import ProcessStage

WARES = (ProductModel("hearing", 0.5, 3.0, "safe", 4_000, 1_500, (2_000, 6_000)), ProductModel("survey-clip", 0.5, 1.0, "safe", 3_000, 1_000, (2_000, 6_000)))
WARM_UP_MS = 500.0     # the director's pacing after its own start ends before the first viewer arrives


def run_measured_director(arguments: list[str]) -> int:
    """Runs the director's file `arguments[0]` with the clocks added; writes CPU seconds and peak memory to `arguments[1]`."""
    from laddergw.director import director, program
    from laddergw.http import client, server
    spent = {"module": 0.0, "http": 0.0, "inner": 0.0}
    clock = time.process_time
    original = director.Director.feed

    def timed_feed(self, call, *args):
        def run_timed(*inner):
            began = clock()
            try:
                return call(*inner)
            finally:
                spent["module"] += clock() - began
        return original(self, run_timed, *args)
    director.Director.feed = timed_feed
    for owner in server.ServerConnection, client.Connection:
        def timed_read(self, stream, data, data_received=owner.data_received):
            began, before = clock(), spent["module"]
            data_received(self, stream, data)
            spent["http"] += clock() - began - (spent["module"] - before)
        owner.data_received = timed_read
    status = program.run(arguments[0], "error", None, "cost")
    usage = resource.getrusage(resource.RUSAGE_SELF)
    with open(arguments[1], "w") as stream:
        json.dump({**spent, "cpu": usage.ru_utime + usage.ru_stime, "peak_kb": usage.ru_maxrss}, stream)
    return status


class CostStage(ProcessStage):
    """One measured director, whose metrics are read before the end."""
    metrics = ""

    def director_command(self, file: str, source: str) -> list[str]:
        return [sys.executable, os.path.abspath(__file__), "child", file, self.file("cost.json")]

    def before_end(self) -> None:
        import urllib.request
        host, port = self.addresses[0]
        self.child_cpu = open(f"/proc/{self.children[0].pid}/stat").read().split()[13:15]
        opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
        self.metrics = opener.open(f"http://{host}:{port}/metrics", timeout=5).read().decode()
        self.children[0].terminate()
        self.children[0].wait(20)


def read_metric(metrics: str, name: str) -> float:
    """The value of the first metric whose line starts with this name."""
    return next((float(line.split()[-1]) for line in metrics.splitlines() if line.startswith(name)), 0.0)


def run_step(rate: float, seconds: float, **changes) -> dict:
    """Runs one rate; returns costs, counts of plays and quantiles of own delay, ms."""
    model = build_deployment(1, directors=1, nodes=24, rate=rate, seconds=seconds, wares=WARES, **changes)._replace(finish_ms=500, warm_ms=WARM_UP_MS)
    stage = CostStage(model, [])
    records = stage.run()
    plays = sum(1 for _, what, _ in records if what == "asked")
    cost = json.load(open(stage.file("cost.json")))
    played = sum(1 for _, what, facts in records if what == "answered" and facts["answer"] == "playing")
    delays = sorted(own_delays(records))
    return dict(cost, plays=plays, played=played, p50=delays[len(delays) // 2], p99=delays[int(len(delays) * 0.99)])


def own_delays(records: list) -> list[float]:
    """Of each play answered at its first attempt: its time at the viewer minus its set-ups' time at nodes, ms."""
    arrived_at, node_time_ms = {}, {}
    for at, what, facts in records:
        if what == "set-up came":
            arrived_at[facts["allocation"]] = at
        elif what in ("set up", "refused"):
            play = facts.get("play") or facts["allocation"]
            node_time_ms[play] = node_time_ms.get(play, 0.0) + at - arrived_at[facts["allocation"]]
    return [facts["ms"] - node_time_ms.get(facts["play"], 0.0) for _, what, facts in records
            if what == "answered" and facts["tries"] == 1 and not facts["again"]]


def main() -> None:
    if sys.argv[1:2] == ["held"]:
        return measure_held_plays(int(sys.argv[2]))
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 10.0
    rates = [float(rate) for rate in sys.argv[2:]] or [24.0, 50.0, 100.0, 150.0, 200.0, 300.0, 400.0]
    print("rate/s  asked  played  own p50 ms  own p99 ms  CPU ms/try: all  module  http  rest  all/module")
    for rate in rates:
        row = run_step(rate, seconds)
        cpu_ms = {key: row[key] / max(1, row["plays"]) * 1000 for key in ("cpu", "module", "http")}
        print(f"{rate:6.0f} {row['plays']:6} {row['played']:7} {row['p50']:11.2f} {row['p99']:11.2f} {cpu_ms['cpu']:16.2f} {cpu_ms['module']:7.2f} "
              f"{cpu_ms['http']:5.2f} {cpu_ms['cpu'] - cpu_ms['module'] - cpu_ms['http']:5.2f} {row['cpu'] / max(row['module'], 1e-9):11.2f}", flush=True)


def measure_held_plays(count: int) -> None:
    """Memory per held play: the peak with `count` held plays compared with the peak with a tenth of them."""
    rows = []
    for number in (count // 10, count):
        long_plays = tuple(ware._replace(length_ms=(240_000, 240_000)) for ware in WARES)
        model = build_deployment(1, directors=1, nodes=24, rate=max(20.0, number / 60), seconds=60, wares=long_plays, load=0.6)._replace(finish_ms=500)
        stage = CostStage(model, [])
        stage.tail_ms = 2_000.0
        stage.run()
        row = json.load(open(stage.file("cost.json")))
        held_count = read_metric(stage.metrics, "laddergw_held")
        rows.append((held_count, row["peak_kb"]))
        print(f"held {held_count:.0f}, peak {row['peak_kb'] / 1024:.1f} MiB", flush=True)
    (fewer_plays, fewer_kb), (more_plays, more_kb) = rows
    print(f"{(more_kb - fewer_kb) / max(1, more_plays - fewer_plays):.2f} KiB a held play, the module's share included")


if __name__ == "__main__":
    sys.exit(run_measured_director(sys.argv[2:]) if sys.argv[1:2] == ["child"] else main())
