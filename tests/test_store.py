"""The store: cut at every write and at any byte of it, full, flipped, of an older format, and opened twice."""
import os
import shutil
import tempfile
import unittest

import apsw

from laddergw.store.planner_store import FORMAT, FencedError, StoreFullError, Store, StoreError


class Power:
    """Goes off at a write: that write lands in part, nothing after it."""

    def __init__(self):
        self.left, self.part, self.writes, self.off = None, 1.0, 0, False

    def write(self, data):
        """What of it lands."""
        if self.off:
            raise apsw.IOError("off")
        self.writes += 1
        if self.left is not None:
            self.left -= 1
            if self.left < 0:
                self.off = True
                return data[:int(len(data) * self.part)]
        return data

    def other(self):
        if self.off:
            raise apsw.IOError("off")
        return True


class Files(apsw.VFS):
    """Virtual files under one power."""

    def __init__(self, power):
        self.power = power
        super().__init__("cut", "")

    def xOpen(self, name, flags):
        return File(self.power, name, flags)

    def xDelete(self, name, sync):
        self.power.write(b"")
        self.power.other()
        return super().xDelete(name, sync)


class File(apsw.VFSFile):
    def __init__(self, power, name, flags):
        self.power = power
        super().__init__("", name, flags)

    def xWrite(self, data, offset):
        landed = self.power.write(data)
        if landed:
            super().xWrite(landed, offset)
        self.power.other()

    def xTruncate(self, size):
        self.power.write(b"")
        self.power.other()
        super().xTruncate(size)

    def xSync(self, flags):
        self.power.other()                       # what was written counts as landed: the order of writes is what is tested


class Kept(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, self.folder)
        self.path = os.path.join(self.folder, "store")

    def work(self, store, acknowledged):
        """A history with snapshots in it; what returned is noted."""
        for number in range(12):
            store.append([b"r%d" % number * 300, b"s%d" % number])
            acknowledged += [b"r%d" % number * 300, b"s%d" % number]
            if number % 4 == 3:
                store.snapshot(b"|".join(acknowledged))

    def found(self):
        store = Store(self.path)
        recovered = store.recover()
        store.close()
        self.assertEqual(recovered.faults, [])
        return (recovered.state.split(b"|") if recovered.state else []) + recovered.records

    def test_every_write_is_a_place_to_be_killed(self):
        """Hundreds of writes, each cut to nothing, half and all but a byte: what was acknowledged is there, and at most the one write more."""
        power = Power()
        files = Files(power)
        store = Store(self.path, vfs="cut")
        before, acknowledged = power.writes, []
        self.work(store, acknowledged)
        writes = power.writes - before
        store.close()
        self.assertGreater(writes, 100)
        for write in range(writes):
            for part in (0.0, 0.5, 0.999):
                for name in os.listdir(self.folder):
                    os.remove(os.path.join(self.folder, name))
                power.off, power.left = False, None
                store, acknowledged = Store(self.path, vfs="cut"), []
                power.left, power.part = write, part
                with self.assertRaises(StoreError):
                    self.work(store, acknowledged)
                try:
                    store.close()
                except apsw.Error:
                    pass
                found = self.found()
                self.assertEqual(found[:len(acknowledged)], acknowledged)
                self.assertIn(len(found) - len(acknowledged), (0, 2))
        files.unregister()

    def test_only_the_last_to_open_writes(self):
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

    def test_no_room_keeps_what_was_and_goes_on_when_there_is(self):
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

    def test_flipped_bits_are_told_and_cost_what_follows(self):
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
            place = data.index(word)
            data[place] ^= 1
            with open(self.path, "wb") as stream:
                stream.write(data)
            store = Store(self.path)
            found = store.recover()
            self.assertEqual((found.state, found.records), (state, records))
            self.assertTrue(found.faults and "checksum is wrong" in found.faults[0])
            store.close()

    def test_formats(self):
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
