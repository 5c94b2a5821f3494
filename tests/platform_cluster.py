"""A platform in memory for one director: viewers, media nodes and the change log, run message by message."""
import json

from laddergw.lab.soak.messages import SETTINGS, answer, configuration, event, member, release, set_up
from laddergw.loop.memory import MemoryNetwork
from laddergw.platform import configuration as configurations
from laddergw.platform.director import Director
from laddergw.signalling import binary, rtsp

LISTEN, LOG = ("director", 5060), ("log", 4222)
BASE_SETTINGS, configuration_file = SETTINGS, configuration


class StandInConnection:
    """A stand-in's end of a connection: the messages that it receives go into the cluster's trace."""

    def __init__(self, cluster, name, reader):
        self.cluster, self.name, self.reader, self.stream, self.open = cluster, name, reader, None, True

    def opened(self, stream):
        self.stream = stream

    def write_buffer_drained(self, stream):
        pass

    def data_received(self, stream, data):
        self.reader.feed(data)
        while (received := self.reader.next()) is not None:
            if not isinstance(received, binary.Message):
                if received.method != "OPTIONS":
                    rung = f" at rung {received.headers['rate-step']}" if "rate-step" in received.headers else ""
                    self.cluster.record(f"{self.name} gets {received.method or received.status} {int(received.session, 16)}{rung}")
                self.cluster.node_received(self, received)
            else:
                names = {222: "cause", 198: "retry after", 225: "description"}
                parameters = ", ".join(f"{names[code]} {value[0] if code == 222 else value.decode()!r}" for code, value in received.parameters.items())
                self.cluster.record(f"{self.name} gets {received.kind} {int(received.session, 16)} {parameters}".rstrip())

    def closed(self, stream, why):
        self.open = False
        if not self.name.startswith("node"):
            self.cluster.record(f"{self.name} is closed")


class PlatformCluster:
    """One director among stand-ins, all in memory.

    `answers`: by a node's name the status of its answers to set-ups, 200 by default, or a function that answers; 0 for no answer.
    `answers_releases`: whether nodes answer releases, which they need not. `lines`: the trace. `changes` go into the director's configuration file.
    """

    def __init__(self, nodes=("a", "b"), **changes):
        self.network, self.lines, self.answers, self.connections = MemoryNetwork(3), [], {}, {}
        self.hosts = {name: self.network.host(name) for name in ("director", "viewers", "log", *nodes)}
        self.start, self.log_connection, self.answers_releases = self.network.now, None, True
        for name in nodes:
            self.hosts[name].listen((name, 1), lambda stream, name=name: self.connection(f"node {name}", rtsp.Reader()))
        self.hosts["log"].listen(LOG, self.accept_log_connection)
        self.director = Director(self.hosts["director"], configurations.parse(configuration_file(**changes)))

    def connection(self, name, reader):
        """Returns a stand-in's new connection, also kept under its name."""
        connection = self.connections[name] = StandInConnection(self, name, reader)
        return connection

    def accept_log_connection(self, stream):
        self.log_connection = ChangeLogConnection(self)
        return self.log_connection

    def record(self, text):
        """Adds a line to the trace, with the time since the start, ms."""
        self.lines.append(f"{self.network.now - self.start:7.0f} {text}")

    def run(self, ms):
        """Runs the network for the given time, ms."""
        self.network.run(self.network.now + ms)

    def viewer(self, name="viewer"):
        """Connects a viewer; returns its end of the connection."""
        connection = self.connection(name, binary.Reader())
        self.hosts["viewers"].dial(LISTEN, connection, 1000)
        self.run(2)
        return connection

    def last_viewer_connection(self):
        """Returns the director's end of the viewers' connection that was opened last."""
        return next(reversed(self.director.listener.viewers))

    def node_received(self, connection, received):
        """Answers a ping, a release or a set-up that a node has received."""
        if received.method == "OPTIONS":
            connection.stream.write(rtsp.encode_response(200, "OK", "3", received.session))
        elif received.method == "TEARDOWN" and self.answers_releases and connection.open:
            connection.stream.write(rtsp.encode_response(200, "OK", "2", received.session))
        elif received.method == "SETUP":
            status = self.answers.get(connection.name[-1], 200)
            if callable(status):
                return status(connection, received)
            if status:
                connection.stream.write(answer(received.session, status, b"from " + connection.name[-1:].encode() + b"\r\n" if status == 200 else b""))
        return None


class ChangeLogConnection:
    """The change log's end of the director's connection: each second it writes the last number alone, from the request on."""

    def __init__(self, cluster):
        self.cluster, self.stream, self.last_number, self.is_silent = cluster, None, 0, False

    def opened(self, stream):
        self.stream = stream

    def write_buffer_drained(self, stream):
        pass

    def data_received(self, stream, data):
        self.cluster.record(f"log gets {data.decode().strip()}")
        self.last_number = max(self.last_number, int(data.split()[1]))
        self.send_last_number()

    def send_last_number(self):
        if self.stream.alive:
            self.cluster.hosts["log"].call_later(1000, self.send_last_number)
            if not self.is_silent:
                self.stream.write(b"%d\n" % self.last_number)

    def send_events(self, *events):
        self.last_number = max([self.last_number, *(event["seq"] for event in events)])
        self.stream.write(b"".join(json.dumps(event).encode() + b"\n" for event in events))

    def closed(self, stream, why):
        pass


def parse_message(data):
    """Returns the viewer's message that `data` holds."""
    reader = binary.Reader()
    reader.feed(data)
    return reader.next()


class ReleasingNode(StandInConnection):
    """A node's end of a connection: sends its release once the node has one, also on the next connection.

    `release_times`: by node, when its release is due; a node without an entry has none yet.
    """

    def __init__(self, cluster, name, release_times, data):
        super().__init__(cluster, f"node {name}", rtsp.Reader())
        self.host, self.release_times, self.data = name, release_times, data

    def opened(self, stream):
        super().opened(stream)
        self.send_release()

    def send_release(self):
        if self.host in self.release_times and self.open:
            self.stream.write(self.data)
        elif self.open:
            self.cluster.hosts[self.host].call_later(50, self.send_release)


class DiscardedLines(list):
    """A trace that is not kept."""

    def append(self, line):
        pass


class FirstCallOnly:
    """A node's answer that acts badly the first time, and well from then on."""

    def __init__(self, act):
        self.act = act

    def __call__(self, connection, received):
        act, self.act = self.act, None
        if act is not None:
            return act(connection, received)
        return connection.stream.write(answer(received.session))
