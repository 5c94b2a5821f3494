"""Plays a short scenario with faults in memory under each of many random limits files that the check accepts: none may break a rule or drop a play.

    PYTHONPATH=. .venv/bin/python benchmarks/limits_random.py [files] [processes]
"""
import logging
import sys
from concurrent.futures import ProcessPoolExecutor

from laddergw.terms import director_file as director_files
from laddergw.director.director import Director
from laddergw.lab import audit, limits as lab
from laddergw.lab.deployment_model import build_deployment
from laddergw.lab.script import bad_day
from laddergw.lab.stage_memory import MemoryStage
from laddergw.terms import limits as limits_file
from laddergw.terms.loading import default_terms

SECONDS, RATE = 6.0, 20.0      # length of a scenario, and viewers per second


def play_file(number: int) -> tuple[int, str, str]:
    """Plays the scenario under one file; returns the number of plays, what went wrong, and the file's text if anything did."""
    logging.disable(logging.CRITICAL)
    the_plant = build_deployment(1 + number % 25, directors=3, nodes=10, rate=RATE, seconds=SECONDS)
    settings = director_files.read(the_plant.director_file(0, ("d", 1), ("list", 1), 1))
    text = lab.valid_text(77, number, settings)
    limits = limits_file.read(text, settings.names, default_terms(settings))

    class LimitedDirector(Director):
        def __init__(self, loop, house, **more):
            super().__init__(loop, house, limits=limits, **more)
    records = MemoryStage(the_plant, bad_day(the_plant), LimitedDirector).run()
    verdict = audit.audit(the_plant, records)
    problems = [broken.what for broken in verdict.breaks] + ["dropped"] * lab.count_switches(records)["dropped"] + ["without an outcome"] * verdict.without
    return verdict.plays, "; ".join(problems), text if problems else ""


def main() -> None:
    """Plays the given number of files in that many processes, and prints a total."""
    count, processes = (int(sys.argv[k]) if len(sys.argv) > k else default for k, default in ((1, 500), (2, 6)))
    plays = broken = 0
    with ProcessPoolExecutor(processes) as pool:
        for number, (file_plays, problems, text) in enumerate(pool.map(play_file, range(count), chunksize=4)):
            plays += file_plays
            if problems:
                broken += 1
                print(f"file {number}: {problems}\n{text}", flush=True)
    print(f"{count} accepted files, {plays} plays, {broken} files with a broken rule")


if __name__ == "__main__":
    main()
