"""Weighted max-min fair division of a total into whole numbers; what is too small to divide rotates over rounds. Deterministic, no input or output."""
from typing import NamedTuple
from zlib import crc32

# A share is reduced only where what is held exceeds the fair share by more than this fraction of it, so that shares do not oscillate.
KEEP_SHARE = 0.2


class Need(NamedTuple):
    """What one process wants. `charged`: what is charged to it already; `need`: the part of `want` that it would spend now, the rest is a reserve."""
    name: str
    want: int
    charged: int
    need: int = 0
    weight: float = 1.0


def max_min_shares(total: int, wants: list[tuple[str, int, float]], round_number: int) -> dict[str, int]:
    """Divides a total among (name, want, weight). Nobody gets more than it wants, and whoever gets less has, by weight, no less than any other. What rounding leaves over
    goes out one by one, in an order drawn anew for each round, so that three units among 230 processes reach all of them in time."""
    shares, left, weights = dict.fromkeys((name for name, *_ in wants), 0), total, sum(weight for _, want, weight in wants if want > 0)
    rising = sorted((want / weight, name, want, weight) for name, want, weight in wants if want > 0)
    for index, (height, name, want, weight) in enumerate(rising):
        # From here on nobody gets all it wants: the rest share one level.
        if height * weights > left:
            level = left / weights
            for _, name, want, weight in rising[index:]:
                shares[name] = int(level * weight)
            left -= sum(shares[name] for _, name, *_ in rising[index:])
            for name in sorted((row[1] for row in rising[index:]), key=lambda name: (crc32(b"%d %s" % (round_number, name.encode())), name))[:max(0, left)]:
                shares[name] += 1
            break
        shares[name], left, weights = want, left - want, weights - weight
    return shares


def fair_shares(total: int, needs: list[Need], round_number: int) -> dict[str, int]:
    """Serves what is needed now before what is wanted as a reserve."""
    shares = max_min_shares(total, [(need.name, min(need.need, need.want), need.weight) for need in needs], round_number)
    left = total - sum(shares.values())
    if left <= 0:
        return shares
    rest = max_min_shares(left, [(need.name, need.want - shares[need.name], need.weight) for need in needs], round_number)
    return {name: share + rest[name] for name, share in shares.items()}


def target_shares(total: int, needs: list[Need], round_number: int) -> dict[str, int]:
    """Returns what each should come to hold. A process that holds slightly more than its fair share keeps it, unless another has nothing."""
    shares = fair_shares(total, needs, round_number)
    starving = any(shares[need.name] > need.charged and need.charged == 0 for need in needs)
    targets = {}
    for need in needs:
        share, excess = shares[need.name], need.charged - shares[need.name]
        keeps = not starving and need.want >= need.charged and 0 < excess <= KEEP_SHARE * need.charged
        targets[need.name] = need.charged if keeps else share
    return targets
