"""The real director: hosts the Controller between viewers and media nodes of the platform.

Order within a turn as in every director: what was read is told, then timers, then `decide`. Viewers
are answered at the admission (admission.py),
allocations are carried out in allocator.py; here are the configuration, the list, verdicts, and
the process's end.
"""

import logging
import time
from collections import Counter

from laddergw import interface
from laddergw.control import Controller
from laddergw.hosting import ControllerHost
from laddergw.platform import allocation
from laddergw.platform.admission import Admission
from laddergw.platform.allocator import Allocator
from laddergw.platform.causes import BROKEN, DECLINED, FAILED
from laddergw.platform.change_log import ChangeLogClient
from laddergw.platform.configuration import Configuration, keep_numbers
from laddergw.platform.fleet_list import FleetList
from laddergw.platform.nodes import Nodes
from laddergw.platform.plays import Play
from laddergw.platform.viewers import ViewerListener
from laddergw.signalling import binary, rtsp

# Shares of the process's descriptors. By the protocol viewers may hold a third of them; some are
# needed for the process itself.
VIEWER_SOCKET_SHARE, NODE_SOCKET_SHARE = 0.5, 0.35
# Viewers come for 0.7 s after the order to stop.
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
    """See the module."""

    def __init__(self, loop, configuration: Configuration):
        self.loop, self.configuration = loop, configuration
        # Unix clock less the loop's clock: the change log states node start times in Unix time.
        self.clock_offset_ms = time.time() * 1000 - loop.now
        self.counts: Counter = Counter()
        self.open_requests: dict[str, Play] = {}  # plays that wait for their answer, by session
        self.running_plays: dict[str, Play] = {}
        self.stopping_since: float | None = None  # since when
        self.is_exiting = False  # all is over but its connections' ends
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
        self.change_log = ChangeLogClient(
            loop, configuration.changelog, configuration.last_event, self.fleet_list.apply_event
        )
        loop.on_turn_end(self.finish_turn)
        loop.call_later(COUNTS_INTERVAL_MS, self.log_counts)
        self.feed(self.controller.wake, loop.now)

    def count(self, what: str) -> None:
        self.counts[what] += 1

    def log_counts(self) -> None:
        self.loop.call_later(COUNTS_INTERVAL_MS, self.log_counts)
        log.info(
            "open %d, standing %d, viewers %d, connections to nodes %d, lag %.0f ms; %s",
            len(self.open_requests),
            len(self.running_plays),
            len(self.listener.viewers),
            self.nodes.connections(),
            self.loop.max_lag_ms,
            ", ".join(f"{name} {n}" for name, n in sorted(self.counts.items())),
        )
        self.loop.max_lag_ms = 0.0

    # The configuration, the list, and the process's end

    def apply_configuration(self, configuration: Configuration) -> None:
        """The file read anew: its list, change log and bounds hold at once, its terms for plays
        that come from now on. Raises
        ConfigurationError, with nothing changed, for what cannot be taken over."""
        before, found = self.configuration, keep_numbers(self.configuration, configuration)
        self.configuration = found
        if found.deployment != before.deployment:
            self.feed(self.controller.update_deployment, self.loop.now, found.deployment)
        self.listener.set_max_connections(int(VIEWER_SOCKET_SHARE * found.sockets))
        self.nodes.max_connections, self.nodes.connect_ms, self.nodes.idle_ms = (
            int(NODE_SOCKET_SHARE * found.sockets),
            found.connect_ms,
            found.idle_ms,
        )
        # A name that was unknown before may have a number now.
        if (found.kinds, found.zones) != (before.kinds, before.zones):
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
        for event in found.known_events:
            if event.number > self.change_log.last_number and (
                event.is_complete or event.number == self.change_log.last_number + 1
            ):
                self.change_log.last_number = event.number
                self.fleet_list.apply_event(event)
        if found.changelog != before.changelog:
            self.change_log.switch_address(found.changelog)

    def stop(self) -> None:
        """Takes nothing new; what stands goes on while it may.

        The order may have waited while the process stood still: its time counts from then.
        """
        if self.stopping_since is not None:
            return
        waited = self.loop.stall_ms
        self.stopping_since = ordered = self.loop.now - waited
        log.info(
            "stopping, ordered up to %.0f ms ago: open %d, standing %d",
            waited,
            len(self.open_requests),
            len(self.running_plays),
        )
        # Open requests may have longer limits than the current configuration.
        limits = [play.deadline - ordered for play in self.open_requests.values()]
        longest = max([self.configuration.longest_limit_ms, *limits])
        self.loop.call_later(MIN_STOP_MS - waited, lambda: None)
        self.loop.call_later(
            min(longest, MAX_COUNTED_LIMIT_MS) + STOP_GRACE_MS - waited, self.end_all_plays
        )

    def end_all_plays(self) -> None:
        if self.is_exiting:
            return
        for play in list(self.open_requests.values()):
            self.admission.finish(play, FAILED)
        self.release_all_plays()
        self.exit_when_acknowledged(self.loop.now + ACKNOWLEDGE_WAIT_MS)

    def release_all_plays(self) -> None:
        for play in list(self.running_plays.values()):
            self.allocator.release(play)
            self.allocator.ending.remove_running(play)
            self.listener.send_until_acknowledged(
                play.viewer, binary.RELEASE, play.session, (binary.CAUSE, bytes([BROKEN]))
            )

    def exit_when_acknowledged(self, latest: float) -> None:
        """Ends the process once what it has said is heard: a connection that ends with something
        unread takes that along.
        """
        self.is_exiting = True
        if (self.listener.releases or self.nodes.has_unsent()) and self.loop.now < latest:
            self.loop.call_later(EXIT_POLL_MS, lambda: self.exit_when_acknowledged(latest))
        else:
            self.change_log.stop()
            more = True
            while more:
                more = self.listener.read_last_messages()
                self.release_all_plays()  # what was handed over just now
                self.listener.close_all()
            self.nodes.shut_down()
            self.exit_when_closed(self.loop.now + CLOSE_WAIT_MS)

    def exit_when_closed(self, latest: float) -> None:
        """Its connections are closed; the process goes when its peers have read to their ends."""
        if (self.loop.open_streams or self.loop.lingering) and self.loop.now < latest:
            self.loop.call_later(EXIT_POLL_MS, lambda: self.exit_when_closed(latest))
        else:
            self.loop.stop()

    def fail_all_plays(self) -> None:
        self.end_all_plays()

    def finish_turn(self) -> None:
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

    # Verdicts

    def apply_verdict(self, verdict: interface.Verdict) -> None:
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
            self.allocator.send_to_node(
                play.node,
                rtsp.encode_request(
                    "SET_PARAMETER",
                    play.request.title,
                    play.session,
                    (("Rate-Step", str(verdict.rung)),),
                ),
            )
