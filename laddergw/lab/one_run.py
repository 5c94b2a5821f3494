"""One run of an experiment: an order as JSON on standard input, its measures as JSON on standard output."""
import json
import logging
import sys

from laddergw.director.director import Director
from laddergw.lab import audit, daybook
from laddergw.lab.planner_outage import PlannerOutageStage
from laddergw.terms import loading


def play(order: dict) -> dict:
    """The measures of one day in memory, or why there are none."""
    day = daybook.book()[order["day"]]
    the_plant = daybook.plant_of(day, order["seed"], **order["changes"])
    under = Director
    if order["limits"]:
        with open(order["limits"], "rb") as stream:
            data = stream.read()

        class Under(Director):
            def __init__(self, loop, house, **more):
                loaded = loading.load(data, order["limits"], house)
                if loaded.limits is None:
                    raise ValueError(loaded.texts()[0])
                super().__init__(loop, house, limits=loaded.limits, **more)
        under = Under
    records = PlannerOutageStage(the_plant, daybook.script_of(day, the_plant), order["planners"], director_class=under).run()
    judged = audit.audit(the_plant, records)
    first = sorted(judged.first_ms)
    return {"service": judged.service["all"], "worth": audit.worth(the_plant, records), "first_ms": first[len(first) // 2] if first else 0.0, "tries": judged.tries, "plays": judged.plays,
            "rules": len(judged.breaks) + judged.without, "products": judged.service}


if __name__ == "__main__":
    logging.disable(logging.CRITICAL)
    sys.stdout.write(json.dumps(play(json.loads(sys.stdin.read()))) + "\n")
