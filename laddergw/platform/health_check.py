"""Checks the machine of a media node where plays run, or that releases were sent to."""

import logging
from typing import TYPE_CHECKING

from laddergw.platform import allocation, lost_plays
from laddergw.platform.connection import Connection
from laddergw.signalling import rtsp

if TYPE_CHECKING:
    from laddergw.platform.node import Node

# A connection whose ping is unanswered for this long is dead, where its node answers elsewhere.
PING_TIMEOUT_MS = 1_000.0

log = logging.getLogger("laddergw.platform")


def check_node(node: "Node", now: float) -> None:
    """Pings a silent node, and dials one without a connection or with an unanswered ping.

    Its silent connections stay open, as it may have been cut off, until it answers on another one
    or is believed to be gone.
    """
    if node.liveness.is_gone(now):
        return presume_gone(node, now)
    close_dead_connections(node, now)
    up = [connection for connection in node.connections if connection.up]
    pinged_at = [connection.pinged_at for connection in up if connection.ping is not None]
    if up and not pinged_at and node.liveness.needs_ping(now):
        ping(up[0], now)
    elif not node.connections and node.gone:
        return lost_plays.give_up(node, "gone from the list")
    elif not up or (pinged_at and now - min(pinged_at) >= PING_TIMEOUT_MS):
        redial(node, now)
    return node.dial_if_needed()


def presume_gone(node: "Node", now: float) -> None:
    """Ends what is open and what runs at a node that has been silent for too long."""
    for connection in list(node.connections):
        abort_silent(connection)
    lost_plays.give_up(node, "silent")
    # It is dialled on while releases wait for it.
    node.liveness.watch(now)


def close_dead_connections(node: "Node", now: float) -> None:
    """Aborts connections whose ping is unanswered while the node has answered on another."""
    for connection in [
        connection
        for connection in node.connections
        if connection.ping is not None
        and now - connection.pinged_at >= PING_TIMEOUT_MS
        and node.liveness.last_heard_at > connection.pinged_at
    ]:
        log.info("node %s: a ping was not answered", node.id)
        abort_silent(connection)
        node.replace_connection()


def abort_silent(connection: Connection) -> None:
    """Aborts a connection that carries nothing any more.

    Its node may not hear of it: it is sent releases of the set-ups that were open there.
    """
    node = connection.node
    given_up = [
        play
        for session, play in connection.plays.items()
        if connection.state(session) == allocation.SENT
    ]
    connection.abort(allocation.CONNECTION_LOST)
    for play in given_up:
        node.fleet.release_set_up(node, play)


def ping(connection: Connection, now: float) -> None:
    """Sends a ping on a connection that is up."""
    node = connection.node
    connection.ping, connection.pinged_at = node.fleet.next_ping_name(), now
    connection.stream.write(rtsp.encode_request("OPTIONS", "ping", connection.ping))
    node.liveness.mark_probed(now)


def redial(node: "Node", now: float) -> None:
    """Dials a silent node, unless that was done a short time ago."""
    if node.is_redial_due(now) and node.fleet.make_room(include_serving=True):
        node.dial()
