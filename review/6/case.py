"""A connection is reset under a request that its node has answered: does the play run twice?"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins2"))
import stand

# Nothing may be out twice at once. The case waits for longer than any limit of the pages: 1 s for a release,
# 8 s where none could be sent, 50 ms slack.
LIMIT_S = 8.0 + 0.05
PATIENCE_MS = 5000


async def case(record, folder, ends):
    nodes = [stand.MediaNode(record, f"s-0000000{letter}", cell) for cell, letter in enumerate("abcd")]
    proxies = [stand.Proxy(record, node) for node in nodes]
    ends.extend([*proxies, *nodes])
    for one in [*nodes, *proxies]:
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

    async def ask():
        play = front.set_up("guia-pago", PATIENCE_MS)
        if not await front.answered(play):
            raise stand.CouldNotRun("a play was not served")
        return play

    await ask()
    resets = []

    def reset_under_request(link, data):
        """The first answer to a set-up is lost: the network resets its connection in both directions."""
        if data.startswith(b"RTSP/1.0 200") and b"CSeq: 1\r\n" in data and not resets:
            resets.append(link.proxy.node)
            record("network", f"resets the connection to {link.proxy.node.name}; its answer is lost")
            link.reset()
            return None
        return data

    if stand.has_trouble():
        for proxy in proxies:
            proxy.on_answer = reset_under_request
    play = await ask()
    if stand.has_trouble() and not resets:
        raise stand.CouldNotRun("no connection was reset")
    others = []
    for _ in range(5):  # more plays come: the director connects to its nodes and hears them
        await asyncio.sleep(LIMIT_S / 4)
        others.append(await ask())
    standing = [node for node in nodes if (one := node.sessions.get(play.session)) and one.stands]
    for node in nodes:
        if one := node.sessions.get(play.session):
            record("judge", f"{play.session:016x} at {node.name}: arrived {one.arrived_at:.3f}, "
                            f"answered {one.answered_at}, {'stands' if one.stands else one.why}, "
                            f"{len(node.connections)} connections open there")
    record("judge", f"{play.session:016x} stands at {len(standing)} nodes, "
                    f"{record.now() - play.answered_at:.1f} s after its viewer's answer")
    if not director.is_alive():
        raise stand.CouldNotRun("the director has ended")
    return len(standing) <= 1


stand.play_case(__file__, case)
