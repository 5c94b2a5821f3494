"""The director as a process: its file, signals, logs and metrics, and the recording that rehearsals read."""
import os
import resource
import signal
import sys
from typing import Callable

import msgspec

from laddergw.terms import director_file as director_files
from laddergw.director.director import Director
from laddergw.director.limits_file import LimitsFile, SubprocessCheck, load_at_start
from laddergw.director.watching import Watcher, health, logger
from laddergw.loop import signal_mask
from laddergw.loop.sockets import SocketLoop
from laddergw.terms.limits import Limits
from laddergw.terms.loading import load_file

EXIT_GOOD, EXIT_FAILED, EXIT_FILE = 0, 1, 2
TAP_FLUSH_MS = 20.0        # a killed director loses at most this much of its records


class TapFile:
    """Writes records as JSON lines, at the end of each turn so that a kill loses little."""

    def __init__(self, loop, path: str):
        self.stream, self.lines, self.encode = open(path, "ab", buffering=0), [], msgspec.json.Encoder().encode
        loop.on_turn_end(self.flush)

    def record(self, what: str, now: float, **facts) -> None:
        """Adds a record; it is written at the end of the turn."""
        self.lines.append(self.encode([now, what, facts]))

    def flush(self) -> None:
        """Writes the records of this turn."""
        if self.lines:
            lines, self.lines = self.lines, []
            self.stream.write(b"\n".join(lines) + b"\n")


def raise_descriptors() -> None:
    """Raises the soft limit of descriptors to the hard one: each running play needs a descriptor."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def reload_director_file(path: str, director: Director, log, limits_path: str | None = None) -> None:
    """Reads the director's file again, at SIGHUP: its keys, deployment and peers are in force from now on; the rest needs a restart. A rejected
    file, or one that the operators' limits do not fit, changes nothing."""
    try:
        director_file = director_files.read_file(path)
    except director_files.FileRejected as error:
        log.error("file refused", faults=[str(fault) for fault in error.faults])
        return
    faults = director_files.switch_fault(director.house, director_file)
    if faults is None and limits_path is not None:
        faults = "; ".join(load_file(limits_path, director_file).texts()) or None
    if faults is not None:
        log.error("file refused", faults=[faults])
        return
    for_restart = director_files.restart_only_changes(director.house, director_file)
    director.change_director_file(director_file)
    log.info("keys changed", signs=director_file.keys[0][0], taken=[name for name, _ in director_file.keys], retired=sorted(director_file.retired), for_restart=for_restart)


def connect_to_planners(director: Director, director_file: director_files.DirectorFile):
    """Connects to the planners that the file names; None if it names none."""
    if not director_file.planners:
        return None
    from laddergw.loop.tls import client_context
    from laddergw.planner.planner_client import PlannerClient
    return PlannerClient(director, director_file.planners, None, (lambda: client_context(*director_file.tls)) if director_file.tls is not None else None)


def reload_files(path: str, director: Director, limits_file: LimitsFile | None, log) -> None:
    """Reads the director's own file and the operators' limits again, at SIGHUP."""
    reload_director_file(path, director, log, limits_file.path if limits_file is not None else None)
    if limits_file is not None:
        limits_file.poll(immediately=True)


def watch_limits(limits_path: str, director_file_path: str, director: Director, log) -> LimitsFile:
    """Watches the operators' limits: applies each valid version and logs each rejected one; both are counted and recorded."""
    def apply(found: Limits) -> None:
        lines = director.change_limits(found)
        log.info("limits changed", generation=director.generations.current.number, changes=lines)

    def reject(texts: list[str]) -> None:
        director.limits_refused(texts)
        log.error("limits refused", faults=texts)
    return LimitsFile(director.loop, limits_path, SubprocessCheck(director.loop, director_file_path), apply, reject, None)


def run(path: str, level: str = "info", tap_file: str | None = None, source: str = "d", create: Callable = Director,
        on_start: Callable = lambda director, log: None, limits: str | None = None) -> int:
    """Runs one director until it is told to stop. Returns the process's exit status: 2 if a file is rejected. `create` is called
    like Director, `on_start(director, log)` once it listens. `limits`: path of the operators' file, which is watched."""
    try:
        director_file = director_files.read_file(path)
    except director_files.FileRejected as error:
        print(error, file=sys.stderr)
        return EXIT_FILE
    loaded = None
    if limits is not None:
        loaded, faults = load_at_start(limits, director_file)
        if loaded.limits is None:
            print("\n".join(faults), file=sys.stderr)
            return EXIT_FILE
    raise_descriptors()
    log = logger(level).bind(director=director_file.number)
    if limits is not None and faults:
        log.error("limits refused at the start: the last good version is in force", faults=faults)
    loop = SocketLoop()
    tap = None
    if tap_file is not None:
        # Imported here since only rehearsals record: directors in service do not load the lab package
        from laddergw.lab.tap import tap as make_tap
        tap = make_tap(source, TapFile(loop, tap_file).record)
    watcher = Watcher(log, lambda: loop.now)
    try:
        director = create(loop, director_file, tap=tap, watch=watcher.event, limits=loaded.limits if loaded else None)
    except OSError as error:
        log.error("cannot listen", address=director_file.listen, error=str(error))
        return EXIT_FAILED
    director.pages["GET", "/metrics"] = watcher.page(director)
    director.pages["GET", "/healthz"] = health(director)
    for number in signal.SIGTERM, signal.SIGINT:
        loop.on_signal(number, director.stop)
    planner_side = connect_to_planners(director, director_file)
    if planner_side is not None:
        director.pages["GET", "/planner"] = planner_side.page
    limits_file = watch_limits(limits, path, director, log) if limits is not None else None
    if planner_side is not None and limits_file is not None:
        planner_side.audit.accept_files(limits_file.bring)
    director.reload_files = lambda: reload_files(path, director, limits_file, log)
    loop.on_signal(signal.SIGHUP, director.reload_files)
    on_start(director, log)
    log.info("director runs", address=director.address, process=os.getpid())
    # A single write: the reader may close the pipe after it
    sys.stdout.write(f"ready {director.address[0]} {director.address[1]}\n")
    sys.stdout.flush()
    loop.run()
    # A signal that comes now must not end the process with another status
    signal_mask.block_signals()
    log.info("director ends", broken=director.broken)
    loop.close()
    return EXIT_FAILED if director.broken else EXIT_GOOD
