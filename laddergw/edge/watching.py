"""Infers from a player's requests whether its play has begun, goes on, has ended or was left. No I/O; time is handed in.

A player reports nothing but its requests. The first request for a programme segment begins the play; each reload or segment request is
a heartbeat; none for long enough means that the player has left; the play ends once the last segment was requested and its length has passed.
"""
from typing import NamedTuple

# Without a request for so many target durations, and at least so many ms, a player has left: two reloads were missed
SILENT_TARGET_DURATIONS, MIN_SILENCE_MS = 3.0, 10_000.0
# A segment requested so often over so long: its node does not deliver it
STALL_REQUESTS, STALL_MS = 3, 2_000.0
# Until the first segment request: a player that never requests one has left
START_MS = 8_000.0

WAITING, PLAYING, ENDED, LEFT = "waiting", "playing", "ended", "left"


class PlaybackSign(NamedTuple):
    """What a check finds: the state, and the session time that must have been played by now, ms."""
    state: str
    played_ms: float


class PlaybackMonitor:
    """One player, as its requests show it."""

    def __init__(self, now: float, target_ms: float, stall_ms: float = STALL_MS):
        self.stall_ms = stall_ms
        self.state, self.created_at, self.last_request_at, self.target_ms = WAITING, now, now, target_ms
        self.began_at: float | None = None
        # Session time up to which segments were requested
        self.requested_end_ms = 0.0
        self.final_ms: float | None = None
        self.number, self.request_count, self.first_request_at = -1, 0, now

    def is_stalled(self, now: float, number: int) -> bool:
        """Counts a request for segment `number`; True once it is requested again and again, so that its node counts as stalled.
        A player that seeks back requests other segments in between."""
        if number != self.number:
            self.number, self.request_count, self.first_request_at = number, 0, now
        self.request_count += 1
        if self.request_count < STALL_REQUESTS or now - self.first_request_at < self.stall_ms:
            return False
        self.request_count, self.first_request_at = 0, now
        return True

    def playlist_requested(self, now: float) -> None:
        """The player reloads its playlist: a heartbeat."""
        self.last_request_at = now

    def segment_requested(self, now: float, ends_ms: float, last: bool) -> bool:
        """A segment was requested that ends at `ends_ms` of the session's time. True where this begins the play."""
        self.last_request_at, begins = now, self.began_at is None
        if begins:
            self.began_at, self.state = now, PLAYING
        self.requested_end_ms = max(self.requested_end_ms, ends_ms)
        if last:
            self.final_ms = self.requested_end_ms
        return begins

    def check(self, now: float) -> PlaybackSign:
        """The state by now; ENDED and LEFT are final."""
        if self.state in (ENDED, LEFT):
            return PlaybackSign(self.state, self.requested_end_ms)
        if self.began_at is None:
            if now - self.created_at >= START_MS:
                self.state = LEFT
            return PlaybackSign(self.state, 0.0)
        played = min(now - self.began_at, self.requested_end_ms)
        if self.final_ms is not None and played >= self.final_ms:
            self.state = ENDED
        elif now - self.last_request_at >= max(MIN_SILENCE_MS, SILENT_TARGET_DURATIONS * self.target_ms) and self.final_ms is None:
            self.state = LEFT
        return PlaybackSign(self.state, played)
