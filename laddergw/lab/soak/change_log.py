"""The change log of a trial: it sends events to directors, and can go down, go silent or cut a line
short.
"""

import json
from collections.abc import Callable

from laddergw.lab.soak.messages import event
from laddergw.lab.soak.peers import PeerConnection
from laddergw.lab.soak.ports import HOST

# The number of the last event is sent at this interval.
HEARTBEAT_INTERVAL_MS = 1_000.0


def encode_line(event_data: dict) -> bytes:
    """Encodes one line of the change log."""
    return json.dumps(event_data).encode() + b"\n"


class LogConnection(PeerConnection):
    """One director's connection: the director names its last event and receives all later ones."""

    def __init__(self, log: "ChangeLog", director: int):
        self.log, self.director, self.data, self.sent_count = log, director, b"", None

    def data_received(self, stream, data: bytes) -> None:
        self.data += data
        if self.data.endswith(b"\n") and self.sent_count is None:
            self.sent_count = int(self.data.split()[1])
            self.log.connections.append(self)
            self.send_pending()

    def send_pending(self) -> None:
        """Sends the events that have not been sent on this connection yet."""
        for event_data in self.log.events[self.sent_count :]:
            self.stream.write(encode_line(self.log.with_addresses(event_data, self.director)))
        self.sent_count = len(self.log.events)

    def closed(self, stream, why: str | None) -> None:
        if self in self.log.connections:
            self.log.connections.remove(self)


class ChangeLog:
    """Serves numbered events of the list of media nodes, on a port for each director.

    `address_for(node id, director)` gives the address at which a director reaches a node.
    """

    def __init__(self, loop, record, ports: list[int], address_for: Callable[[str, int], str]):
        self.loop, self.record, self.ports, self.address_for = loop, record, ports, address_for
        self.events, self.connections, self.listeners, self.is_silent = [], [], [], False
        self.listen()
        self.send_heartbeat()

    def listen(self) -> None:
        """Opens a listener on each director's port."""
        self.listeners = [
            self.loop.listen(
                (HOST, port), lambda stream, number=number: LogConnection(self, number)
            )
            for number, port in enumerate(self.ports)
        ]

    def with_addresses(self, event_data: dict, director: int) -> dict:
        """Returns an event with the node addresses that one director uses."""
        members = [
            fields | {"host_port": self.address_for(fields["id"], director)}
            for fields in event_data["fleet"]["members"]
        ]
        return event_data | {"fleet": event_data["fleet"] | {"members": members}}

    def send_heartbeat(self) -> None:
        """Sends the number of the last event to every director, periodically."""
        self.loop.call_later(HEARTBEAT_INTERVAL_MS, self.send_heartbeat)
        for connection in [] if self.is_silent else self.connections:
            connection.stream.write(encode_line({"seq": len(self.events)}))

    def publish(self, *members: dict, whole: bool = False) -> None:
        """Adds an event of the given members and sends it; `whole` if it lists all nodes."""
        self.events.append(event(len(self.events) + 1, *members, whole=whole))
        for member in members:
            self.record("told", node=member["id"], state=member["phase"])
        for connection in [] if self.is_silent else self.connections:
            connection.send_pending()

    def initial_events(self, director: int) -> dict:
        """Returns all events so far, as they stand in that director's configuration file."""
        return {
            "seq": len(self.events),
            "results": [self.with_addresses(event_data, director) for event_data in self.events],
        }

    def go_down(self) -> None:
        """Goes down: every connection is aborted, new ones are refused."""
        if self.listeners:
            self.record("log away")
            listeners, self.listeners = self.listeners, []
            for listener in listeners:
                listener.close()
            self.abort_connections()

    def come_back(self) -> None:
        """Listens again after `go_down`."""
        if not self.listeners:
            self.listen()
            self.record("log back")

    def abort_connections(self) -> None:
        """Resets every connection."""
        for connection in list(self.connections):
            connection.stream.abort()

    def go_silent(self) -> None:
        """Sends nothing more; connections stay open and new ones are accepted."""
        if not self.is_silent:
            self.record("log away")
            self.is_silent = True

    def resume(self) -> None:
        """Sends again after `go_silent`, beginning with the missed events."""
        if self.is_silent:
            self.is_silent = False
            self.record("log back")
            for connection in self.connections:
                connection.send_pending()

    def send_partial_line(self) -> None:
        """Writes part of a line on every connection, then closes it."""
        for connection in list(self.connections):
            connection.stream.write(encode_line({"seq": len(self.events)})[:4])
            connection.stream.close()
