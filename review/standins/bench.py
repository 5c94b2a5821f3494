"""What the cases share: the record, the director's process, and stand-ins of its peers."""

import asyncio
import contextlib
import ctypes
import json
import os
import pathlib
import signal
import socket
import tempfile
import time
import tomllib

from standins import messages

ROOT = pathlib.Path(__file__).parent.parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# After this a media node closes an idle connection, as in the settings.
IDLE_S = 30.0
# Between a media node's notes on its load, as in the settings.
TELL_S = 2.5
# A case that takes longer could not run.
LIMIT_S = 110


# Of prctl: the signal that a process gets when its parent has ended.
PR_SET_PDEATHSIG = 1


def end_with_parent() -> None:
    """Called in a new process: it is killed when the case ends, in whatever way."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class CouldNotRunError(Exception):
    """The case could not be played; the text says why."""


class Record:
    """The record of a case: lines with the time since its start, in milliseconds."""

    def __init__(self, path: pathlib.Path):
        self.file, self.start = path.open("w"), time.monotonic()

    def now(self) -> float:
        """Milliseconds since the start."""
        return (time.monotonic() - self.start) * 1000

    def __call__(self, text: str) -> None:
        line = f"{self.now():8.0f} {text}"
        self.file.write(line + "\n")
        self.file.flush()


class MediaNode:
    """One media node at an address of its own.

    It starts each session after `set_up_ms`, and ends it `play_ms` later with cause 16. Its release
    goes on the connection of the set-up, else on any open one, and on the next that opens, until it
    is heard.
    """

    def __init__(self, record: Record, name: str, cell: int, set_up_ms: float, play_ms: float):
        self.record, self.name, self.cell = record, name, cell
        self.set_up_ms, self.play_ms = set_up_ms, play_ms
        self.up_since_ms, self.phase, self.port = 0, "SERVING", 0
        self.connections: dict[asyncio.StreamWriter, None] = {}
        # By session: when it began to stand, and the connection of its set-up.
        self.standing: dict[str, tuple[float, asyncio.StreamWriter]] = {}
        self.open: dict[str, asyncio.StreamWriter] = {}
        self.unheard: dict[str, bytes] = {}
        # Time and session of each set-up that has arrived.
        self.arrived: list[tuple[float, str]] = []
        self.tasks: set[asyncio.Task] = set()
        self.fillers: list[socket.socket] = []
        self.is_silent = self.is_cut_off = False
        self.listener = self.accepting = None
        # The status of its answers to set-ups: 200, 453 while it is full, 500 while it fails.
        self.status, self.size, self.failures = 200, 4, 0
        # By session: the status that it answered.
        self.answers: dict[str, int] = {}

    def entry(self) -> dict:
        """Its entry in the list of media nodes."""
        return {
            "id": self.name,
            "host_port": f"{HOST}:{self.port}",
            "locality": "sala",
            "flavor": "std",
            "cell": self.cell,
            "phase": self.phase,
            "size": self.size,
            "up_since_ms": self.up_since_ms,
        }

    def spawn(self, coroutine) -> None:
        """Runs a coroutine as a part of the node's process."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def start(self) -> None:
        """Starts its process: it listens at its address, the same as before after a restart."""
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((HOST, self.port))
        self.listener.listen(128)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        self.accepting = asyncio.get_running_loop().create_task(self.accept())
        self.spawn(self.tell_load())

    async def tell_load(self) -> None:
        """Tells the director on one session how full its link and its rack's uplink are."""
        while True:
            await asyncio.sleep(TELL_S)
            for session, (_, writer) in list(self.standing.items())[:1]:
                target = writer if writer in self.connections else next(iter(self.connections), None)
                for kind in ("port", "spine") if target is not None and not self.is_cut_off else ():
                    note = f"X-Note: {kind}\r\nFigure: 0.3\r\n"
                    target.write(
                        messages.rtsp("ANNOUNCE rtsp://media/note RTSP/1.0", 4, session, note)
                    )

    async def accept(self) -> None:
        """Accepts connections."""
        while True:
            sock, _ = await asyncio.get_running_loop().sock_accept(self.listener)
            reader, writer = await asyncio.open_connection(sock=sock)
            self.connections[writer] = None
            self.record(f"node {self.name}: a connection opens, {len(self.connections)} open")
            self.spawn(self.serve(reader, writer))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection to its end."""
        buffer = bytearray()
        for message in self.unheard.values():
            writer.write(message)
        with contextlib.suppress(ConnectionError):
            while data := await self.read(reader, writer):
                buffer += data
                while (message := messages.take_rtsp(buffer)) is not None:
                    self.handle(writer, message)
        self.connections.pop(writer, None)
        for session in [s for s, w in self.open.items() if w is writer]:
            del self.open[session]
            self.record(f"node {self.name}: set-up {session} given up by the connection's end")
        writer.close()

    async def read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
        """Reads what comes; empty at the end, or once the connection was idle for too long."""
        while True:
            try:
                return await asyncio.wait_for(reader.read(65536), IDLE_S)
            except TimeoutError:
                told = any(other is writer for _, other in self.standing.values())
                if writer not in self.open.values() and not told and not self.is_cut_off:
                    return b""

    def handle(self, writer: asyncio.StreamWriter, message: messages.Rtsp) -> None:
        """Handles one message of the director."""
        session = message.session
        if message.method == "OPTIONS":
            writer.write(messages.rtsp("RTSP/1.0 200 OK", 3, session))
        elif message.method == "SETUP":
            self.record(f"node {self.name}, cell {self.cell}: set-up {session} arrives")
            self.arrived.append((self.record.now(), session))
            self.open[session] = writer
            self.spawn(self.set_up(writer, session))
        elif message.method == "TEARDOWN":
            self.record(f"node {self.name}: TEARDOWN of {session}")
            self.open.pop(session, None)
            self.standing.pop(session, None)
            writer.write(messages.rtsp("RTSP/1.0 200 OK", 2, session))
        elif message.status == 200 and message.headers.get("cseq") == "2":
            self.unheard.pop(session, None)

    async def set_up(self, writer: asyncio.StreamWriter, session: str) -> None:
        """Starts a session, and ends it when its time is over."""
        await asyncio.sleep(self.set_up_ms / 1000)
        if self.open.get(session) is not writer or self.is_silent:
            return
        del self.open[session]
        status = self.status
        if status == 500:
            self.failures += 1
            # Three of four fail.
            status = 200 if self.failures % 4 == 0 else 500
        self.answers[session] = status
        if status != 200:
            self.record(f"node {self.name}: answers {status} to {session}")
            return writer.write(messages.rtsp(f"RTSP/1.0 {status} No", 1, session))
        self.standing[session] = self.record.now(), writer
        body = f"{session}\r\nc=IN IP4 127.0.0.1\r\nm=audio {self.port} RTP/AVP 0\r\n".encode()
        writer.write(messages.rtsp("RTSP/1.0 200 OK", 1, session, body=body))
        self.record(f"node {self.name}: session {session} stands")
        await asyncio.sleep(self.play_ms / 1000)
        if self.is_silent or self.standing.pop(session, None) is None:
            return
        self.unheard[session] = messages.rtsp(
            "TEARDOWN rtsp://media/end RTSP/1.0", 2, session, "Reason: cause=16\r\n"
        )
        self.record(f"node {self.name}: session {session} has come to its end, release sent")
        for target in [writer] if writer in self.connections else list(self.connections)[:1]:
            target.write(self.unheard[session])

    def vanish(self) -> list[str]:
        """Its machine goes silent for good: its sessions are over.

        Returns the sessions that stood there.
        """
        lost, self.standing = list(self.standing), {}
        self.is_silent = True
        for task in list(self.tasks):
            task.cancel()
        self.cut_off()
        self.record(f"node {self.name}: VANISHES, {len(lost)} sessions are lost: {lost}")
        return lost

    def cut_off(self) -> None:
        """It is cut off: open connections stay open and silent, new ones never come up."""
        self.record(f"node {self.name}: IS CUT OFF with {len(self.standing)} sessions")
        self.is_cut_off = True
        self.accepting.cancel()
        for writer in self.connections:
            writer.transport.pause_reading()
        # Its accept queue is filled: the system then drops requests for new connections.
        self.listener.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            self.fillers.append(filler)

    def rejoin(self) -> None:
        """It is reached again; what stood there has stood all the while."""
        for filler in self.fillers:
            filler.close()
        self.fillers, self.is_cut_off = [], False
        self.listener.listen(128)
        self.accepting = asyncio.get_running_loop().create_task(self.accept())
        for writer in self.connections:
            if not writer.transport.is_closing():
                writer.transport.resume_reading()
        self.record(f"node {self.name}: IS REACHED AGAIN, {len(self.standing)} sessions stand")

    def return_cold(self) -> None:
        """After a silence its machine is back with a new process, which knows of nothing before."""
        for task in list(self.tasks):
            task.cancel()
        self.listener.close()
        for filler in self.fillers:
            filler.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.fillers, self.connections = [], {}
        self.standing, self.open, self.unheard = {}, {}, {}
        self.is_silent = self.is_cut_off = False
        self.start()
        self.up_since_ms = int(time.time() * 1000)
        self.record(f"node {self.name}: RETURNS COLD, up since Unix ms {self.up_since_ms}")


class Crowd:
    """Viewers of one title; one whose session is broken comes again, with a new id."""

    def __init__(self, viewers: "Viewers", holders: int, product: str, come_again_s: float):
        self.viewers, self.holders, self.product = viewers, holders, product
        self.come_again_s, self.number, self.returned = come_again_s, 0, set()
        # By session: the viewer's key, the same when it comes again.
        self.keys: dict[str, str] = {}

    def ask(self, key: str = "") -> str:
        """Asks for the title, for a new viewer or one that comes again; returns the session."""
        self.number += 1
        session = f"9b1f03aa5c7e{self.number:04x}"
        self.keys[session] = key or f"00000000b4d6{self.number:04x}"
        figures = f"home:0;copies:{self.holders};top:5;viewer:{self.keys[session]}"
        again = ";again:1" if key else ""
        self.viewers.set_up(session, self.product, figures + again, patience_ms=3000)
        return session

    def come_again(self) -> None:
        """Asks again for each session that was released some time ago."""
        now = self.viewers.record.now()
        for session in set(self.viewers.answered()) - self.returned:
            release = self.viewers.first(session, messages.RELEASE)
            if release and now - release[0] >= self.come_again_s * 1000:
                self.returned.add(session)
                self.ask(self.keys[session])

    async def watch(self, nodes: list[MediaNode], seats: int, seconds: float) -> int:
        """Lets viewers come again for a while, and counts the title's sessions at the media nodes.

        Returns the most that stood or were set up there at one time.
        """
        record, most, end = self.viewers.record, 0, self.viewers.record.now() + seconds * 1000
        while record.now() < end:
            self.come_again()
            counts = {node.name: len({*node.standing, *node.open}) for node in nodes}
            if sum(counts.values()) > most:
                most = sum(counts.values())
                record(f"sessions of the title at the media nodes: {most} of {seats}, {counts}")
            await asyncio.sleep(0.1)
        for session in self.viewers.answered():
            stands = any(session in node.standing for node in nodes)
            released = self.viewers.first(session, messages.RELEASE)
            record(
                f"session {session}: {'stands' if stands else 'is over'} at its media node, "
                f"its viewer was {'told that it is over' if released else 'told nothing more'}"
            )
        return most


class ChangeLog:
    """The change log: numbered events, and each second the last number alone."""

    def __init__(self, record: Record):
        self.record, self.events, self.port, self.server = record, [], 0, None
        self.changed = asyncio.Condition()

    async def start(self) -> None:
        """Listens at an address of its own."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def event(self, members: list[dict], complete: bool = False) -> dict:
        """Makes the next event."""
        number = len(self.events) + 1
        fleet = {"revision": number, "complete": complete, "members": members}
        self.events.append({"seq": number, "fleet": fleet})
        return self.events[-1]

    async def tell(self, members: list[dict]) -> None:
        """Tells an event to all who are connected, and to those who ask later."""
        event = self.event(members)
        self.record(f"change log: tells {json.dumps(event)}")
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Tells one director all events after the number that it names."""
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            told = int((await reader.readline()).split()[1])
            self.record(f"change log: asked since {told}")
            while True:
                for event in self.events[told:]:
                    writer.write(json.dumps(event).encode() + b"\n")
                told = len(self.events)
                writer.write(b"%d\n" % told)
                await writer.drain()
                async with self.changed:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), 1.0)


class Viewers:
    """One connection from viewers: it sends set-ups and keeps what the director answers."""

    def __init__(self, record: Record, name: str = "viewers"):
        self.record, self.name = record, name
        self.reader = self.writer = self.task = None
        # By session: (time, kind, cause or None) of each message of the director.
        self.received: dict[str, list[tuple[float, int, int | None]]] = {}
        self.is_ended = False

    async def connect(self, port: int) -> "Viewers":
        """Connects to a director."""
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        self.task = asyncio.get_running_loop().create_task(self.read())
        return self

    async def read(self) -> None:
        """Reads to the connection's end; a release is acknowledged."""
        buffer = bytearray()
        with contextlib.suppress(ConnectionError):
            while data := await self.reader.read(65536):
                buffer += data
                while (message := messages.take_binary(buffer)) is not None:
                    self.handle(*message)
        self.is_ended = True
        self.record(f"{self.name}: the connection has ended")

    def handle(self, kind: int, session: str, parameters: dict[int, bytes]) -> None:
        """Keeps one message of the director."""
        cause = parameters[messages.CAUSE][0] if messages.CAUSE in parameters else None
        self.received.setdefault(session, []).append((self.record.now(), kind, cause))
        self.record(f"{self.name}: session {session} gets message {kind}, cause {cause}")
        if kind == messages.RELEASE:
            self.writer.write(messages.encode(messages.RELEASE_HEARD, session, {}))

    def set_up(
        self,
        session: str,
        product: str,
        figures: str,
        title: str = "7f3a9c21e0b4d655",
        patience_ms: int = 4000,
        hint_ms: float = 40000.0,
    ) -> None:
        """Sends a set-up."""
        self.record(f"{self.name}: set-up {session} of {product}, {figures}")
        body = f"{session}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n".encode()
        self.writer.write(
            messages.encode(
                messages.SET_UP,
                session,
                {
                    messages.CLASS: product.encode(),
                    messages.PATIENCE: str(patience_ms).encode(),
                    messages.TITLE: title.encode(),
                    messages.FIGURES: figures.encode(),
                    messages.HINT: str(hint_ms).encode(),
                    messages.DESCRIPTION: body,
                },
            )
        )

    def first(self, session: str, kind: int) -> tuple[float, int, int | None] | None:
        """The first message of a kind that a session got, or None."""
        return next((m for m in self.received.get(session, ()) if m[1] == kind), None)

    def answered(self) -> list[str]:
        """The sessions that were answered as standing."""
        return [s for s in self.received if self.first(s, messages.ANSWER)]

    def send(self, kind: int, session: str, parameters: dict[int, bytes]) -> None:
        """Sends any message."""
        self.record(f"{self.name}: sends message {kind} on {session}")
        self.writer.write(messages.encode(kind, session, parameters))


class Director:
    """A director, started by the command of the deploy file."""

    def __init__(self, record: Record, folder: pathlib.Path, settings: dict, log: ChangeLog):
        self.record, self.folder, self.settings, self.log = record, folder, settings, log
        held = socket.create_server((HOST, 0))
        self.port, self.process = held.getsockname()[1], None
        held.close()

    def write_configuration(self) -> pathlib.Path:
        """Writes the configuration file, whole."""
        path = self.folder / "config.json"
        content = {
            "name": "n1",
            "listen": f"{HOST}:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "changelog": f"{HOST}:{self.log.port}",
            "known": {"seq": len(self.log.events), "results": self.log.events},
            "settings": self.settings,
        }
        new = path.with_suffix(".new")
        new.write_text(json.dumps(content))
        new.rename(path)
        return path

    async def start(self) -> None:
        """Starts the process and waits until it passes a test."""
        path = self.write_configuration()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = os.environ | {
            "PROXY_NAME": "n1",
            "PROXY_LISTEN": f"{HOST}:{self.port}",
            "PROXY_CONFIG": str(path),
            "TMPDIR": str(self.folder),
            "LADDERGW_LOG": os.environ.get("LADDERGW_LOG", "INFO"),
        }
        with (self.folder / "director.log").open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *("/bin/sh", "-c", run),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
                preexec_fn=end_with_parent,
            )
        self.record(f"director: started by the deploy file's run line, listens at {self.port}")
        for _ in range(300):
            with contextlib.suppress(ConnectionError):
                viewer = await Viewers(self.record, "front's test").connect(self.port)
                viewer.send(messages.TEST, "00000000000000aa", {messages.CAUSE: b"\0"})
                await asyncio.sleep(0.1)
                viewer.writer.close()
                if viewer.received:
                    return
            await asyncio.sleep(0.1)
        raise CouldNotRunError("the director did not pass a test within 30 s")

    def signal(self, number: signal.Signals) -> None:
        """Sends the process a signal."""
        self.record(f"director: {number.name}")
        self.process.send_signal(number)

    async def end(self) -> None:
        """Ends the process, and adds its log to the record."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            status = await self.process.wait()
            self.record(f"director: ended with status {status}; its log:")
        path = self.folder / "director.log"
        for line in path.read_text().splitlines()[-400:] if path.exists() else ():
            self.record(f"director's log: {line}")


def settings(**specifics) -> dict:
    """The settings of a small deployment; `specifics` replace entries of Specifics."""
    return {
        "Callers": {"MarksRetry": True},
        "Discovery": "pushed",
        "Family": "streams",
        "Grades": [
            {
                "Name": "aviso-multa",
                "Aim": 1_000_000,
                "GiveUp": 4_000_000,
                "Group": "all",
                "KeyTtl": 5_000_000,
                "LateWorth": 0.0,
                "Points": 2.0,
                "Repeat": "side_effect",
                "Streamed": True,
            },
            {
                "Name": "guia-pago",
                "Aim": 1_000_000,
                "GiveUp": 5_000_000,
                "Group": "all",
                "KeyTtl": 5_000_000,
                "LateWorth": 0.0,
                "Points": 1.0,
                "Repeat": "pure",
                "Streamed": True,
            },
        ],
        "Kinds": ["std"],
        "MyZone": 0,
        "Ordinal": 0,
        "Permissions": {
            "Cancel": True,
            "ConnIdle": 30_000_000,
            "ConnectTimeout": 250_000,
            "MaxAttempts": 5,
            "MaxOpen": 1_000_000,
            "MaxRetryAfter": 500_000,
            "Peers": False,
            "Probes": False,
            "RetryAfter": True,
            "SecondCopies": False,
            "StreamsPerConn": 100,
        },
        "Reporting": {"How": "answers", "Names": ["concurrent", "x0", "x1"]},
        "Rules": {
            "AnswerSlack": 40_000,
            "ColdFrom": 0.5,
            "CountedOver": 10_000_000,
            "ExtraRatio": 0.1,
            "Fall": 1_000_000,
            "FallMultiple": 2.5,
            "FreeResends": 5,
            "StopSendingWithin": 250_000,
            "WarmWithin": 8_000_000,
        },
        "Siblings": 1,
        "Specifics": {
            "ChangeCostsS": 0.45,
            "ClassSeats": [0, 0],
            "Groups": 2,
            "HighestRung": [5, 3],
            "Join": 1.0,
            "KindSlots": [51],
            "LadderKb": [220.0, 391.0, 693.0, 950.0, 1229.0, 2178.0],
            "LinkUnitKb": 5595.0,
            "Live": [False, False],
            "LowestRung": [1, 0],
            "Positions": 6,
            "RackKb": 78079.0,
            "RefusesFrom": 0,
            "ScaleByClass": [1.2, 1.0],
            "SeenAfter": 578_278,
            "ShortfallCost": 6.0,
            "Tell": 2_500_000,
            "WorthByRung": [0.28, 0.4, 0.55, 0.67, 0.84, 1.0],
        }
        | specifics,
        "Tier": 0,
        "Tiers": ["flota-video"],
        "WeightSource": "rough",
        "WorthBy": "request",
        "Zones": ["sala"],
    }


def has_trouble() -> bool:
    """Whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(record_file: str, case) -> int:
    """Plays a case, `await case(record, folder)`; returns the status to exit with."""
    record = Record(pathlib.Path(record_file))
    record(f"TROUBLE={int(has_trouble())}")

    async def limited(folder: pathlib.Path) -> int:
        running = asyncio.current_task()
        for number in signal.SIGTERM, signal.SIGINT, signal.SIGHUP:
            asyncio.get_running_loop().add_signal_handler(number, running.cancel)
        async with asyncio.timeout(LIMIT_S):
            return await case(record, folder)

    try:
        with tempfile.TemporaryDirectory() as folder:
            status = asyncio.run(limited(pathlib.Path(folder)))
    except (CouldNotRunError, OSError, TimeoutError, asyncio.CancelledError) as error:
        record(f"could not run: {error!r}")
        status = COULD_NOT_RUN
    verdict = {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", COULD_NOT_RUN: "no result"}
    record(verdict[status])
    print(verdict[status])
    return status
