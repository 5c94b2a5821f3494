"""Ends the running plays of a media node that is gone, as far as this director can tell.

A viewer that is told that its play is over must not leave one behind at the node. Where the node's
process is known to have ended, its plays ended with it. Where it only cannot be reached, it is sent
their releases, which wait until it is reached again (nodes.py).
"""

import logging
from typing import TYPE_CHECKING

from laddergw.platform import allocation, deliveries

if TYPE_CHECKING:
    from laddergw.platform.node import Node

# A process may accept connections this long before the start time that the list states.
START_TOLERANCE_MS = 20.0

log = logging.getLogger("laddergw.platform")


def process_ended(node: "Node", why: str | None) -> None:
    """Ends all plays of a node whose process is known to have ended."""
    node.queued_messages = []
    node.releases.clear()
    end_plays(node, list(node.running_plays.values()), why)


def process_started(node: "Node", started_at: float) -> None:
    """Ends the plays of earlier processes of a node: one has started at `started_at` (loop clock).

    A connection that came up later leads to the new process, and what was accepted on it runs
    there. Of a play that was handed over it is not known which process has it.
    """
    handed_over = [
        play for play in node.running_plays.values() if play.connection_opened_at is None
    ]
    node.releases.settle_before(started_at - START_TOLERANCE_MS)
    end_plays(node, plays_before(node, started_at - START_TOLERANCE_MS), "started anew")
    release_plays(node, handed_over, "started anew")


def plays_before(node: "Node", at: float) -> list:
    """Returns the plays that were accepted on connections that came up before a time."""
    return [
        play
        for play in node.running_plays.values()
        if play.connection_opened_at is not None and play.connection_opened_at < at
    ]


def contact_lost(node: "Node", lost_at: float) -> None:
    """Ends the plays that ran there as contact was lost, although they may go on there.

    What was accepted on connections that came up later runs in a process that is there now.
    """
    handed_over = [
        play for play in node.running_plays.values() if play.connection_opened_at is None
    ]
    release_plays(node, plays_before(node, lost_at) + handed_over, "silent")


def give_up(node: "Node", why: str) -> None:
    """Ends all plays of a node that cannot be reached, although they may go on there."""
    release_plays(node, list(node.running_plays.values()), why)


def release_plays(node: "Node", plays: list, why: str) -> None:
    """Ends plays that may go on at the node, and has it sent their releases."""
    for play in plays:
        deliveries.release(node, play, play.connection_opened_at)
    end_plays(node, plays, why)


def end_plays(node: "Node", plays: list, why: str | None) -> None:
    """Ends plays as broken, for their viewers and for the controller (play_ending.py)."""
    if plays:
        log.info("node %s: %d plays lost: %s", node.id, len(plays), why)
    for play in plays:
        node.fleet.allocation_ended(play, allocation.RUNNING, allocation.NODE_LOST)
