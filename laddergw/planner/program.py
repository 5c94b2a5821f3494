"""The planner as a process: its file, signals, logs and metrics.

    (planner (name "p0") (listen "127.0.0.1" 8300) (store "planner.store") (key lab "at least sixteen bytes") (leads)
      (other "127.0.0.1" 8301) (tls (certificate "p0.pem") (key "p0.key") (authority "authority.pem")))

Keys sign plans and are the directors'. A planner without (leads) stands by. docs/planner.md tells the rest.
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

COLLECT_MS = 600_000.0     # between collections of cycles: only ended connections leave any; left to itself, the collector walks over the audit's book all the time
EXIT_GOOD, EXIT_FAILED, EXIT_FILE = 0, 1, 2


class Office(NamedTuple):
    """All that one planner's process is told."""
    name: str
    listen: tuple[str, int]
    store: str | None
    keys: Keys
    leads: bool
    others: tuple[tuple[str, int], ...]
    tls: tuple[str, str, str] | None
    seed: int
    budgets: tuple[Budget, ...] = ()


def read_file(path: str) -> Office:
    """Raises FileRejected with every fault, an unreadable file included."""
    faults = Faults()
    top = FormReader(parse_single_form(read_text(path), os.path.basename(path), "planner"), faults)
    office = Office(top.word("name") or "", top.address("listen"), top.word("store", None), read_signing_keys(top), top.atoms("leads", None, 0, 0) is not None,
                    read_addresses(top, "other"), read_tls(top), top.integer("seed", 1, 0, 2 ** 63), take_budgets(top))
    top.reject_unknown_keys()
    faults.raise_if_any()
    return office


def take_budgets(top: FormReader) -> tuple[Budget, ...]:
    """Budgets of the fleet: (budget "tenant basin" (whole 40) (window-ms 10000))."""
    found = []
    for one in top.subforms("budget"):
        found.append(Budget(one.name, one.integer("whole", 0, 0, 1_000_000_000) or 0, one.number("window-ms", 10_000.0, 100, 3_600_000)))
        one.reject_unknown_keys()
    return tuple(found)


def read_again(path: str, planner: Planner, log) -> None:
    """At SIGHUP: the file's keys hold from the next plan on, its budgets from the next division; a refused file changes nothing, the rest waits for a restart."""
    try:
        office = read_file(path)
        planner.keys = office.keys
        planner.auditor.budget_grants.configure(office.budgets)
        log.info("keys changed", signs=planner.keys[0][0], taken=[name for name, _ in planner.keys])
    except FileRejected as error:
        log.error("file refused", faults=[str(fault) for fault in error.faults])


def run(path: str, level: str = "info") -> int:
    """Runs one planner until it is told to stop; 2 where its file is refused, 1 where its store or port cannot be had."""
    try:
        office = read_file(path)
    except FileRejected as error:
        print(error, file=sys.stderr)
        return EXIT_FILE
    log = logger(level).bind(planner=office.name)
    loop = SocketLoop()
    try:
        store = Store(office.store) if office.store is not None and office.leads else None
        tls = server_context(*office.tls) if office.tls is not None else None
        planner = Planner(loop, f"{office.name}.{os.getpid()}", office.listen, store, office.keys, office.leads, office.others, office.seed, tls,
                          lambda what, **facts: log.debug(what, **facts) if what == "plan" else log.info(what, **facts),
                          (lambda: client_context(*office.tls)) if office.tls is not None else None)
    except (OSError, StoreError) as error:
        log.error("cannot start", error=str(error))
        return EXIT_FAILED
    planner.store_path = office.store
    planner.auditor.budget_grants.configure(office.budgets)
    for number in signal.SIGTERM, signal.SIGINT:
        loop.on_signal(number, planner.stop)
    loop.on_signal(signal.SIGHUP, lambda: read_again(path, planner, log))
    gc.disable()
    planner.every(COLLECT_MS, gc.collect)
    log.info("planner runs", address=planner.address, leads=office.leads, epoch=planner.standby.epoch)
    sys.stdout.write(f"ready {planner.address[0]} {planner.address[1]}\n")
    sys.stdout.flush()
    loop.run()
    signal_mask.block_signals()              # what comes to a process that ends must not end it otherwise
    log.info("planner ends")
    loop.close()
    return EXIT_GOOD
