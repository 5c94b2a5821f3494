"""The planner's store: cost of an acknowledged record, recovery time against history, with snapshots and without, and the file's size.

    PYTHONPATH=. .venv/bin/python benchmarks/store_recovery.py
"""
import os
import tempfile
import time

from laddergw.store.planner_store import Store

RECORD = os.urandom(1_500)     # a record of counts and hot titles
EACH = 60                      # records between snapshots, as the planner has it


def main() -> None:
    with tempfile.TemporaryDirectory() as folder:
        for snapshots in False, True:
            for count in (100, 1_000, 10_000):
                path = os.path.join(folder, f"{snapshots}-{count}")
                store = Store(path)
                batch = EACH if count > 1_000 or snapshots else 1
                began = time.perf_counter()
                for at in range(0, count, batch):
                    store.append([RECORD] * min(batch, count - at))
                    if snapshots:
                        store.snapshot(RECORD * 4)
                cost = (time.perf_counter() - began) * 1000 / (count / batch)
                store.close()
                began = time.perf_counter()
                again = Store(path)
                found = again.recover()
                took = (time.perf_counter() - began) * 1000
                print(f"{count:6} records{' with snapshots' if snapshots else '':15}: {cost:6.2f} ms a write of {batch}, recovered {len(found.records):6} records in {took:7.1f} ms, "
                      f"{again.bytes() / 1024:8.0f} KiB", flush=True)
                again.close()


if __name__ == "__main__":
    main()
