"""Tracks the load that items will put on each node's link, as far as this edge has chosen their sources. No I/O; times are handed in.

While a session shows an item it requests no programme segments, so an item from the play's own node takes no more of its link than the play
itself would; an item from another node adds to that node's load. An edge knows only its own choices. Viewers spread evenly over the edges, so
the load of the whole fleet's edges is estimated as its own times their number. The load that a node reports goes to the control module, items
included; the estimate here is for choosing a source only.
"""


class ItemLoad:
    """Items that will be read, by node: each with its rate in kB per second and its time span, ms."""

    def __init__(self, edges: int = 1):
        # node -> [(until, since, kB per second)]
        self.edges, self.spans = max(1, edges), {}

    def add(self, node: int, rate_kb: float, since: float, until: float) -> None:
        """Records that an item will be read from a node from `since` to `until`."""
        self.spans.setdefault(node, []).append((until, since, rate_kb))

    def rate(self, node: int, since: float, until: float) -> float:
        """kB per second that the items of all edges take of a node within a span; an item that overlaps it in part counts in full."""
        return self.edges * sum(kb for end, start, kb in self.spans.get(node, ()) if start < until and end > since)

    def drop_expired(self, known_nodes, now: float) -> None:
        """Drops the spans that are over, and those of nodes that are no longer known."""
        for node in list(self.spans):
            current = [span for span in self.spans[node] if span[0] > now]
            if current and node in known_nodes:
                self.spans[node] = current
            else:
                del self.spans[node]
