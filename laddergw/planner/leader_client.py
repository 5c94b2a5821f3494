"""A standby planner's connection to another planner, whose plans it receives as an edge does."""
from laddergw.loop.tls import TlsStream
from laddergw.planner import wire
from laddergw.planner.peer import Peer

REDIAL_MS = 700.0          # pause before it connects again


class LeaderClient:
    """Keeps a connection to the planner at `address` and passes its plans to `planner`."""

    def __init__(self, planner, address: tuple[str, int]):
        self.planner, self.address, self.peer = planner, address, None
        self.connect()

    def connect(self) -> None:
        """Opens a new connection."""
        planner = self.planner
        hello = wire.Hello(wire.VERSION, planner.name, wire.STANDBY, planner.standby.epoch)
        self.peer = Peer(planner.loop, hello, self.frame_received, lambda peer: None, self.connection_closed)
        owner = self.peer if planner.client_tls is None else TlsStream(self.peer, planner.client_tls(), False, self.address[0])
        planner.loop.dial(self.address, owner, REDIAL_MS)

    def frame_received(self, peer: Peer, frame: wire.Frame) -> None:
        """Grants credit for the next plan and hands this one on."""
        if isinstance(frame, wire.PlanFrame):
            peer.send(wire.Credit(1))
            self.planner.plan_received(frame.sealed)

    def connection_closed(self, peer: Peer, why: str) -> None:
        """Connects again after a pause, while the loop runs."""
        if self.planner.loop.running:
            self.planner.loop.call_later(REDIAL_MS, self.connect)
