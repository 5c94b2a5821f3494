"""An append-only journal in a planner's store, each record chained to the one before by its hash, so that an altered or removed record is detected.

The first and the last link are stored apart from the records, so that a record missing at either end is detected too. Compaction replaces the oldest records by
one with the same content; the links continue from there. Every write is one transaction of the store, under its epoch: a kill at any of them leaves the
journal as it was before or after, and a planner that was fenced out writes nothing more.
"""
from hashlib import sha256
from typing import Callable, Iterable, Iterator, NamedTuple

from laddergw.store.planner_store import Store

# Past it the older half becomes one record. 230 directors at their worst write more within a minute.
MAX_RECORDS = 20_000
# Of all records: half of the store's own bound.
MAX_BYTES = 33_554_432
# Of one record, which the store reads as a whole.
MAX_RECORD_BYTES = 8_388_608
TABLES = """
CREATE TABLE IF NOT EXISTS ledger (number INTEGER PRIMARY KEY, record BLOB NOT NULL, link BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS ledger_ends (name TEXT PRIMARY KEY, number INTEGER NOT NULL, link BLOB NOT NULL);
"""
START = b"\0" * 32


class Verdict(NamedTuple):
    """The result of a verification: the number of records, the last record's number, and the faults found."""
    records: int
    last: int
    faults: tuple[str, ...]


def link(before: bytes, number: int, record: bytes) -> bytes:
    """Returns the link of a record: the hash of the link before, the number and the record."""
    return sha256(before + number.to_bytes(8, "big") + record).digest()


class Ledger:
    """The journal of one store. Raises StoreError and its subclasses as the store does; a write that raised was not made."""

    def __init__(self, store: Store, max_records: int = MAX_RECORDS, max_bytes: int = MAX_BYTES):
        self.store, self.max_records, self.max_bytes = store, max_records, max_bytes
        self.store.write_fenced(self.open)
        self.load()

    def open(self) -> None:
        """Creates the tables."""
        self.store.db.execute(TABLES)
        for end in "first", "last":
            self.store.db.execute("INSERT OR IGNORE INTO ledger_ends VALUES (?, 0, ?)", (end, START))

    def load(self) -> None:
        """Reads the journal's end and size; to be called again after another planner may have written."""
        (self.number, self.head), = self.store.db.execute("SELECT number, link FROM ledger_ends WHERE name = 'last'")
        self.count, self.size = self.store.db.execute("SELECT count(*), coalesce(sum(length(record)), 0) FROM ledger").fetchone()

    def append(self, records: Iterable[bytes]) -> int:
        """Adds records, all or none, and returns the number of the last. They are on the disk when it returns. Raises ValueError for a record that is too large."""
        rows, number, head = [], self.number, self.head
        for record in records:
            if len(record) > MAX_RECORD_BYTES:
                raise ValueError(f"a record of {len(record)} bytes, {MAX_RECORD_BYTES} at most")
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
        """Returns whether the journal is past its bounds."""
        return self.count > self.max_records or self.size > self.max_bytes

    def compact(self, fold: Callable[[Iterator[bytes]], bytes]) -> None:
        """Replaces the older half by one record, which `fold` makes of it. It takes the number of the last of them, and the links after it are
        computed anew. A journal that verified before verifies after; one that did not is left as it is, since it is verified first."""
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
        """Yields all records, oldest first."""
        for record, in self.store.db.execute("SELECT record FROM ledger ORDER BY number"):
            yield record

    def verify(self) -> Verdict:
        """Verifies the chain of links."""
        return verify(self.store.db)


def verify(db) -> Verdict:
    """Verifies the links from end to end; needs no more than a connection that reads."""
    ends = {name: (number, end_link) for name, number, end_link in db.execute("SELECT name, number, link FROM ledger_ends")}
    if ends.keys() != {"first", "last"}:
        return Verdict(0, 0, ("its ends are missing",))
    faults, count, (expected, head) = [], 0, ends["first"]
    for number, record, stored_link in db.execute("SELECT number, record, link FROM ledger ORDER BY number"):
        if number != expected + 1:
            faults.append(f"records {expected + 1} to {number - 1} are missing")
        elif link(head, number, record) != stored_link:
            faults.append(f"record {number} is not the one that was written")
        expected, head, count = number, stored_link, count + 1
    if (expected, head) != ends["last"]:
        faults.append(f"it ends with record {expected}, {ends['last'][0]} was the last" if expected != ends["last"][0] else f"record {expected} is not the last that was written")
    return Verdict(count, expected, tuple(faults))
