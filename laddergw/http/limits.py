"""What a peer may do before it is cut off; plain values with their reasons."""
from typing import NamedTuple


class PeerLimits(NamedTuple):
    """Bounds on one peer. Sizes in bytes, times in ms."""
    max_head_bytes: int = 16_384       # request line and headers: a browser's cookies fit
    max_body_bytes: int = 65_536       # a body that we read: our own messages are under 1 kB
    idle_ms: float = 15_000.0      # a connection between requests
    head_ms: float = 2_000.0       # from its first byte (or the connect) to the end of the head
    body_ms: float = 2_000.0       # from the head's end to the body's
    stall_ms: float = 5_000.0      # bytes of ours that the peer does not take
    max_queued_bytes: int = 262_144    # bytes of ours that wait for the peer
    max_pipelined: int = 8             # requests that wait behind the one being answered
    max_connections: int = 20_000      # at one listener; descriptors are the true bound


class PoolLimits(NamedTuple):
    """Bounds on the connections to one peer that we call. Times in ms."""
    max_connections: int = 64          # a node sets up far fewer plays at a time for one director
    max_waiting: int = 256             # calls that wait for a connection
    connect_ms: float = 250.0      # connect: a handshake in one building takes a few ms
    idle_ms: float = 8_000.0       # an unused connection, under the peer's own limit
    max_answer_bytes: int = 65_536     # an answer's body; a stream's longest line
    max_head_bytes: int = 16_384


REASONS = {200: "OK", 201: "Created", 202: "Accepted", 204: "No Content", 302: "Found", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed",
           408: "Request Timeout", 409: "Conflict", 410: "Gone", 413: "Content Too Large", 429: "Too Many Requests",
           431: "Request Header Fields Too Large", 500: "Internal Server Error", 502: "Bad Gateway",
           503: "Service Unavailable", 504: "Gateway Timeout"}
