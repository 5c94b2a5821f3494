"""The change log breaks off and comes back: is a drain of that time kept?"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins2"))
import stand

PATIENCE_MS = 5000
# What the change log would have told counts as told 4 s after it broke off (the longer of the two limits of the
# pages); the settings allow 250 ms from then on, the protocol 50 ms more.
TOLD_AFTER_S = 4.0
GRACE_S = 0.250 + 0.050
OUTAGE_S = 3.7
DRAIN_AFTER_S = 1.0
RATE = 40  # set-ups a second, for half a second before and after the time that counts


async def case(record, folder, ends):
    nodes = [stand.MediaNode(record, f"s-0000000{letter}", cell) for cell, letter in enumerate("abc")]
    ends.extend(nodes)
    for one in nodes:
        await one.listen()
    log = stand.ChangeLog(record, [stand.event(1, [node.member() for node in nodes], whole=True)])
    ends.append(log)
    await log.listen()
    director = stand.Director(record, folder, log.port, log.known(), stand.settings())
    ends.append(director)
    await director.ready()
    await asyncio.sleep(5.0)  # every node is warm by the settings
    front = await stand.Front(record, director).connect()
    ends.append(front)
    drained = nodes[0]
    plays = []

    async def ask():
        """One set-up of a title that lies on every node; it ends soon after it was answered."""
        play = front.set_up("guia-pago", PATIENCE_MS, hint_ms=1000.0)
        plays.append(play)
        if await front.answered(play):
            await asyncio.sleep(0.2)
            for node in nodes:
                if (one := node.sessions.get(play.session)) and one.stands:
                    node.end(play.session)

    for _ in range(10):
        await ask()
    if not any(node is drained and node.set_ups for node in nodes):
        raise stand.CouldNotRun("the node got no play before")
    began = record.now()
    if stand.has_trouble():
        await log.break_off()
    await asyncio.sleep(DRAIN_AFTER_S)
    log.add([drained.member("DRAINING")])
    told_at = began + TOLD_AFTER_S if stand.has_trouble() else record.now()
    back_at = began + OUTAGE_S
    tasks, told_back = [], False
    until = began + TOLD_AFTER_S + 1.5
    while record.now() < until:
        if stand.has_trouble() and not told_back and record.now() >= back_at:
            told_back = True
            await log.listen()
            record("changelog", "takes connections again")
        if record.now() >= began + TOLD_AFTER_S - 0.5:
            tasks.append(asyncio.create_task(ask()))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)
    late = [one for one in drained.set_ups if one.arrived_at > told_at + GRACE_S]
    record("judge", f"the drain counts as told at {told_at:.3f}, set-ups must stop at {told_at + GRACE_S:.3f}; "
                    f"{len(late)} came later: {', '.join(f'{one.arrived_at:.3f}' for one in late)}")
    if not director.is_alive():
        raise stand.CouldNotRun("the director has ended")
    if not any(play.answered_at and play.asked_at > told_at + GRACE_S for play in plays):
        raise stand.CouldNotRun("no play was served after that time")
    return not late


stand.play_case(__file__, case)
