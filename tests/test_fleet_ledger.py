"""The journal of the fleet's audit: chained, compacted, interrupted at every write; changes made by hand are detected."""
import os
import tempfile
import unittest

import apsw

from laddergw.store import ledger as ledgers
from laddergw.store.planner_store import FencedError, Store
from laddergw.store.ledger import Ledger


class LedgerTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = os.path.join(folder.name, "store")
        self.stores = []

    def open(self, **bounds):
        store = Store(self.path)
        self.stores.append(store)
        self.addCleanup(store.db.close)
        return Ledger(store, **bounds)

    def test_appended_records_are_found_by_the_next_opener(self):
        first = self.open()
        self.assertEqual((first.append([b"a", b"b"]), first.append([]), first.append([b"c"])), (2, 2, 3))
        second = self.open()
        self.assertEqual((list(second.records()), second.number, second.verify()), ([b"a", b"b", b"c"], 3, ledgers.Verdict(3, 3, ())))
        self.assertRaises(FencedError, first.append, [b"late"])              # its planner was fenced out: nothing is written
        second.append([b"d"])
        self.assertEqual(second.verify(), ledgers.Verdict(4, 4, ()))

    def test_changes_made_by_hand_are_detected(self):
        changes = {"UPDATE ledger SET record = x'00' WHERE number = 3": "record 3 is not", "DELETE FROM ledger WHERE number = 1": "records 1 to 1 are missing",
                 "DELETE FROM ledger WHERE number = 5": "ends with record 4, 5 was the last", "DELETE FROM ledger WHERE number IN (2, 3)": "records 2 to 3 are missing",
                 "UPDATE ledger SET number = 9 WHERE number = 5": "records 5 to 8 are missing", "DELETE FROM ledger_ends": "its ends are missing",
                 "UPDATE ledger SET record = (SELECT record FROM ledger WHERE number = 1) WHERE number = 2": "record 2 is not",
                 "UPDATE ledger SET link = x'00' WHERE number = 4": "record 4 is not"}
        for statement, fault in changes.items():
            with self.subTest(statement):
                if os.path.exists(self.path):
                    os.remove(self.path)
                journal = self.open()
                journal.append([b"%d" % n for n in range(5)])
                journal.store.db.execute(statement)
                self.assertIn(fault, "; ".join(journal.verify().faults))

    def test_compaction_keeps_the_content_within_a_bound(self):
        journal = self.open(max_records=10)

        def fold(records):
            return b"%d" % sum(int(record) for record in records)
        for n in range(200):
            journal.append([b"%d" % n])
            if journal.needs_compaction():
                journal.compact(fold)
        self.assertLessEqual(journal.count, 11)
        self.assertEqual((sum(int(record) for record in journal.records()), journal.verify().faults, journal.number), (sum(range(200)), (), 200))
        journal.store.db.execute("UPDATE ledger SET record = x'31' WHERE number = (SELECT min(number) FROM ledger)")
        before = list(journal.records())
        journal.compact(fold)                                           # a journal that does not verify is not repaired by compaction
        self.assertEqual((list(journal.records()), len(journal.verify().faults)), (before, 1))

    def test_a_kill_at_any_write_leaves_a_valid_journal(self):
        """Opens a copy of the file as it is at each write: the journal is as it was before or after that append."""
        journal, last_numbers = self.open(), []
        journal.append([b"0"])
        copies = []
        for n in range(1, 6):
            journal.store.db.execute("BEGIN IMMEDIATE")
            journal.store.db.execute("INSERT INTO ledger VALUES (?, ?, ?)", (n + 1, b"half", b"x"))
            copies.append(self.copy(n))                                 # a kill within a transaction
            journal.store.db.execute("ROLLBACK")
            journal.append([b"%d" % n])
            copies.append(self.copy(n + 100))
        for copy in copies:
            db = apsw.Connection(copy)
            verdict = ledgers.verify(db)
            last_numbers.append(verdict.last)
            db.close()
            self.assertEqual(verdict.faults, ())
        self.assertEqual(last_numbers, [1, 2, 2, 3, 3, 4, 4, 5, 5, 6])

    def copy(self, name):
        """Returns the path of a copy of the file and its rollback journal."""
        path = f"{self.path}.{name}"
        for end in "", "-journal":
            if os.path.exists(self.path + end):
                with open(self.path + end, "rb") as old, open(path + end, "wb") as new:
                    new.write(old.read())
        return path


if __name__ == "__main__":
    unittest.main()
