"""Sends media nodes what concerns plays that run there, and the releases that they are owed."""

from typing import TYPE_CHECKING

from laddergw.platform.causes import ENDED
from laddergw.signalling import rtsp

if TYPE_CHECKING:
    from laddergw.platform.connection import Connection
    from laddergw.platform.node import Node
    from laddergw.platform.plays import Play


def send(node: "Node", data: bytes) -> None:
    """Sends a message about a running play on a connection that is up, or on the next one."""
    connection = best_connection(node)
    if connection is not None:
        connection.stream.write(data)
    elif not node.gone:
        node.queued_messages.append(data)
        await_connection(node)


def release(node: "Node", play: "Play", opened_at: float | None) -> None:
    """Releases a session that may run at a node, until the node has answered that."""
    owe_release(node, play, opened_at)
    send_waiting(node)


def owe_release(node: "Node", play: "Play", opened_at: float | None) -> None:
    """Owes a node the release of a session; see release_outbox.py.

    `opened_at`: when the connection of its set-up came up, None where that is not known.
    """
    headers = (("Reason", f"cause={ENDED}"),)
    data = rtsp.encode_request("TEARDOWN", play.request.title, play.session, headers)
    node.releases.add(play.session, data, opened_at)


def send_waiting(node: "Node") -> None:
    """Sends the releases that wait for a connection, on one that is up or on the next one.

    For a release a connection is opened past the limit too, and it waits for a node that cannot be
    reached now.
    """
    connection = best_connection(node)
    if connection is not None:
        connection.send_waiting()
    elif node.gone and not node.fleet.is_at_its_address(node):
        node.releases.clear()
    elif node.releases.waiting_by_session:
        await_connection(node)


def best_connection(node: "Node") -> "Connection | None":
    """The connection on which the node was heard last, or None where none is up.

    Others may be forgotten by their node. Of equals it is one without an open set-up.
    """
    up = [connection for connection in node.connections if connection.up]
    return max(up, key=lambda one: (one.heard_at, not one.plays), default=None)


def await_connection(node: "Node") -> None:
    """Gives a node that something waits for the next connection that may be opened."""
    node.fleet.watch(node)
    node.fleet.awaiting_connection[node] = None
    node.fleet.dial_waiting(1)
