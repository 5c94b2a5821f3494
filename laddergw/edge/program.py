"""The edge as a process: the director's, with programme rules that are read again on SIGHUP, as its keys are."""
import os
import signal
import sys
from functools import partial

from laddergw.director import program
from laddergw.edge.front import EdgeFront
from laddergw.programme import rules as programmes
from laddergw.programme.rules import Programme
from laddergw.terms.reading import read_text
from laddergw.terms.sexpr import FileRejected


def read_rules(path: str) -> Programme:
    """Raises FileRejected with every fault, an unreadable file included."""
    return programmes.read(read_text(path), os.path.basename(path))


def run(path: str, rules: str | None, level: str, tap_file: str | None, source: str, limits: str | None = None) -> int:
    """Runs one edge until it is told to stop; 2 where a file is refused at the start."""
    try:
        programme = read_rules(rules) if rules else Programme({}, ())
    except FileRejected as error:
        print(error, file=sys.stderr)
        return program.EXIT_FILE

    def set_up(front: EdgeFront, log) -> None:
        def again() -> None:
            try:
                front.change_programme(read_rules(rules))
                log.info("rules changed", rules=len(front.programme.rules), items=len(front.programme.pieces))
            except FileRejected as error:         # the rules in force stay
                log.error("rules refused", faults=[str(fault) for fault in error.faults])
        def both() -> None:
            front.reload_files()
            if rules:
                again()
        front.loop.on_signal(signal.SIGHUP, both)
    return program.run(path, level, tap_file, source, partial(EdgeFront, programme=programme), set_up, limits)
