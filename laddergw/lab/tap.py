"""What passed at a director's sockets, as records for the audit: requests read, set-ups written, list frames read."""
import json
from typing import Any, Callable

from laddergw.http.client import Call
from laddergw.http.server import Exchange


def tap(source: str, record: Callable) -> Callable[[str, float, Any], None]:
    """A tap for one director process: called by its HTTP layer with what passed and when."""

    def told(what: str, now: float, thing: Any) -> None:
        if isinstance(thing, Exchange):
            if thing.path in ("/v1/plays", "/v1/sessions") and what == "request":
                try:
                    key = json.loads(thing.body).get("key")
                except ValueError:
                    key = None
                record("took", now, source=source, play=key)
        elif isinstance(thing, Call):
            if "viewer" in thing.label:
                return
            record("set-up " + ("written" if what == "sent" else "over"), now, source=source, first=thing.first_byte_at,
                   asked=thing.requested_at, status=thing.status, **thing.label)
        else:
            record(what, now, source=source, **thing)
    return told
