"""A planner's line to another one, whose plans it hears as an edge does."""
from laddergw.loop.tls import TlsStream
from laddergw.planner import wire
from laddergw.planner.peer import Peer

REDIAL_MS = 700.0          # pause before it dials again


class LeaderClient:
    """See the module."""

    def __init__(self, planner, address: tuple[str, int]):
        self.planner, self.address, self.peer = planner, address, None
        self.dial()

    def dial(self) -> None:
        planner = self.planner
        hello = wire.Hello(wire.VERSION, planner.name, wire.STANDBY, planner.standby.epoch)
        self.peer = Peer(planner.loop, hello, self.told, lambda peer: None, self.down)
        owner = self.peer if planner.client_tls is None else TlsStream(self.peer, planner.client_tls(), False, self.address[0])
        planner.loop.dial(self.address, owner, REDIAL_MS)

    def told(self, peer: Peer, frame: wire.Frame) -> None:
        if isinstance(frame, wire.PlanFrame):
            peer.send(wire.Credit(1))
            self.planner.heard_plan(frame.sealed)

    def down(self, peer: Peer, why: str) -> None:
        if self.planner.loop.running:
            self.planner.loop.call_later(REDIAL_MS, self.dial)
