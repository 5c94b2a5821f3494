"""Limits files that are rejected: a name, the text, a piece of the reason, and the rule that the file would break (None: it is inconsistent or cannot be read).

The director's file is that of a small cluster: two directors, products safe and paid (floor 1), three allocations, leases of at most 2 s, and a budget of
2 and 0.1 of the plays in 10 s.
"""
DIRECTOR_FILE = """(director (number 0) (listen "d0" 80) (list "list" 80) (key k "key-of-the-small-town")
 (deployment (directors 2) (cells 2) (racks 2) (ladder 100 200 400) (rung-worth 0.3 0.6 1) (link-unit-kb 9000) (rack-kb 40000)
  (streams 20) (cold-from 0.5) (warm-ms 4000) (fall-multiple 2) (seen-after-ms 500) (allocations 3) (reports x0 x1)
  (budget (free 2) (share 0.1) (window-ms 10000))
  (product safe (importance 1) (seats 3)) (product paid (importance 2) (repeat paid) (floor 1))))"""

SAFE_VALUES = "(time-limit-ms 4000) (set-up-ms 900) (attempts 3)"


def defaults(text: str) -> str:
    """A file with safe default values and further forms."""
    return f"(limits (defaults {SAFE_VALUES} {text}))"


REJECTED = [
    # Faults of form
    ("empty", "", "1:1: holds one form", None),
    ("a different form", "(limit (defaults))", "1:1: holds one form", None),
    ("two forms", "(limits) (limits)", "holds one form", None),
    ("cut off in the middle of a write", "(limits (defaults (set-up-ms 900)", "", None),
    ("a number of 400 digits", "(limits (defaults (set-up-ms " + "9" * 400 + ")))", "", None),
    ("an unknown key", defaults("(set-upms 5)"), "set-upms: is not known here; set-up-ms?", None),
    ("a word for a number", defaults("(connect-ms soon)"), "connect-ms: 'soon' is not a number", None),
    ("a negative number", defaults("(connect-ms -5)"), "out of range", None),
    ("not whole", "(limits (defaults (attempts 1.5)))", "attempts: 1.5 is not a whole number", None),
    ("no attempt at all", "(limits (defaults (attempts 0)))", "attempts: 0 is out of range", None),
    ("too many attempts to read", "(limits (defaults (attempts 50)))", "attempts: 50 is out of range", None),
    ("a key given twice", "(limits (defaults (attempts 2) (attempts 3)))", "attempts: is given twice", None),
    ("two forms of defaults", "(limits (defaults (attempts 2)) (defaults (attempts 3)))", "defaults: is given twice", None),
    ("an unknown product", "(limits (product hearing (attempts 1)))", "no product 'hearing'; the director has safe, paid", None),
    ("a product twice", "(limits (product safe) (product safe))", "is given twice", None),
    ("a route for an unknown product", '(limits (route "/a/" (products safe film)))', "no product 'film'", None),
    ("a route without a slash", '(limits (route "a/"))', "does not begin with /", None),
    ("a route twice", '(limits (route "/a/") (route "/a/" (attempts 1)))', "is given twice, first at line 1", None),
    ("a route without a name", "(limits (route (attempts 1)))", "has no name", None),
    ("an unknown tenant", '(limits (route "/a/" (tenant basin)))', "no tenant 'basin'", None),
    ("a tenant with time limits", "(limits (tenant basin (attempts 2)))", "attempts: is not known here", None),
    ("a budget without its number", '(limits (route "/a/" (budget (free))))', "free: takes 1 value, not 0", None),
    ("a budget of another key", "(limits (budget (fre 2)))", "fre: is not known here; free?", None),
    ("a backoff of two values", defaults("(backoff-ms 50 2)"), "backoff-ms: takes 3 values, not 2", None),
    ("a copied set-up", defaults("(set-up-copies 1)"), "set-up-copies: is not offered", None),
    ("a wait for retries", defaults("(settle-ms 100)"), "settle-ms: is not offered", None),
    ("a floor at a route", '(limits (route "/a/" (floor 0)))', "floor: is not known here", None),
    ("a stray value", "(limits 5)", "a stray value", None),
    ("NUL bytes", "(limits (defaults (attempts 2\0)))", "", None),
    # Inconsistent values
    ("a lease over the director's", defaults("(lease-ms 2500)"), "lease-ms: a lease of 2500 ms is over the director's lease-most-ms, 2000", None),
    ("a lease that ends with its time-out", defaults("(lease-ms 900)"), "cannot be confirmed", None),
    ("a lease shorter than its time-out", defaults("(lease-ms 700)"), "cannot be confirmed", None),
    ("a connect time that cannot pass", defaults("(connect-ms 1000)"), "connect-ms: 1000 ms can never pass", None),
    ("a set-up over the time limit", "(limits (defaults (time-limit-ms 800) (set-up-ms 900)))", "do not fit into a time limit of 800", None),
    ("a time limit that leaves no room for the margin", "(limits (answer-margin-ms 200) (defaults (time-limit-ms 1100) (set-up-ms 900)))", "do not fit", None),
    ("time-outs over the limit on the third attempt", "(limits (defaults (time-limit-ms 2700) (set-up-ms 900) (attempts 3)))",
     "attempt 3 of 3 cannot have its set-up-ms", None),
    ("... and on the second", "(limits (defaults (time-limit-ms 1800) (set-up-ms 900) (attempts 3)))", "attempt 2 of 3 cannot", None),
    ("... because of the pauses", "(limits (defaults (time-limit-ms 3200) (set-up-ms 900) (attempts 3) (backoff-ms 200 2 400)))", "attempt 3 of 3 cannot", None),
    ("... for one product only", "(limits (defaults (time-limit-ms 4000) (set-up-ms 900) (attempts 3)) (product paid (time-limit-ms 2500)))", "(paid at /)", None),
    ("... at one route only", '(limits (defaults (time-limit-ms 4000) (set-up-ms 900) (attempts 3)) (route "/a/" (products safe) (set-up-ms 1500)))', "(safe at /a/)", None),
    ("more attempts than the deployment's", "(limits (defaults (time-limit-ms 9000) (set-up-ms 900) (attempts 5)))", "5 is over the deployment's 3 allocations", None),
    ("a target over the time limit", defaults("(first-frame-target-ms 5000)"), "a target of 5000 ms is over the time limit of 4000", None),
    ("a longest pause under the first", defaults("(backoff-ms 200 2 100)"), "is shorter than the first", None),
    ("pauses that shrink", defaults("(backoff-ms 20 0.5 100)"), "a factor of 0.5", None),
    ("retry-after from high to low", defaults("(retry-after-ms 900 100)"), "the least, 900 ms, is over the most, 100", None),
    ("a copy after the stall", defaults("(read-copies 1) (copy-after-ms 3000)"), "comes when the first has stalled already", None),
    # Values under which a rule can be broken
    ("a release shorter than the lease", defaults("(release-ms 300)"), "release-ms: two allocations out", "once"),
    ("no wait for a release", defaults("(release-ms 0)"), "release-ms: two allocations out", "once"),
    ("a release a little short", defaults("(release-ms 950)"), "release-ms: two allocations out", "once"),
    ("a lease longer than the release wait, by the lease", defaults("(release-ms 960) (lease-ms 1300)"), "two allocations out for 340 ms", "once"),
    ("a release too short, with pauses between attempts", defaults("(release-ms 300) (backoff-ms 500 1 500)"), "two allocations out", "once"),
    ("a release too short for one product", f"(limits (defaults {SAFE_VALUES}) (product safe (release-ms 200)))", "ms: safe at /", "once"),
    ("a release too short for one route", f'(limits (defaults {SAFE_VALUES}) (route "/a/" (titles "b-*") (release-ms 200)))', "at /a/b-", "once"),
    ("a release too short with two attempts", "(limits (defaults (time-limit-ms 4000) (set-up-ms 900) (attempts 2) (release-ms 200)))", "two allocations out", "once"),
    ("no margin for the answer", "(limits (answer-margin-ms 0) (defaults (time-limit-ms 4000)))", "answer-margin-ms: two allocations out", "once"),
    ("too small a margin", "(limits (answer-margin-ms 8) (defaults (time-limit-ms 3000)))", "answer-margin-ms: two allocations out", "once"),
    ("a flood of set-ups at a started node", "(limits (cold-pace 9))", "cold-pace: 9 lets 2 directors send", "cold"),
    ("a smaller flood", "(limits (cold-pace 4))", "cold-pace: 4 lets 2 directors send", "cold"),
    ("a lower floor", "(limits (product paid (floor 0)))", "floor: rung 0 is under the terms of paid: 1 at least", "terms"),
    ("a floor over the top", "(limits (product paid (floor 7)))", "floor: rung 7 is over the top rung of paid", None),
    ("more seats", "(limits (product safe (seats 5)))", "seats: 5 where the terms of safe give 3", "terms"),
    ("no cap on seats", "(limits (product safe (seats 0)))", "seats: no cap where the terms of safe give 3", "terms"),
    ("a larger budget", "(limits (budget (free 8) (share 0.1) (window-ms 10000)))", "budget: 8 further allocations where the deployment's terms give 2", "budget"),
    ("a larger share", "(limits (budget (free 2) (share 3) (window-ms 10000)))", "budget: a share of 3 where the deployment's terms give 0.1", "budget"),
    ("a shorter window", "(limits (budget (free 2) (share 0.1) (window-ms 1000)))", "budget: a window of 1000 ms where the deployment's terms give 10000 ms", "budget"),
]

ACCEPTED = [
    f"(limits (defaults {SAFE_VALUES}) (product paid (release-ms 200)))",     # paid: nothing is set up again after it may have run
    "(limits)", "(limits (cold-pace 0.5) (answer-margin-ms 40))", f"(limits (defaults {SAFE_VALUES}))", f"(limits (defaults {SAFE_VALUES} (release-ms 960)))",
    "(limits (cold-pace 1.2))", "(limits (product paid (attempts 2)))", "(limits (product paid (floor 2)) (product safe (seats 1)))",
    "(limits (budget (free 0) (share 0) (window-ms 20000)))",
    f'(limits (defaults {SAFE_VALUES} (backoff-ms 50 2 100) (connect-ms 200)) (tenant basin (budget (free 1))) (route "/a/" (tenant basin) (attempts 1)))',
    "(limits (defaults (time-limit-ms 4000) (set-up-ms 900) (attempts 3) (release-ms 660) (backoff-ms 300 1 300) (retry-after-ms 300 900)) (product safe (attempts 1)) (product paid (attempts 1)))"]
