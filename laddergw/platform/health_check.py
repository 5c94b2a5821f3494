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
        presume_gone(node, now)
    if close_dead_connections(node, now):
        node.replace_connection()
    up = [connection for connection in node.connections if connection.up]
    pinged_at = [connection.pinged_at for connection in up if connection.ping is not None]
    unpinged = [connection for connection in up if connection.ping is None]
    if unpinged and (not pinged_at or node.liveness.last_heard_at > max(pinged_at)):
        if node.liveness.needs_ping(now):
            ping(unpinged[0], now)
    elif not node.connections and node.gone:
        return lost_plays.give_up(node, "gone from the list")
    elif not up or (pinged_at and now - min(pinged_at) >= PING_TIMEOUT_MS):
        redial(node, now)
    for connection in up:
        if connection.ping is None and node.releases.is_overdue(connection, now):
            ping(connection, now)
    return node.dial_if_needed()


def presume_gone(node: "Node", now: float) -> None:
    """Ends what is open and what runs in a process that has been silent for too long.

    Connections that were dialled since contact was lost lead to what is there now, and stay.
    """
    lost_at = node.liveness.lost_contact_at(now)
    for connection in list(node.connections):
        if not connection.is_after_loss:
            connection.abort(allocation.CONNECTION_LOST)
    lost_plays.contact_lost(node, lost_at)
    for connection in node.connections:
        connection.is_after_loss = False
    node.liveness.watch(node.liveness.last_heard_at)


def close_dead_connections(node: "Node", now: float) -> bool:
    """Aborts connections whose ping is unanswered while the node has answered on another.

    While contact with its process is lost they stay, as they may be answered when it is back.
    Returns whether there were any: a release that they may have taken along comes on the next one
    that opens.
    """
    if node.liveness.lost_contact_at(now) is not None:
        return False
    dead = [
        connection
        for connection in node.connections
        if connection.ping is not None
        and now - connection.pinged_at >= PING_TIMEOUT_MS
        and node.liveness.last_heard_at > connection.pinged_at
    ]
    for connection in dead:
        log.info("node %s: a ping was not answered", node.id)
        connection.abort(allocation.CONNECTION_LOST)
    return bool(dead)


def retire(connection: Connection, now: float) -> None:
    """Closes a connection that carries no set-up any more, once its node answers a ping.

    Until then it is the only one by which a node that was cut off can show that its plays go on.
    """
    connection.is_retiring = True
    if connection.ping is None:
        ping(connection, now)


def ping(connection: Connection, now: float) -> None:
    """Sends a ping on a connection that is up."""
    node = connection.node
    connection.ping, connection.pinged_at = node.fleet.next_ping_name(), now
    connection.stream.write(rtsp.encode_request("OPTIONS", "ping", connection.ping))
    connection.ping_end = connection.stream.bytes_written
    node.liveness.mark_probed(now)


def redial(node: "Node", now: float) -> None:
    """Dials a silent node, unless that was done a short time ago."""
    if node.is_redial_due(now) and node.fleet.make_room(include_serving=True):
        node.dial()
