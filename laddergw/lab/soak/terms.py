"""The terms that a trial is judged by, read from a director's settings. No I/O."""

from typing import Any, NamedTuple

from laddergw import settings
from laddergw.lab.soak.messages import SETTINGS, configuration

LONGEST_COUNTED_MS = 3_000.0  # a longer time limit counts as this for a stop, by the protocol page
KILL_AFTER_MS = 700.0  # SIGKILL comes no sooner than this past the longest time limit after SIGTERM
CELLS = 6
PRODUCT_SHARES = (
    0.6,
    0.4,
)  # of the requests, from the first product on; the last product has the rest
TIMES = {
    "warm_ms": "WarmWithin",
    "fall_ms": "Fall",
    "grace_ms": "StopSendingWithin",
}  # in microseconds there
PATIENCE_SHARE = 0.5  # of a product's time limit that its viewers wait


class Product(NamedTuple):
    """A product as viewers ask for it. Time limit in ms."""

    name: str
    share: float
    limit_ms: float
    once: bool  # a set-up that may have run must not be sent again

    @property
    def wait_ms(self) -> float:
        return PATIENCE_SHARE * self.limit_ms


class Budget(NamedTuple):
    """Further attempts that a director may send within any window: `free`, and a share."""

    free: float
    share: float
    window_ms: float


class Terms(NamedTuple):
    """What the rules need to know of a deployment. Times in ms."""

    products: tuple[Product, ...]
    streams: float = 30.0
    warm_ms: float = 6_000.0
    cold_from: float = 0.4
    multiple: float = 2.5
    fall_ms: float = 1_000.0
    grace_ms: float = 250.0
    sockets: int = 256
    memory_mb: float = 192.0
    budget: Budget | None = Budget(1.0, 0.02, 10_000.0)  # None where they are not limited

    @property
    def paid(self) -> set[str]:
        return {product.name for product in self.products if product.once}

    @property
    def longest_ms(self) -> float:
        return max(product.limit_ms for product in self.products)

    @property
    def kill_ms(self) -> float:
        """From SIGTERM to the earliest SIGKILL."""
        return min(self.longest_ms, LONGEST_COUNTED_MS) + KILL_AFTER_MS


def products_of(tree: dict[str, Any]) -> tuple[Product, ...]:
    """Of nested settings, with the shares in which their viewers come."""
    reader = settings.SettingsReader(settings.flatten(tree))
    grades = tree["Grades"]
    shares = [*PRODUCT_SHARES[: len(grades) - 1]]
    shares += [max(0.0, 1 - sum(shares)) / (len(grades) - len(shares))] * (
        len(grades) - len(shares)
    )
    return tuple(
        Product(
            grade["Name"], share, reader.ms(f"Grades.{at}.GiveUp"), grade["Repeat"] == "side_effect"
        )
        for at, (grade, share) in enumerate(zip(grades, shares, strict=True))
    )


def budget_of(rules: dict[str, Any]) -> Budget | None:
    """Of the settings' rules."""
    if "FreeResends" not in rules:
        return None
    return Budget(rules["FreeResends"], rules.get("ExtraRatio", 0.0), rules["CountedOver"] / 1000)


def terms_of(tree: dict[str, Any], sockets: int) -> Terms:
    """Of nested settings, as far as they tell rules; `sockets` that a director may hold."""
    rules, terms = tree.get("Rules", {}), Terms(products_of(tree), sockets=sockets)
    told = {field: rules[key] / 1000 for field, key in TIMES.items() if key in rules}
    told |= {
        field: rules[key]
        for field, key in (("cold_from", "ColdFrom"), ("multiple", "FallMultiple"))
        if key in rules
    }
    if rules:
        told["streams"] = float(min(tree["Specifics"]["KindSlots"]))
        told["budget"] = budget_of(rules)
    return terms._replace(**told)


def settings_for(
    terms: Terms, directors: int, number: int, base: dict[str, Any] = SETTINGS
) -> dict[str, Any]:
    """The settings of one director of so many:

    `base` with the terms' rules and room for the trial's fleet.
    """
    specifics = base["Specifics"] | {
        "Positions": CELLS,
        "Groups": 2,
        "KindSlots": [int(terms.streams)],
        "RackKb": 60_000.0,
    }
    rules = base.get("Rules", {}) | {
        "ColdFrom": terms.cold_from,
        "WarmWithin": int(terms.warm_ms * 1000),
        "FallMultiple": terms.multiple,
        "Fall": int(terms.fall_ms * 1000),
        "StopSendingWithin": int(terms.grace_ms * 1000),
    }
    if terms.budget is not None:
        rules |= {
            "FreeResends": terms.budget.free,
            "ExtraRatio": terms.budget.share,
            "CountedOver": int(terms.budget.window_ms * 1000),
        }
    limits = {product.name: int(product.limit_ms * 1000) for product in terms.products}
    grades = [grade | {"GiveUp": limits[grade["Name"]]} for grade in base["Grades"]]
    return base | {
        "Siblings": directors,
        "Ordinal": number,
        "Zones": ["east"],
        "MyZone": 0,
        "Kinds": ["std"],
        "Rules": rules,
        "Grades": grades,
        "Specifics": specifics,
    }


DEFAULT_TERMS = terms_of(configuration()["settings"], 256)
