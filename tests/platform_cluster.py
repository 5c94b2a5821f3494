"""A town in memory for the real director: viewers, media nodes and the change log, played message by message."""
import json

from laddergw.lab.soak.messages import SETTINGS, answer, configuration, event, member, release, set_up
from laddergw.loop.memory import MemoryNetwork
from laddergw.platform import configuration as configurations
from laddergw.platform.director import Director
from laddergw.signalling import binary, rtsp

LISTEN, LOG = ("director", 5060), ("log", 4222)
BASE_SETTINGS, configuration_file = SETTINGS, configuration


class StandInConnection:
    """A connection of a stand-in: what comes on it goes into the town's trace."""

    def __init__(self, town, name, reader):
        self.town, self.name, self.reader, self.stream, self.open = town, name, reader, None, True

    def opened(self, stream):
        self.stream = stream

    def write_buffer_drained(self, stream):
        pass

    def data_received(self, stream, data):
        self.reader.feed(data)
        while (m := self.reader.next()) is not None:
            if not isinstance(m, binary.Message):
                if m.method != "OPTIONS":
                    rung = f" at rung {m.headers['rate-step']}" if "rate-step" in m.headers else ""
                    self.town.record(f"{self.name} gets {m.method or m.status} {int(m.session, 16)}{rung}")
                self.town.node_got(self, m)
            else:
                more = {222: "cause", 198: "stay away", 225: "description"}
                words = ", ".join(f"{more[code]} {value[0] if code == 222 else value.decode()!r}" for code, value in m.parameters.items())
                self.town.record(f"{self.name} gets {m.kind} {int(m.session, 16)} {words}".rstrip())

    def closed(self, stream, why):
        self.open = False
        if not self.name.startswith("node"):
            self.town.record(f"{self.name} is closed")


class PlatformCluster:
    """One director among stand-ins, all in memory. Nodes answer set-ups as `answers` tells, 200 by default."""

    def __init__(self, nodes=("a", "b"), **changes):
        self.world, self.lines, self.answers, self.connections = MemoryNetwork(3), [], {}, {}
        self.hosts = {name: self.world.host(name) for name in ("director", "viewers", "log", *nodes)}
        self.start, self.log_connection = self.world.now, None
        for name in nodes:
            self.hosts[name].listen((name, 1), lambda stream, name=name: self.side(f"node {name}", rtsp.Reader()))
        self.hosts["log"].listen(LOG, self.log_came)
        self.director = Director(self.hosts["director"], configurations.parse(configuration_file(**changes)))

    def side(self, name, reader):
        side = self.connections[name] = StandInConnection(self, name, reader)
        return side

    def log_came(self, stream):
        self.log_connection = ChangeLogConnection(self)
        return self.log_connection

    def record(self, text):
        self.lines.append(f"{self.world.now - self.start:7.0f} {text}")

    def run(self, ms):
        self.world.run(self.world.now + ms)

    def viewer(self, name="viewer"):
        side = self.side(name, binary.Reader())
        self.hosts["viewers"].dial(LISTEN, side, 1000)
        self.run(2)
        return side

    def director_side(self):
        """The director's end of the connection that came last."""
        return next(reversed(self.director.listener.viewers))

    def node_got(self, side, m):
        if m.method == "OPTIONS":
            side.stream.write(rtsp.encode_response(200, "OK", "3", m.session))
        elif m.method == "SETUP":
            status = self.answers.get(side.name[-1], 200)
            if callable(status):
                return status(side, m)
            if status:
                side.stream.write(answer(m.session, status, b"from " + side.name[-1:].encode() + b"\r\n" if status == 200 else b""))
        return None


class ChangeLogConnection:
    """The change log's end of a connection."""

    def __init__(self, town):
        self.town, self.stream = town, None

    def opened(self, stream):
        self.stream = stream

    def write_buffer_drained(self, stream):
        pass

    def data_received(self, stream, data):
        self.town.record(f"log gets {data.decode().strip()}")

    def tell(self, *events):
        self.stream.write(b"".join(json.dumps(e).encode() + b"\n" for e in events))

    def closed(self, stream, why):
        pass


def message(data):
    reader = binary.Reader()
    reader.feed(data)
    return reader.next()


class ReleasingNode(StandInConnection):
    """A node's end of a connection: tells its release when it is there to tell, on the next connection too."""

    def __init__(self, town, name, said, data):
        super().__init__(town, f"node {name}", rtsp.Reader())
        self.host, self.said, self.data = name, said, data

    def opened(self, stream):
        super().opened(stream)
        self.tell()

    def tell(self):
        if self.host in self.said and self.open:
            self.stream.write(self.data)
        elif self.open:
            self.town.hosts[self.host].call_later(50, self.tell)


class DiscardedLines(list):
    def append(self, line):
        pass


class FirstCallOnly:
    """Acts badly the first time, well ever after."""

    def __init__(self, act):
        self.act = act

    def __call__(self, side, m):
        act, self.act = self.act, None
        if act is not None:
            return act(side, m)
        return side.stream.write(answer(m.session))
