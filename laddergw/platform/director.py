"""The real director: hosts the Controller between viewers and media nodes of the platform.

Order within a turn as in every director: what was read is told, then timers, then `decide`. Viewers
are answered at the admission (admission.py),
allocations are carried out in allocating.py; here are the configuration, the list, verdicts, and
the process's end.
"""

import logging
import time
from collections import Counter

from laddergw import interface
from laddergw.control import Controller
from laddergw.hosting import Hosting
from laddergw.platform import allocation
from laddergw.platform.admission import Admission
from laddergw.platform.allocating import Allocating
from laddergw.platform.assignment import Assignment, following
from laddergw.platform.causes import BROKEN, DECLINED, FAILED
from laddergw.platform.following import Follower
from laddergw.platform.listing import Listing
from laddergw.platform.nodes import Nodes
from laddergw.platform.plays import Play
from laddergw.platform.viewers import Listener
from laddergw.signalling import binary, rtsp

VIEWERS_PART, NODES_PART = (
    0.5,
    0.35,
)  # of the descriptors: viewers hold a third by the protocol; some are ours
STOP_LEAST_MS = 1_000.0  # viewers come for 0.7 s after the order to stop
STOP_AFTER_MS = (
    350.0  # past the longest time limit all is released; the process is killed 0.7 s past it,
)
STOP_LIMIT_MS = 3_000.0  # a longer limit counting as this
HEAR_MS, HEAR_LOOK_MS = (
    250.0,
    10.0,
)  # its end waits so long until its releases have gone out and are heard; pace of looking
PART_MS = 100.0  # then so long for its peers to end their sides: a few round trips
TELL_MS = 10_000.0  # pace of the line of counts in the log

log = logging.getLogger("laddergw.platform")


class Director(Hosting):
    """See the module."""

    def __init__(self, loop, assignment: Assignment):
        self.loop, self.assignment = loop, assignment
        self.epoch = (
            time.time() * 1000 - loop.now
        )  # the Unix clock over the loop's, for starts told in it
        self.counts: Counter = Counter()
        self.open: dict[str, Play] = {}  # plays that wait for their answer, by session
        self.standing: dict[str, Play] = {}
        self.stopping: float | None = None  # since when
        self.leaving = False  # all is over but its connections' ends
        self.controller = Controller(assignment.deployment, assignment.seed, loop.now)
        self.admission, self.allocating = Admission(self), Allocating(self)
        self.nodes = Nodes(
            loop,
            self.allocating,
            int(NODES_PART * assignment.sockets),
            assignment.connect_ms,
            assignment.idle_ms,
        )
        self.listing = Listing(self)
        for event in assignment.known:
            self.listing.listed(event)
        self.listener = Listener(
            loop, self.admission, assignment.listen, int(VIEWERS_PART * assignment.sockets)
        )
        self.follower = Follower(loop, assignment.changelog, assignment.last, self.listing.listed)
        loop.at_turn_end(self.turn_ends)
        loop.after(TELL_MS, self.tell_counts)
        self.feed(self.controller.wake, loop.now)

    def count(self, what: str) -> None:
        self.counts[what] += 1

    def tell_counts(self) -> None:
        self.loop.after(TELL_MS, self.tell_counts)
        log.info(
            "open %d, standing %d, viewers %d, connections to nodes %d, lag %.0f ms; %s",
            len(self.open),
            len(self.standing),
            len(self.listener.viewers),
            self.nodes.connections(),
            self.loop.worst_lag,
            ", ".join(f"{name} {n}" for name, n in sorted(self.counts.items())),
        )
        self.loop.worst_lag = 0.0

    # The configuration, the list, and the process's end

    def change(self, assignment: Assignment) -> None:
        """The file read anew: its list, change log and bounds hold at once, its terms for plays
        that come from now on. Raises
        AssignmentError, with nothing changed, for what cannot be taken over."""
        before, found = self.assignment, following(self.assignment, assignment)
        self.assignment = found
        if found.deployment != before.deployment:
            self.feed(self.controller.retold, self.loop.now, found.deployment)
        self.listener.bound(int(VIEWERS_PART * found.sockets))
        self.nodes.most, self.nodes.connect_ms, self.nodes.idle_ms = (
            int(NODES_PART * found.sockets),
            found.connect_ms,
            found.idle_ms,
        )
        if (found.kinds, found.zones) != (
            before.kinds,
            before.zones,
        ):  # a name that was not known has its meaning now
            self.feed(
                self.controller.listed,
                self.loop.now,
                [self.listing.line_of(node) for node in self.nodes.by_id.values() if not node.gone],
                False,
            )
        for (
            event
        ) in found.known:  # past a gap only a whole list; what is missing the change log has
            if event.number > self.follower.last and (
                event.is_complete or event.number == self.follower.last + 1
            ):
                self.follower.last = event.number
                self.listing.listed(event)
        if found.changelog != before.changelog:
            self.follower.switch(found.changelog)

    def stop(self) -> None:
        """Takes nothing new; what stands goes on while it may.

        The order may have waited while the process stood still: its time counts from then.
        """
        if self.stopping is not None:
            return
        waited = self.loop.stalled
        self.stopping = ordered = self.loop.now - waited
        log.info(
            "stopping, ordered up to %.0f ms ago: open %d, standing %d",
            waited,
            len(self.open),
            len(self.standing),
        )
        limits = [play.limit - ordered for play in self.open.values()]  # on older terms too
        longest = max([self.assignment.longest_ms, *limits])
        self.loop.after(STOP_LEAST_MS - waited, lambda: None)
        self.loop.after(min(longest, STOP_LIMIT_MS) + STOP_AFTER_MS - waited, self.end_all)

    def end_all(self) -> None:
        if self.leaving:
            return
        for play in list(self.open.values()):
            self.admission.finish(play, FAILED)
        self.release_all()
        self.leave(self.loop.now + HEAR_MS)

    def release_all(self) -> None:
        for play in list(self.standing.values()):
            self.allocating.release(play)
            self.allocating.ending.settle_standing(play)
            self.listener.send(
                play.viewer, binary.RELEASE, play.session, (binary.CAUSE, bytes([BROKEN]))
            )

    def leave(self, latest: float) -> None:
        """Ends the process once what it has said is heard: a connection that ends with something
        unread takes that along.
        """
        self.leaving = True
        if (self.listener.releases or self.nodes.unsent()) and self.loop.now < latest:
            self.loop.after(HEAR_LOOK_MS, lambda: self.leave(latest))
        else:
            self.follower.stop()
            more = True
            while more:
                more = self.listener.hear_last()
                self.release_all()  # what was handed over just now
                self.listener.shut()
            self.nodes.shut()
            self.part(self.loop.now + PART_MS)

    def part(self, latest: float) -> None:
        """Its connections are closed; the process goes when its peers have read to their ends."""
        if (self.loop.open_streams or self.loop.lingering) and self.loop.now < latest:
            self.loop.after(HEAR_LOOK_MS, lambda: self.part(latest))
        else:
            self.loop.stop()

    def collapse(self) -> None:
        self.end_all()

    def turn_ends(self) -> None:
        self.admission.take_in()
        self.decide()
        idle = not (self.open or self.standing or self.listener.releases or self.leaving)
        if self.stopping is not None and idle and self.loop.now - self.stopping >= STOP_LEAST_MS:
            self.leave(self.loop.now + HEAR_MS)

    # Verdicts

    def carry_out(self, verdict: interface.Verdict) -> None:
        play = (
            self.open.get(f"{verdict.play:016x}") or self.standing.get(f"{verdict.play:016x}")
            if verdict.play is not None
            else None
        )
        if play is None:
            return
        if verdict.node is not None:
            self.allocating.allocate(play, verdict)
        elif verdict.answer is not None:
            declined = verdict.answer == interface.DECLINED
            self.admission.finish(
                play,
                DECLINED if declined else FAILED,
                *([self.admission.away(verdict.retry_ms)] if declined else ()),
            )
        elif verdict.move and play.stands:
            self.allocating.release(play)
            self.listener.send(play.viewer, binary.MOVE, play.session)
            self.allocating.ending.ended(play, allocation.HELD, allocation.GIVEN_UP)
        elif verdict.rung is not None and play.stands:
            self.count("steps")
            self.allocating.say(
                play.node,
                rtsp.encode_request(
                    "SET_PARAMETER",
                    play.request.title,
                    play.session,
                    (("Rate-Step", str(verdict.rung)),),
                ),
            )
