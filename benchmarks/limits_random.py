"""Random files that the check accepts, each through a short bad day in memory: none may break a rule or drop a play.

    PYTHONPATH=. .venv/bin/python benchmarks/limits_random.py [files] [processes]
"""
import logging
import sys
from concurrent.futures import ProcessPoolExecutor

from laddergw.terms import director_file as director_files
from laddergw.director.director import Director
from laddergw.lab import audit, limits as lab
from laddergw.lab.plant import plant
from laddergw.lab.script import bad_day
from laddergw.lab.stage_memory import MemoryStage
from laddergw.terms import limits as files
from laddergw.terms.loading import default_terms

SECONDS, RATE = 6.0, 20.0


def one(number: int) -> tuple[int, str, str]:
    logging.disable(logging.CRITICAL)
    the_plant = plant(1 + number % 25, directors=3, nodes=10, rate=RATE, seconds=SECONDS)
    house = director_files.read(the_plant.house(0, ("d", 1), ("list", 1), 1))
    text = lab.sound(77, number, house)
    limits = files.read(text, house.names, default_terms(house))

    class Under(Director):
        def __init__(self, loop, house, **more):
            super().__init__(loop, house, limits=limits, **more)
    records = MemoryStage(the_plant, bad_day(the_plant), Under).run()
    judged = audit.audit(the_plant, records)
    bad = [broken.what for broken in judged.breaks] + ["dropped"] * lab.switched(records)["dropped"] + ["without an outcome"] * judged.without
    return judged.plays, "; ".join(bad), text if bad else ""


def main() -> None:
    count, processes = (int(sys.argv[k]) if len(sys.argv) > k else usual_value for k, usual_value in ((1, 500), (2, 6)))
    plays = broken = 0
    with ProcessPoolExecutor(processes) as pool:
        for number, (some, bad, text) in enumerate(pool.map(one, range(count), chunksize=4)):
            plays += some
            if bad:
                broken += 1
                print(f"file {number}: {bad}\n{text}", flush=True)
    print(f"{count} accepted files, {plays} plays, {broken} files with a broken rule")


if __name__ == "__main__":
    main()
