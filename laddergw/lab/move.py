"""rehearse move: running directors go over to settings of another shape and back, every few seconds, while a bad day plays.

In the new shape nodes tell their load to probes alone, directors tell each other, viewers of a live title share streams, and the ladder
and the racks are others. Between the good files come broken ones, which must change nothing. In memory each director is told at
one moment; as processes its file is written anew and it gets SIGHUP.
"""
import os
import signal

from laddergw.terms import director_file as director_files
from laddergw.lab import limits
from laddergw.lab.plant import Plant, draw
from laddergw.lab.script import Trouble
from laddergw.lab.stage_memory import PORT, MemoryStage
from laddergw.lab.stage_processes import ProcessStage

EVERY_MS = 3_000.0         # between files
OLD, NEW, BROKEN = "old", "new", "broken"
ORDER = (NEW, BROKEN, OLD, BROKEN)
NEW_KEYS = "(probes yes) (told-by probe) (probe-price 0.01) (peer-price 0.0078) (cross-price 0.05) (zone 0) (join 0.3)"
FAULTS = ('(told-by probe', '(told-by guess)', '(join 7)', '(ladder 300 200)', '(probes yes) (probes no)')


def file_of(plant: Plant, text: str, shape: str, turn: int, peers: dict) -> str:
    """A director's file in one of the shapes, from its old text."""
    if shape == OLD:
        return text
    lines = "".join(f' (peer {number} "{host}" {port})' for number, (host, port) in sorted(peers.items()))
    text = text.replace("(bounds", f"{lines} (bounds", 1)
    text = text.replace(f"(racks {plant.racks})", f"(racks {plant.racks + 1})", 1).replace("(reports x0 x1)", f"(reports x0 x1) {NEW_KEYS}", 1)
    text = text.replace(f'"{plant.wares[0].name}" ', f'"{plant.wares[0].name}" (live yes) ', 1)
    ladder = " ".join(f"{kb:g}" for kb in plant.ladder)
    text = text.replace(ladder, " ".join(f"{kb * 1.1:g}" for kb in plant.ladder), 1)
    if shape == BROKEN:
        fault = FAULTS[int(draw(plant.seed, "fault", turn) * len(FAULTS))]
        text = text.replace("(told-by probe)", fault, 1)
    return text


class Moving:
    """What both stages share: the turn of files. `put(shape, turn)` gives every director its file."""
    plant: Plant
    version_count = 0

    def move(self) -> None:
        if self.over():
            return
        shape, self.version_count = ORDER[self.version_count % len(ORDER)], self.version_count + 1
        if shape != BROKEN:
            for node in sorted(self.conductor.up):
                self.fault(node, "untold", True if shape == NEW else None)
        self.put(shape, self.version_count)
        self.record("files put", self.loop.now, shape=shape)
        self.loop.call_later(EVERY_MS, self.move)


class MemoryMove(Moving, MemoryStage):
    def __init__(self, plant: Plant, script: list[Trouble], **more):
        super().__init__(plant, script, **more)
        self.refused = 0
        self.loop.call_later(EVERY_MS, self.move)

    def over(self) -> bool:
        return self.done

    def put(self, shape: str, turn: int) -> None:
        peers = {number: (f"d{number}", PORT) for number in self.directors}
        for number, director in self.directors.items():
            host = self.world.hosts[f"d{number}"]
            if host.alive and host.running:
                old = self.plant.house(number, director.house.listen, director.house.lists, director.house.seed)
                text = file_of(self.plant, old, shape, turn, peers)
                host.deliver_at(self.world.now, lambda director=director, text=text: self.switch(director, text))

    def switch(self, director, text: str) -> None:
        try:
            house = director_files.read(text)
        except director_files.FileRejected:
            self.refused += 1
            return
        if director_files.switch_fault(director.house, house) is None:
            director.change_director_file(house)


class ProcessMove(Moving, ProcessStage):
    def over(self) -> bool:
        return self.ending

    def let_them_come(self) -> None:
        super().let_them_come()
        self.loop.call_later(EVERY_MS, self.move)

    def put(self, shape: str, turn: int) -> None:
        ready = {facts["source"] for _, what, facts in self.records if what == "director up"}    # others have no handler yet
        for number, child in self.children.items():
            source = f"d{number}.{self.starts[number]}"
            if child.poll() is None and number in self.conductor.directors_up and source in ready:
                path = self.file(f"{source}.scm")
                text = file_of(self.plant, self.house_text(number), shape, turn, self.addresses)
                with open(path + ".new", "w") as stream:
                    stream.write(text)
                os.replace(path + ".new", path)
                child.send_signal(signal.SIGHUP)


def count_switches(records: list[tuple]) -> dict[str, int]:
    """What came of the files: switches at directors, probes and mail that followed, plays let go of without a cause of their own."""
    count = lambda name: sum(what == name for _, what, _ in records)
    return {"switches": count("deployment changed"), "probes": count("probed"), "dropped": limits.count_switches(records)["dropped"]}


def stage_for(plant: Plant, script: list[Trouble], memory: bool, folder: str | None, level: str) -> MemoryStage | ProcessStage:
    return MemoryMove(plant, script) if memory else ProcessMove(plant, script, folder, level)
