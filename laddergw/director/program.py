"""The director as a process: its file, signals, logs and metrics, and the tap that rehearsals read."""
import os
import resource
import signal
import sys
from typing import Callable

import msgspec

from laddergw.terms import director_file as director_files
from laddergw.director.director import Director
from laddergw.director.limits_file import SubprocessCheck, LimitsFile, at_start
from laddergw.director.watching import Watcher, health, logger
from laddergw.loop import signal_mask
from laddergw.loop.sockets import SocketLoop
from laddergw.terms.limits import Limits
from laddergw.terms.loading import load_file

EXIT_GOOD, EXIT_FAILED, EXIT_FILE = 0, 1, 2
TAP_FLUSH_MS = 20.0        # a killed director loses at most so much of its records


class TapFile:
    """Records as JSON lines, written out at the end of each turn so that a kill loses little."""

    def __init__(self, loop, path: str):
        self.stream, self.lines, self.encode = open(path, "ab", buffering=0), [], msgspec.json.Encoder().encode
        loop.on_turn_end(self.flush)

    def record(self, what: str, now: float, **facts) -> None:
        self.lines.append(self.encode([now, what, facts]))

    def flush(self) -> None:
        if self.lines:
            lines, self.lines = self.lines, []
            self.stream.write(b"\n".join(lines) + b"\n")


def raise_descriptors() -> None:
    """Each held play needs one: the soft limit goes up to the hard one."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def reload_director_file(path: str, director: Director, log, limits: str | None = None) -> None:
    """The file anew, at SIGHUP: its keys, deployment and peers hold from now on; a refused file, or one that the limits in force do not fit,
    changes nothing; the rest waits for a restart."""
    try:
        house = director_files.read_file(path)
    except director_files.FileRejected as error:
        log.error("file refused", faults=[str(fault) for fault in error.faults])
        return
    against = director_files.switch_fault(director.house, house)
    if against is None and limits is not None:
        against = "; ".join(load_file(limits, house).texts()) or None
    if against is not None:
        log.error("file refused", faults=[against])
        return
    others = director_files.restart_only_changes(director.house, house)
    director.change_director_file(house)
    log.info("keys changed", signs=house.keys[0][0], taken=[name for name, _ in house.keys], retired=sorted(house.retired), for_restart=others)


def planner_side(director: Director, house: director_files.DirectorFile):
    """The line to the planners that the file names; None where it names none."""
    if not house.planners:
        return None
    from laddergw.loop.tls import client_context
    from laddergw.planner.planner_client import PlannerClient
    return PlannerClient(director, house.planners, None, (lambda: client_context(*house.tls)) if house.tls is not None else None)


def reload_files(path: str, director: Director, watch: LimitsFile | None, log) -> None:
    """At SIGHUP: the director's own file, and the limits at once."""
    reload_director_file(path, director, log, watch.path if watch is not None else None)
    if watch is not None:
        watch.look(at_once=True)


def watch_limits(limits: str, path: str, director: Director, log) -> LimitsFile:
    """Each good version of the file takes effect, each refused one is told; both are counted and tapped."""
    def put(found: Limits) -> None:
        lines = director.change_limits(found)
        log.info("limits changed", generation=director.generations.current.number, changes=lines)

    def refused(texts: list[str]) -> None:
        director.limits_refused(texts)
        log.error("limits refused", faults=texts)
    return LimitsFile(director.loop, limits, SubprocessCheck(director.loop, path), put, refused, None)


def run(path: str, level: str = "info", tap_file: str | None = None, source: str = "d", make: Callable = Director,
        set_up: Callable = lambda director, log: None, limits: str | None = None) -> int:
    """Runs one director until it is told to stop. Returns the process's exit status: 2 where the file is refused. `make` is
    called as Director is; `set_up(director, log)` once it listens. `limits`: the operators' file, watched."""
    try:
        house = director_files.read_file(path)
    except director_files.FileRejected as error:
        print(error, file=sys.stderr)
        return EXIT_FILE
    loaded = None
    if limits is not None:
        loaded, against = at_start(limits, house)
        if loaded.limits is None:
            print("\n".join(against), file=sys.stderr)
            return EXIT_FILE
    raise_descriptors()
    log = logger(level).bind(director=house.number)
    if limits is not None and against:
        log.error("limits refused at the start: the last good version is in force", faults=against)
    loop = SocketLoop()
    tap = None
    if tap_file is not None:
        from laddergw.lab.tap import tap as taps     # only rehearsals tap: the laboratory stays out of service
        tap = taps(source, TapFile(loop, tap_file).record)
    watcher = Watcher(log, lambda: loop.now)
    try:
        director = make(loop, house, tap=tap, watch=watcher.told, limits=loaded.limits if loaded else None)
    except OSError as error:
        log.error("cannot listen", address=house.listen, error=str(error))
        return EXIT_FAILED
    director.pages["GET", "/metrics"] = watcher.page(director)
    director.pages["GET", "/healthz"] = health(director)
    for number in signal.SIGTERM, signal.SIGINT:
        loop.on_signal(number, director.stop)
    side = planner_side(director, house)
    if side is not None:
        director.pages["GET", "/planner"] = side.page
    watch = watch_limits(limits, path, director, log) if limits is not None else None
    if side is not None and watch is not None:
        side.audit.accept_files(watch.bring)
    director.reload_files = lambda: reload_files(path, director, watch, log)
    loop.on_signal(signal.SIGHUP, director.reload_files)
    set_up(director, log)
    log.info("director runs", address=director.address, process=os.getpid())
    sys.stdout.write(f"ready {director.address[0]} {director.address[1]}\n")    # one write: whoever reads it may close
    sys.stdout.flush()
    loop.run()
    signal_mask.block_signals()              # what comes to a process that ends must not end it otherwise
    log.info("director ends", broken=director.broken)
    loop.close()
    return EXIT_FAILED if director.broken else EXIT_GOOD
