"""rehearse stitched on loopback: edges, racks of nodes and players as processes."""
import sys

from laddergw.lab.plant import Plant
from laddergw.lab.script import Trouble
from laddergw.lab.stage_processes import SETTLE_MS, ProcessStage
from laddergw.lab.stitched import TAIL_MS, programme_text, session_at, session_frame


class StitchedProcesses(ProcessStage):
    """The process stage with edges in place of directors and players in place of viewers. `sessions`: how many, spread over the run."""
    tail_ms = TAIL_MS
    audience = "players"

    def __init__(self, plant: Plant, script: list[Trouble], sessions: int, folder: str | None = None, level: str = "warning"):
        super().__init__(plant, script, folder, level)
        self.sessions, self.settle_ms = sessions, SETTLE_MS + plant.warm_ms
        with open(self.file("rules.scm"), "w") as stream:
            stream.write(programme_text([node.node for node in plant.nodes]))

    def director_command(self, file: str, source: str) -> list[str]:
        """The command of an edge with the programme's rules."""
        return [sys.executable, "-m", "laddergw.cli", "edge", file, "--rules", self.file("rules.scm"), "--log", self.level,
                "--tap", self.file(f"{source}.jsonl"), "--source", source]

    def let_them_come(self) -> None:
        """Gives the players' process its sessions."""
        self.viewers.tell(directors=self.addresses, sessions=[
            [session_at(self.plant, number, self.sessions), session_frame(self.plant, number)] for number in range(self.sessions)])
