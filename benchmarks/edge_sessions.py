"""An edge's sessions: playlists per second and memory per session, at 10,000 sessions in one process, decisions only (no sockets).

    PYTHONPATH=. .venv/bin/python benchmarks/edge_sessions.py [sessions]
"""
import resource
import sys
import time

from laddergw.edge.composer import Composer, SegmentSource, AvailableItem, TitlePlaylists
from laddergw.hls.reading import read
from laddergw.hls.stitching import Item
from laddergw.lab.media_stand_in import item_playlist, title_playlist
from laddergw.programme.rules import BEFORE, SKIP, Rule
from laddergw.programme.schedule import PlacedItem
from laddergw.programme.sources import ChosenSource

TITLES, RUNGS, STEP_MS = 200, 5, 6_000.0


def main() -> None:
    """Prints the rate, mean size and memory of playlists at each step of the sessions."""
    sessions = int(sys.argv[1]) if len(sys.argv) > 1 else 10_000
    titles = [TitlePlaylists(tuple(read(title_playlist(title, rung)) for rung in range(RUNGS))) for title in range(TITLES)]
    notice = Item("tide", read(item_playlist("tide")))
    rule = Rule("r", ("tide",), BEFORE, (), None, frozenset(), (), 0, 1, 0, 0, 0.0, SKIP)
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    composers = [Composer(titles[n % TITLES], [PlacedItem(0, 0.0, "tide", rule), PlacedItem(5, 0.0, "tide", rule)], lambda what: f"/s/session/stamp/{what}")
                 for n in range(sessions)]
    source, chosen, available = SegmentSource(1, 2, "http://127.0.0.1:9000/v1/media/1/"), ChosenSource("tide", 1), AvailableItem(notice, "http://127.0.0.1:9000/v1/items/", 1)
    print("played s   playlists/s   mean bytes   KiB a session")
    for step in range(6):
        began, size = time.perf_counter(), 0
        for composer in composers:
            composer.extend(step * STEP_MS, source, lambda placed, lead: chosen, lambda _: available)
            size += len(composer.text())
        spent = time.perf_counter() - began
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        print(f"{step * STEP_MS / 1000:8.0f} {sessions / spent:13.0f} {size / sessions:12.0f} {(peak - before) / sessions:15.1f}", flush=True)


if __name__ == "__main__":
    main()
