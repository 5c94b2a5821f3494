"""One run of an experiment: reads its settings as JSON from standard input and writes its measures as JSON to standard output."""
import json
import logging
import sys

from laddergw.director.director import Director
from laddergw.lab import audit, scenario_file
from laddergw.lab.planner_outage import PlannerOutageStage
from laddergw.terms import loading


def play(run_settings: dict) -> dict:
    """Runs one day in memory; returns its measures. Raises ValueError with the reason where the limits file is rejected."""
    day = scenario_file.named_days()[run_settings["day"]]
    model = scenario_file.deployment_of(day, run_settings["seed"], **run_settings["changes"])
    director_class = Director
    if run_settings["limits"]:
        with open(run_settings["limits"], "rb") as stream:
            data = stream.read()

        class LimitedDirector(Director):
            def __init__(self, loop, house, **more):
                loaded = loading.load(data, run_settings["limits"], house)
                if loaded.limits is None:
                    raise ValueError(loaded.texts()[0])
                super().__init__(loop, house, limits=loaded.limits, **more)
        director_class = LimitedDirector
    records = PlannerOutageStage(model, scenario_file.script_of(day, model), run_settings["planners"], director_class=director_class).run()
    audited = audit.audit(model, records)
    first_frame_ms = sorted(audited.first_ms)
    return {"service": audited.service["all"], "worth": audit.worth(model, records), "first_ms": first_frame_ms[len(first_frame_ms) // 2] if first_frame_ms else 0.0, "tries": audited.tries, "plays": audited.plays,
            "rules": len(audited.breaks) + audited.without, "products": audited.service}


if __name__ == "__main__":
    logging.disable(logging.CRITICAL)
    sys.stdout.write(json.dumps(play(json.loads(sys.stdin.read()))) + "\n")
