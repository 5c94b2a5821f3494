"""A media node's machine vanishes some seconds after busy traffic.

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

NODES, HOLDERS = 6, 3
# Set-ups a second, as many as the busiest director gets; their number.
RATE, REQUESTS = 90.0, 180
# What comes after it, to the end of the run.
LATER_RATE = 6.0
SET_UP_MS, PLAY_MS = 600.0, 27_000.0
# After the director's start any node may be cold: the traffic comes when that time is over.
WARM_S = 9.0
VANISH_AFTER_S, VANISH_S = 4.0, 16.0
# The page's 8 s, and the 50 ms by which each limit grows.
LIMIT_MS = 8_050.0


async def ask(viewers: Viewers, prefix: str, requests: int, rate: float) -> None:
    """Sends set-ups for titles all over the fleet, each held by three nodes in a row."""
    for number in range(requests):
        viewers.set_up(
            f"{prefix}{number:04x}",
            "guia-pago",
            f"home:{number % NODES};copies:{HOLDERS};top:3;viewer:00000000b4d6{number:04x}",
            title=f"7f3a9c21e0b4{number % 40:04x}",
            patience_ms=5000,
        )
        await asyncio.sleep(1 / rate)


async def case(record: Record, folder: pathlib.Path) -> int:
    """Plays the case."""
    log = ChangeLog(record)
    await log.start()
    nodes = [MediaNode(record, f"s-{n:08x}", n, SET_UP_MS, PLAY_MS) for n in range(NODES)]
    for node in nodes:
        node.start()
    log.event([node.entry() for node in nodes], complete=True)
    director = Director(record, folder, settings(), log)
    try:
        await director.start()
        await asyncio.sleep(WARM_S)
        viewers = await Viewers(record).connect(director.port)
        await ask(viewers, "9b1f03aa5c7e", REQUESTS, RATE)
        later = asyncio.create_task(ask(viewers, "9b1f03aa5c8e", 1_000, LATER_RATE))
        await asyncio.sleep(VANISH_AFTER_S)
        for node in nodes:
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
        later.cancel()
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
    sys.exit(play(sys.argv[1], case))  # the path of record.txt
