"""The client of the change log: connects, asks for the events since the last one, and connects
again where the connection breaks or stays silent.

What the change log has to tell counts as told at a time limit after it broke off or fell silent. So
that it is known by then wherever the log can be reached again before, attempts begin at short
intervals, whatever becomes of the earlier ones: one that hangs does not delay the next. The
intervals are drawn, as all directors lose the change log at the same time.
"""

import logging
import random
from collections.abc import Callable

from laddergw.platform.configuration import Configuration
from laddergw.signalling import changes

# What the change log would have told counts as told this long after it broke off or fell silent.
TOLD_LIMIT_MS = 4_000.0
# No set-up may be sent to a node this long after its drain counts as told.
DRAIN_GRACE_MS = 250.0
# From the beginning of one attempt to that of the next one at the most, until that limit has
# passed: within the grace an attempt begins, comes up and brings its first events.
RETRY_INTERVAL_MS = 0.6 * DRAIN_GRACE_MS
# The same once it has passed; a change is then to be known 6 s after the log can be reached.
LATE_RETRY_INTERVAL_MS = 1_000.0
# The first pause after a break; doubled up to the interval.
FIRST_PAUSE_MS = 50.0
# The share of a pause that is drawn.
JITTER = 0.25
# The change log writes a line each second.
LINE_INTERVAL_MS = 1_000.0
# An open connection without a line for this long is silent: two lines are missing.
SILENCE_LIMIT_MS = 2.5 * LINE_INTERVAL_MS
# A new one without its first line for this long is silent.
FIRST_LINE_LIMIT_MS = 1.25 * LINE_INTERVAL_MS
# So much of a line that is not whole counts as a sign of life: the line of a complete list has some
# hundred bytes a node.
MIN_PROGRESS_BYTES = 1_024
# Limit of one dial; the next attempt does not wait for it.
DIAL_TIMEOUT_MS = 500.0
# Connections at once: attempts that hang, and silent ones that may still be continued.
MAX_CONNECTIONS = 5

log = logging.getLogger("laddergw.platform")


class ChangeLogConnection:
    """One connection to the change log, as the owner of its stream."""

    def __init__(self, client: "ChangeLogClient"):
        self.client, self.reader, self.received_bytes = client, changes.Reader(), 0
        self.is_open = self.has_spoken = False
        self.stream = client.loop.dial(client.address, self, DIAL_TIMEOUT_MS)

    def opened(self, stream) -> None:
        """Stream callback: asks for the events since the last one."""
        self.is_open = True
        stream.write(changes.since_request(self.client.last_number))
        self.client.connection_opened()

    def write_buffer_drained(self, stream) -> None:
        """Stream callback: nothing to do."""

    def data_received(self, stream, data: bytes) -> None:
        """Stream callback: handles whole lines; a malformed one ends the connection."""
        self.received_bytes += len(data)
        self.reader.feed(data)
        try:
            while self in self.client.connections and (event := self.reader.next()) is not None:
                self.received_bytes = 0
                self.client.handle_event(self, event)
        except changes.MalformedError as error:
            self.client.connection_failed(self, str(error))
        if self in self.client.connections and self.received_bytes >= MIN_PROGRESS_BYTES:
            self.received_bytes = 0
            self.client.schedule(SILENCE_LIMIT_MS)

    def closed(self, stream, why: str | None) -> None:
        """Stream callback: the connection has ended."""
        if self in self.client.connections:
            self.client.connection_failed(self, why or "closed")


class ChangeLogClient:
    """Calls `on_event(event)` with each event once, in order.

    Without an address in the configuration it does not connect. `last_number` is the number of the
    last event known.
    """

    def __init__(
        self, loop, configuration: Configuration, on_event: Callable[[changes.Event], None]
    ):
        self.loop, self.address = loop, configuration.changelog
        self.last_number, self.on_event = configuration.last_event, on_event
        self.draw = random.Random(configuration.seed).random
        # oldest first; the one that speaks next ends the others
        self.connections: list[ChangeLogConnection] = []
        self.pause_ms, self.timer, self.dialled_at = FIRST_PAUSE_MS, None, loop.now
        # since when it may have told what is not known here
        self.lost_at = loop.now
        if self.address is not None:
            self.dial()

    @property
    def stream(self):
        """The stream of the newest connection, or None."""
        return self.connections[-1].stream if self.connections else None

    def dial(self) -> None:
        """Begins another attempt; the earlier ones go on."""
        if len(self.connections) >= MAX_CONNECTIONS:
            self.drop(self.connections[0])
        self.dialled_at = self.loop.now
        self.connections.append(ChangeLogConnection(self))
        self.schedule(self.next_pause())

    def next_pause(self) -> float:
        """Draws the pause before the next attempt; the longest is doubled up to the interval."""
        is_in_time = self.loop.now - self.lost_at <= TOLD_LIMIT_MS + DRAIN_GRACE_MS
        longest = RETRY_INTERVAL_MS if is_in_time else LATE_RETRY_INTERVAL_MS
        pause_ms = min(self.pause_ms, longest)
        self.pause_ms = min(2 * pause_ms, longest)
        return pause_ms * (1.0 - JITTER * self.draw())

    def schedule(self, wait_ms: float) -> None:
        """Begins another attempt in `wait_ms`, unless this is called again before."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(wait_ms, self.retry)

    def retry(self) -> None:
        """Begins another attempt, as the last one has not been answered in time."""
        for connection in self.connections:
            if connection.has_spoken:
                connection.has_spoken = False
                self.lost_at = self.loop.now - SILENCE_LIMIT_MS + LINE_INTERVAL_MS
                log.info("change log: silent, asked again from event %d", self.last_number)
        self.dial()

    def drop(self, connection: ChangeLogConnection) -> None:
        """Ends a connection from our side."""
        self.connections.remove(connection)
        connection.stream.abort()

    def drop_all(self) -> None:
        """Ends all connections, and begins no attempt by itself."""
        if self.timer is not None:
            self.timer.cancel()
        for connection in list(self.connections):
            self.drop(connection)

    def switch_address(self, address: tuple[str, int] | None) -> None:
        """Changes to another address; the event numbers go on."""
        self.address = address
        self.reconnect("another address")

    def stop(self) -> None:
        """Ends the connections for good."""
        self.address = None
        self.reconnect("the director ends")

    def reconnect(self, why: str) -> None:
        """Ends all connections and begins anew, after the first pause."""
        self.drop_all()
        log.info("change log: %s; reconnecting from event %d", why, self.last_number)
        self.lost_at, self.pause_ms = self.loop.now, FIRST_PAUSE_MS
        if self.address is not None:
            self.schedule(self.next_pause())

    def connection_opened(self) -> None:
        """A connection has asked for its events: its first line is due."""
        self.schedule(FIRST_LINE_LIMIT_MS)

    def connection_failed(self, connection: ChangeLogConnection, why: str) -> None:
        """Ends a connection that cannot be used; another attempt follows unless one is open."""
        self.drop(connection)
        if connection.has_spoken:
            return self.reconnect(why)
        log.debug("change log: an attempt has failed: %s", why)
        if any(other.is_open for other in self.connections):
            return None
        waited_ms = self.loop.now - self.dialled_at
        self.schedule(max(0.0, self.next_pause() - waited_ms))
        return None

    def handle_event(self, connection: ChangeLogConnection, event: changes.Event) -> None:
        """Passes the next event on; skips repeated ones, and reconnects where one is missing."""
        if event.number > self.last_number + (event.members is not None):
            return self.reconnect(f"event {event.number} after {self.last_number}")
        connection.has_spoken, self.pause_ms = True, FIRST_PAUSE_MS
        self.schedule(SILENCE_LIMIT_MS)
        for other in [one for one in self.connections if one is not connection]:
            self.drop(other)
        if event.members is not None and event.number == self.last_number + 1:
            self.last_number = event.number
            self.on_event(event)
        return None
