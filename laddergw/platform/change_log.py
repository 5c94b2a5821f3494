"""The client of the change log: connects, asks for the events since the last one, and reconnects
where the connection breaks or stays silent.
"""

import logging
from collections.abc import Callable

from laddergw.signalling import changes

# The change log writes a line each second: after this two lines are missing.
SILENCE_LIMIT_MS = 2_500.0
# First and longest pause before the next connection; doubled until a good line comes.
RECONNECT_PAUSE_MS = (50.0, 1_000.0)
# So much of a line that is not whole must come within SILENCE_LIMIT_MS, or the connection counts as
# silent: the line of a complete list has some hundred bytes a node.
MIN_PROGRESS_BYTES = 1_024
# Limit of dialling: an event is expected to be known 2 s after a break.
DIAL_TIMEOUT_MS = 500.0

log = logging.getLogger("laddergw.platform")


class ChangeLogClient:
    """Calls `on_event(event)` with each event once, in order.

    Without an address it does not connect; `last_number` is the number of the last event known.
    """

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
        self.stream, self.reader, self.pause_ms, self.timer = (
            None,
            changes.Reader(),
            RECONNECT_PAUSE_MS[0],
            None,
        )
        if address is not None:
            self.dial()

    def dial(self) -> None:
        """Dials the change log, with a new reader and a new silence timer."""
        # bytes received since the silence timer was set
        self.received_bytes = 0
        self.reader = changes.Reader()
        self.stream = self.loop.dial(self.address, self, DIAL_TIMEOUT_MS)
        self.restart_silence_timer(DIAL_TIMEOUT_MS + SILENCE_LIMIT_MS)

    def restart_silence_timer(self, wait_ms: float) -> None:
        """Reconnects unless this is called again within `wait_ms`."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(wait_ms, lambda: self.reconnect("silent"))

    def switch_address(self, address: tuple[str, int] | None) -> None:
        """Changes to another address; the event numbers go on."""
        self.address, self.pause_ms = address, RECONNECT_PAUSE_MS[0]
        self.reconnect("another address")

    def stop(self) -> None:
        """Ends the connection for good."""
        self.address = None
        self.reconnect("the director ends")

    def reconnect(self, why: str) -> None:
        """Ends the connection, if there is one, and dials another after a pause."""
        stream, self.stream = self.stream, None
        if self.timer is not None:
            self.timer.cancel()
        if stream is not None:
            stream.abort()
        log.info(
            "change log: %s; reconnecting from event %d in %.0f ms",
            why,
            self.last_number,
            self.pause_ms,
        )
        if self.address is not None:
            self.timer = self.loop.call_later(self.pause_ms, self.dial)
            self.pause_ms = min(2 * self.pause_ms, RECONNECT_PAUSE_MS[1])

    def opened(self, stream) -> None:
        """Stream callback: asks for the events since the last one."""
        stream.write(changes.since_request(self.last_number))

    def write_buffer_drained(self, stream) -> None:
        """Stream callback: nothing to do."""
        pass

    def data_received(self, stream, data: bytes) -> None:
        """Stream callback: handles whole lines; a malformed one ends the connection."""
        if stream is not self.stream:
            return
        self.received_bytes += len(data)
        self.reader.feed(data)
        try:
            while stream is self.stream and (event := self.reader.next()) is not None:
                self.received_bytes = MIN_PROGRESS_BYTES
                self.handle_event(event)
            if stream is self.stream and self.received_bytes >= MIN_PROGRESS_BYTES:
                self.received_bytes = 0
                self.restart_silence_timer(SILENCE_LIMIT_MS)
        except changes.MalformedError as error:
            self.reconnect(str(error))

    def handle_event(self, event: changes.Event) -> None:
        """Passes the next event on; skips repeated ones, and reconnects where one is missing."""
        if event.number > self.last_number + (event.members is not None):
            return self.reconnect(f"event {event.number} after {self.last_number}")
        self.pause_ms = RECONNECT_PAUSE_MS[0]
        if event.members is not None and event.number == self.last_number + 1:
            self.last_number = event.number
            self.on_event(event)

    def closed(self, stream, why: str | None) -> None:
        """Stream callback: reconnects."""
        if stream is self.stream:
            self.stream = None
            self.reconnect(why or "closed")
