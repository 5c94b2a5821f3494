"""A planner's side of the fleet's audit: takes in what directors tell, keeps it in the journal, acknowledges what is on the disk, answers operators.

A director drops what was acknowledged, so an acknowledgement goes out after the write and never before; a planner that was fenced out, or has no store,
acknowledges nothing. One that takes over reads the journal and adds what it heard itself meanwhile.
"""
import json
import time
from typing import Callable, Iterator

import msgspec

from laddergw.fleet import answers
from laddergw.fleet.book import Book
from laddergw.fleet.telling import Senseless
from laddergw.planner import wire
from laddergw.store.keeper import Store
from laddergw.store.ledger import Ledger

encode = msgspec.msgpack.Encoder().encode


def fold(records: Iterator[bytes]) -> bytes:
    """Records of the journal as one: for each process what holds by then."""
    book = Book()
    for record in records:
        for one in read(record):
            book.restore(one)
    for name, process in book.processes.items():
        book.changed[name] = set(process.turns), set(process.counts)
    return encode(book.records(0.0))


def read(record: bytes) -> list[dict]:
    return msgspec.msgpack.decode(record)


class Auditing:
    """See the module. `guarded(write)`: the planner's own way to write, False where it failed."""

    def __init__(self, loop, guarded: Callable[[Callable[[], None]], bool], wall: Callable[[], float] = lambda: time.time() * 1000):
        self.loop, self.guarded, self.wall = loop, guarded, wall
        self.book, self.ledger = Book(), None

    def opened(self, store: Store) -> None:
        """The store is ours: what it holds is read, what it lacks of what we heard is written with the next records."""
        self.ledger = Ledger(store)
        disk = Book()
        for record in self.ledger.records():
            for one in read(record):
                disk.restore(one)
                self.book.restore(one)
        for name, process in self.book.processes.items():
            known = disk.processes.get(name)
            turns = process.turns.keys() - (known.turns.keys() if known else set())
            counts = {key for key, count in process.counts.items() if known is None or known.counts.get(key, 0) < count}
            if turns or counts:
                self.book.changed[name] = set(turns), counts

    def told(self, peer, frame: wire.DigestFrame) -> None:
        """Raises Malformed for a part that makes no sense: its connection ends."""
        try:
            if frame.audit is not None:
                self.book.merge(peer.other.name, frame.audit, frame.at_ms, self.loop.now)
        except Senseless as error:
            raise wire.Malformed(f"audit: {error}") from None

    def keep(self, peers) -> None:
        """Writes what is new, then says so to those whose it is."""
        if self.ledger is None:
            return
        records = self.book.records(self.wall())
        if records and not self.guarded(lambda: self.ledger.append([encode(records)])):
            return
        self.book.kept(records)
        if self.ledger.crowded():
            self.guarded(lambda: self.ledger.compact(fold))
        for peer in list(peers):
            if peer.other is not None and peer.other.role == wire.EDGE and (turn := self.book.acknowledged(peer.other.name)):
                peer.send(wire.Kept(turn))

    def ask(self, frame: wire.Ask) -> bytes:
        book, now, wall = self.book, self.loop.now, self.wall()
        if frame.question == "versions":
            found = answers.versions(book, now, wall)
        elif frame.question == "director":
            found = answers.director(book, frame.name, frame.at_wall_ms or wall, now, wall)
        elif frame.question == "version":
            found = answers.version(book, frame.name, now, wall)
        elif frame.question == "counts":
            found = {"counts": [[*key, count] for key, count in sorted(answers.counted(book).items())], "not_known": answers.unknown(book, now)}
        elif frame.question == "verify":
            verdict = self.ledger.verify() if self.ledger is not None else None
            found = {"kept": verdict is not None} | (verdict._asdict() if verdict is not None else {"why": "this planner has no store: it stands by, or keeps nothing"})
        else:
            found = {"error": f"no question {frame.question[:40]!r} here"}
        return json.dumps(found).encode()
