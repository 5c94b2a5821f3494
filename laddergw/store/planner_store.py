"""Keeps a planner's history and snapshots in one SQLite file: what was acknowledged survives a kill at any write, and only one planner writes.

SQLite through apsw has a rollback journal proven elsewhere, and virtual files by which tests interrupt it at every write. The alternatives considered were lmdb (a mapped file
whose size is fixed in advance, and no hooks at single writes) and a log file of our own (everything would be ours to prove). Each record carries a checksum, so a flipped bit
ends the history there and is reported; two snapshots are kept, so a broken one costs the time between them. Whoever opens the store takes the next epoch; a write under an
older epoch is refused.
"""
import os
from typing import Iterable, NamedTuple
from zlib import crc32

import apsw

# Format 1 had no checksums.
FORMAT = 2
PAGE_BYTES = 4_096
SNAPSHOTS_KEPT = 2
# How long to wait for another planner's write, which takes a few ms.
BUSY_TIMEOUT_MS = 500
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
    """No space is left, on the disk or under the store's own bound: nothing of the write was kept."""


class Recovered(NamedTuple):
    """The recovered state: the newest intact snapshot (None: none), the records after it in order, the number of the last, and what was damaged."""
    state: bytes | None
    records: list[bytes]
    number: int
    faults: list[str]


class Store:
    """One planner's connection to its store. Raises StoreError if the file is of a newer format or not a store."""

    def __init__(self, path: str, max_bytes: int = 67_108_864, vfs: str | None = None):
        self.path = path
        try:
            self.db = apsw.Connection(path, vfs=vfs)
            self.db.set_busy_timeout(BUSY_TIMEOUT_MS)
            for pragma in (f"page_size = {PAGE_BYTES}", "journal_mode = DELETE", "synchronous = FULL", f"max_page_count = {max_bytes // PAGE_BYTES}"):
                self.db.execute(f"PRAGMA {pragma}").fetchall()
            self.transact(self.open)
        except apsw.Error as error:
            raise to_store_error(error, path) from None
        self.number = self.last_number()

    def open(self) -> None:
        """Creates or migrates the tables and takes the next epoch, all in one transaction."""
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
        # Of the store itself, whoever opens it.
        self.identity = self.fact("identity") or int.from_bytes(os.urandom(7), "big")
        self.set_fact("identity", self.identity)

    def fact(self, name: str) -> int | None:
        """Returns a value of the table of facts."""
        row = self.db.execute("SELECT value FROM facts WHERE name = ?", (name,)).fetchone()
        return None if row is None else row[0]

    def is_current(self) -> bool:
        """Returns whether no other planner has opened the store since."""
        try:
            return self.fact("epoch") == self.epoch
        except apsw.Error:
            return False

    def set_fact(self, name: str, value: int) -> None:
        """Sets a value of the table of facts."""
        self.db.execute("INSERT OR REPLACE INTO facts VALUES (?, ?)", (name, value))

    def last_number(self) -> int:
        """Returns the number of the last record or snapshot."""
        return self.db.execute("SELECT max((SELECT coalesce(max(number), 0) FROM history), (SELECT coalesce(max(number), 0) FROM snapshots))").fetchone()[0]

    # Writing: a call that returns has acknowledged its write

    def transact(self, write) -> None:
        """Runs a write as one transaction. Where SQLite has rolled back by itself (no space), it is not rolled back again."""
        self.db.execute("BEGIN IMMEDIATE")
        try:
            write()
            self.db.execute("COMMIT")
        except BaseException:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise

    def write_fenced(self, write) -> None:
        """Runs a write as one transaction, if the epoch is still ours. Raises FencedError."""
        def write_under_epoch() -> None:
            if self.fact("epoch") != self.epoch:
                raise FencedError(f"{self.path}: epoch {self.fact('epoch')} has been taken, ours is {self.epoch}")
            write()
        try:
            self.transact(write_under_epoch)
        except apsw.Error as error:
            raise to_store_error(error, self.path) from None

    def append(self, records: Iterable[bytes]) -> int:
        """Adds records to the history, all or none; returns the number of the last."""
        rows = [(self.number + position, record, crc32(record)) for position, record in enumerate(records, 1)]
        self.write_fenced(lambda: self.db.executemany("INSERT INTO history VALUES (?, ?, ?)", rows))
        self.number += len(rows)
        return self.number

    def snapshot(self, state: bytes) -> None:
        """Keeps the state after all records so far, and deletes the history that the oldest kept snapshot does not need."""
        def write() -> None:
            self.db.execute("INSERT OR REPLACE INTO snapshots VALUES (?, ?, ?)", (self.number, state, crc32(state)))
            kept = self.db.execute("SELECT number FROM snapshots ORDER BY number DESC LIMIT ?", (SNAPSHOTS_KEPT,)).fetchall()
            self.db.execute("DELETE FROM snapshots WHERE number < ?", kept[-1])
            self.db.execute("DELETE FROM history WHERE number <= ?", kept[-1])
        self.write_fenced(write)

    def take_epoch(self, least: int) -> int:
        """Takes the next epoch, of at least this value, and returns it: whoever had the store is fenced out."""
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
        """Returns the last acknowledged state."""
        faults, state, base = [], None, 0
        try:
            for number, snapshot, checksum in self.db.execute("SELECT number, state, sum FROM snapshots ORDER BY number DESC"):
                if crc32(snapshot) == checksum:
                    state, base = snapshot, number
                    break
                faults.append(f"snapshot {number}: its checksum is wrong")
            records, expected = [], base + 1
            for number, record, checksum in self.db.execute("SELECT number, record, sum FROM history WHERE number > ? ORDER BY number", (base,)):
                if number != expected or crc32(record) != checksum:
                    faults.append(f"record {expected}: " + ("missing" if number != expected else "its checksum is wrong") + "; what follows is left out")
                    break
                records.append(record)
                expected += 1
        except apsw.Error as error:
            raise to_store_error(error, self.path) from None
        return Recovered(state, records, base + len(records), faults)

    def truncate_after(self, number: int) -> None:
        """Deletes what follows an intact record; the next record takes its place."""
        self.write_fenced(lambda: (self.db.execute("DELETE FROM history WHERE number > ?", (number,)), self.db.execute("DELETE FROM snapshots WHERE number > ?", (number,))))
        self.number = number

    def bytes(self) -> int:
        """Returns the size of the file."""
        return self.db.execute("PRAGMA page_count").fetchone()[0] * PAGE_BYTES

    def close(self) -> None:
        """Closes the connection."""
        self.db.close()


def migrate(db: apsw.Connection, found: int) -> None:
    """Migrates the tables from an older format, step by step."""
    if found == 1:
        for table, column in (("history", "record"), ("snapshots", "state")):
            if "sum" not in {row[1] for row in db.execute(f"PRAGMA table_info({table})")}:
                db.execute(f"ALTER TABLE {table} ADD COLUMN sum INTEGER NOT NULL DEFAULT 0")
            rows = db.execute(f"SELECT number, {column} FROM {table}").fetchall()
            db.executemany(f"UPDATE {table} SET sum = ? WHERE number = ?", [(crc32(value), number) for number, value in rows])


def to_store_error(error: apsw.Error, path: str) -> StoreError:
    """Returns a StoreError that tells of an error of SQLite."""
    kind = StoreFullError if isinstance(error, apsw.FullError) else StoreError
    return kind(f"{path}: {error}")
