"""The edge as a process: a director's process, with programme rules that are reloaded on SIGHUP together with its keys."""
import os
import signal
import sys
from functools import partial

from laddergw.director import program
from laddergw.edge.front import EdgeFront
from laddergw.programme import rules as programme_rules
from laddergw.programme.rules import Programme
from laddergw.terms.reading import read_text
from laddergw.terms.sexpr import FileRejected


def read_rules(path: str) -> Programme:
    """Reads a file of programme rules. Raises FileRejected with every fault; an unreadable file is one."""
    return programme_rules.read(read_text(path), os.path.basename(path))


def run(path: str, rules: str | None, level: str, tap_file: str | None, source: str, limits: str | None = None) -> int:
    """Runs one edge until it is stopped, and returns the exit code: 2 where a file is rejected at the start."""
    try:
        programme = read_rules(rules) if rules else Programme({}, ())
    except FileRejected as error:
        print(error, file=sys.stderr)
        return program.EXIT_FILE

    def set_up(front: EdgeFront, log) -> None:
        def reload_rules() -> None:
            try:
                front.change_programme(read_rules(rules))
                log.info("rules changed", rules=len(front.programme.rules), items=len(front.programme.pieces))
            # The rules in force stay
            except FileRejected as error:
                log.error("rules refused", faults=[str(fault) for fault in error.faults])
        def reload() -> None:
            front.reload_files()
            if rules:
                reload_rules()
        front.loop.on_signal(signal.SIGHUP, reload)
    return program.run(path, level, tap_file, source, partial(EdgeFront, programme=programme), set_up, limits)
