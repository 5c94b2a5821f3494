"""Follows the change log: connects, asks for what came since, begins anew where it breaks off or
falls silent.
"""

import logging
from collections.abc import Callable

from laddergw.signalling import changes

SILENT_MS = 2_500.0  # it writes each second: two of its lines are missing
AGAIN_MS = (
    50.0,
    1_000.0,
)  # first and longest pause before the next connection; doubled while nothing good comes
# of a line that is not whole so much must come in that time, or it is a drip: a whole list has some
# hundred bytes a node
LEAST_BYTES = 1_024
DIAL_MS = 500.0  # wait for a connection: what is told counts as told 2 s after a break

log = logging.getLogger("laddergw.platform")


class ChangeLogClient:
    """`on_event(event)` is called with each event once, in order."""

    def __init__(
        self,
        loop,
        address: tuple[str, int] | None,
        last_number: int,
        on_event: Callable[[changes.Event], None],
    ):
        self.loop, self.address, self.last_number, self.on_event = (
            loop,
            address,
            last_number,
            on_event,
        )
        self.stream, self.reader, self.pause, self.timer = None, changes.Reader(), AGAIN_MS[0], None
        if address is not None:
            self.dial()

    def dial(self) -> None:
        self.part = 0  # bytes since its silence was counted from
        self.reader = changes.Reader()
        self.stream = self.loop.dial(self.address, self, DIAL_MS)
        self.listen_out(DIAL_MS + SILENT_MS)

    def listen_out(self, wait_ms: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(wait_ms, lambda: self.reconnect("silent"))

    def switch_address(self, address: tuple[str, int] | None) -> None:
        """Goes over to another address; the numbers go on."""
        self.address, self.pause = address, AGAIN_MS[0]
        self.reconnect("another address")

    def stop(self) -> None:
        self.address = None
        self.reconnect("the director ends")

    def reconnect(self, why: str) -> None:
        """Ends the connection, if there is one, and begins another after a pause."""
        stream, self.stream = self.stream, None
        if self.timer is not None:
            self.timer.cancel()
        if stream is not None:
            stream.abort()
        log.info("change log: %s; again from %d in %.0f ms", why, self.last_number, self.pause)
        if self.address is not None:
            self.timer = self.loop.call_later(self.pause, self.dial)
            self.pause = min(2 * self.pause, AGAIN_MS[1])

    def opened(self, stream) -> None:
        stream.write(changes.since_request(self.last_number))

    def write_buffer_drained(self, stream) -> None:
        pass

    def data_received(self, stream, data: bytes) -> None:
        if stream is not self.stream:
            return
        self.part += len(data)
        self.reader.feed(data)
        try:
            while stream is self.stream and (event := self.reader.next()) is not None:
                self.part = LEAST_BYTES
                self.handle_event(event)
            if stream is self.stream and self.part >= LEAST_BYTES:
                self.part = 0
                self.listen_out(SILENT_MS)
        except changes.MalformedError as error:
            self.reconnect(str(error))

    def handle_event(self, event: changes.Event) -> None:
        if event.number > self.last_number + (event.members is not None):
            return self.reconnect(f"{event.number} after {self.last_number}")
        self.pause = AGAIN_MS[0]
        if (
            event.members is not None and event.number == self.last_number + 1
        ):  # else it is written twice
            self.last_number = event.number
            self.on_event(event)

    def closed(self, stream, why: str | None) -> None:
        if stream is self.stream:
            self.stream = None
            self.reconnect(why or "closed")
