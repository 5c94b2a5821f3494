"""What goes into a Controller and what comes out of it. Plain types; no choice is made here.

Times are milliseconds with fractions, rates are kB a second, ids are as the host gives them.
"""

from typing import NamedTuple

# How an allocation ended, in the words that the host hands to Controller.ended().
SERVED, ERROR, FULL, TIMED_OUT, UNREACHABLE, BROKEN, CANCELLED, NEVER_SENT = (
    "served",
    "error",
    "full",
    "timed out",
    "unreachable",
    "broken",
    "cancelled",
    "never sent",
)
# What the fleet list says of a media node.
READY, DRAINING, GONE = "ready", "draining", "gone"
# What a note on a playing play tells.
DELIVERED, RUNG_NOW, LINK_ASKED, UPLINK_ASKED = "delivered", "rung", "link asked", "uplink asked"
# Final answers that a verdict may carry.
DECLINED, FAILED = "declined", "failed"


class Product(NamedTuple):
    """One product's terms, as the deployment states them."""

    importance: float  # a second at a rung worth 1
    repeat: str  # "safe", "keyed" or "paid"
    group: str  # keyed: "all", "zone" or "cell"
    key_ms: float  # keyed: how long a key holds
    floor: int  # lowest rung
    top: int  # highest rung
    scale: float  # its rates over the ladder's
    seats: int  # plays of one title that a director may hold; 0: no cap
    live: bool = False  # its titles are live


class Deployment(NamedTuple):
    """What a director is told of its deployment at start."""

    products: tuple
    ladder: tuple  # kB/s of each rung
    rung_worth: tuple
    cells: int
    racks: int
    link_unit: float  # kB/s of a link for a weight of 1
    rack_kb: float  # mean uplink of a rack
    streams: tuple  # by kind of node
    step_cost_ms: float  # a change of rung, in time of the product's importance
    seen_after_ms: float  # how late notes are
    directors: int
    max_allocations: int
    retry_max_ms: float  # longest retry-after that viewers follow; 0: none
    cold_from: float
    warm_ms: float
    fall_multiple: float
    fall_ms: float  # span in which all set-ups to a cold node are counted
    budget_free: float  # further allocations; None where they are not rationed
    budget_share: float
    budget_ms: float
    must_ask: bool  # the fleet list comes only when asked for
    reports: tuple  # names of the values in a load report
    probes: bool = False  # a node may be asked for its load
    # what load reports come with: "answers", "probe" (answers to probes alone), "none"
    told_by: str = "answers"
    probe_price: float = 0.0  # of one probe a play, as a part of all worth asked for
    cross_price: float = 0.0  # of plays that cross zones, as a part of all worth asked for
    zone: int = 0  # of this director
    number: int = 0  # of this director; they count from 0
    peers: bool = False  # directors may send each other messages
    peer_price: float = 0.0  # of 256 bytes received for each play, as a part of all worth asked for
    connect_ms: float = 0.0  # a connection comes up within this or not at all
    join: float = 1.0  # what a further viewer of a live title's stream adds, as a part of its rate


class NodeLine(NamedTuple):
    """One line of the fleet list."""

    node: int
    cell: int
    weight: float
    state: str
    started_ms: float  # latest start; 0: long ago
    kind: int
    zone: int
    mark: int = 0  # the same at every director, another at each node


class Asked(NamedTuple):
    """A viewer's request for a play, or a play handed over at the start."""

    play: int
    product: int
    title: int
    home: float  # first cell that holds the title
    copies: float  # cells that hold it
    ceiling: float  # highest rung that the viewer can use
    length_ms: float  # hint of its length (handed over: of what is left); None: no hint
    wait_ms: float  # the viewer stops waiting after this
    again: bool = False  # a further try of a play that was asked for before


class Verdict(NamedTuple):
    """One decision. `node` set: allocate there at `rung` with `timeout_ms`; `answer`: the final
    one;
    `rung` alone: change the rung of a playing play; `move`: take the play off its node;
    `follow`: ask for the fleet list and its changes; `probe`: nodes to ask for their load now. A
    verdict with a
    play and no more than `probe` keeps the play for a later one."""

    play: int = None
    node: int = None
    rung: int = None
    timeout_ms: float = None
    answer: str = None
    retry_ms: float = None
    move: bool = False
    follow: bool = False
    probe: tuple = ()
    tell: tuple = ()  # numbers of directors to be told:
    loads: tuple = ()  # (node, what is asked of its link over what it gives)
    shares: tuple = ()  # (rack, share of their rates that plays behind its uplink get)
