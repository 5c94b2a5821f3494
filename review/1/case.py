"""A media node's machine vanishes some seconds after a crowd's set-ups there.

Every viewer whose session stood at it is owed a release within 8 s of the session's end.
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
from standins.messages import RELEASE

NODES, HOLDERS = 12, 3
# Set-ups a second of the crowd, as many as the busiest director gets; their number.
CROWD_RATE, CROWD = 90.0, 36
SET_UP_MS, PLAY_MS = 450.0, 27_000.0
# After the director's start any node may be cold: the crowd comes when that time is over.
WARM_S = 9.0
VANISH_AFTER_S, VANISH_S = 4.0, 16.0
# The page's 8 s, and the 50 ms by which each limit grows.
LIMIT_MS = 8_050.0


async def case(record: Record, folder: pathlib.Path) -> int:
    """Plays the case."""
    log = ChangeLog(record)
    await log.start()
    nodes = [MediaNode(record, f"s-{n:08x}", n, SET_UP_MS, PLAY_MS) for n in range(NODES)]
    for node in nodes:
        node.start()
    log.event([node.entry() for node in nodes], complete=True)
    director = Director(record, folder, settings(Positions=NODES), log)
    try:
        await director.start()
        await asyncio.sleep(WARM_S)
        viewers = await Viewers(record).connect(director.port)
        for number in range(CROWD):
            viewers.set_up(
                f"9b1f03aa5c7e{number:04x}",
                "guia-pago",
                f"home:4;copies:{HOLDERS};top:3;viewer:00000000b4d6{number:04x}",
                patience_ms=5000,
            )
            await asyncio.sleep(1 / CROWD_RATE)
        await asyncio.sleep(VANISH_AFTER_S)
        for node in nodes[4 : 4 + HOLDERS]:
            record(
                f"node {node.name}: {len(node.standing)} sessions stand, "
                f"{len(node.connections)} connections of the director are open"
            )
        answered = set(viewers.answered())
        target = max(nodes, key=lambda node: len(set(node.standing) & answered))
        held = [session for session in target.standing if session in answered]
        if len(held) < 3:
            raise CouldNotRunError("too few sessions stand")
        ended_at = record.now()
        if has_trouble():
            target.vanish()
            await asyncio.sleep(VANISH_S)
            ends = dict.fromkeys(held, ended_at)
            limit = LIMIT_MS
        else:
            # They end in good order: the release follows the node's own within 1 s.
            ends = {s: target.standing[s][0] + PLAY_MS for s in held}
            await asyncio.sleep((max(ends.values()) - ended_at) / 1000 + 3.0)
            limit = 1_050.0
        late = 0
        for session in held:
            release = viewers.first(session, RELEASE)
            waited = release[0] - ends[session] if release else None
            is_late = waited is None or waited > limit
            late += is_late
            text = f"{waited:.0f} ms after its end" if release else "never"
            record(f"session {session}: released {text}{', TOO LATE' if is_late else ''}")
        record(f"{late} of {len(held)} sessions were not released within {limit:.0f} ms")
        return BROKEN if late else HELD
    finally:
        await director.end()


if __name__ == "__main__":
    sys.exit(play(__file__, case))
