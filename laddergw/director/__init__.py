"""The HTTP director: reports events on its sockets to the Controller and carries out its verdicts."""
