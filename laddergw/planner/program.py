"""The planner as a process: its file, signals and logs.

    (planner (name "p0") (listen "127.0.0.1" 8300) (store "planner.store") (key lab "at least sixteen bytes") (leads)
      (other "127.0.0.1" 8301) (tls (certificate "p0.pem") (key "p0.key") (authority "authority.pem")))

The keys sign plans; the directors have the same keys. A planner without (leads) stands by. See docs/planner.md.
"""
import gc
import os
import signal
import sys
from typing import NamedTuple

from laddergw.terms.director_file import read_signing_keys, read_addresses, read_tls
from laddergw.director.watching import logger
from laddergw.fleet.grant_issuer import Budget
from laddergw.loop import signal_mask
from laddergw.loop.sockets import SocketLoop
from laddergw.loop.tls import client_context, server_context
from laddergw.planner.plan import Keys
from laddergw.planner.server import Planner
from laddergw.store.planner_store import Store, StoreError
from laddergw.terms.reading import Faults, FormReader, parse_single_form, read_text
from laddergw.terms.sexpr import FileRejected

GC_INTERVAL_MS = 600_000.0 # between collections of reference cycles: only closed connections leave any; automatic collections would traverse the audit's log all the time
EXIT_OK, EXIT_FAILED, EXIT_FILE_REJECTED = 0, 1, 2


class PlannerFile(NamedTuple):
    """The settings of one planner process, from its file."""
    name: str
    listen: tuple[str, int]
    store: str | None
    keys: Keys
    leads: bool
    others: tuple[tuple[str, int], ...]
    tls: tuple[str, str, str] | None
    seed: int
    budgets: tuple[Budget, ...] = ()


def read_file(path: str) -> PlannerFile:
    """Reads a planner's file. Raises FileRejected with all faults; an unreadable file is one."""
    faults = Faults()
    top = FormReader(parse_single_form(read_text(path), os.path.basename(path), "planner"), faults)
    file = PlannerFile(top.word("name") or "", top.address("listen"), top.word("store", None), read_signing_keys(top), top.atoms("leads", None, 0, 0) is not None,
                       read_addresses(top, "other"), read_tls(top), top.integer("seed", 1, 0, 2 ** 63), read_budgets(top))
    top.reject_unknown_keys()
    faults.raise_if_any()
    return file


def read_budgets(top: FormReader) -> tuple[Budget, ...]:
    """The fleet budgets in a planner's file: (budget "tenant basin" (whole 40) (window-ms 10000))."""
    budgets = []
    for entry in top.subforms("budget"):
        budgets.append(Budget(entry.name, entry.integer("whole", 0, 0, 1_000_000_000) or 0, entry.number("window-ms", 10_000.0, 100, 3_600_000)))
        entry.reject_unknown_keys()
    return tuple(budgets)


def reload_file(path: str, planner: Planner, log) -> None:
    """Reloads the file at SIGHUP: its keys apply from the next plan, its budgets from the next division, other settings after a restart; a rejected file changes nothing."""
    try:
        file = read_file(path)
        planner.keys = file.keys
        planner.auditor.budget_grants.configure(file.budgets)
        log.info("keys changed", signs=planner.keys[0][0], taken=[name for name, _ in planner.keys])
    except FileRejected as error:
        log.error("file refused", faults=[str(fault) for fault in error.faults])


def run(path: str, level: str = "info") -> int:
    """Runs one planner until a signal stops it. Returns 2 if its file is rejected, 1 if its store or port cannot be opened."""
    try:
        file = read_file(path)
    except FileRejected as error:
        print(error, file=sys.stderr)
        return EXIT_FILE_REJECTED
    log = logger(level).bind(planner=file.name)
    loop = SocketLoop()
    try:
        store = Store(file.store) if file.store is not None and file.leads else None
        tls = server_context(*file.tls) if file.tls is not None else None
        planner = Planner(loop, f"{file.name}.{os.getpid()}", file.listen, store, file.keys, file.leads, file.others, file.seed, tls,
                          lambda what, **facts: log.debug(what, **facts) if what == "plan" else log.info(what, **facts),
                          (lambda: client_context(*file.tls)) if file.tls is not None else None)
    except (OSError, StoreError) as error:
        log.error("cannot start", error=str(error))
        return EXIT_FAILED
    planner.store_path = file.store
    planner.auditor.budget_grants.configure(file.budgets)
    for number in signal.SIGTERM, signal.SIGINT:
        loop.on_signal(number, planner.stop)
    loop.on_signal(signal.SIGHUP, lambda: reload_file(path, planner, log))
    gc.disable()
    planner.repeat_every(GC_INTERVAL_MS, gc.collect)
    log.info("planner runs", address=planner.address, leads=file.leads, epoch=planner.standby.epoch)
    sys.stdout.write(f"ready {planner.address[0]} {planner.address[1]}\n")
    sys.stdout.flush()
    loop.run()
    signal_mask.block_signals()              # a signal during the shutdown must not end the process in another way
    log.info("planner ends")
    loop.close()
    return EXIT_OK
