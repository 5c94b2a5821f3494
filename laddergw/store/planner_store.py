"""Keeps a planner's history and snapshots in one SQLite file: what was acknowledged survives a kill at any write, and only one planner writes.

Weighed: lmdb (a mapped file whose size is fixed ahead, no hooks at single writes), a log file of our own (everything to be proven by us), SQLite through apsw (a rollback journal proven
elsewhere, and virtual files by which tests cut it at every write). Taken: the last. Each record carries a checksum, so a flipped bit ends the history there and is told;
two snapshots are kept, so a broken one costs the time between them. Whoever opens the store takes the next epoch; a write under an older one is refused.
"""
import os
from typing import Iterable, NamedTuple
from zlib import crc32

import apsw

FORMAT = 2                 # 1 had no checksums
PAGE_BYTES = 4_096
SNAPSHOTS_KEPT = 2
BUSY_MS = 500              # another planner's write takes a few ms
TABLES = """
CREATE TABLE IF NOT EXISTS facts (name TEXT PRIMARY KEY, value INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS history (number INTEGER PRIMARY KEY, record BLOB NOT NULL, sum INTEGER NOT NULL DEFAULT 0);
CREATE TABLE IF NOT EXISTS snapshots (number INTEGER PRIMARY KEY, state BLOB NOT NULL, sum INTEGER NOT NULL DEFAULT 0);
"""


class StoreError(Exception):
    """The store cannot be used; the text says why."""


class FencedError(StoreError):
    """Another planner has opened the store since: this one must not write any more."""


class StoreFullError(StoreError):
    """No room is left, on the disk or under the store's own bound: nothing of the write was kept."""


class Recovered(NamedTuple):
    """What was found: the newest sound snapshot (None: none), the records after it in order, and what was not sound."""
    state: bytes | None
    records: list[bytes]
    number: int
    faults: list[str]


class Store:
    """See the module. Raises StoreError where the file is of a newer format or no store at all."""

    def __init__(self, path: str, max_bytes: int = 67_108_864, vfs: str | None = None):
        self.path = path
        try:
            self.db = apsw.Connection(path, vfs=vfs)
            self.db.set_busy_timeout(BUSY_MS)
            for pragma in (f"page_size = {PAGE_BYTES}", "journal_mode = DELETE", "synchronous = FULL", f"max_page_count = {max_bytes // PAGE_BYTES}"):
                self.db.execute(f"PRAGMA {pragma}").fetchall()
            self.transact(self.open)
        except apsw.Error as error:
            raise to_store_error(error, path) from None
        self.number = self.last_number()

    def open(self) -> None:
        """Makes or migrates the tables, and takes the next epoch: all in one transaction."""
        known = self.db.execute("SELECT count(*) FROM sqlite_schema WHERE name = 'facts'").fetchone()[0]
        self.db.execute(TABLES)
        found = self.fact("format") if known else FORMAT
        if found is None or found > FORMAT:
            raise StoreError(f"{self.path}: format {found}, {FORMAT} is known here")
        if found < FORMAT:
            migrate(self.db, found)
        self.set_fact("format", FORMAT)
        self.epoch = (self.fact("epoch") or 0) + 1
        self.set_fact("epoch", self.epoch)
        self.identity = self.fact("identity") or int.from_bytes(os.urandom(7), "big")      # of this store, whoever opens it
        self.set_fact("identity", self.identity)

    def fact(self, name: str) -> int | None:
        row = self.db.execute("SELECT value FROM facts WHERE name = ?", (name,)).fetchone()
        return None if row is None else row[0]

    def is_current(self) -> bool:
        """Whether no other planner has opened the store since."""
        try:
            return self.fact("epoch") == self.epoch
        except apsw.Error:
            return False

    def set_fact(self, name: str, value: int) -> None:
        self.db.execute("INSERT OR REPLACE INTO facts VALUES (?, ?)", (name, value))

    def last_number(self) -> int:
        return self.db.execute("SELECT max((SELECT coalesce(max(number), 0) FROM history), (SELECT coalesce(max(number), 0) FROM snapshots))").fetchone()[0]

    # Writing: each call is acknowledged by returning

    def transact(self, write) -> None:
        """All of it or nothing; where SQLite has rolled back by itself (no room), that is not done twice."""
        self.db.execute("BEGIN IMMEDIATE")
        try:
            write()
            self.db.execute("COMMIT")
        except BaseException:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise

    def write_fenced(self, write) -> None:
        """One transaction under our epoch."""
        def fenced() -> None:
            if self.fact("epoch") != self.epoch:
                raise FencedError(f"{self.path}: epoch {self.fact('epoch')} has been taken, ours is {self.epoch}")
            write()
        try:
            self.transact(fenced)
        except apsw.Error as error:
            raise to_store_error(error, self.path) from None

    def append(self, records: Iterable[bytes]) -> int:
        """Adds records to the history, all or none; the number of the last."""
        rows = [(self.number + place, record, crc32(record)) for place, record in enumerate(records, 1)]
        self.write_fenced(lambda: self.db.executemany("INSERT INTO history VALUES (?, ?, ?)", rows))
        self.number += len(rows)
        return self.number

    def snapshot(self, state: bytes) -> None:
        """The state after all records so far; history that an older kept snapshot does not need goes."""
        def write() -> None:
            self.db.execute("INSERT OR REPLACE INTO snapshots VALUES (?, ?, ?)", (self.number, state, crc32(state)))
            kept = self.db.execute("SELECT number FROM snapshots ORDER BY number DESC LIMIT ?", (SNAPSHOTS_KEPT,)).fetchall()
            self.db.execute("DELETE FROM snapshots WHERE number < ?", kept[-1])
            self.db.execute("DELETE FROM history WHERE number <= ?", kept[-1])
        self.write_fenced(write)

    def take_epoch(self, least: int) -> int:
        """Takes the next epoch, of at least this: whoever had the store is fenced out."""
        taken = 0

        def take() -> None:
            nonlocal taken
            taken = max((self.fact("epoch") or 0) + 1, least)
            self.set_fact("epoch", taken)
        try:
            self.transact(take)
            self.epoch, self.number = taken, self.last_number()
        except apsw.Error as error:
            raise to_store_error(error, self.path) from None
        return taken

    # Reading

    def recover(self) -> Recovered:
        """The last acknowledged state."""
        faults, state, base = [], None, 0
        try:
            for number, found, told in self.db.execute("SELECT number, state, sum FROM snapshots ORDER BY number DESC"):
                if crc32(found) == told:
                    state, base = found, number
                    break
                faults.append(f"snapshot {number}: its checksum is wrong")
            records, expected = [], base + 1
            for number, record, told in self.db.execute("SELECT number, record, sum FROM history WHERE number > ? ORDER BY number", (base,)):
                if number != expected or crc32(record) != told:
                    faults.append(f"record {expected}: " + ("missing" if number != expected else "its checksum is wrong") + "; what follows is left out")
                    break
                records.append(record)
                expected += 1
        except apsw.Error as error:
            raise to_store_error(error, self.path) from None
        return Recovered(state, records, base + len(records), faults)

    def truncate_after(self, number: int) -> None:
        """Drops what follows a sound record: the next record takes its place."""
        self.write_fenced(lambda: (self.db.execute("DELETE FROM history WHERE number > ?", (number,)), self.db.execute("DELETE FROM snapshots WHERE number > ?", (number,))))
        self.number = number

    def bytes(self) -> int:
        return self.db.execute("PRAGMA page_count").fetchone()[0] * PAGE_BYTES

    def close(self) -> None:
        self.db.close()


def migrate(db: apsw.Connection, found: int) -> None:
    """Step by step from an older format."""
    if found == 1:
        for table, column in (("history", "record"), ("snapshots", "state")):
            if "sum" not in {row[1] for row in db.execute(f"PRAGMA table_info({table})")}:
                db.execute(f"ALTER TABLE {table} ADD COLUMN sum INTEGER NOT NULL DEFAULT 0")
            rows = db.execute(f"SELECT number, {column} FROM {table}").fetchall()
            db.executemany(f"UPDATE {table} SET sum = ? WHERE number = ?", [(crc32(value), number) for number, value in rows])


def to_store_error(error: apsw.Error, path: str) -> StoreError:
    kind = StoreFullError if isinstance(error, apsw.FullError) else StoreError
    return kind(f"{path}: {error}")
