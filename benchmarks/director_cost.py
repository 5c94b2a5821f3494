"""What one director costs on loopback: own delay by rate, CPU a play split into module, HTTP and the rest, memory a held play.

    PYTHONPATH=. .venv/bin/python benchmarks/director_cost.py [seconds a step] [rate ...]
    PYTHONPATH=. .venv/bin/python benchmarks/director_cost.py held 10000

Own delay is the answer's time at the viewer less the time that its nodes had its set-ups, from both ends' records: it holds
every wait in sockets and loops, the viewers' and nodes' own included. The director runs in this
file's child mode, which is the program with two clocks added: CPU spent in calls of the module, and in the HTTP layer's reads.
"""
import json
import os
import resource
import sys
import time

from laddergw.lab.deployment_model import ProductModel, build_deployment
from laddergw.lab.stage_processes import ProcessStage

WARES = (ProductModel("hearing", 0.5, 3.0, "safe", 4_000, 1_500, (2_000, 6_000)), ProductModel("survey-clip", 0.5, 1.0, "safe", 3_000, 1_000, (2_000, 6_000)))
WARM_MS = 500.0        # the director's pacing after its own start is over before the first viewer comes


def child(arguments: list[str]) -> int:
    from laddergw.director import director, program
    from laddergw.http import client, server
    spent = {"module": 0.0, "http": 0.0, "inner": 0.0}
    clock = time.process_time
    original = director.Director.feed

    def timed(self, call, *args):
        def run(*inner):
            began = clock()
            try:
                return call(*inner)
            finally:
                spent["module"] += clock() - began
        return original(self, run, *args)
    director.Director.feed = timed
    for owner in server.ServerConnection, client.Connection:
        def reading(self, stream, data, got=owner.data_received):
            began, before = clock(), spent["module"]
            got(self, stream, data)
            spent["http"] += clock() - began - (spent["module"] - before)
        owner.data_received = reading
    status = program.run(arguments[0], "error", None, "cost")
    usage = resource.getrusage(resource.RUSAGE_SELF)
    with open(arguments[1], "w") as stream:
        json.dump({**spent, "cpu": usage.ru_utime + usage.ru_stime, "peak_kb": usage.ru_maxrss}, stream)
    return status


class CostStage(ProcessStage):
    """One director, timed, and its metrics read before the end."""
    metrics = ""

    def director_command(self, file: str, source: str) -> list[str]:
        return [sys.executable, os.path.abspath(__file__), "child", file, self.file("cost.json")]

    def before_end(self) -> None:
        import urllib.request
        host, port = self.addresses[0]
        self.child_cpu = open(f"/proc/{self.children[0].pid}/stat").read().split()[13:15]
        opened = urllib.request.build_opener(urllib.request.ProxyHandler({}))
        self.metrics = opened.open(f"http://{host}:{port}/metrics", timeout=5).read().decode()
        self.children[0].terminate()
        self.children[0].wait(20)


def value(metrics: str, name: str) -> float:
    return next((float(line.split()[-1]) for line in metrics.splitlines() if line.startswith(name)), 0.0)


def step(rate: float, seconds: float, **changes) -> dict:
    the_plant = build_deployment(1, directors=1, nodes=24, rate=rate, seconds=seconds, wares=WARES, **changes)._replace(finish_ms=500, warm_ms=WARM_MS)
    stage = CostStage(the_plant, [])
    records = stage.run()
    plays = sum(1 for _, what, _ in records if what == "asked")
    cost = json.load(open(stage.file("cost.json")))
    played = sum(1 for _, what, facts in records if what == "answered" and facts["answer"] == "playing")
    delays = sorted(own_delays(records))
    return dict(cost, plays=plays, played=played, p50=delays[len(delays) // 2], p99=delays[int(len(delays) * 0.99)])


def own_delays(records: list) -> list[float]:
    """Of each answered try: its time at the viewer less its set-ups' time at nodes."""
    came, busy = {}, {}
    for at, what, facts in records:
        if what == "set-up came":
            came[facts["allocation"]] = at
        elif what in ("set up", "refused"):
            play = facts.get("play") or facts["allocation"]
            busy[play] = busy.get(play, 0.0) + at - came[facts["allocation"]]
    return [facts["ms"] - busy.get(facts["play"], 0.0) for _, what, facts in records
            if what == "answered" and facts["tries"] == 1 and not facts["again"]]


def main() -> None:
    if sys.argv[1:2] == ["held"]:
        return held(int(sys.argv[2]))
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 10.0
    rates = [float(rate) for rate in sys.argv[2:]] or [24.0, 50.0, 100.0, 150.0, 200.0, 300.0, 400.0]
    print("rate/s  asked  played  own p50 ms  own p99 ms  CPU ms/try: all  module  http  rest  all/module")
    for rate in rates:
        row = step(rate, seconds)
        per = {key: row[key] / max(1, row["plays"]) * 1000 for key in ("cpu", "module", "http")}
        print(f"{rate:6.0f} {row['plays']:6} {row['played']:7} {row['p50']:11.2f} {row['p99']:11.2f} {per['cpu']:16.2f} {per['module']:7.2f} "
              f"{per['http']:5.2f} {per['cpu'] - per['module'] - per['http']:5.2f} {row['cpu'] / max(row['module'], 1e-9):11.2f}", flush=True)


def held(count: int) -> None:
    """Memory a held play: peak with `count` plays held against peak with a tenth of them."""
    rows = []
    for number in (count // 10, count):
        long = tuple(w._replace(length_ms=(240_000, 240_000)) for w in WARES)
        the_plant = build_deployment(1, directors=1, nodes=24, rate=max(20.0, number / 60), seconds=60, wares=long, load=0.6)._replace(finish_ms=500)
        stage = CostStage(the_plant, [])
        stage.tail_ms = 2_000.0
        stage.run()
        row = json.load(open(stage.file("cost.json")))
        now_held = value(stage.metrics, "laddergw_held")
        rows.append((now_held, row["peak_kb"]))
        print(f"held {now_held:.0f}, peak {row['peak_kb'] / 1024:.1f} MiB", flush=True)
    (few, low), (many, high) = rows
    print(f"{(high - low) / max(1, many - few):.2f} KiB a held play, the module's share included")


if __name__ == "__main__":
    sys.exit(child(sys.argv[2:]) if sys.argv[1:2] == ["child"] else main())
