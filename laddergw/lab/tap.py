"""Records the traffic at a director's sockets for the audit: requests read, set-ups written, list frames read."""
import json
from typing import Any, Callable

from laddergw.http.client import Call
from laddergw.http.server import Exchange


def tap(source: str, record: Callable) -> Callable[[str, float, Any], None]:
    """A tap for one director process: its HTTP layer calls it with each event and its time."""

    def record_event(what: str, now: float, subject: Any) -> None:
        if isinstance(subject, Exchange):
            if subject.path in ("/v1/plays", "/v1/sessions") and what == "request":
                try:
                    key = json.loads(subject.body).get("key")
                except ValueError:
                    key = None
                record("took", now, source=source, play=key)
        elif isinstance(subject, Call):
            if "viewer" in subject.label:
                return
            record("set-up " + ("written" if what == "sent" else "over"), now, source=source, first=subject.first_byte_at,
                   asked=subject.requested_at, status=subject.status, **subject.label)
        else:
            record(what, now, source=source, **subject)
    return record_event
