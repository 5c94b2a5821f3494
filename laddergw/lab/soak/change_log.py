"""The change log as a peer of a trial: it tells events, goes away, falls silent, breaks off within
a line.
"""

import json
from collections.abc import Callable

from laddergw.lab.soak.messages import event
from laddergw.lab.soak.peers import Owner
from laddergw.lab.soak.ports import HOST

BEAT_MS = 1_000.0  # it writes its last number so often


def line(one: dict) -> bytes:
    return json.dumps(one).encode() + b"\n"


class LogConnection(Owner):
    """One director's connection: it asks from where it goes on, and hears all that follows."""

    def __init__(self, log: "ChangeLog", director: int):
        self.log, self.director, self.data, self.told = log, director, b"", None

    def data_received(self, stream, data: bytes) -> None:
        self.data += data
        if self.data.endswith(b"\n") and self.told is None:
            self.told = int(self.data.split()[1])
            self.log.sides.append(self)
            self.go_on()

    def go_on(self) -> None:
        """Tells what it has not told here yet."""
        for one in self.log.events[self.told :]:
            self.stream.write(line(self.log.addressed(one, self.director)))
        self.told = len(self.log.events)

    def closed(self, stream, why: str | None) -> None:
        if self in self.log.sides:
            self.log.sides.remove(self)


class ChangeLog:
    """Numbered events of the list of media nodes, told to every director that asks at its own port.
    `address_for(node id, director)` gives the address at which a director reaches a node."""

    def __init__(self, loop, record, ports: list[int], address_for: Callable[[str, int], str]):
        self.loop, self.record, self.ports, self.address_for = loop, record, ports, address_for
        self.events, self.sides, self.listeners, self.silent = [], [], [], False
        self.open()
        self.beat()

    def open(self) -> None:
        self.listeners = [
            self.loop.listen(
                (HOST, port), lambda stream, number=number: LogConnection(self, number)
            )
            for number, port in enumerate(self.ports)
        ]

    def addressed(self, one: dict, director: int) -> dict:
        """An event with the addresses of one director."""
        members = [
            fields | {"host_port": self.address_for(fields["id"], director)}
            for fields in one["fleet"]["members"]
        ]
        return one | {"fleet": one["fleet"] | {"members": members}}

    def beat(self) -> None:
        self.loop.call_later(BEAT_MS, self.beat)
        for side in [] if self.silent else self.sides:
            side.stream.write(line({"seq": len(self.events)}))

    def publish(self, *lines: dict, whole: bool = False) -> None:
        self.events.append(event(len(self.events) + 1, *lines, whole=whole))
        for line in lines:
            self.record("told", node=line["id"], state=line["phase"])
        for side in [] if self.silent else self.sides:
            side.go_on()

    def known(self, director: int) -> dict:
        """As that director's configuration holds it."""
        return {
            "seq": len(self.events),
            "results": [self.addressed(one, director) for one in self.events],
        }

    def go_down(self) -> None:
        """It is down: every connection ends, new ones are refused."""
        if self.listeners:
            self.record("log away")
            listeners, self.listeners = self.listeners, []
            for listener in listeners:
                listener.close()
            self.cut()

    def come_back(self) -> None:
        if not self.listeners:
            self.open()
            self.record("log back")

    def cut(self) -> None:
        for side in list(self.sides):
            side.stream.abort()

    def go_silent(self) -> None:
        """Connections stay open, also new ones, and nothing is said."""
        if not self.silent:
            self.record("log away")
            self.silent = True

    def resume(self) -> None:
        if self.silent:
            self.silent = False
            self.record("log back")
            for side in self.sides:
                side.go_on()

    def break_line(self) -> None:
        """Writes half a line on every connection and ends it."""
        for side in list(self.sides):
            side.stream.write(line({"seq": len(self.events)})[:4])
            side.stream.close()
