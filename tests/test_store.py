"""The store: interrupted at every write and within it, full, with flipped bits, of an older format, and opened twice."""
import os
import shutil
import tempfile
import unittest

import apsw

from laddergw.store.planner_store import FORMAT, FencedError, Store, StoreError, StoreFullError


class PowerSupply:
    """A simulated power supply that fails at a write: part of that write reaches the disk, and nothing after it."""

    def __init__(self):
        self.writes_left, self.written_share, self.writes, self.off = None, 1.0, 0, False

    def write(self, data):
        """Returns the part of a write that reaches the disk."""
        if self.off:
            raise apsw.IOError("off")
        self.writes += 1
        if self.writes_left is not None:
            self.writes_left -= 1
            if self.writes_left < 0:
                self.off = True
                return data[:int(len(data) * self.written_share)]
        return data

    def require_power(self):
        """Lets an operation other than a write pass while the power is on."""
        if self.off:
            raise apsw.IOError("off")
        return True


class PoweredFiles(apsw.VFS):
    """Virtual files that share one power supply."""

    def __init__(self, power):
        self.power = power
        super().__init__("cut", "")

    def xOpen(self, name, flags):
        return PoweredFile(self.power, name, flags)

    def xDelete(self, name, sync):
        self.power.write(b"")
        self.power.require_power()
        return super().xDelete(name, sync)


class PoweredFile(apsw.VFSFile):
    """A file whose writes depend on the power supply."""

    def __init__(self, power, name, flags):
        self.power = power
        super().__init__("", name, flags)

    def xWrite(self, data, offset):
        written = self.power.write(data)
        if written:
            super().xWrite(written, offset)
        self.power.require_power()

    def xTruncate(self, size):
        self.power.write(b"")
        self.power.require_power()
        super().xTruncate(size)

    def xSync(self, flags):
        # What was written counts as on the disk: the order of writes is what is tested.
        self.power.require_power()


class StoreTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, self.folder)
        self.path = os.path.join(self.folder, "store")

    def write_history(self, store, acknowledged):
        """Writes a history with snapshots in it; adds what was acknowledged to the list."""
        for number in range(12):
            store.append([b"r%d" % number * 300, b"s%d" % number])
            acknowledged += [b"r%d" % number * 300, b"s%d" % number]
            if number % 4 == 3:
                store.snapshot(b"|".join(acknowledged))

    def found(self):
        """Returns all records that the next process recovers."""
        store = Store(self.path)
        recovered = store.recover()
        store.close()
        self.assertEqual(recovered.faults, [])
        return (recovered.state.split(b"|") if recovered.state else []) + recovered.records

    def test_acknowledged_writes_survive_a_kill_at_any_write(self):
        """Hundreds of writes, each interrupted after none, half and nearly all of it: what was acknowledged is there, and at most the interrupted append besides."""
        power = PowerSupply()
        files = PoweredFiles(power)
        store = Store(self.path, vfs="cut")
        before, acknowledged = power.writes, []
        self.write_history(store, acknowledged)
        writes = power.writes - before
        store.close()
        self.assertGreater(writes, 100)
        for write in range(writes):
            for part in (0.0, 0.5, 0.999):
                for name in os.listdir(self.folder):
                    os.remove(os.path.join(self.folder, name))
                power.off, power.writes_left = False, None
                store, acknowledged = Store(self.path, vfs="cut"), []
                power.writes_left, power.written_share = write, part
                with self.assertRaises(StoreError):
                    self.write_history(store, acknowledged)
                try:
                    store.close()
                except apsw.Error:
                    pass
                found = self.found()
                self.assertEqual(found[:len(acknowledged)], acknowledged)
                self.assertIn(len(found) - len(acknowledged), (0, 2))
        files.unregister()

    def test_only_the_last_opener_writes(self):
        first = Store(self.path)
        first.append([b"a"])
        second = Store(self.path)
        with self.assertRaisesRegex(FencedError, "epoch 2 has been taken, ours is 1"):
            first.append([b"b"])
        with self.assertRaises(FencedError):
            first.snapshot(b"s")
        second.append([b"c"])
        self.assertEqual((second.take_epoch(9), first.take_epoch(1)), (9, 10))
        with self.assertRaises(FencedError):
            second.append([b"d"])
        first.append([b"e"])
        self.assertEqual((Store(self.path).epoch, first.recover().records), (11, [b"a", b"c", b"e"]))

    def test_a_full_store_keeps_its_records_and_resumes_once_there_is_space(self):
        store = Store(self.path, max_bytes=120_000)
        store.append([b"a" * 1_000])
        with self.assertRaises(StoreFullError):
            for _ in range(200):
                store.append([b"b" * 4_000])
        kept = len(store.recover().records)
        self.assertGreater(kept, 5)
        store.truncate_after(1)
        store.append([b"c"])
        self.assertEqual(store.recover().records, [b"a" * 1_000, b"c"])

    def test_flipped_bits_are_reported_and_end_the_history(self):
        store = Store(self.path)
        store.append([b"first"])
        store.snapshot(b"state-one")
        store.append([b"second-record", b"third"])
        store.snapshot(b"state-two")
        store.append([b"fourth-record", b"fifth"])
        store.close()
        with open(self.path, "rb") as stream:
            data = bytearray(stream.read())
        for word, state, records in ((b"fourth-record", b"state-two", []), (b"state-two", b"state-one", [b"second-record", b"third"])):
            position = data.index(word)
            data[position] ^= 1
            with open(self.path, "wb") as stream:
                stream.write(data)
            store = Store(self.path)
            found = store.recover()
            self.assertEqual((found.state, found.records), (state, records))
            self.assertTrue(found.faults and "checksum is wrong" in found.faults[0])
            store.close()

    def test_older_newer_and_foreign_formats(self):
        db = apsw.Connection(self.path)
        db.execute("CREATE TABLE facts (name TEXT PRIMARY KEY, value INTEGER); INSERT INTO facts VALUES ('format', 1), ('epoch', 6);"
                   "CREATE TABLE history (number INTEGER PRIMARY KEY, record BLOB); CREATE TABLE snapshots (number INTEGER PRIMARY KEY, state BLOB);"
                   "INSERT INTO snapshots VALUES (1, x'6f6c64'); INSERT INTO history VALUES (2, x'72')")
        db.close()
        store = Store(self.path)
        self.assertEqual((store.epoch, store.fact("format"), store.recover()[:2]), (7, FORMAT, (b"old", [b"r"])))
        store.set_fact("format", 9)
        with self.assertRaisesRegex(StoreError, "format 9, 2 is known here"):
            Store(self.path)
        with open(self.path, "wb") as stream:
            stream.write(b"no store at all" * 100)
        with self.assertRaisesRegex(StoreError, "not a database"):
            Store(self.path)


if __name__ == "__main__":
    unittest.main()
