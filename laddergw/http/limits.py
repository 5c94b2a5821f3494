"""Limits on an HTTP peer before it is cut off, and on the connections to one peer."""
from typing import NamedTuple


class PeerLimits(NamedTuple):
    """Limits on a peer that connects to a server. Sizes in bytes, times in ms."""
    max_head_bytes: int = 16_384       # request line and headers; a browser's cookies fit
    max_body_bytes: int = 65_536       # request body; the program's own messages are under 1 kB
    idle_ms: float = 15_000.0          # a connection between requests
    head_ms: float = 2_000.0           # from a request's first byte (or the connect) to the end of its head
    body_ms: float = 2_000.0           # from the head's end to the body's
    stall_ms: float = 5_000.0          # bytes sent that the peer does not take
    max_queued_bytes: int = 262_144    # bytes that wait for the peer
    max_pipelined: int = 8             # requests that wait behind the one being answered
    max_connections: int = 20_000      # per listener; file descriptors are the real bound


class PoolLimits(NamedTuple):
    """Limits on the connections to one peer that is called. Sizes in bytes, times in ms."""
    max_connections: int = 64          # a node sets up far fewer plays at a time for one director
    max_waiting: int = 256             # calls that wait for a connection
    connect_ms: float = 250.0          # a handshake within one building takes a few ms
    idle_ms: float = 8_000.0           # an unused connection; below the peer's own limit
    max_answer_bytes: int = 65_536     # a response's body, or the longest line of a streamed response
    max_head_bytes: int = 16_384       # status line and headers


# Reason phrases by status code
REASONS = {200: "OK", 201: "Created", 202: "Accepted", 204: "No Content", 302: "Found", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed",
           408: "Request Timeout", 409: "Conflict", 410: "Gone", 413: "Content Too Large", 429: "Too Many Requests",
           431: "Request Header Fields Too Large", 500: "Internal Server Error", 502: "Bad Gateway",
           503: "Service Unavailable", 504: "Gateway Timeout"}
