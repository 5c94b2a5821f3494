"""Either end of a connection between an edge and a planner: hello, frames, heartbeats, silence timeout and credit for plans. It takes no planning decisions."""
from typing import Callable

from laddergw.planner import wire

MAX_UNSENT_BYTES = 16_777_216  # a slower peer is to be disconnected: its next connection gets a complete plan


class Peer:
    """One end of a connection. `on_hello(peer)` is called once the other side's hello is valid, `on_frame(peer, frame)` for the frames after it, `on_closed(peer, why)` once."""

    def __init__(self, loop, hello: wire.Hello, on_frame: Callable, on_hello: Callable, on_closed: Callable):
        self.loop, self.hello, self.on_frame, self.on_hello, self.on_closed = loop, hello, on_frame, on_hello, on_closed
        self.stream, self.remote, self.is_closed = None, None, False
        self.unpacker = wire.Unpacker()
        self.last_received = self.last_sent = loop.now
        self.credit = wire.PLAN_CREDIT
        self.waiting_plan: bytes | None = None # the newest plan, while it waits for credit
        self.check_liveness()

    # Callbacks of the stream

    def opened(self, stream) -> None:
        """Sends the hello."""
        self.stream, self.last_received = stream, self.loop.now
        self.send(self.hello)

    def data_received(self, stream, data: bytes) -> None:
        """Handles the frames that `data` completes; closes on a malformed one."""
        self.last_received = self.loop.now
        try:
            for frame in self.unpacker.feed(data):
                self.handle_frame(frame)
                if self.is_closed:
                    return
        except wire.MalformedFrame as error:
            self.close(str(error))

    def write_buffer_drained(self, stream) -> None:
        """Nothing to do: plans wait for credit, not for the buffer."""
        pass

    def closed(self, stream, why: str | None) -> None:
        """Reports the end of the connection."""
        self.close(why or "closed by the other side")

    # Frames

    def handle_frame(self, frame: wire.Frame) -> None:
        """Checks the hello, counts credit and passes other frames on."""
        if self.remote is None:
            if not isinstance(frame, wire.Hello):
                return self.close("the first frame is not a hello")
            if frame.version != wire.VERSION:
                return self.close(f"version {frame.version} is not supported; this side uses {wire.VERSION}")
            self.remote = frame
            return self.on_hello(self)
        if isinstance(frame, wire.Credit):
            self.credit = min(self.credit + max(0, frame.plans), wire.PLAN_CREDIT)
            if self.waiting_plan is not None and self.credit:
                plan, self.waiting_plan = self.waiting_plan, None
                self.send_plan(plan)
        elif not isinstance(frame, wire.Beat):
            self.on_frame(self, frame)
        return None

    def send(self, frame: wire.Frame) -> None:
        """Sends a frame; drops it if the connection is not open."""
        if self.stream is not None and not self.is_closed:
            self.last_sent = self.loop.now
            self.stream.write(wire.pack(frame))

    def send_plan(self, sealed: bytes) -> None:
        """Sends a plan, or without credit lets it replace the plan that is waiting."""
        if not self.credit:
            self.waiting_plan = sealed
            return
        self.credit -= 1
        self.send(wire.PlanFrame(sealed))

    # Timers and closing

    def check_liveness(self) -> None:
        """Closes after a silence, sends a heartbeat when due, and runs again in half a heartbeat interval."""
        if self.is_closed:
            return
        if self.loop.now - self.last_received >= wire.SILENCE_TIMEOUT_MS:
            return self.close("silent")
        if self.loop.now - self.last_sent >= wire.HEARTBEAT_MS:
            self.send(wire.Beat(self.loop.now))
        self.loop.call_later(wire.HEARTBEAT_MS / 2, self.check_liveness)

    def close(self, why: str) -> None:
        """Closes the connection and reports why, once."""
        if not self.is_closed:
            self.is_closed = True
            if self.stream is not None:
                self.stream.close()
            self.on_closed(self, why)
