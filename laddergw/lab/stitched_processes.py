"""rehearse stitched on loopback: edges, racks of nodes and players as processes."""
import sys

from laddergw.lab.deployment_model import DeploymentModel
from laddergw.lab.script import FaultEvent
from laddergw.lab.stage_processes import SETTLE_MS, ProcessStage
from laddergw.lab.stitched import TAIL_MS, programme_text, session_at, session_frame


class StitchedProcesses(ProcessStage):
    """The process stage with edges in place of directors and players in place of viewers. `sessions`: how many, spread over the run."""
    tail_ms = TAIL_MS
    audience = "players"

    def __init__(self, model: DeploymentModel, script: list[FaultEvent], sessions: int, folder: str | None = None, level: str = "warning"):
        super().__init__(model, script, folder, level)
        self.sessions, self.settle_ms = sessions, SETTLE_MS + model.warm_ms
        with open(self.file("rules.scm"), "w") as stream:
            stream.write(programme_text([node.node for node in model.nodes]))

    def director_command(self, file: str, source: str) -> list[str]:
        """The command of an edge with the programme's rules."""
        return [sys.executable, "-m", "laddergw.cli", "edge", file, "--rules", self.file("rules.scm"), "--log", self.level,
                "--tap", self.file(f"{source}.jsonl"), "--source", source]

    def start_viewers(self) -> None:
        """Gives the players' process its sessions."""
        self.viewers.send_command(directors=self.addresses, sessions=[
            [session_at(self.model, number, self.sessions), session_frame(self.model, number)] for number in range(self.sessions)])
