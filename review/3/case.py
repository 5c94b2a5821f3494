"""A keyed request is refused by a full media node, fails at a second one, and is sent on.

After the attempt that may have run, it may go only to media nodes of that attempt's cell.
"""

import asyncio
import pathlib
import sys

from standins.bench import (
    BROKEN,
    HELD,
    ChangeLog,
    CouldNotRunError,
    Director,
    MediaNode,
    Record,
    Viewers,
    has_trouble,
    play,
    settings,
)

CELLS, HOLDERS, REQUESTS = 6, 3, 4
SET_UP_MS, PLAY_MS = 60.0, 3_000.0
# After the director's start any node may be cold: the requests come when that time is over.
WARM_S, GAP_S = 9.0, 3.5
KEY_TTL_MS = 5_000.0


async def case(record: Record, folder: pathlib.Path) -> int:
    """Plays the case."""
    log = ChangeLog(record)
    await log.start()
    nodes = [
        MediaNode(record, f"s-{n:08x}", n % CELLS, SET_UP_MS, PLAY_MS) for n in range(2 * CELLS)
    ]
    for node in nodes:
        node.start()
    # One node is full with other directors' sessions. By their sizes it is the first choice for
    # the title, and a node of the next cell is the second.
    full, failing = nodes[0], nodes[1]
    full.size, full.status, failing.size = 12, 453, 8
    log.event([node.entry() for node in nodes], complete=True)
    terms = settings(Positions=CELLS, RackKb=400_000.0)
    terms["Grades"][1] |= {"Repeat": "token", "Group": "cell", "KeyTtl": int(KEY_TTL_MS * 1000)}
    terms["Siblings"] = 2
    director = Director(record, folder, terms, log)
    try:
        await director.start()
        await asyncio.sleep(WARM_S)
        if has_trouble():
            failing.status = 500
            record(f"node {failing.name}: FAILS three of four set-ups from now on")
        viewers = await Viewers(record).connect(director.port)
        for number in range(REQUESTS):
            viewers.set_up(
                f"9b1f03aa5c7e{number:04x}",
                "guia-pago",
                f"home:0;copies:{HOLDERS};top:3;viewer:00000000b4d6{number:04x}",
            )
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(1.0)
        outside = 0
        for session in viewers.received:
            attempts = sorted(
                (at, node) for node in nodes for at, name in node.arrived if name == session
            )
            ran_at, ran_cell = None, None
            for at, node in attempts:
                record(
                    f"session {session}: set up at {node.name}, cell {node.cell}, "
                    f"which answers {node.answers.get(session)}"
                )
                if ran_cell is not None and node.cell != ran_cell:
                    outside += 1
                    record(
                        f"session {session}: SENT TO CELL {node.cell} {at - ran_at:.0f} ms after "
                        f"an attempt in cell {ran_cell} that may have run"
                    )
                elif ran_cell is None and node.answers.get(session) != 453:
                    ran_at, ran_cell = at, node.cell
        if not any(session == f"9b1f03aa5c7e{0:04x}" for _, session in failing.arrived):
            raise CouldNotRunError("the failing node was never the second choice")
        record(f"{outside} set-ups outside the cell of an attempt that may have run")
        return BROKEN if outside else HELD
    finally:
        await director.end()


if __name__ == "__main__":
    sys.exit(play(sys.argv[1], case))  # the path of record.txt
