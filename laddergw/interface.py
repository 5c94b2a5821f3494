"""What goes into a Controller and what comes out of it: plain types, no decisions.

Times are milliseconds with fractions, rates are kB a second, ids are as the host gives them.
"""

from typing import NamedTuple

# How an allocation ended, in the words that the host passes to Controller.allocation_ended(). After
# FULL, UNREACHABLE and NEVER_SENT its node has certainly not begun the play, otherwise it may have.
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
# State of a media node by the fleet list. A draining one keeps its plays and gets no new ones.
READY, DRAINING, GONE = "ready", "draining", "gone"
# Kinds of note on a play under way: the share delivered of its rate; its rung, changed by the node;
# what is asked of the node's link, and of its rack's uplink, over what they give.
DELIVERED, RUNG_CHANGED, LINK_DEMAND, UPLINK_DEMAND = (
    "delivered",
    "rung",
    "link asked",
    "uplink asked",
)
# Final answers that a verdict may carry.
DECLINED, FAILED = "declined", "failed"


class Product(NamedTuple):
    """One product's terms, as the deployment states them.

    Fleet versions hash a deployment's repr: the names of this class and its fields are stored data.
    """

    importance: float  # worth of a second at a rung worth 1
    repeat: str  # whether a set-up may be repeated: "safe", "keyed" or "paid"
    group: str  # keyed: nodes on which a key holds: "all", "zone" or "cell"
    key_ms: float  # keyed: how long a key holds
    floor: int  # lowest rung
    top: int  # highest rung
    scale: float  # its rates over the ladder's
    seats: int  # plays of one title that a director may hold; 0: no cap
    live: bool = False  # its titles are live


class Deployment(NamedTuple):
    """The deployment, as a director gets it at its start.

    Fleet versions hash its repr: the names of this class and its fields are stored data.
    """

    products: tuple
    ladder: tuple  # kB/s of each rung
    rung_worth: tuple
    cells: int
    racks: int
    link_unit: float  # kB/s of a link for a weight of 1
    rack_kb: float  # mean rate of a rack's uplink
    streams: tuple  # streams that a node serves, by kind of node
    step_cost_ms: float  # cost of a change of rung, in time of the product's importance
    seen_after_ms: float  # how late notes are
    directors: int
    max_allocations: int  # of one play
    retry_max_ms: float  # longest retry-after that viewers follow; 0: none
    cold_from: float  # share of its capacity that a node gives at its start
    warm_ms: float  # from its start until a node gives all of its capacity
    fall_multiple: float  # set-ups that a cold node takes, over its streams in warm_ms
    fall_ms: float  # span in which all set-ups to a cold node are counted
    budget_free: float  # retries allowed besides the share; None: they are not rationed
    budget_share: float  # retries allowed, as a share of the plays taken
    budget_ms: float  # window in which both are counted
    must_ask: bool  # the fleet list comes only when asked for
    reports: tuple  # names of the values in a load report
    probes: bool = False  # a node may be asked for its load
    # What load reports come with: "answers", "probe" (answers to probes alone), "none"
    told_by: str = "answers"
    probe_price: float = 0.0  # of one probe a play, as a share of all worth asked for
    cross_price: float = 0.0  # of plays that cross zones, as a share of all worth asked for
    zone: int = 0  # of this director
    number: int = 0  # of this director; they count from 0
    peers: bool = False  # directors may send each other messages
    # Of 256 bytes received for each play, as a share of all worth asked for
    peer_price: float = 0.0
    connect_ms: float = 0.0  # a connection comes up within this or not at all
    # What a further viewer of a live title's stream adds, as a share of its rate
    join: float = 1.0


class NodeEntry(NamedTuple):
    """One entry of the fleet list."""

    node: int
    cell: int
    weight: float
    state: str
    started_ms: float  # latest start; 0: long ago
    kind: int
    zone: int
    # Shifts the directors' turns at a cold node: the same at every director, another at each node
    rotation_offset: int = 0


class PlayRequest(NamedTuple):
    """A viewer's request for a play, or a play handed over at the start."""

    play: int
    product: int
    title: int
    first_cell: float  # first cell that holds the title
    replica_count: float  # cells that hold it, from the first on
    highest_rung: float  # that the viewer can use
    # Hint of its length (handed over: of what is left); None: no hint
    length_ms: float
    wait_ms: float  # the viewer stops waiting after this
    is_retry: bool = False  # the play was asked for before


class Verdict(NamedTuple):
    """One decision.

    `node` set: allocate there at `rung` with `timeout_ms`. `answer`: the final answer. `rung`
    alone: change the rung of a play under way. `move`: take the play off its node.
    `request_fleet_list`: ask for the fleet list and its changes. `probe_nodes`: nodes to ask for
    their load now. A verdict with a play and no more than `probe_nodes` keeps the play for a later
    one.
    """

    play: int = None
    node: int = None
    rung: int = None
    timeout_ms: float = None
    answer: str = None
    retry_after_ms: float = None
    move: bool = False
    request_fleet_list: bool = False
    probe_nodes: tuple = ()
    notify_directors: tuple = ()  # numbers of directors to be sent the following
    loads: tuple = ()  # (node, what is asked of its link over what it gives)
    shares: tuple = ()  # (rack, share of their rates that plays behind its uplink get)
