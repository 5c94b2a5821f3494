"""Divides a whole among those who want of it: max-min fair with weights, in whole numbers, what is too small to divide by turns. Pure, deterministic."""
from typing import NamedTuple
from zlib import crc32

KEEP_PART = 0.2            # a share is taken back only past so much over what is fair: shares do not dance


class Need(NamedTuple):
    """Who wants how much, and what is charged to it already."""
    name: str
    want: int
    charged: int
    need: int = 0              # of that, what it would spend now; the rest is kept in hand
    weight: float = 1.0


def max_min_shares(whole: int, wants: list[tuple[str, int, float]], turn: int) -> dict[str, int]:
    """Of (name, want, weight): nobody gets more than it wants, and who gets less has, by weight, no less than any other. What is left over of whole numbers goes one by one,
    in an order drawn anew for each turn, so that three among 230 come to all in time."""
    shares, left, weights = dict.fromkeys((name for name, *_ in wants), 0), whole, sum(weight for _, want, weight in wants if want > 0)
    rising = sorted((want / weight, name, want, weight) for name, want, weight in wants if want > 0)
    for place, (height, name, want, weight) in enumerate(rising):
        if height * weights > left:              # from here on nobody gets all: a level for the rest
            level = left / weights
            for _, name, want, weight in rising[place:]:
                shares[name] = int(level * weight)
            left -= sum(shares[name] for _, name, *_ in rising[place:])
            for name in sorted((row[1] for row in rising[place:]), key=lambda name: (crc32(b"%d %s" % (turn, name.encode())), name))[:max(0, left)]:
                shares[name] += 1
            break
        shares[name], left, weights = want, left - want, weights - weight
    return shares


def fair(whole: int, needs: list[Need], turn: int) -> dict[str, int]:
    """What is needed now comes before what is wanted in hand."""
    shares = max_min_shares(whole, [(need.name, min(need.need, need.want), need.weight) for need in needs], turn)
    left = whole - sum(shares.values())
    if left <= 0:
        return shares
    rest = max_min_shares(left, [(need.name, need.want - shares[need.name], need.weight) for need in needs], turn)
    return {name: share + rest[name] for name, share in shares.items()}


def target_shares(whole: int, needs: list[Need], turn: int) -> dict[str, int]:
    """What each should come to hold. Who holds a little over what is fair keeps it, unless somebody has nothing."""
    shares = fair(whole, needs, turn)
    starving = any(shares[need.name] > need.charged and need.charged == 0 for need in needs)
    found = {}
    for need in needs:
        share, over = shares[need.name], need.charged - shares[need.name]
        keeps = not starving and need.want >= need.charged and 0 < over <= KEEP_PART * need.charged
        found[need.name] = need.charged if keeps else share
    return found
