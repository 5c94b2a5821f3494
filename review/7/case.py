"""A session that plays as the day begins ends before its hand-over is read: is its viewer told?"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins2"))
import stand

HAND_OVERS = 8  # sessions that play at the node as the day begins
GAP_S = 0.02  # between two hand-overs of the front
# The rule: 1 s from the release of the media node, 8 s from the end if no release could be sent; 50 ms slack.
LIMIT_S = 8.0 + 0.05


async def case(record, folder, ends):
    node = stand.MediaNode(record, "s-00c41f7a")
    ends.append(node)
    await node.listen()
    log = stand.ChangeLog(record, [stand.event(1, [node.member()], whole=True)])
    ends.append(log)
    await log.listen()
    director = stand.Director(record, folder, log.port, log.known(), stand.settings())
    ends.append(director)
    sessions = [stand.Front.new_session() for _ in range(HAND_OVERS)]
    for session in sessions:
        node.add_standing(session)
    await director.ready()
    # The trouble: the last session comes to its end while the director starts. The node has no connection to
    # tell it on, and tells it on the next one that opens.
    last = sessions[-1]
    if stand.has_trouble():
        node.end(last)
    front = await stand.Front(record, director).connect()
    ends.append(front)
    plays = {}
    for session in sessions:
        plays[session] = front.hand_over(session, node.name, "guia-pago")
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(1.0)
    if not stand.has_trouble():
        node.end(last)
    await asyncio.sleep(LIMIT_S + 1.0)
    # Sessions that end later are released as they should: the director and the front are at work.
    node.end(sessions[0])
    await front.wait(plays[sessions[0]], lambda p: p.released_at, 3.0, "the release of another session")
    await asyncio.sleep(1.0)
    if not director.is_alive():
        raise stand.CouldNotRun("the director has ended")
    play, over = plays[last], node.sessions[last]
    if last in node.releases:
        raise stand.CouldNotRun("the node could not send its release")
    if play.released_at is None:
        record("judge", f"{last:016x} ended at its node at {over.ended_at:.3f}, the director has answered the "
                        f"node's release, and {record.now() - over.ended_at:.1f} s later its viewer has no release")
        return False
    record("judge", f"its viewer was told {play.released_at - max(over.ended_at, play.asked_at):.3f} s after")
    return play.released_at - max(over.ended_at, play.asked_at) <= LIMIT_S


stand.play_case(__file__, case)
