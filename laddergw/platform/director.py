"""The platform's director: hosts the Controller between viewers and media nodes.

The order within a turn is that of every director: what was read is reported, then timers run, then
`decide`. Viewers are answered in admission.py, allocations are carried out in allocator.py; this
module has the configuration, the fleet list, verdicts, and the process's end.
"""

import logging
import time
from collections import Counter

from laddergw import interface
from laddergw.control import Controller
from laddergw.hosting import ControllerHost
from laddergw.platform import allocation, deliveries
from laddergw.platform.admission import Admission
from laddergw.platform.allocator import Allocator
from laddergw.platform.causes import BROKEN, DECLINED, FAILED
from laddergw.platform.change_log import ChangeLogClient
from laddergw.platform.configuration import Configuration, keep_numbers
from laddergw.platform.ended_sessions import EndedSessions
from laddergw.platform.fleet_list import FleetList
from laddergw.platform.nodes import Nodes
from laddergw.platform.plays import Play
from laddergw.platform.viewers import ViewerListener
from laddergw.signalling import binary, rtsp

# Shares of the descriptors: by the protocol viewers hold a third; the process needs some itself.
VIEWER_SOCKET_SHARE, NODE_SOCKET_SHARE = 0.5, 0.35
# Viewers still come for 0.7 s after the signal to stop.
MIN_STOP_MS = 1_000.0
# All plays are released this long after the longest time limit; SIGKILL comes 0.7 s after it.
STOP_GRACE_MS = 350.0
# For a stop a longer time limit counts as this.
MAX_COUNTED_LIMIT_MS = 3_000.0
# How long the exit waits for releases to be sent and acknowledged, and how often it checks.
ACKNOWLEDGE_WAIT_MS, EXIT_POLL_MS = 250.0, 10.0
# How long the exit then waits for peers to close their sides: a few round trips.
CLOSE_WAIT_MS = 100.0
COUNTS_INTERVAL_MS = 10_000.0

log = logging.getLogger("laddergw.platform")


class Director(ControllerHost):
    """One director, with its viewers, nodes and controller."""

    def __init__(self, loop, configuration: Configuration):
        self.loop, self.configuration = loop, configuration
        # Unix clock less the loop's clock: the change log states node start times in Unix time.
        self.clock_offset_ms = time.time() * 1000 - loop.now
        self.counts: Counter = Counter()
        # By session: plays that wait for their answer, and plays that were answered.
        self.open_requests: dict[str, Play] = {}
        self.running_plays: dict[str, Play] = {}
        self.ended_sessions = EndedSessions()
        self.stopping_since: float | None = None
        self.is_exiting = False  # all plays are over, its connections are being closed
        self.controller = Controller(configuration.deployment, configuration.seed, loop.now)
        self.admission, self.allocator = Admission(self), Allocator(self)
        self.nodes = Nodes(
            loop,
            self.allocator,
            int(NODE_SOCKET_SHARE * configuration.sockets),
            configuration.connect_ms,
            configuration.idle_ms,
        )
        self.fleet_list = FleetList(self)
        for event in configuration.known_events:
            self.fleet_list.apply_event(event)
        self.listener = ViewerListener(
            loop,
            self.admission,
            configuration.listen,
            int(VIEWER_SOCKET_SHARE * configuration.sockets),
        )
        self.change_log = ChangeLogClient(loop, configuration, self.fleet_list.apply_event)
        loop.on_turn_end(self.finish_turn)
        loop.call_later(COUNTS_INTERVAL_MS, self.log_counts)
        self.feed(self.controller.wake, loop.now)

    def count(self, name: str) -> None:
        """Adds one to a counter, which is logged."""
        self.counts[name] += 1

    def log_counts(self) -> None:
        """Logs the counters and the loop's lag, periodically."""
        self.loop.call_later(COUNTS_INTERVAL_MS, self.log_counts)
        log.info(
            "open %d, running %d, viewers %d, connections to nodes %d, lag %.0f ms; %s",
            len(self.open_requests),
            len(self.running_plays),
            len(self.listener.viewers),
            self.nodes.connections(),
            self.loop.max_lag_ms,
            ", ".join(f"{name} {n}" for name, n in sorted(self.counts.items())),
        )
        self.loop.max_lag_ms = 0.0

    def apply_configuration(self, configuration: Configuration) -> None:
        """Applies a file that was read again: its list, change log and limits at once, its terms to
        plays requested from now on. Raises ConfigurationError, with nothing changed, for what
        cannot change while it runs.
        """
        current, updated = self.configuration, keep_numbers(self.configuration, configuration)
        self.configuration = updated
        if updated.deployment != current.deployment:
            self.feed(self.controller.update_deployment, self.loop.now, updated.deployment)
        self.listener.set_max_connections(int(VIEWER_SOCKET_SHARE * updated.sockets))
        self.nodes.max_connections, self.nodes.connect_ms, self.nodes.idle_ms = (
            int(NODE_SOCKET_SHARE * updated.sockets),
            updated.connect_ms,
            updated.idle_ms,
        )
        # A name that was unknown before may have a number now.
        if (updated.kinds, updated.zones) != (current.kinds, current.zones):
            self.feed(
                self.controller.update_fleet,
                self.loop.now,
                [
                    self.fleet_list.entry_of(node)
                    for node in self.nodes.by_id.values()
                    if not node.gone
                ],
                False,
            )
        # After a gap only a whole list is applied; the change log has the missing events.
        for event in updated.known_events:
            if event.number > self.change_log.last_number and (
                event.is_complete or event.number == self.change_log.last_number + 1
            ):
                self.change_log.last_number = event.number
                self.fleet_list.apply_event(event)
        if updated.changelog != current.changelog:
            self.change_log.switch_address(updated.changelog)

    def stop(self) -> None:
        """Declines new requests; running plays go on for as long as a stop allows. The signal may
        have waited while the process was stalled: the stop counts from the signal.
        """
        if self.stopping_since is not None:
            return
        waited_ms = self.loop.stall_ms
        self.stopping_since = signalled_at = self.loop.now - waited_ms
        log.info(
            "stopping, signalled up to %.0f ms ago: open %d, running %d",
            waited_ms,
            len(self.open_requests),
            len(self.running_plays),
        )
        # Open requests may have longer limits than the current configuration.
        limits = [play.deadline - signalled_at for play in self.open_requests.values()]
        longest = max([self.configuration.longest_limit_ms, *limits])
        self.loop.call_later(MIN_STOP_MS - waited_ms, lambda: None)
        self.loop.call_later(
            min(longest, MAX_COUNTED_LIMIT_MS) + STOP_GRACE_MS - waited_ms, self.end_all_plays
        )

    def end_all_plays(self) -> None:
        """Fails all open requests, releases all running plays, and exits."""
        if self.is_exiting:
            return
        for play in list(self.open_requests.values()):
            self.admission.finish(play, FAILED)
        self.release_all_plays()
        self.exit_when_acknowledged(self.loop.now + ACKNOWLEDGE_WAIT_MS)

    def release_all_plays(self) -> None:
        """Releases the running plays at their nodes and to their viewers."""
        for play in list(self.running_plays.values()):
            self.allocator.release(play)
            self.allocator.ending.remove_running(play, allocation.CANCELLED)
            self.listener.send_until_acknowledged(
                play.viewer, binary.RELEASE, play.session, (binary.CAUSE, bytes([BROKEN]))
            )

    def exit_when_acknowledged(self, latest: float) -> None:
        """Exits once releases are acknowledged: a connection that ends loses what is unread."""
        self.is_exiting = True
        if (self.listener.releases or self.nodes.is_sending(latest)) and self.loop.now < latest:
            self.loop.call_later(EXIT_POLL_MS, lambda: self.exit_when_acknowledged(latest))
        else:
            self.change_log.stop()
            more = True
            while more:
                more = self.listener.read_last_messages()
                self.release_all_plays()  # those handed over in the last messages
                self.listener.close_all()
            self.nodes.shut_down()
            self.exit_when_closed(self.loop.now + CLOSE_WAIT_MS)

    def exit_when_closed(self, latest: float) -> None:
        """Stops the loop once its peers have read the closed connections to their ends."""
        if (self.loop.open_streams or self.loop.lingering) and self.loop.now < latest:
            self.loop.call_later(EXIT_POLL_MS, lambda: self.exit_when_closed(latest))
        else:
            self.loop.stop()

    def fail_all_plays(self) -> None:
        """Ends all plays and exits, after the controller has failed."""
        self.end_all_plays()

    def finish_turn(self) -> None:
        """Lets the controller decide at a turn's end; exits when nothing holds a stop back."""
        self.admission.process_deferred()
        self.decide()
        idle = not (
            self.open_requests or self.running_plays or self.listener.releases or self.is_exiting
        )
        if (
            self.stopping_since is not None
            and idle
            and self.loop.now - self.stopping_since >= MIN_STOP_MS
        ):
            self.exit_when_acknowledged(self.loop.now + ACKNOWLEDGE_WAIT_MS)

    def apply_verdict(self, verdict: interface.Verdict) -> None:
        """Carries out one verdict; verdicts without a play, or on one that is over, are ignored."""
        play = (
            self.open_requests.get(f"{verdict.play:016x}")
            or self.running_plays.get(f"{verdict.play:016x}")
            if verdict.play is not None
            else None
        )
        if play is None:
            return
        if verdict.node is not None:
            self.allocator.allocate(play, verdict)
        elif verdict.answer is not None:
            declined = verdict.answer == interface.DECLINED
            self.admission.finish(
                play,
                DECLINED if declined else FAILED,
                *([self.admission.retry_after(verdict.retry_after_ms)] if declined else ()),
            )
        elif verdict.move and play.is_running:
            self.allocator.release(play)
            self.listener.send_until_acknowledged(play.viewer, binary.MOVE, play.session)
            self.allocator.ending.allocation_ended(play, allocation.RUNNING, allocation.CANCELLED)
        elif verdict.rung is not None and play.is_running:
            self.count("steps")
            deliveries.send(
                play.node,
                rtsp.encode_request(
                    "SET_PARAMETER",
                    play.request.title,
                    play.session,
                    (("Rate-Step", str(verdict.rung)),),
                ),
            )
