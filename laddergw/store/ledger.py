"""An append-only journal in a planner's store, each record chained to the one before by its hash: one that was altered or taken out is found.

The first and the last link stand apart from the records, so that a record missing at either end is found too. Compaction replaces the oldest records by
one that says the same; the links go on from there. Every write is one transaction of the store, under its epoch: a kill at any of them leaves the
journal as it was before or after, and a planner that was fenced out writes nothing more.
"""
from hashlib import sha256
from typing import Callable, Iterable, Iterator, NamedTuple

from laddergw.store.planner_store import Store

RECORDS_MOST = 20_000      # past it the older half becomes one record: under a minute's writes of 230 directors at their worst
BYTES_MOST = 33_554_432    # of records: half of the store's own bound
RECORD_MOST = 8_388_608    # of one; the store reads it whole
TABLES = """
CREATE TABLE IF NOT EXISTS ledger (number INTEGER PRIMARY KEY, record BLOB NOT NULL, link BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS ledger_ends (name TEXT PRIMARY KEY, number INTEGER NOT NULL, link BLOB NOT NULL);
"""
START = b"\0" * 32


class Verdict(NamedTuple):
    """What verifying came to: records looked at, the last number, and what is wrong with which."""
    records: int
    last: int
    faults: tuple[str, ...]


def link(before: bytes, number: int, record: bytes) -> bytes:
    return sha256(before + number.to_bytes(8, "big") + record).digest()


class Ledger:
    """See the module. Raises StoreError and its kinds as the store does; what raised was not written."""

    def __init__(self, store: Store, max_records: int = RECORDS_MOST, max_bytes: int = BYTES_MOST):
        self.store, self.max_records, self.max_bytes = store, max_records, max_bytes
        self.store.write_fenced(self.open)
        self.load()

    def open(self) -> None:
        self.store.db.execute(TABLES)
        for end in "first", "last":
            self.store.db.execute("INSERT OR IGNORE INTO ledger_ends VALUES (?, 0, ?)", (end, START))

    def load(self) -> None:
        """Where the journal stands: again after another planner may have written."""
        (self.number, self.head), = self.store.db.execute("SELECT number, link FROM ledger_ends WHERE name = 'last'")
        self.count, self.size = self.store.db.execute("SELECT count(*), coalesce(sum(length(record)), 0) FROM ledger").fetchone()

    def append(self, records: Iterable[bytes]) -> int:
        """Adds records, all or none; the number of the last. They are on the disk when it returns."""
        rows, number, head = [], self.number, self.head
        for record in records:
            if len(record) > RECORD_MOST:
                raise ValueError(f"a record of {len(record)} bytes, {RECORD_MOST} at most")
            number += 1
            head = link(head, number, record)
            rows.append((number, record, head))

        def write() -> None:
            self.store.db.executemany("INSERT INTO ledger VALUES (?, ?, ?)", rows)
            self.store.db.execute("UPDATE ledger_ends SET number = ?, link = ? WHERE name = 'last'", (number, head))
        if rows:
            self.store.write_fenced(write)
            self.number, self.head = number, head
            self.count, self.size = self.count + len(rows), self.size + sum(len(row[1]) for row in rows)
        return number

    def needs_compaction(self) -> bool:
        return self.count > self.max_records or self.size > self.max_bytes

    def compact(self, fold: Callable[[Iterator[bytes]], bytes]) -> None:
        """The older half becomes one record, as `fold` makes it of them. It takes the place of the last of them, and the links after it are
        made anew: what verified before verifies after, and what did not is not made good, since it is verified first."""
        if self.verify().faults or self.count < 4:
            return
        (cut,), = self.store.db.execute("SELECT number FROM ledger ORDER BY number LIMIT 1 OFFSET ?", (self.count // 2 - 1,))
        folded = fold(record for record, in self.store.db.execute("SELECT record FROM ledger WHERE number <= ? ORDER BY number", (cut,)))
        (before,), = self.store.db.execute("SELECT link FROM ledger_ends WHERE name = 'first'")

        def write() -> None:
            rest = self.store.db.execute("SELECT number, record FROM ledger WHERE number > ? ORDER BY number", (cut,)).fetchall()
            self.store.db.execute("DELETE FROM ledger WHERE number <= ?", (cut,))
            head, rows = before, []
            for number, record in [(cut, folded), *rest]:
                head = link(head, number, record)
                rows.append((number, record, head))
            self.store.db.executemany("INSERT OR REPLACE INTO ledger VALUES (?, ?, ?)", rows)
            self.store.db.execute("UPDATE ledger_ends SET number = ? WHERE name = 'first'", (cut - 1,))
            self.store.db.execute("UPDATE ledger_ends SET number = ?, link = ? WHERE name = 'last'", (rows[-1][0], head))
        self.store.write_fenced(write)
        self.load()

    def records(self) -> Iterator[bytes]:
        """All, oldest first."""
        for record, in self.store.db.execute("SELECT record FROM ledger ORDER BY number"):
            yield record

    def verify(self) -> Verdict:
        return verify(self.store.db)


def verify(db) -> Verdict:
    """Follows the links from end to end; needs no more than a connection that reads."""
    ends = {name: (number, told) for name, number, told in db.execute("SELECT name, number, link FROM ledger_ends")}
    if ends.keys() != {"first", "last"}:
        return Verdict(0, 0, ("its ends are missing",))
    faults, count, (expected, head) = [], 0, ends["first"]
    for number, record, told in db.execute("SELECT number, record, link FROM ledger ORDER BY number"):
        if number != expected + 1:
            faults.append(f"records {expected + 1} to {number - 1} are missing")
        elif link(head, number, record) != told:
            faults.append(f"record {number} is not the one that was written")
        expected, head, count = number, told, count + 1
    if (expected, head) != ends["last"]:
        faults.append(f"it ends with record {expected}, {ends['last'][0]} was the last" if expected != ends["last"][0] else f"record {expected} is not the last that was written")
    return Verdict(count, expected, tuple(faults))
