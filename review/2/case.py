"""Two of 13 media nodes vanish for nine seconds and return cold; the list tells of it later.

Sessions set up in between stand at the new processes. Their viewers are told that they are over,
come again, and get further sessions of the title: the director then holds more than the seats.
"""

import asyncio
import pathlib
import sys

from standins.bench import (
    BROKEN,
    HELD,
    ChangeLog,
    CouldNotRunError,
    Crowd,
    Director,
    MediaNode,
    Record,
    Viewers,
    has_trouble,
    play,
    settings,
)

PRODUCT = "listen-test"
NODES, LOST, HOLDERS, SEATS = 13, 2, 3, 9
SET_UP_MS, PLAY_MS = 100.0, 30_000.0
# After the director's start any node may be cold: the trouble comes when that time is over.
WARM_S = 9.0
# How long the nodes are lost; how much later the list tells of their return; how soon after a
# break viewers come again.
LOST_S, NOTICE_S, COME_AGAIN_S = 9.0, 4.0, 1.2


async def case(record: Record, folder: pathlib.Path) -> int:
    """Plays the case."""
    log = ChangeLog(record)
    await log.start()
    nodes = [MediaNode(record, f"s-{n:08x}", n, SET_UP_MS, PLAY_MS) for n in range(NODES)]
    for node in nodes:
        node.start()
    log.event([node.entry() for node in nodes], complete=True)
    terms = settings(ClassSeats=[SEATS, 0], Positions=NODES)
    terms["Grades"][0] |= {"Name": PRODUCT, "GiveUp": 3_000_000}
    director = Director(record, folder, terms, log)
    try:
        await director.start()
        await asyncio.sleep(WARM_S)
        lost = nodes[:LOST]
        if has_trouble():
            for node in lost:
                node.vanish()
            await asyncio.sleep(LOST_S)
            for node in lost:
                node.return_cold()
        returned_at = record.now()
        viewers = await Viewers(record).connect(director.port)
        crowd = Crowd(viewers, HOLDERS, PRODUCT, COME_AGAIN_S)
        for _ in range(SEATS):
            crowd.ask()
            await asyncio.sleep(0.3)
        await asyncio.sleep(max(0.0, NOTICE_S - (record.now() - returned_at) / 1000))
        if len(viewers.answered()) < SEATS:
            raise CouldNotRunError("not all seats are taken")
        beyond = crowd.ask()
        await asyncio.sleep(0.3)
        record(f"one more than the seats: {viewers.received.get(beyond)}")
        if has_trouble():
            await log.tell([node.entry() for node in lost])
        most = await crowd.watch(nodes, SEATS, 10.0)
        return BROKEN if most > SEATS else HELD
    finally:
        await director.end()


if __name__ == "__main__":
    sys.exit(play(sys.argv[1], case))  # the path of record.txt
