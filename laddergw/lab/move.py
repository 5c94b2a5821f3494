"""rehearse move: running directors switch to a file of another shape and back, every few seconds, during a bad day.

In the new shape nodes report their load to probes only, directors report to each other, viewers of a live title share streams, and the
ladder and the racks differ. Between the valid files come invalid ones, which must change nothing. In memory each director is switched
directly; with processes its file is replaced and it gets SIGHUP.
"""
import os
import signal

from laddergw.terms import director_file as director_files
from laddergw.lab import limits
from laddergw.lab.deployment_model import DeploymentModel, draw
from laddergw.lab.script import FaultEvent
from laddergw.lab.stage_memory import PORT, MemoryStage
from laddergw.lab.stage_processes import ProcessStage

SWITCH_INTERVAL_MS = 3_000.0     # between files
OLD_SHAPE, NEW_SHAPE, INVALID = "old", "new", "broken"
SHAPE_ORDER = (NEW_SHAPE, INVALID, OLD_SHAPE, INVALID)
NEW_SHAPE_KEYS = "(probes yes) (told-by probe) (probe-price 0.01) (peer-price 0.0078) (cross-price 0.05) (zone 0) (join 0.3)"
INVALID_FORMS = ('(told-by probe', '(told-by guess)', '(join 7)', '(ladder 300 200)', '(probes yes) (probes no)')


def director_file_in_shape(model: DeploymentModel, text: str, shape: str, version_number: int, peers: dict) -> str:
    """A director's file in one of the shapes, made from its text in the old shape."""
    if shape == OLD_SHAPE:
        return text
    lines = "".join(f' (peer {number} "{host}" {port})' for number, (host, port) in sorted(peers.items()))
    text = text.replace("(bounds", f"{lines} (bounds", 1)
    text = text.replace(f"(racks {model.racks})", f"(racks {model.racks + 1})", 1).replace("(reports x0 x1)", f"(reports x0 x1) {NEW_SHAPE_KEYS}", 1)
    text = text.replace(f'"{model.wares[0].name}" ', f'"{model.wares[0].name}" (live yes) ', 1)
    ladder = " ".join(f"{kb:g}" for kb in model.ladder)
    text = text.replace(ladder, " ".join(f"{kb * 1.1:g}" for kb in model.ladder), 1)
    if shape == INVALID:
        invalid_form = INVALID_FORMS[int(draw(model.seed, "fault", version_number) * len(INVALID_FORMS))]
        text = text.replace("(told-by probe)", invalid_form, 1)
    return text


class ShapeSwitching:
    """What both stages share: the order of shapes. `apply_shape(shape, version_number)` gives every director its file."""
    model: DeploymentModel
    version_count = 0

    def switch_shape(self) -> None:
        """Switches all directors to the next shape."""
        if self.is_over():
            return
        shape, self.version_count = SHAPE_ORDER[self.version_count % len(SHAPE_ORDER)], self.version_count + 1
        if shape != INVALID:
            for node in sorted(self.scenario.up):
                self.fault(node, "untold", True if shape == NEW_SHAPE else None)
        self.apply_shape(shape, self.version_count)
        self.record("files put", self.loop.now, shape=shape)
        self.loop.call_later(SWITCH_INTERVAL_MS, self.switch_shape)


class MemoryMove(ShapeSwitching, MemoryStage):
    """In memory: each director is switched directly. `refused`: how many files were rejected."""

    def __init__(self, model: DeploymentModel, script: list[FaultEvent], **more):
        super().__init__(model, script, **more)
        self.refused = 0
        self.loop.call_later(SWITCH_INTERVAL_MS, self.switch_shape)

    def is_over(self) -> bool:
        """Whether the rehearsal has ended."""
        return self.done

    def apply_shape(self, shape: str, version_number: int) -> None:
        """Switches every running director to its file in this shape."""
        peers = {number: (f"d{number}", PORT) for number in self.directors}
        for number, director in self.directors.items():
            host = self.world.hosts[f"d{number}"]
            if host.alive and host.running:
                file_text = self.model.director_file(number, director.house.listen, director.house.lists, director.house.seed)
                text = director_file_in_shape(self.model, file_text, shape, version_number, peers)
                host.deliver_at(self.world.now, lambda director=director, text=text: self.switch(director, text))

    def switch(self, director, text: str) -> None:
        """What a director does with a new file: rejects it, or switches to it where nothing speaks against it."""
        try:
            new_file = director_files.read(text)
        except director_files.FileRejected:
            self.refused += 1
            return
        if director_files.switch_fault(director.house, new_file) is None:
            director.change_director_file(new_file)


class ProcessMove(ShapeSwitching, ProcessStage):
    """With processes: each director's file is replaced and it gets SIGHUP."""

    def is_over(self) -> bool:
        """Whether the rehearsal has ended."""
        return self.ending

    def start_viewers(self) -> None:
        """Starts the viewers and schedules the switches."""
        super().start_viewers()
        self.loop.call_later(SWITCH_INTERVAL_MS, self.switch_shape)

    def apply_shape(self, shape: str, version_number: int) -> None:
        """Replaces the file of every running director and signals it."""
        ready = {facts["source"] for _, what, facts in self.records if what == "director up"}    # others have no signal handler yet
        for number, child in self.children.items():
            source = f"d{number}.{self.starts[number]}"
            if child.poll() is None and number in self.scenario.directors_up and source in ready:
                path = self.file(f"{source}.scm")
                text = director_file_in_shape(self.model, self.director_file_text(number), shape, version_number, self.addresses)
                with open(path + ".new", "w") as stream:
                    stream.write(text)
                os.replace(path + ".new", path)
                child.send_signal(signal.SIGHUP)


def count_switches(records: list[tuple]) -> dict[str, int]:
    """Switches at directors, the probes that followed, and running plays dropped without a cause of their own."""
    count_records = lambda name: sum(what == name for _, what, _ in records)
    return {"switches": count_records("deployment changed"), "probes": count_records("probed"), "dropped": limits.count_switches(records)["dropped"]}


def stage_for(model: DeploymentModel, script: list[FaultEvent], memory: bool, folder: str | None, level: str) -> MemoryStage | ProcessStage:
    """The stage in memory or with processes."""
    return MemoryMove(model, script) if memory else ProcessMove(model, script, folder, level)
