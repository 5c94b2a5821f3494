"""Remembers which sessions are over, for hand-overs that arrive after that was told. Does no I/O.

A session's name is not used for another one, so what was told of its end holds however late its
hand-over comes. The number of sessions that are kept is bounded: a source that tells of more loses
its own oldest ones first.
"""

from typing import NamedTuple

MAX_ENDED_SESSIONS = 4_096


class EndedSession(NamedTuple):
    """The end of a session; `event` is one of allocation.py.

    `node_id`: the node that told it, which speaks of what ran there alone; empty where the session
    is over at every node, and has to be released there.
    """

    session: str
    node_id: str
    event: str


class EndedSessions:
    """The sessions that are known to be over, by who told it: a node or a viewers' connection."""

    def __init__(self) -> None:
        # events by node, by session; and who told of a session first
        self.events: dict[str, dict[str, str]] = {}
        self.source_of: dict[str, str] = {}
        # the sessions of a source, oldest first
        self.sessions_by_source: dict[str, dict[str, None]] = {}

    def __len__(self) -> int:
        """The number of sessions that are kept."""
        return len(self.events)

    def add(self, source: str, ended: EndedSession) -> None:
        """Remembers an end that a source told."""
        if ended.session not in self.events:
            self.events[ended.session] = {}
            self.source_of[ended.session] = source
            self.sessions_by_source.setdefault(source, {})[ended.session] = None
        self.events[ended.session].setdefault(ended.node_id, ended.event)
        if len(self.events) > MAX_ENDED_SESSIONS:
            own = self.sessions_by_source[source]
            self.forget(next(iter(own if len(own) > 1 else self.events)))

    def forget(self, session: str) -> None:
        """Forgets a session: it has begun anew, or others take its place."""
        if self.events.pop(session, None) is None:
            return
        source = self.source_of.pop(session)
        del self.sessions_by_source[source][session]
        if not self.sessions_by_source[source]:
            del self.sessions_by_source[source]

    def find(self, session: str, node_id: str) -> EndedSession | None:
        """The end of a session that played at a node, or None."""
        events = self.events.get(session, {})
        for told_by in "", node_id:
            if told_by in events:
                return EndedSession(session, told_by, events[told_by])
        return None
