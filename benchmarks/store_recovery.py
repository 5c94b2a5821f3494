"""Measures the planner's store: cost of an acknowledged record, recovery time by length of history, with and without snapshots, and file size.

    PYTHONPATH=. .venv/bin/python benchmarks/store_recovery.py
"""
import os
import tempfile
import time

from laddergw.store.planner_store import Store

# As large as a record of counts and hot titles.
RECORD = os.urandom(1_500)
# As in the planner.
RECORDS_PER_SNAPSHOT = 60


def main() -> None:
    """Prints a line for each length of history."""
    with tempfile.TemporaryDirectory() as folder:
        for snapshots in False, True:
            for count in (100, 1_000, 10_000):
                path = os.path.join(folder, f"{snapshots}-{count}")
                store = Store(path)
                batch = RECORDS_PER_SNAPSHOT if count > 1_000 or snapshots else 1
                began = time.perf_counter()
                for start in range(0, count, batch):
                    store.append([RECORD] * min(batch, count - start))
                    if snapshots:
                        store.snapshot(RECORD * 4)
                write_ms = (time.perf_counter() - began) * 1000 / (count / batch)
                store.close()
                began = time.perf_counter()
                reopened = Store(path)
                recovered = reopened.recover()
                recovery_ms = (time.perf_counter() - began) * 1000
                print(f"{count:6} records{' with snapshots' if snapshots else '':15}: {write_ms:6.2f} ms a write of {batch}, recovered {len(recovered.records):6} records in {recovery_ms:7.1f} ms, "
                      f"{reopened.bytes() / 1024:8.0f} KiB", flush=True)
                reopened.close()


if __name__ == "__main__":
    main()
